"""Whether a group waits for the rack that it prefers or runs elsewhere.

Off the rack of its data, and in a gang of one rack that is spread over several,
a task takes several times as long, and uses capacity for as long. The group
goes where it is expected to end first; what it waits for is taken from the
expected ends of the tasks that run on the rack.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import taskjobs


class Release(NamedTuple):
    """Resources that a running task is expected to release.

    Attributes:
        wait_ms: Time until its end.
    """

    wait_ms: int
    worker_id: str
    resources: taskjobs.Resources


def estimate_wait_ms(
    free: dict[str, taskjobs.Resources],
    releases: Iterable[Release],
    need: taskjobs.Resources,
    tasks: int,
) -> int | None:
    """Return how long until a number of tasks fits, or None if not known.

    Args:
        free: Free resources of the workers that may run the tasks.
        releases: What running tasks will release; those on other workers are
            left out.
        need: Resources of each task.
        tasks: Number of tasks.
    """
    free = dict(free)
    slots = {name: taskjobs.count_fitting(free[name], need) for name in free}
    missing = tasks - sum(slots.values())
    if missing <= 0:
        return 0
    for release in sorted(releases):
        name = release.worker_id
        if name not in free:
            continue
        free[name] = taskjobs.add(free[name], release.resources)
        count = taskjobs.count_fitting(free[name], need)
        missing -= count - slots[name]
        slots[name] = count
        if missing <= 0:
            return release.wait_ms
    return None


def is_sooner_elsewhere(
    wait_ms: int | None, run_ms: int, remote_penalty: float
) -> bool:
    """Return whether a group ends sooner if it starts elsewhere at once.

    Args:
        wait_ms: How long it would wait for the rack that it prefers; None if
            that is not known to become free.
        run_ms: Run time of its tasks on that rack.
        remote_penalty: How many times as long they take elsewhere.
    """
    return wait_ms is None or wait_ms > run_ms * (remote_penalty - 1)
