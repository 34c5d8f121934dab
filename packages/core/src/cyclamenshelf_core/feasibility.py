"""Whether work can run at all on the workers of the fleet, were they empty.

Work that no worker can take is no demand: it waits, and nothing is kept free,
reserved or stopped for it. The answer changes when a worker comes, leaves or
changes, so it is never stored with the work.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import taskjobs


class WorkerKind(NamedTuple):
    """The properties that decide what can run on a worker.

    Attributes:
        capacity: Resources of the worker when it is empty.
    """

    service: str
    labels: frozenset[str]
    capacity: taskjobs.Resources


class Fleet:
    """The workers of the fleet, whether or not they accept tasks now.

    Attributes:
        workers: Number of workers of each kind.
        slots: Cache of `count_slots`.
    """

    def __init__(self, kinds: Iterable[WorkerKind] = ()) -> None:
        self.workers = collections.Counter(kinds)
        self.slots: dict[tuple, int] = {}


def count_slots(
    fleet: Fleet, job: taskjobs.TaskJob, step: taskjobs.Step
) -> int:
    """Return how many tasks of a step could run at once on the empty fleet."""
    key = (job.service, step.label, step.need, step.max_per_worker)
    slots = fleet.slots.get(key)
    if slots is None:
        slots = fleet.slots[key] = sum(
            number * _count_slots_of_worker(kind, step)
            for kind, number in fleet.workers.items()
            if kind.service == job.service
            and (not step.label or step.label in kind.labels)
        )
    return slots


def can_run(fleet: Fleet, job: taskjobs.TaskJob, step: taskjobs.Step) -> bool:
    """Return whether a step can run: all of a gang, else any of its tasks."""
    slots = count_slots(fleet, job, step)
    return slots >= step.tasks if step.gang else slots > 0


def count_startable(
    fleet: Fleet,
    job: taskjobs.TaskJob,
    step: taskjobs.Step,
    waiting: int,
    running: int,
) -> int:
    """Return how many tasks of a step could run beside those that run.

    Args:
        fleet: The workers.
        job: The job.
        step: The step.
        waiting: Number of tasks that wait; for a gang, all of its tasks.
        running: Number of tasks of the step that run.
    """
    if not can_run(fleet, job, step):
        return 0
    return min(waiting, max(0, count_slots(fleet, job, step) - running))


def _count_slots_of_worker(kind: WorkerKind, step: taskjobs.Step) -> int:
    count = taskjobs.count_fitting(kind.capacity, step.need)
    return min(count, step.max_per_worker or count)
