"""Free capacity of the workers, and the placement of tasks on it."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.taskplacement import fit
from cyclamenshelf_core.taskplacement import speedorder
from cyclamenshelf_core.workerprofiles import speeds

# Ranks by which a worker that is slow for the time being counts as slower.
_SLOW_RANKS = 3


class CandidateWorker(NamedTuple):
    """A worker that accepts tasks.

    Attributes:
        rack: Rack of the worker; tasks run fast on the rack of their data.
        labels: Labels that a step may require.
        free: Resources that are not allocated to any task.
        total: Resources of the worker when it is empty.
        suspect: Whether its latest tasks failed; others are preferred.
        slow: Whether tasks take longer on it for the time being, whatever its
            learned speed.
        started_ms: Unix time of its start.
        rank: Learned rank of its speed; see `speeds.get_rank`.
        image_ranks: Rank for tasks of an image, where that differs.
    """

    id: str
    rack: str
    labels: frozenset[str]
    service: str
    free: taskjobs.Resources
    total: taskjobs.Resources
    suspect: bool = False
    slow: bool = False
    started_ms: int = 0
    rank: int = 0
    image_ranks: dict[str, int] | None = None


class FreeCapacity:
    """Free capacity of the workers during one decision.

    Attributes:
        workers: Workers by id.
        free: Free resources by worker id.
        counts: Number of tasks by job, step and worker, for steps that
            limit the tasks on a worker.
        eligible: Cache of the eligible workers by service and label.
        fitting: Workers with free capacity for a task, by service, label and
            need, at the last search. No others can follow, as free capacity
            only shrinks until the cache is cleared.
        rack_slots: Cache of `count_slots_of_largest_rack`.
        equal_speeds: Whether all workers are equally fast.
        best_effort_workers: Workers that run best-effort tasks which can't be
            slowed down.
        latency_sensitive_workers: Workers that run latency-sensitive tasks
            without room for best-effort ones beside them.
    """

    def __init__(
        self,
        workers: dict[str, CandidateWorker],
        counts: dict[tuple[str, int, str], int],
    ) -> None:
        self.workers = workers
        self.free = {worker.id: worker.free for worker in workers.values()}
        self.counts = dict(counts)
        self.eligible: dict[tuple[str, str], list[CandidateWorker]] = {}
        self.fitting: dict[
            tuple[str, str, taskjobs.Resources], list[CandidateWorker]
        ] = {}
        self.rack_slots: dict[tuple, int] = {}
        self.equal_speeds = not any(
            worker.rank or worker.slow or worker.image_ranks
            for worker in workers.values()
        )
        self.best_effort_workers: set[str] = set()
        self.latency_sensitive_workers: set[str] = set()


def allocate(
    capacity: FreeCapacity,
    worker_id: str,
    need: taskjobs.Resources,
    step_key: tuple[str, int] | None = None,
) -> None:
    """Allocate resources of a worker to a task.

    Args:
        capacity: Free capacity of the workers; changed.
        worker_id: The worker.
        need: Resources that the task needs.
        step_key: Job and step whose number of tasks on the worker grows by
            one; None to leave the counts unchanged.
    """
    capacity.free[worker_id] = taskjobs.subtract(capacity.free[worker_id], need)
    if step_key is not None:
        key = (*step_key, worker_id)
        capacity.counts[key] = capacity.counts.get(key, 0) + 1


def is_eligible(
    worker: CandidateWorker, job: taskjobs.TaskJob, step: taskjobs.Step
) -> bool:
    """Return whether a worker has the service and label of a step."""
    return worker.service == job.service and (
        not step.label or step.label in worker.labels
    )


def count_slots_of_largest_rack(
    capacity: FreeCapacity, job: taskjobs.TaskJob, step: taskjobs.Step
) -> int:
    """Return how many tasks of a step fit on the best rack when it is empty."""
    key = (job.service, step.label, step.need, step.max_per_worker)
    largest = capacity.rack_slots.get(key)
    if largest is None:
        slots: dict[str, int] = {}
        for worker in list_eligible(capacity, job, step):
            count = taskjobs.count_fitting(worker.total, step.need)
            count = min(count, step.max_per_worker or count)
            slots[worker.rack] = slots.get(worker.rack, 0) + count
        largest = capacity.rack_slots[key] = max(slots.values(), default=0)
    return largest


def would_interfere(
    capacity: FreeCapacity, worker_id: str, step: taskjobs.Step
) -> bool:
    """Return whether a step would interfere with tasks on a worker.

    Best-effort and latency-sensitive tasks run on different workers unless the
    best-effort ones can be slowed down and the others have room beside them:
    the slowdown that they cause each other varies and changes within seconds.
    """
    if step.fills:
        return worker_id in capacity.latency_sensitive_workers
    return step.tail_target_ms > 0 and worker_id in capacity.best_effort_workers


def record_placed(
    capacity: FreeCapacity, step: taskjobs.Step, worker_ids: Iterable[str]
) -> None:
    """Record the workers on which tasks of a step run or will run.

    Only those of best-effort and latency-sensitive tasks are recorded.
    """
    if step.fills:
        capacity.best_effort_workers.update(worker_ids)
    if step.tail_target_ms:
        capacity.latency_sensitive_workers.update(worker_ids)


def list_eligible(
    capacity: FreeCapacity, job: taskjobs.TaskJob, step: taskjobs.Step
) -> list[CandidateWorker]:
    """Return the workers that have the service and label of a step."""
    key = (job.service, step.label)
    found = capacity.eligible.get(key)
    if found is None:
        found = capacity.eligible[key] = [
            worker
            for worker in capacity.workers.values()
            if is_eligible(worker, job, step)
        ]
    return found


def list_fitting(
    capacity: FreeCapacity, job: taskjobs.TaskJob, step: taskjobs.Step
) -> list[CandidateWorker]:
    """Return the eligible workers with free capacity for a task of a step."""
    key = (job.service, step.label, step.need)
    known = capacity.fitting.get(key)
    if known is None:
        known = list_eligible(capacity, job, step)
    free, need = capacity.free, step.need
    found = capacity.fitting[key] = [
        worker
        for worker in known
        if taskjobs.count_fitting(free[worker.id], need) > 0
    ]
    return found


class Query(NamedTuple):
    """A search for workers that can run tasks of a step.

    Attributes:
        job: The job.
        step_number: Number of its step.
        tasks: Number of tasks to place.
        candidates: Workers on which a task may fit.
        get_available: Returns the resources to assume available on a worker.
        allow_remote: Whether tasks may run off the rack of their data, and a
            gang on several racks, where they are slow.
        allowed_workers: Workers that may run the step; None for any.
        urgent: Whether fast workers are preferred; others leave them to those
            tasks.
    """

    job: taskjobs.TaskJob
    step_number: int
    tasks: int
    candidates: Iterable[CandidateWorker]
    get_available: Callable[[str], taskjobs.Resources]
    allow_remote: bool
    allowed_workers: frozenset[str] | None = None
    urgent: bool = False


def get_rank(worker: CandidateWorker, step: taskjobs.Step) -> int:
    """Return the rank of a worker's speed for the tasks of a step."""
    rank = worker.rank
    if worker.image_ranks and step.image in worker.image_ranks:
        rank = worker.image_ranks[step.image]
    return rank + _SLOW_RANKS if worker.slow else rank


