"""The lists in force on this host, and how surely they are current."""

from collections.abc import Callable
import threading

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues

# Lists that are this young are not read again before a caller is refused.
FRESH_MS = 150


class KnownLists:
    """The newest lists seen; they never go back.

    Attributes:
        key: Row of the lists.
        decode: Returns the lists of that row, or None if it holds none.
    """

    def __init__(
        self,
        key: ports.RowKey,
        decode: Callable[[ports.Row], queues.Lists | None],
        store: ports.Store,
        clock: clocks.Clock,
    ) -> None:
        self.key = key
        self.decode = decode
        self.store = store
        self.clock = clock
        self.lists = queues.NO_LISTS
        self.lock = threading.Lock()
        self.copy = following.Copy(
            key.table, lambda rows: note_rows(self, rows)
        )


def note_rows(known: KnownLists, rows: list[ports.Row]) -> None:
    """Take over lists among changed rows, if they are newer."""
    for row in rows:
        if row.key != known.key or row.value is None:
            continue
        lists = known.decode(row)
        if lists is None:
            logs.log_event("lists_unreadable", "ERROR", version=row.version)
            continue
        with known.lock:
            if lists.row_version <= known.lists.row_version:
                continue
            known.lists = lists
        logs.log_event(
            "lists_in_force",
            version=lists.version,
            row_version=lists.row_version,
            queues=len(lists.queues),
            accounts=len(lists.accounts),
        )


def get_age_ms(known: KnownLists) -> int | None:
    """Return how long ago the lists were surely current, or None."""
    confirmed_ms = known.copy.confirmed_ms
    if confirmed_ms is None:
        return None
    return known.clock.now_ms() - confirmed_ms


def confirm(known: KnownLists, max_age_ms: int) -> bool:
    """Read the lists again unless they are young; return whether they are."""
    age_ms = get_age_ms(known)
    if age_ms is not None and age_ms <= max_age_ms:
        return True
    try:
        following.refresh(known.copy, known.store, known.clock)
    except errors.StoreError as error:
        logs.log_event("lists_unconfirmed", "WARNING", detail=error)
        return False
    return True
