"""When capacity is expected to come free by itself.

Tasks are expected to end when their callers' estimates say. A task that has
outrun its estimate may end at any time, so nothing is expected of it.
"""

from collections.abc import Iterable
import operator
from typing import NamedTuple

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts


class End(NamedTuple):
    """The expected end of a task.

    Attributes:
        after_ms: Time from now until the task ends.
        released: Resources that become free on the worker then.
    """

    after_ms: int
    worker_id: str
    released: taskjobs.Resources


class ExpectedEnds:
    """The expected ends of the tasks that run during one decision.

    Attributes:
        by_worker: Allocations with a known end by worker, the next end first.
    """

    def __init__(self, held: Iterable[victimcosts.Allocation]) -> None:
        self.by_worker: dict[str, list[victimcosts.Allocation]] = {}
        for allocation in held:
            if allocation.expected_left_ms is not None:
                self.by_worker.setdefault(allocation.worker_id, []).append(
                    allocation
                )
        for allocations in self.by_worker.values():
            allocations.sort(key=lambda held: held.expected_left_ms or 0)


def sum_released(
    ends: ExpectedEnds,
    worker_id: str,
    within_ms: int,
    excluded: set[taskjobs.Task],
) -> taskjobs.Resources:
    """Return what tasks on a worker release by themselves within a time.

    Args:
        ends: The expected ends.
        worker_id: The worker.
        within_ms: Time from now.
        excluded: Tasks that are being stopped.
    """
    released = taskjobs.NO_RESOURCES
    for held in ends.by_worker.get(worker_id, ()):
        if held.expected_left_ms is None or held.expected_left_ms > within_ms:
            break
        if not held.stopping and held.task not in excluded:
            released = taskjobs.add(released, held.need)
    return released


def list_ends(held: Iterable[victimcosts.Allocation]) -> list[End]:
    """Return the known ends of tasks, the next one first.

    Tasks that are being stopped end at once.
    """
    ends: list[End] = []
    for allocation in held:
        left_ms = 0 if allocation.stopping else allocation.expected_left_ms
        if left_ms is not None:
            ends.append(End(left_ms, allocation.worker_id, allocation.need))
    return sorted(ends, key=operator.attrgetter("after_ms"))


def estimate_free_ms(
    free: taskjobs.Resources,
    ends: Iterable[End],
    queued: taskjobs.Resources,
    need: taskjobs.Resources,
) -> int | None:
    """Return when a service has room for a need in addition to its queue.

    It counts sums over workers: what is scattered over many of them may
    not hold a large task yet.

    Args:
        free: Resources that are free now.
        ends: Expected ends of tasks, the next one first.
        queued: What the groups ahead in the queue need.
        need: What is asked for.

    Returns:
        Time from now, or None if no known ends free enough.
    """
    wanted = taskjobs.add(queued, need)
    if taskjobs.count_fitting(free, wanted):
        return 0
    for end in ends:
        free = taskjobs.add(free, end.released)
        if taskjobs.count_fitting(free, wanted):
            return end.after_ms
    return None
