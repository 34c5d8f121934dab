"""This host's cached copy of the operators' lists, and its age."""

from collections.abc import Callable
import threading

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues

# Lists confirmed within this time are not read again before a caller is
# rejected.
FRESH_MS = 150


class CachedLists:
    """The newest lists that were read; never replaced by an older version.

    Attributes:
        key: Key of the row of the lists.
        decode: Returns the lists of that row, or None if it is invalid.
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
        self.copy = following.TableCopy(
            key.table, lambda rows: apply_changes(self, rows)
        )


def apply_changes(cached: CachedLists, rows: list[ports.Row]) -> None:
    """Apply the lists among changed rows, if they are newer."""
    for row in rows:
        if row.key != cached.key or row.value is None:
            continue
        lists = cached.decode(row)
        if lists is None:
            logs.log_event("lists_unreadable", "ERROR", version=row.version)
            continue
        with cached.lock:
            if lists.row_version <= cached.lists.row_version:
                continue
            cached.lists = lists
        logs.log_event(
            "lists_in_force",
            version=lists.version,
            row_version=lists.row_version,
            queues=len(lists.queues),
            accounts=len(lists.accounts),
        )


def get_age_ms(cached: CachedLists) -> int | None:
    """Return how long ago the lists were last confirmed, or None if never."""
    confirmed_ms = cached.copy.confirmed_ms
    if confirmed_ms is None:
        return None
    return cached.clock.now_ms() - confirmed_ms


def confirm(cached: CachedLists, max_age_ms: int) -> bool:
    """Read the lists again if they are too old; return whether that worked."""
    age_ms = get_age_ms(cached)
    if age_ms is not None and age_ms <= max_age_ms:
        return True
    try:
        following.refresh(cached.copy, cached.store, cached.clock)
    except errors.StoreError as error:
        logs.log_event("lists_unconfirmed", "WARNING", detail=error)
        return False
    return True
