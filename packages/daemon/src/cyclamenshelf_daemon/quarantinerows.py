"""Table rows of the workers that operators quarantined."""

from collections.abc import Callable
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import tableclient

_COMMIT_TIMEOUT_MS = 6_000
_MAX_ATTEMPTS = 3


class Quarantine(NamedTuple):
    """The quarantine of a worker, which gets no new work.

    Attributes:
        author: Operator who set it.
        time_ms: Unix time at which it was set.
    """

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
        errors.StoreUnavailableError: The table service does not respond.
    """
    prefix = make_key(cell, "")
    return {
        row.key.removeprefix(prefix): _decode_row(row)
        for row in tableclient.scan_rows(table, prefix)
    }


def add_quarantine(
    table: tableclient.TableClient,
    clock: clocks.Clock,
    cell: str,
    worker_id: str,
    quarantine: Quarantine,
) -> bool:
    """Store a quarantine and return whether anything changed.

    Raises:
        errors.StoreError: The write failed, or its outcome is unknown.
        errors.WriteConflictError: Each attempt conflicted with another write.
    """
    key = make_key(cell, worker_id)

    def build_transaction(
        row: tableclient.Row | None,
    ) -> tableclient.Transaction | None:
        if row is not None and _equals_except_time(
            _decode_row(row), quarantine
        ):
            return None
        return tableclient.Transaction(
            {key: row.version if row is not None else 0},
            {key: quarantine._asdict()},
        )

    return _update_row(table, clock, key, build_transaction)


def remove_quarantine(
    table: tableclient.TableClient,
    clock: clocks.Clock,
    cell: str,
    worker_id: str,
) -> bool:
    """Delete a quarantine and return whether there was one.

    Raises:
        errors.StoreError: The write failed, or its outcome is unknown.
        errors.WriteConflictError: Each attempt conflicted with another write.
    """
    key = make_key(cell, worker_id)

    def build_transaction(
        row: tableclient.Row | None,
    ) -> tableclient.Transaction | None:
        if row is None:
            return None
        return tableclient.Transaction({key: row.version}, {}, (key,))

    return _update_row(table, clock, key, build_transaction)


def _update_row(
    table: tableclient.TableClient,
    clock: clocks.Clock,
    key: str,
    build_transaction: Callable[
        [tableclient.Row | None], tableclient.Transaction | None
    ],
) -> bool:
    """Commit the transaction that `build_transaction` returns.

    A conflicting write is retried with the row read again.

    Returns:
        Whether the row changed; False if `build_transaction` returned None
            on the first attempt.
    """
    conflict = errors.WriteConflictError({})
    for attempt in range(_MAX_ATTEMPTS):
        row = tableclient.read_rows(table, [key]).get(key)
        transaction = build_transaction(row)
        if transaction is None:
            # After a conflict, the row may already be as requested because
            # of our own earlier write.
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


def _equals_except_time(stored: Quarantine, requested: Quarantine) -> bool:
    return stored._replace(time_ms=0) == requested._replace(time_ms=0)


def _decode_row(row: tableclient.Row) -> Quarantine:
    value = row.value if isinstance(row.value, dict) else {}
    return Quarantine(
        str(value.get("reason", "")),
        str(value.get("author", "")),
        int(value.get("time_ms", 0)),
    )
