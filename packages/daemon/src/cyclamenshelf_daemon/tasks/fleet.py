"""State of each worker as the owner has it, and the timing of its lease."""

import enum
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon.tasks import ports

# Slowest rate at which a worker's clock may run.
_MIN_CLOCK_RATE = 0.98
_EXPIRY_MARGIN_MS = 100
# How long an order that was sent to an earlier incarnation may still be on its
# way when the restart is recorded.
_IN_FLIGHT_MS = 1_000
# A worker that has not responded for this long gets no new tasks.
_UNRESPONSIVE_MS = 2_200
# A worker that has not responded for this long gets no lease. Each one that may
# have been delivered has to expire before its tasks start elsewhere. The last
# lease that it has confirmed has expired by then, unless it is a longer one.
_MAX_SILENCE_MS = 6_000
# Renewals per second for all idle workers together, and the time each takes.
_IDLE_POLLS_PER_S = 80
_POLL_MS = 1_500
# A list entry that is missing briefly may only have expired while the store
# was unavailable.
_UNLISTED_GRACE_MS = 2_500
# Consecutive failures, of different jobs, that quarantine a worker.
_MAX_FAILURES = 3
_QUARANTINE_MS = 6_000
# How long a worker that has refused a start gets none; others are tried.
_REFUSAL_PAUSE_MS = 1_000

RunKey = tuple[str, int]


class Obstacle(enum.StrEnum):
    """Why a worker may not be given new tasks."""

    UNLISTED = "unlisted"
    UNREADABLE = "unreadable"
    UNDESCRIBED = "undescribed"
    UNRESPONSIVE = "unresponsive"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    QUARANTINED = "quarantined"
    REFUSING = "refusing"


class Orphan(NamedTuple):
    """A run on a worker that the owner does not need.

    Attributes:
        need: Resources that it uses.
        stop_sent_ms: Monotonic time at which its stop was last passed on.
    """

    need: taskjobs.Resources
    stop_sent_ms: int


class Worker:
    """One incarnation of a worker as the owner sees it.

    A restarted worker gets a new record, so that nothing learnt from the
    earlier incarnation is used for the new one.

    Attributes:
        max_lease_ms: Longest lease that a worker accepts. It shortens any
            longer one, for example one on the clock of its last incarnation.
        unknown_lease_until_ms: Monotonic time by which every lease has expired
            whose end is not recorded here: those granted by earlier owners,
            and by orders that were meant for an earlier incarnation.
        last_response_ms: Monotonic time of its last response in this tenure;
            None before the first one.
        received_ms: Monotonic time at which its last response arrived, which
            the owner may not have applied yet.
        has_listed_all: Whether a response in this tenure has listed all ends
            that the worker remembers.
        clock_ms: The worker's own clock at the last response that was applied.
        lease_until_ms: Latest end of lease sent to it, on its clock.
        applied_number: Number of the last task end applied in memory.
        stored_number: Number of the last task end written to the store.
        stored: Set whenever `stored_number` has increased.
        list_soon: Whether the next renewal is to be answered at once, as the
            list decides whether a lost run may start again.
        max_wait_ms: How long it may wait for an end before it responds to a
            renewal; None for the usual time.
        pause_ms: Pause between two renewals.
        paused_until_ms: Monotonic time at which the current pause ends.
        wake: Set to end the pause early.
        unlisted_ms: Monotonic time at which it left the list of workers.
        readable: Whether its entry in the list can be decoded; `info` is what
            the last one that could says.
        described: Whether `info` is from an entry of this incarnation; before
            that, its capacity and labels are those of the earlier one.
        evacuated: Whether operators have asked to empty its data centre.
        cold_until_ms: Monotonic time until which it is slow after its start.
        leaves_ms: Monotonic time until which it certainly stays while it
            drains.
        orphans: Runs on it that the owner does not need.
        failed_jobs: Jobs whose tasks failed on it since its last success.
        quarantined_until_ms: Monotonic time at which its quarantine ends.
        refusing_until_ms: Monotonic time until which it gets no tasks, as it
            has refused one.
        closing: Set when the record is no longer used.
    """

    def __init__(
        self,
        info: ports.WorkerInfo,
        max_lease_ms: int,
        unknown_lease_until_ms: int = 0,
    ) -> None:
        self.info = info
        self.max_lease_ms = max_lease_ms
        self.unknown_lease_until_ms = unknown_lease_until_ms
        self.last_response_ms: int | None = None
        self.received_ms = 0
        self.has_listed_all = False
        self.clock_ms = 0
        self.lease_until_ms = 0
        self.applied_number = 0
        self.stored_number = 0
        self.stored = threading.Event()
        self.list_soon = False
        self.max_wait_ms: int | None = None
        self.pause_ms = 0
        self.paused_until_ms = 0
        self.wake = threading.Event()
        self.unlisted_ms: int | None = None
        self.readable = True
        self.described = True
        self.evacuated = False
        self.cold_until_ms = 0
        self.leaves_ms = 0
        self.orphans: dict[RunKey, Orphan] = {}
        self.failed_jobs: list[str] = []
        self.quarantined_until_ms = 0
        self.refusing_until_ms = 0
        self.closing = threading.Event()
        self.lock = threading.Lock()