def find_workers(capacity: FreeCapacity, query: Query) -> list[str]:
    """Return a worker for each task of a step that can be placed.

    A gang is placed as a whole or not at all. Workers on the rack of the data
    come first. Urgent tasks prefer fast workers, and others leave these to
    them; see `speedorder`. Among equal workers the one of which the least
    remains comes first, so that whole workers stay free for large tasks.
    """
    step = query.job.steps[query.step_number]
    slots = list_slots(capacity, query)
    if step.gang and sum(slots.values()) < query.tasks:
        return []

    workers = capacity.workers
    ranks = {name: get_rank(workers[name], step) for name in slots}
    ordered = speedorder.order_ranks(
        speedorder.count_slots(ranks, slots),
        query.tasks,
        step.gang,
        query.urgent,
    )
    places = {rank: place for place, rank in enumerate(ordered)}

    def get_key(worker_id: str) -> tuple:
        worker = workers[worker_id]
        return (
            bool(step.data_rack) and step.data_rack != worker.rack,
            worker.suspect,
            places[ranks[worker_id]],
            fit.compute_remainder(
                query.get_available(worker_id), step.need, worker.total
            ),
            worker_id,
        )

    placed: list[str] = []
    for worker_id in sorted(slots, key=get_key):
        placed += [worker_id] * min(slots[worker_id], query.tasks - len(placed))
        if len(placed) == query.tasks:
            break
    return placed


