"""When capacity is expected to come free by itself.

Tasks are expected to end when their callers' estimates say. A task that has
outrun its estimate may end at any time, so nothing is expected of it.
"""

from collections.abc import Iterable

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts


class ExpectedEnds:
    """The expected ends of the tasks that run during one decision.

    Attributes:
        by_worker: Allocations with a known end by worker, the next end first.
        released: Sums of what tasks release by worker and time, each with the
            number of changes of the worker's stops at which it was computed.
    """

    def __init__(self, held: Iterable[victimcosts.Allocation]) -> None:
        self.by_worker: dict[str, list[victimcosts.Allocation]] = {}
        self.released: dict[
            tuple[str, int], tuple[int, taskjobs.Resources]
        ] = {}
        for allocation in held:
            if allocation.expected_left_ms is None or allocation.stopping:
                continue
            self.by_worker.setdefault(allocation.worker_id, []).append(
                allocation
            )
        for allocations in self.by_worker.values():
            allocations.sort(key=lambda held: held.expected_left_ms or 0)


def get_released(
    ends: ExpectedEnds,
    worker_id: str,
    within_ms: int,
    victims: victimcosts.VictimIndex,
) -> taskjobs.Resources:
    """Return what tasks on a worker release by themselves within a time.

    Args:
        ends: The expected ends.
        worker_id: The worker.
        within_ms: Time from now.
        victims: The tasks that are being stopped, which are not counted.
    """
    changes = victims.changes[worker_id]
    known = ends.released.get((worker_id, within_ms))
    if known is not None and known[0] == changes:
        return known[1]
    released = taskjobs.NO_RESOURCES
    for held in ends.by_worker.get(worker_id, ()):
        if (held.expected_left_ms or 0) > within_ms:
            break
        if held.task not in victims.chosen:
            released = taskjobs.add(released, held.need)
    ends.released[worker_id, within_ms] = changes, released
    return released
