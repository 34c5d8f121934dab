"""Callers that wait for the end of a job, each holding a thread.

A notification is a hint: a waiter that misses it looks again by itself.
"""

from collections.abc import Iterator
import contextlib
import threading


class Waiters:
    """Waiting threads by job.

    Attributes:
        max_waiting: Threads that may wait at the same time.
    """

    def __init__(self, max_waiting: int) -> None:
        self.max_waiting = max_waiting
        self.waiting = 0
        self.lock = threading.Lock()
        self.events: dict[str, set[threading.Event]] = {}


@contextlib.contextmanager
def register_waiter(
    waiters: Waiters, job_id: str
) -> Iterator[threading.Event | None]:
    """Hold a place; give an event set by `notify`, or None without a place."""
    event = threading.Event()
    with waiters.lock:
        placed = waiters.waiting < waiters.max_waiting
        if placed:
            waiters.waiting += 1
            waiters.events.setdefault(job_id, set()).add(event)
    try:
        yield event if placed else None
    finally:
        if placed:
            _remove(waiters, job_id, event)


def notify(waiters: Waiters, job_id: str) -> None:
    """Wake every thread that waits for a job."""
    with waiters.lock:
        for event in waiters.events.get(job_id, ()):
            event.set()


def _remove(waiters: Waiters, job_id: str, event: threading.Event) -> None:
    with waiters.lock:
        waiters.waiting -= 1
        events = waiters.events[job_id]
        events.discard(event)
        if not events:
            del waiters.events[job_id]
