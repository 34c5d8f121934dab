"""What the owner knows of each worker, and the times of its lease."""

import threading

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskspace
from cyclamenshelf_daemon.tasks import ports

# A worker's clock may be this much slow.
_SLOW_CLOCK = 0.98
_LAPSE_MARGIN_MS = 100
# A worker that has not answered for this long gets no new tasks.
_SILENT_MS = 2_200
# Renewals a second for all workers without tasks, and how long each takes.
_IDLE_LOOKS_PER_S = 80
_LOOK_MS = 1_500
# An entry that has just vanished may only have lapsed with the store.
_UNLISTED_GRACE_MS = 2_500
# Failures in a row, of different jobs, after which a worker is left out.
_MAX_FAILURES = 3
_QUARANTINE_MS = 6_000

RunKey = tuple[str, int]


class Worker:
    """One life of a worker, as the owner knows it.

    Attributes:
        heard_ms: Monotonic time of its last answer in this tenure.
        clock_ms: Its own clock when that answer was given.
        lease_until_ms: Latest end of lease sent to it, on its clock.
        processed: Number of the last end taken over in memory.
        seen: Number of the last end that is safely stored.
        stored: Set whenever `seen` has moved.
        pause_ms: How long it is left alone between two renewals.
        alone_until_ms: Monotonic time until which it is left alone now.
        wake: Set to end such a pause.
        unlisted_ms: Since when it is not in the list of workers.
        foreign: Room of runs there that the owner has no use for.
        failures: Jobs whose tasks failed there in a row.
        quarantined_until_ms: Until when it is left out.
    """

    def __init__(self, info: ports.WorkerInfo) -> None:
        self.info = info
        self.heard_ms: int | None = None
        self.clock_ms = 0
        self.lease_until_ms = 0
        self.processed = 0
        self.seen = 0
        self.stored = threading.Event()
        self.pause_ms = 0
        self.alone_until_ms = 0
        self.wake = threading.Event()
        self.unlisted_ms: int | None = None
        self.foreign: dict[RunKey, taskjobs.Resources] = {}
        self.failures: list[str] = []
        self.quarantined_until_ms = 0
        self.closing = threading.Event()
        self.lock = threading.Lock()


def grant_lease(
    worker: Worker, clock: clocks.Clock, lease_ms: int
) -> int | None:
    """Return a new end of lease on the worker's clock; None before any answer.

    The end is noted before it is sent, so that the owner never takes a lease
    for shorter than the worker may.
    """
    with worker.lock:
        if worker.heard_ms is None:
            return None
        estimate_ms = worker.clock_ms + clock.now_ms() - worker.heard_ms
        worker.lease_until_ms = max(
            worker.lease_until_ms, estimate_ms + lease_ms
        )
        return worker.lease_until_ms


def take_back_lease(worker: Worker, granted_ms: int, before_ms: int) -> None:
    """Forget an end of lease that surely did not reach the worker.

    Args:
        worker: The worker.
        granted_ms: The end that was sent.
        before_ms: Its latest end of lease before.
    """
    with worker.lock:
        if worker.lease_until_ms == granted_ms:
            worker.lease_until_ms = before_ms


def note_answer(worker: Worker, clock_ms: int, now_ms: int) -> None:
    """Take over the clock of a worker that has just answered."""
    with worker.lock:
        worker.clock_ms, worker.heard_ms = clock_ms, now_ms
        worker.alone_until_ms = now_ms + worker.pause_ms


def wake_worker(worker: Worker, now_ms: int) -> None:
    """Have a worker asked now that may have been left alone."""
    worker.pause_ms = 0
    worker.alone_until_ms = min(worker.alone_until_ms, now_ms)
    worker.wake.set()


def get_lapse_ms(worker: Worker) -> int:
    """Return the monotonic time from which its lease has surely lapsed."""
    if worker.heard_ms is None:
        return 0
    left_ms = max(0, worker.lease_until_ms - worker.clock_ms)
    return worker.heard_ms + int(left_ms / _SLOW_CLOCK) + _LAPSE_MARGIN_MS


def is_silent(worker: Worker, now_ms: int) -> bool:
    """Return whether a worker has not answered of late."""
    if worker.heard_ms is None:
        return True
    asked_ms = max(worker.heard_ms, worker.alone_until_ms)
    return now_ms - asked_ms > _SILENT_MS


def choose_pause(workers: int, busy: bool) -> int:
    """Return how long a worker is left alone between two renewals, in ms.

    On large fleets the workers without tasks would take most of the owner's
    processor; they hold no lease that has to be renewed.
    """
    if busy:
        return 0
    return max(0, int(1_000 * workers / _IDLE_LOOKS_PER_S) - _LOOK_MS)


def may_start(worker: Worker, now_ms: int) -> bool:
    """Return whether a worker may be given new tasks."""
    if worker.unlisted_ms is not None and (
        now_ms - worker.unlisted_ms > _UNLISTED_GRACE_MS
    ):
        return False
    return (
        not is_silent(worker, now_ms)
        and worker.info.draining_ms is None
        and now_ms >= worker.quarantined_until_ms
    )


def note_failure(worker: Worker, job_id: str, now_ms: int) -> bool:
    """Count a failed run; return whether the worker is now left out."""
    if job_id not in worker.failures:
        worker.failures.append(job_id)
    if len(worker.failures) < _MAX_FAILURES:
        return False
    worker.quarantined_until_ms = now_ms + _QUARANTINE_MS
    worker.failures = worker.failures[-1:]
    return True


def note_success(worker: Worker) -> None:
    """Forget failures: the worker has run a task to its end."""
    worker.failures = []


def make_room(
    worker: Worker, held: taskjobs.Resources
) -> taskspace.CandidateWorker:
    """Return what is left on a worker beside the tasks that hold room."""
    info = worker.info
    free = taskjobs.subtract(info.capacity, held)
    for need in worker.foreign.values():
        free = taskjobs.subtract(free, need)
    return taskspace.CandidateWorker(
        info.id,
        info.rack,
        info.labels,
        info.service,
        free,
        suspect=bool(worker.failures),
    )