def make_successor(
    worker: Worker, info: ports.WorkerInfo, now_ms: int
) -> Worker:
    """Return the record that replaces one whose clock is no longer valid.

    Only what is known of the worker's entry in the list is kept.

    Args:
        worker: The record to replace, which is closed.
        info: What the worker says of itself since its restart, or of its new
            address.
        now_ms: The monotonic time.
    """
    close_worker(worker)
    successor = Worker(
        info, worker.max_lease_ms, _bound_unknown_lease(worker, now_ms)
    )
    successor.unlisted_ms = worker.unlisted_ms
    successor.readable = worker.readable
    successor.evacuated = worker.evacuated
    record_cold_time(successor, now_ms)
    return successor


def record_cold_time(worker: Worker, now_ms: int) -> None:
    """Record until when a worker is slow, by an entry that has just arrived."""
    worker.cold_until_ms = now_ms + worker.info.cold_ms


def is_cold(worker: Worker, now_ms: int) -> bool:
    """Return whether a worker is still slow after its start."""
    return now_ms < worker.cold_until_ms


def close_worker(worker: Worker) -> None:
    """End the thread of a record; no lease is granted by it any more."""
    with worker.lock:
        worker.closing.set()
    worker.wake.set()
    worker.stored.set()


def _bound_unknown_lease(worker: Worker, now_ms: int) -> int:
    """Return the monotonic time by which leases of unknown end have expired."""
    return (
        now_ms
        + _IN_FLIGHT_MS
        + int(worker.max_lease_ms / _MIN_CLOCK_RATE)
        + _EXPIRY_MARGIN_MS
    )


def grant_lease(
    worker: Worker, clock: clocks.Clock, lease_ms: int
) -> int | None:
    """Return a new end of lease on the worker's clock.

    Return None before the first response, for a closed record, and for a
    worker that has not responded for long. The end is recorded before it is
    sent, so the owner never assumes a shorter lease than the worker.
    """
    now_ms = clock.now_ms()
    with worker.lock:
        if worker.last_response_ms is None or worker.closing.is_set():
            return None
        heard_ms = max(worker.last_response_ms, worker.received_ms)
        if _get_silence_ms(worker, heard_ms, now_ms) > _MAX_SILENCE_MS:
            return None
        estimate_ms = worker.clock_ms + now_ms - worker.last_response_ms
        worker.lease_until_ms = max(
            worker.lease_until_ms, estimate_ms + lease_ms
        )
        return worker.lease_until_ms


def revert_lease(worker: Worker, granted_ms: int, before_ms: int) -> None:
    """Restore the previous end of lease after one that was not delivered.

    Args:
        worker: The worker.
        granted_ms: The end that was sent.
        before_ms: The latest end of lease before that.
    """
    with worker.lock:
        if worker.lease_until_ms == granted_ms:
            worker.lease_until_ms = before_ms


def record_arrival(worker: Worker, now_ms: int) -> None:
    """Record that a response has arrived, before the owner applies it."""
    with worker.lock:
        worker.received_ms = now_ms


def record_response(worker: Worker, clock_ms: int, now_ms: int) -> None:
    """Record the clock of a worker that has just responded."""
    with worker.lock:
        if worker.last_response_ms is None:
            # It has seen the owner's epoch and accepts no order of an earlier
            # owner any more.
            worker.unknown_lease_until_ms = _bound_unknown_lease(worker, now_ms)
        worker.clock_ms, worker.last_response_ms = clock_ms, now_ms
        worker.paused_until_ms = now_ms + worker.pause_ms


def wake_worker(worker: Worker, now_ms: int) -> None:
    """End the polling pause of a worker."""
    worker.pause_ms = 0
    worker.paused_until_ms = min(worker.paused_until_ms, now_ms)
    worker.wake.set()


