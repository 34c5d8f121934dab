"""In-memory copies of the store's tables, updated from its change feed."""

from collections.abc import Callable
import random
import threading

from cyclamenshelf_core import backoff
from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import ports

_READ_TIMEOUT_MS = 1_500


class TableCopy:
    """An in-memory copy of a table.

    Attributes:
        rows: Rows by key.
        version: Store version that the copy reflects; None before the first
            read.
        confirmed_ms: Latest monotonic time at which the copy is known to have
            been current.
        changed: Called with the changed rows, in the thread that applied them.
        synced: Set once the table has been read.
    """

    def __init__(
        self,
        table: str,
        changed: Callable[[list[ports.Row]], None] = lambda rows: None,
    ) -> None:
        self.table = table
        self.rows: dict[str, ports.Row] = {}
        self.version: int | None = None
        self.confirmed_ms: int | None = None
        self.changed = changed
        self.synced = threading.Event()
        self.lock = threading.Lock()


def start_following(
    copy: TableCopy,
    store: ports.Store,
    clock: clocks.Clock,
    stopping: threading.Event,
    wait_ms: int,
) -> threading.Thread:
    """Start the thread that keeps a copy up to date; return it.

    Args:
        copy: The copy to update.
        store: The store that holds its table.
        clock: The clock.
        stopping: Set to stop the thread.
        wait_ms: How long a call waits for changes. A stalled connection, or a
            store that reports no changes, is detected only by the next call,
            so this bounds the age of the copy while the store is available.
    """
    thread = threading.Thread(
        target=_follow,
        args=(copy, store, clock, stopping, wait_ms),
        name=f"follow-{copy.table}",
        daemon=True,
    )
    thread.start()
    return thread


def refresh(copy: TableCopy, store: ports.Store, clock: clocks.Clock) -> None:
    """Read the whole table and update the copy.

    Raises:
        errors.StoreUnavailableError: The store did not respond.
    """
    requested_ms = clock.now_ms()
    result = store.read(copy.table, _READ_TIMEOUT_MS)
    with copy.lock:
        if copy.version is not None and result.version < copy.version:
            return
        latest = {row.key.key: row for row in result.rows}
        removed = [
            ports.Row(row.key, result.version, None)
            for key, row in copy.rows.items()
            if key not in latest
        ]
        changed = [
            row
            for key, row in latest.items()
            if key not in copy.rows or copy.rows[key].version != row.version
        ]
        copy.rows = latest
        _record_version(copy, result.version, requested_ms)
    copy.changed(changed + removed)
    copy.synced.set()


def _follow(
    copy: TableCopy,
    store: ports.Store,
    clock: clocks.Clock,
    stopping: threading.Event,
    wait_ms: int,
) -> None:
    generator = random.Random()
    failures = 0
    while not stopping.is_set():
        if supervision.run_logged(
            "follow_failed", _follow_once, copy, store, clock, wait_ms
        ):
            failures = 0
        else:
            failures += 1
            delay_ms = 20 + backoff.choose_delay(generator, failures)
            stopping.wait(min(delay_ms, 400) / 1000)


def _follow_once(
    copy: TableCopy, store: ports.Store, clock: clocks.Clock, wait_ms: int
) -> None:
    if copy.version is None:
        refresh(copy, store, clock)
        return
    requested_ms = clock.now_ms()
    try:
        result = store.follow(copy.table, copy.version, wait_ms)
    except errors.HistoryLostError:
        logs.log_event("history_lost", table=copy.table, version=copy.version)
        refresh(copy, store, clock)
        return
    as_of_ms = requested_ms
    if not result.rows and clock.now_ms() - requested_ms >= wait_ms:
        # The store responds without changes only at the end of the wait.
        as_of_ms = requested_ms + wait_ms
    with copy.lock:
        newer = [row for row in result.rows if _is_newer(copy, row)]
        for row in newer:
            if row.value is None:
                copy.rows.pop(row.key.key, None)
            else:
                copy.rows[row.key.key] = row
        _record_version(copy, result.version, as_of_ms)
    if newer:
        copy.changed(newer)


def _is_newer(copy: TableCopy, row: ports.Row) -> bool:
    """Return whether a change is not in the copy yet.

    Another thread may have read the table meanwhile. A row that was removed
    before that is not in the copy, and an earlier change must not restore it.
    """
    known = copy.rows.get(row.key.key)
    known_version = known.version if known is not None else -1
    return row.version > max(known_version, copy.version or 0)


def _record_version(copy: TableCopy, version: int, as_of_ms: int) -> None:
    copy.version = max(version, copy.version or 0)
    copy.confirmed_ms = max(as_of_ms, copy.confirmed_ms or 0)
