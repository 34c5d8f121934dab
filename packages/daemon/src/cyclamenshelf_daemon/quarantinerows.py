"""Workers that operators took out of service, as rows of the table."""

from collections.abc import Callable
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import tableclient

_COMMIT_TIMEOUT_MS = 6_000
_MAX_TRIES = 3


class Quarantine(NamedTuple):
    """Why a worker gets no new work, by whom and since when (Unix time)."""

    reason: str
    author: str
    time_ms: int


def make_key(cell: str, worker_id: str) -> str:
    """Return the key of a worker's quarantine row."""
    return f"quarantine/{cell}/{worker_id}"


def read_quarantines(
    table: tableclient.TableClient, cell: str
) -> dict[str, Quarantine]:
    """Return the quarantined workers of a cell, by worker id.

    Raises:
        errors.StoreUnavailableError: The table service does not answer.
    """
    prefix = make_key(cell, "")
    return {
        row.key.removeprefix(prefix): _decode(row)
        for row in tableclient.scan_rows(table, prefix)
    }


def add_quarantine(
    table: tableclient.TableClient,
    clock: clocks.Clock,
    cell: str,
    worker_id: str,
    quarantine: Quarantine,
) -> bool:
    """Store a quarantine; return whether anything changed.

    Raises:
        errors.StoreError: The write was not taken, or its outcome is unknown.
        errors.WriteConflictError: Others keep changing the row.
    """
    key = make_key(cell, worker_id)

    def decide(row: tableclient.Row | None) -> tableclient.Transaction | None:
        if row is not None and _is_same(_decode(row), quarantine):
            return None
        return tableclient.Transaction(
            {key: row.version if row is not None else 0},
            {key: quarantine._asdict()},
        )

    return _update(table, clock, key, decide)


def remove_quarantine(
    table: tableclient.TableClient,
    clock: clocks.Clock,
    cell: str,
    worker_id: str,
) -> bool:
    """Delete a quarantine; return whether there was one.

    Raises:
        errors.StoreError: The write was not taken, or its outcome is unknown.
        errors.WriteConflictError: Others keep changing the row.
    """
    key = make_key(cell, worker_id)

    def decide(row: tableclient.Row | None) -> tableclient.Transaction | None:
        if row is None:
            return None
        return tableclient.Transaction({key: row.version}, {}, (key,))

    return _update(table, clock, key, decide)


def _update(
    table: tableclient.TableClient,
    clock: clocks.Clock,
    key: str,
    decide: Callable[[tableclient.Row | None], tableclient.Transaction | None],
) -> bool:
    """Apply what `decide` makes of the row; return whether it changed."""
    conflict = errors.WriteConflictError({})
    for attempt in range(_MAX_TRIES):
        row = tableclient.read_rows(table, [key]).get(key)
        transaction = decide(row)
        if transaction is None:
            # After a conflict, the row may be as wanted by our own write.
            return attempt > 0
        try:
            tableclient.commit_transaction(
                table, transaction, clock.now_ms() + _COMMIT_TIMEOUT_MS
            )
        except errors.WriteConflictError as error:
            conflict = error
            continue
        return True
    raise conflict


def _is_same(stored: Quarantine, wanted: Quarantine) -> bool:
    return stored._replace(time_ms=0) == wanted._replace(time_ms=0)


def _decode(row: tableclient.Row) -> Quarantine:
    value = row.value if isinstance(row.value, dict) else {}
    return Quarantine(
        str(value.get("reason", "")),
        str(value.get("author", "")),
        int(value.get("time_ms", 0)),
    )