def get_lease_expiry_ms(worker: Worker) -> int:
    """Return the monotonic time by which its lease has certainly expired."""
    if worker.last_response_ms is None:
        return worker.unknown_lease_until_ms
    left_ms = max(0, worker.lease_until_ms - worker.clock_ms)
    return max(
        worker.unknown_lease_until_ms,
        worker.last_response_ms
        + int(left_ms / _MIN_CLOCK_RATE)
        + _EXPIRY_MARGIN_MS,
    )


def is_unresponsive(worker: Worker, now_ms: int) -> bool:
    """Return whether a worker has failed to respond recently."""
    if worker.last_response_ms is None:
        return True
    silence_ms = _get_silence_ms(worker, worker.last_response_ms, now_ms)
    return silence_ms > _UNRESPONSIVE_MS


def _get_silence_ms(worker: Worker, last_response_ms: int, now_ms: int) -> int:
    """Return for how long a worker has been polled without a response."""
    return now_ms - max(last_response_ms, worker.paused_until_ms)


def choose_pause(workers: int, busy: bool) -> int:
    """Return the pause between two renewals of a worker in ms.

    On large fleets, polling idle workers would take most of the owner's CPU
    time, and they have no lease that needs renewal.
    """
    if busy:
        return 0
    return max(0, int(1_000 * workers / _IDLE_POLLS_PER_S) - _POLL_MS)


def find_obstacle(worker: Worker, now_ms: int) -> Obstacle | None:
    """Return why a worker may not be given new tasks, or None if it may."""
    if worker.unlisted_ms is not None and (
        now_ms - worker.unlisted_ms > _UNLISTED_GRACE_MS
    ):
        return Obstacle.UNLISTED
    if not worker.readable:
        return Obstacle.UNREADABLE
    if not worker.described:
        return Obstacle.UNDESCRIBED
    if is_unresponsive(worker, now_ms):
        return Obstacle.UNRESPONSIVE
    if worker.info.draining_ms is not None:
        return Obstacle.DRAINING
    if worker.evacuated:
        return Obstacle.EVACUATED
    if now_ms < worker.quarantined_until_ms:
        return Obstacle.QUARANTINED
    if now_ms < worker.refusing_until_ms:
        return Obstacle.REFUSING
    return None


def record_failure(worker: Worker, job_id: str, now_ms: int) -> bool:
    """Record a failed run; return whether the worker is now quarantined."""
    if job_id not in worker.failed_jobs:
        worker.failed_jobs.append(job_id)
    if len(worker.failed_jobs) < _MAX_FAILURES:
        return False
    worker.quarantined_until_ms = now_ms + _QUARANTINE_MS
    worker.failed_jobs = worker.failed_jobs[-1:]
    return True


def record_refusal(worker: Worker, now_ms: int) -> None:
    """Record that a worker has refused a task for a reason of its own."""
    worker.refusing_until_ms = now_ms + _REFUSAL_PAUSE_MS


def record_success(worker: Worker) -> None:
    """Reset the failures of a worker that has completed a task."""
    worker.failed_jobs = []


def get_free_capacity(
    worker: Worker,
    held: taskjobs.Resources,
    slow: bool,
    rank: int = 0,
    image_ranks: dict[str, int] | None = None,
) -> freecapacity.CandidateWorker:
    """Return the capacity of a worker that is not allocated to tasks.

    Args:
        worker: The worker.
        held: Resources that are allocated to runs on it.
        slow: Whether tasks take longer on it for the time being.
        rank: Learned rank of its speed.
        image_ranks: Rank for tasks of an image, where that differs.
    """
    info = worker.info
    return freecapacity.CandidateWorker(
        info.id,
        info.rack,
        info.labels,
        info.service,
        _compute_free(worker, held),
        info.capacity,
        suspect=bool(worker.failed_jobs),
        slow=slow,
        started_ms=info.started_ms,
        rank=rank,
        image_ranks=image_ranks,
    )


def is_overcommitted(worker: Worker, held: taskjobs.Resources) -> bool:
    """Return whether more is allocated on a worker than it now has.

    Args:
        worker: The worker, whose capacity may have shrunk.
        held: Resources that are allocated to runs on it.
    """
    return min(_compute_free(worker, held)) < 0


def _compute_free(
    worker: Worker, held: taskjobs.Resources
) -> taskjobs.Resources:
    free = taskjobs.subtract(worker.info.capacity, held)
    for orphan in worker.orphans.values():
        free = taskjobs.subtract(free, orphan.need)
    return free
