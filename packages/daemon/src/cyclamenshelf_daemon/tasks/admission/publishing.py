"""Writes the owner's backlog to the store, fenced by the epoch."""

import queue
import threading
from typing import NamedTuple

from cyclamenshelf_core import errors
from cyclamenshelf_core.overload import backlog as backlogs
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.admission import knownbacklog
from cyclamenshelf_daemon.tasks.failover import leaserows

# A backlog that takes longer to write is replaced by the next one.
_WRITE_TIMEOUT_MS = 800


class Publisher:
    """The backlogs to write.

    Attributes:
        backlogs: At most one that waits to be written; None ends the thread.
        version: Last known version of the row.
        due_ms: Monotonic time from which the next backlog is computed.
    """

    def __init__(self) -> None:
        self.backlogs: queue.SimpleQueue[backlogs.Backlog | None] = (
            queue.SimpleQueue()
        )
        self.version = 0
        self.due_ms = 0


class PublisherContext(NamedTuple):
    """What the thread needs."""

    publisher: Publisher
    store: ports.Store
    tenure: ownership.Tenure


def start_publisher(context: PublisherContext) -> threading.Thread:
    """Start the thread that writes the backlogs; return it."""
    thread = threading.Thread(
        target=_run, args=(context,), name="backlog-publisher", daemon=True
    )
    thread.start()
    return thread


def _run(context: PublisherContext) -> None:
    while (backlog := context.publisher.backlogs.get()) is not None:
        supervision.run_logged("backlog_failed", write, context, backlog)


def write(context: PublisherContext, backlog: backlogs.Backlog) -> None:
    """Write a backlog, unless the store is away or another host is the owner.

    The row is never removed; hosts ignore one that is too old.
    """
    value = backlogs.encode(backlog)
    # The second attempt knows the version of the row that an earlier owner, or
    # a write without an answer, has left.
    for _ in range(2):
        try:
            _write_once(context, value)
        except errors.WriteConflictError as conflict:
            found = conflict.versions.get(knownbacklog.BACKLOG_KEY)
            if found is None or leaserows.EPOCH_KEY in conflict.versions:
                return
            context.publisher.version = found
        except errors.StoreError as error:
            logs.log_event("backlog_not_written", "WARNING", detail=error)
            return
        else:
            return


def _write_once(context: PublisherContext, value: bytes) -> None:
    publisher, tenure = context.publisher, context.tenure
    publisher.version = context.store.commit(
        ports.Transaction(
            {
                leaserows.EPOCH_KEY: tenure.epoch_version,
                knownbacklog.BACKLOG_KEY: publisher.version,
            },
            {knownbacklog.BACKLOG_KEY: value},
        ),
        _WRITE_TIMEOUT_MS,
    )
