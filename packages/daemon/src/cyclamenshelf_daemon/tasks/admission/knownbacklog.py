"""What a host knows of the owner's backlog, and how it learns of changes.

A host neither polls nor follows the backlog. It reads the row before it inserts
a job, once a second at most.
"""

import collections
import threading

from cyclamenshelf_core.overload import admission
from cyclamenshelf_core.overload import backlog as backlogs
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.failover import leaserows

BACKLOG_KEY = ports.RowKey(leaserows.TABLE, "backlog")
# A backlog that was read within this time is not read again.
_FRESH_MS = 1_000
_MAX_REFUSALS = 1_000


class KnownBacklog:
    """The latest backlog that this host has received.

    Attributes:
        version: Version of its row; 0 before the first one.
        backlog: The backlog; None if there is none or it is invalid.
        received_ms: Monotonic time at which this version was first received.
        read_ms: Monotonic time at which the last reading began; None before
            the first one.
        refusals: Jobs that this host has refused, the oldest first.
    """

    def __init__(self) -> None:
        self.version = 0
        self.backlog: backlogs.Backlog | None = None
        self.received_ms = 0
        self.read_ms: int | None = None
        self.refusals: collections.deque[admission.Refusal] = collections.deque(
            maxlen=_MAX_REFUSALS
        )
        self.lock = threading.Lock()


def claim_reading(known: KnownBacklog, now_ms: int) -> bool:
    """Return whether to read the backlog now; others do not until it is old.

    A reading that fails counts too, so that a slow store is not asked by every
    caller.
    """
    with known.lock:
        if known.read_ms is not None and now_ms - known.read_ms < _FRESH_MS:
            return False
        known.read_ms = now_ms
        return True


def record_row(
    known: KnownBacklog, version: int, value: bytes | None, now_ms: int
) -> None:
    """Record what was read; version 0 and no value if there is no row.

    Args:
        known: What this host knows.
        version: Version of the row.
        value: Its value.
        now_ms: Monotonic time at which the reading began.
    """
    with known.lock:
        if version <= known.version:
            return
        known.version = version
        known.received_ms = now_ms
        known.backlog = backlogs.decode(value or b"")
        if known.backlog is None:
            logs.log_event("backlog_unreadable", "WARNING", version=version)


def get_current(known: KnownBacklog, now_ms: int) -> backlogs.Backlog | None:
    """Return the backlog, or None if it was received too long ago.

    Its own time is by the owner's wall clock, which may be wrong.
    """
    with known.lock:
        if now_ms - known.received_ms > admission.MAX_AGE_MS:
            return None
        return known.backlog
