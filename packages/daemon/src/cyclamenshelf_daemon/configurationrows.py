"""Table rows of the plans and allowances lists."""

from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import errors

CURRENT_KEY = "config/current"
HEAD_KEY = "config/head"
_HISTORY_PREFIX = "config/history/"


class StoredLists(NamedTuple):
    """A stored version of the plans and allowances lists.

    Attributes:
        plans: YAML of the plans list.
        allowances: YAML of the allowances list.
        time_ms: Unix time at which the version was written.
    """

    version: int
    plans: str
    allowances: str
    author: str
    time_ms: int


_FIELD_TYPES = StoredLists.__annotations__


def make_history_key(version: int) -> str:
    """Return the history key of a version.

    The version is padded to 8 digits, so that keys sort by version.
    """
    return f"{_HISTORY_PREFIX}{version:08d}"


def encode_head(version: int) -> dict[str, int]:
    """Return the value of the head row, which holds the current version."""
    return {"version": version}


def encode_stored(stored: StoredLists) -> dict[str, Any]:
    """Return the row value of a version of the lists."""
    return stored._asdict()


def decode_stored(key: str, value: Any) -> StoredLists:
    """Decode the value of a row of lists.

    Raises:
        errors.InvalidListsError: A field is missing or has the wrong type.
    """
    fields = value if isinstance(value, dict) else {}
    problems = [
        errors.Problem(
            key,
            1,
            name,
            f"a value of type {expected.__name__}",
            type(fields.get(name)).__name__,
        )
        for name, expected in _FIELD_TYPES.items()
        if type(fields.get(name)) is not expected
    ]
    if problems:
        raise errors.InvalidListsError(problems)
    return StoredLists(**{name: fields[name] for name in _FIELD_TYPES})
