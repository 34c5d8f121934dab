"""Copies of the store's tables in memory, kept up to date by its changes."""

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


class Copy:
    """A copy of a table.

    Attributes:
        rows: Rows by key.
        version: Version of the store that the copy shows; None at first.
        confirmed_ms: Monotonic time at which the copy was surely current.
        changed: Called with the rows that changed, in the thread that follows.
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
    copy: Copy,
    store: ports.Store,
    clock: clocks.Clock,
    stopping: threading.Event,
    wait_ms: int,
) -> threading.Thread:
    """Start the thread that keeps a copy up to date; return it.

    Args:
        copy: The copy.
        store: Where its table is.
        clock: The clock.
        stopping: Set to end the thread.
        wait_ms: How long a call waits for changes. A silent connection or a
            store that tells of no changes is noticed by asking again, so this
            bounds how old the copy can be while the store is up.
    """
    thread = threading.Thread(
        target=_follow,
        args=(copy, store, clock, stopping, wait_ms),
        name=f"follow-{copy.table}",
        daemon=True,
    )
    thread.start()
    return thread


def refresh(copy: Copy, store: ports.Store, clock: clocks.Clock) -> None:
    """Read the whole table now.

    Raises:
        errors.StoreUnavailableError: The store did not answer.
    """
    asked_ms = clock.now_ms()
    reading = store.read(copy.table, _READ_TIMEOUT_MS)
    with copy.lock:
        if copy.version is not None and reading.version < copy.version:
            return
        fresh = {row.key.key: row for row in reading.rows}
        gone = [
            ports.Row(row.key, reading.version, None)
            for key, row in copy.rows.items()
            if key not in fresh
        ]
        changed = [
            row
            for key, row in fresh.items()
            if key not in copy.rows or copy.rows[key].version != row.version
        ]
        copy.rows = fresh
        _note_version(copy, reading.version, asked_ms)
    copy.changed(changed + gone)
    copy.synced.set()


def _follow(
    copy: Copy,
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
    copy: Copy, store: ports.Store, clock: clocks.Clock, wait_ms: int
) -> None:
    if copy.version is None:
        refresh(copy, store, clock)
        return
    asked_ms = clock.now_ms()
    try:
        reading = store.follow(copy.table, copy.version, wait_ms)
    except errors.HistoryLostError:
        logs.log_event("history_lost", table=copy.table, version=copy.version)
        refresh(copy, store, clock)
        return
    shown_ms = asked_ms
    if not reading.rows and clock.now_ms() - asked_ms >= wait_ms:
        # The store answers without changes only at the end of the wait.
        shown_ms = asked_ms + wait_ms
    with copy.lock:
        newer = [
            row
            for row in reading.rows
            if row.version > getattr(copy.rows.get(row.key.key), "version", -1)
        ]
        for row in newer:
            if row.value is None:
                copy.rows.pop(row.key.key, None)
            else:
                copy.rows[row.key.key] = row
        _note_version(copy, reading.version, shown_ms)
    if newer:
        copy.changed(newer)


def _note_version(copy: Copy, version: int, shown_ms: int) -> None:
    copy.version = max(version, copy.version or 0)
    copy.confirmed_ms = max(shown_ms, copy.confirmed_ms or 0)
