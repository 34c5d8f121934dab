"""Registry of the threads that wait for jobs to end on behalf of callers.

Each waiting caller occupies one thread. A notification is only a hint: a waiter
also polls the job, so a lost notification only delays it.
"""

from collections.abc import Iterator
import contextlib
import threading


class Waiters:
    """Registered waiters by job.

    Attributes:
        max_waiting_threads: Maximum number of threads waiting at a time.
        waiting_count: Number of threads currently waiting.
        events: Events of the waiting threads, by job id.
    """

    def __init__(self, max_waiting_threads: int) -> None:
        self.max_waiting_threads = max_waiting_threads
        self.waiting_count = 0
        self.lock = threading.Lock()
        self.events: dict[str, set[threading.Event]] = {}


@contextlib.contextmanager
def register_waiter(
    waiters: Waiters, job_id: str
) -> Iterator[threading.Event | None]:
    """Register the calling thread as a waiter for the duration of the block.

    Yields an event that `notify` sets, or None if the maximum number of threads
    is already waiting.
    """
    event = threading.Event()
    with waiters.lock:
        registered = waiters.waiting_count < waiters.max_waiting_threads
        if registered:
            waiters.waiting_count += 1
            waiters.events.setdefault(job_id, set()).add(event)
    try:
        yield event if registered else None
    finally:
        if registered:
            _unregister_waiter(waiters, job_id, event)


def notify(waiters: Waiters, job_id: str) -> None:
    """Wake all threads that wait for a job."""
    with waiters.lock:
        for event in waiters.events.get(job_id, ()):
            event.set()


def _unregister_waiter(
    waiters: Waiters, job_id: str, event: threading.Event
) -> None:
    with waiters.lock:
        waiters.waiting_count -= 1
        events = waiters.events[job_id]
        events.discard(event)
        if not events:
            del waiters.events[job_id]
