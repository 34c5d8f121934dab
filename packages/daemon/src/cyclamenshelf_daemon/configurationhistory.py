"""Reads the stored plans and allowances lists and their history."""

import difflib

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import configurationrows
from cyclamenshelf_daemon import tableclient

MAX_LIMIT = 100


def read_current(
    table: tableclient.TableClient,
) -> configurationrows.StoredLists | None:
    """Return the current stored lists, or None if there are none yet.

    Raises:
        errors.ListsRefusedError: The row is malformed.
        errors.StoreUnavailableError: The table service does not respond.
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
) -> configurationrows.StoredLists:
    """Return the stored lists of a version.

    Raises:
        errors.NotFoundError: The version does not exist or is malformed.
        errors.StoreUnavailableError: The table service does not respond.
    """
    key = configurationrows.make_history_key(version)
    stored = _read_stored_lists(table, [key]).get(key)
    if stored is None:
        raise errors.NotFoundError(f"no configuration version {version}")
    return stored


def list_versions(
    table: tableclient.TableClient, before: int | None, limit: int
) -> list[configurationrows.StoredLists]:
    """Return a page of versions, newest first.

    Args:
        table: The table service.
        before: Return only versions below this; None for the newest.
        limit: Maximum number of versions to return, up to `MAX_LIMIT`.

    Raises:
        errors.ListsRefusedError: The current row is malformed.
        errors.StoreUnavailableError: The table service does not respond.
    """
    if before is None:
        current = read_current(table)
        before = current.version + 1 if current is not None else 1
    first = max(1, before - min(limit, MAX_LIMIT))
    keys = [
        configurationrows.make_history_key(version)
        for version in range(first, before)
    ]
    stored = _read_stored_lists(table, keys) if keys else {}
    return [stored[key] for key in reversed(keys) if key in stored]


def make_diff(
    old: configurationrows.StoredLists | None,
    new: configurationrows.StoredLists | None,
) -> str:
    """Return the unified diff of both lists between two versions."""
    lines: list[str] = []
    for name in ("plans", "allowances"):
        lines += difflib.unified_diff(
            _split_lines(getattr(old, name, "")),
            _split_lines(getattr(new, name, "")),
            f"{name} (version {old.version if old else 0})",
            f"{name} (version {new.version if new else 0})",
        )
    return "".join(lines)


def _split_lines(text: str) -> list[str]:
    return [line + "\n" for line in text.splitlines()]


def _read_stored_lists(
    table: tableclient.TableClient, keys: list[str]
) -> dict[str, configurationrows.StoredLists]:
    """Return the stored lists by key; skip malformed rows."""
    lists_by_key: dict[str, configurationrows.StoredLists] = {}
    for key, row in tableclient.read_rows(table, keys).items():
        try:
            lists_by_key[key] = configurationrows.decode_stored(key, row.value)
        except errors.InvalidListsError:
            continue
    return lists_by_key