def list_slots(
    capacity: FreeCapacity,
    query: Query,
    get_cost: Callable[[str], float] = lambda worker_id: 0,
) -> dict[str, int]:
    """Return how many tasks of a step fit on each worker that may run it.

    A gang that is slow on several racks gets the slots of a single rack, if
    one can hold it.

    Args:
        capacity: Free capacity of the workers; not changed.
        query: What to place.
        get_cost: Returns the cost of a task on a worker; the rack where the
            tasks cost least is chosen.
    """
    step = query.job.steps[query.step_number]
    required_rack = "" if query.allow_remote else step.data_rack
    slots = _count_slots(capacity, query, required_rack)
    if step.gang and step.same_rack:
        rack_slots = _choose_rack(capacity, slots, query, get_cost)
        if rack_slots is not None:
            return rack_slots
        if not query.allow_remote:
            return {}
    return slots


def _count_slots(
    capacity: FreeCapacity, query: Query, required_rack: str
) -> dict[str, int]:
    """Return the number of tasks that fit, by worker on which any fits.

    Args:
        capacity: Free capacity of the workers.
        query: What to place.
        required_rack: Rack to which workers are limited; empty for any.
    """
    step, allowed_workers = (
        query.job.steps[query.step_number],
        query.allowed_workers,
    )
    slots: dict[str, int] = {}
    for worker in query.candidates:
        if required_rack and worker.rack != required_rack:
            continue
        if allowed_workers is not None and worker.id not in allowed_workers:
            continue
        count = taskjobs.count_fitting(
            query.get_available(worker.id), step.need
        )
        if not count or would_interfere(capacity, worker.id, step):
            continue
        if step.max_per_worker:
            key = (query.job.id, query.step_number, worker.id)
            held = capacity.counts.get(key, 0)
            count = min(count, max(0, step.max_per_worker - held))
        if count > 0:
            slots[worker.id] = count
    return slots


def _choose_rack(
    capacity: FreeCapacity,
    slots: dict[str, int],
    query: Query,
    get_cost: Callable[[str], float],
) -> dict[str, int] | None:
    """Return the slots of the best rack for a gang, or None.

    The rack of the data is preferred, then the rack with the lowest cost,
    which for an urgent gang grows with its run time there, then the one with
    the fewest slots.
    """
    step, tasks = query.job.steps[query.step_number], query.tasks
    workers = capacity.workers

    def get_rack_cost(rack_slots: dict[str, int]) -> float:
        cost = 1 + _sum_costs(rack_slots, tasks, get_cost)
        if not query.urgent or capacity.equal_speeds:
            return cost
        ranks = {name: get_rank(workers[name], step) for name in rack_slots}
        slowest = speedorder.find_slowest(ranks, rack_slots, tasks)
        return cost * speeds.get_run_factor(slowest)

    racks: dict[str, dict[str, int]] = {}
    for worker_id, count in slots.items():
        rack = capacity.workers[worker_id].rack
        racks.setdefault(rack, {})[worker_id] = count
    candidates = [
        (
            rack != step.data_rack,
            get_rack_cost(rack_slots),
            sum(rack_slots.values()),
            rack,
        )
        for rack, rack_slots in racks.items()
        if sum(rack_slots.values()) >= tasks
    ]
    return racks[min(candidates)[-1]] if candidates else None


def _sum_costs(
    slots: dict[str, int], tasks: int, get_cost: Callable[[str], float]
) -> float:
    """Return the cost of a number of tasks on the cheapest slots."""
    total = 0.0
    for cost, count in sorted((get_cost(name), slots[name]) for name in slots):
        total += cost * min(count, tasks)
        tasks -= min(count, tasks)
    return total
