"""Queries of operators: the stored lists and their history."""

import difflib

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import configurationrows
from cyclamenshelf_daemon import tableclient

MAX_LISTED = 100


def read_current(
    table: tableclient.TableClient,
) -> configurationrows.Stored | None:
    """Return the current stored lists, or None before the first.

    Raises:
        errors.ListsRefusedError: The row is not one that this project wrote.
        errors.StoreUnavailableError: The table service does not answer.
    """
    key = configurationrows.CURRENT_KEY
    row = tableclient.read_rows(table, [key]).get(key)
    if row is None:
        return None
    try:
        return configurationrows.decode_stored(key, row.value)
    except errors.InvalidListsError as error:
        problems = tuple(map(str, error.problems))
        raise errors.ListsRefusedError(problems, ()) from error


def read_version(
    table: tableclient.TableClient, version: int
) -> configurationrows.Stored:
    """Return a version of the lists.

    Raises:
        errors.NotFoundError: There is no such version.
        errors.StoreUnavailableError: The table service does not answer.
    """
    key = configurationrows.make_history_key(version)
    stored = _read_stored(table, [key]).get(key)
    if stored is None:
        raise errors.NotFoundError(f"no configuration version {version}")
    return stored


def list_versions(
    table: tableclient.TableClient, before: int | None, limit: int
) -> list[configurationrows.Stored]:
    """Return versions, newest first.

    Args:
        table: The table service.
        before: Only versions below this one; None starts at the current one.
        limit: The most versions to return, up to `MAX_LISTED`.

    Raises:
        errors.ListsRefusedError: The current row is damaged.
        errors.StoreUnavailableError: The table service does not answer.
    """
    if before is None:
        current = read_current(table)
        before = current.version + 1 if current is not None else 1
    first = max(1, before - min(limit, MAX_LISTED))
    keys = [
        configurationrows.make_history_key(version)
        for version in range(first, before)
    ]
    stored = _read_stored(table, keys) if keys else {}
    return [stored[key] for key in reversed(keys) if key in stored]


def make_diff(
    old: configurationrows.Stored | None, new: configurationrows.Stored | None
) -> str:
    """Return the unified diff of both lists between two versions."""
    lines: list[str] = []
    for name in ("plans", "allowances"):
        lines += difflib.unified_diff(
            _split(getattr(old, name, "")),
            _split(getattr(new, name, "")),
            f"{name} (version {old.version if old else 0})",
            f"{name} (version {new.version if new else 0})",
        )
    return "".join(lines)


def _split(text: str) -> list[str]:
    return [line + "\n" for line in text.splitlines()]


def _read_stored(
    table: tableclient.TableClient, keys: list[str]
) -> dict[str, configurationrows.Stored]:
    """Return the stored lists by key, without rows that are damaged."""
    found: dict[str, configurationrows.Stored] = {}
    for key, row in tableclient.read_rows(table, keys).items():
        try:
            found[key] = configurationrows.decode_stored(key, row.value)
        except errors.InvalidListsError:
            continue
    return found
