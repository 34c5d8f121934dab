"""Rows of the operators' lists in the table service."""

from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import errors

CURRENT_KEY = "config/current"
HEAD_KEY = "config/head"
_HISTORY_PREFIX = "config/history/"


class Stored(NamedTuple):
    """The two lists as stored.

    Attributes:
        time_ms: Unix time at which they were handed in.
    """

    version: int
    plans: str
    allowances: str
    author: str
    time_ms: int


_TYPES = Stored.__annotations__


def make_history_key(version: int) -> str:
    """Return the key of a version; 8 digits, so that keys sort by version."""
    return f"{_HISTORY_PREFIX}{version:08d}"


def encode_head(version: int) -> dict[str, int]:
    """Return the row value that names the current version."""
    return {"version": version}


def encode_stored(stored: Stored) -> dict[str, Any]:
    """Return the row value of stored lists."""
    return stored._asdict()


def decode_stored(key: str, value: Any) -> Stored:
    """Return the stored lists of a row value.

    Raises:
        errors.InvalidListsError: The row is not one that this project wrote.
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
        for name, expected in _TYPES.items()
        if type(fields.get(name)) is not expected
    ]
    if problems:
        raise errors.InvalidListsError(problems)
    return Stored(**{name: fields[name] for name in _TYPES})
