"""Room of the workers, as the planner uses it up."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import taskjobs


class WorkerRoom(NamedTuple):
    """A worker that may be given tasks.

    Attributes:
        rack: Rack of the worker; tasks are fast near their data's rack.
        labels: What a step may ask of a worker.
        free: What no task holds.
        doubtful: Whether its latest tasks failed; others are preferred.
    """

    id: str
    rack: str
    labels: frozenset[str]
    service: str
    free: taskjobs.Resources
    doubtful: bool = False


class Space:
    """What is left on the workers in one decision.

    Attributes:
        free: Room by worker id.
        counts: Tasks by step of a job and worker, for steps that spread.
        allowed: Workers by service and label, as far as asked for.
        filling: Workers with tasks that fill.
        serving: Workers with tasks that serve users of their own.
    """

    def __init__(
        self,
        workers: dict[str, WorkerRoom],
        counts: dict[tuple[str, int, str], int],
    ) -> None:
        self.workers = workers
        self.free = {worker.id: worker.free for worker in workers.values()}
        self.counts = dict(counts)
        self.allowed: dict[tuple[str, str], list[WorkerRoom]] = {}
        self.filling: set[str] = set()
        self.serving: set[str] = set()


def take(
    space: Space,
    worker_id: str,
    need: taskjobs.Resources,
    step_key: tuple[str, int] | None = None,
) -> None:
    """Use up room of a worker."""
    space.free[worker_id] = taskjobs.subtract(space.free[worker_id], need)
    if step_key is not None:
        key = (*step_key, worker_id)
        space.counts[key] = space.counts.get(key, 0) + 1


def is_allowed(
    worker: WorkerRoom, job: taskjobs.TaskJob, step: taskjobs.Step
) -> bool:
    """Return whether a step may run on a worker at all."""
    return worker.service == job.service and (
        not step.label or step.label in worker.labels
    )


def is_disturbed(space: Space, worker_id: str, step: taskjobs.Step) -> bool:
    """Return whether tasks that fill and tasks that serve would be together.

    By how much these disturb each other differs and changes within seconds,
    so they are kept on different workers.
    """
    if step.fills:
        return worker_id in space.serving
    return step.tail_target_ms > 0 and worker_id in space.filling


def note_placed(
    space: Space, step: taskjobs.Step, worker_ids: Iterable[str]
) -> None:
    """Note that tasks of a step are on workers, or will be."""
    if step.fills:
        space.filling.update(worker_ids)
    if step.tail_target_ms:
        space.serving.update(worker_ids)


def list_allowed(
    space: Space, job: taskjobs.TaskJob, step: taskjobs.Step
) -> list[WorkerRoom]:
    """Return the workers on which a step may run at all."""
    key = (job.service, step.label)
    found = space.allowed.get(key)
    if found is None:
        found = space.allowed[key] = [
            worker
            for worker in space.workers.values()
            if is_allowed(worker, job, step)
        ]
    return found


def find_workers(
    space: Space,
    job: taskjobs.TaskJob,
    number: int,
    tasks: int,
    get_room: Callable[[str], taskjobs.Resources],
    allow_far: bool,
    weigh: Callable[[str], float] = lambda worker_id: 0,
    allowed: frozenset[str] | None = None,
) -> list[str]:
    """Return a worker for each of as many tasks of a step as fit.

    Tasks of a gang are placed all or not at all. Workers near the data come
    first; others are used only if `allow_far`. Of equal ones the fullest is
    taken, so that whole workers stay free for wide tasks.

    Args:
        space: Room on the workers; not changed.
        job: The job.
        number: Number of its step.
        tasks: Tasks to place.
        get_room: Room to count with on a worker.
        allow_far: Whether tasks may run where they are slow.
        weigh: What a task costs on a worker; the least is taken first.
        allowed: Workers that may run the step; None for any.
    """
    step = job.steps[number]
    near_rack = "" if allow_far else step.data_rack
    slots, rooms = _count_slots(
        space, job, number, get_room, near_rack, allowed
    )
    if step.gang and step.same_rack:
        chosen = _choose_rack(space, slots, tasks, step.data_rack, weigh)
        if chosen is not None:
            slots = chosen
        elif not allow_far:
            return []
    if step.gang and sum(slots.values()) < tasks:
        return []
    ordered = sorted(
        slots,
        key=lambda worker_id: (
            bool(step.data_rack)
            and step.data_rack != space.workers[worker_id].rack,
            space.workers[worker_id].doubtful,
            weigh(worker_id),
            rooms[worker_id].accelerators,
            rooms[worker_id].cpu_millis,
            worker_id,
        ),
    )
    placed: list[str] = []
    for worker_id in ordered:
        placed += [worker_id] * min(slots[worker_id], tasks - len(placed))
        if len(placed) == tasks:
            break
    return placed


def _count_slots(
    space: Space,
    job: taskjobs.TaskJob,
    number: int,
    get_room: Callable[[str], taskjobs.Resources],
    near_rack: str,
    allowed: frozenset[str] | None,
) -> tuple[dict[str, int], dict[str, taskjobs.Resources]]:
    """Return how many tasks fit on each worker, and the room counted with.

    Args:
        space: Room on the workers.
        job: The job.
        number: Number of its step.
        get_room: Room to count with on a worker.
        near_rack: Rack to stay on; empty for any.
        allowed: Workers that may run the step; None for any.
    """
    step = job.steps[number]
    slots: dict[str, int] = {}
    rooms: dict[str, taskjobs.Resources] = {}
    for worker in list_allowed(space, job, step):
        if near_rack and worker.rack != near_rack:
            continue
        if allowed is not None and worker.id not in allowed:
            continue
        if is_disturbed(space, worker.id, step):
            continue
        room = get_room(worker.id)
        count = taskjobs.count_fitting(room, step.need)
        if step.max_per_worker and count:
            held = space.counts.get((job.id, number, worker.id), 0)
            count = min(count, max(0, step.max_per_worker - held))
        if count > 0:
            slots[worker.id] = count
            rooms[worker.id] = room
    return slots, rooms


def _choose_rack(
    space: Space,
    slots: dict[str, int],
    tasks: int,
    data_rack: str,
    weigh: Callable[[str], float],
) -> dict[str, int] | None:
    """Return the slots of the best rack for a gang, or None.

    The rack of the data goes first, then the least cost, then the rack that
    the gang fills most.
    """
    racks: dict[str, dict[str, int]] = {}
    for worker_id, count in slots.items():
        rack = space.workers[worker_id].rack
        racks.setdefault(rack, {})[worker_id] = count
    fitting = [
        (
            rack != data_rack,
            _sum_costs(members, tasks, weigh),
            sum(members.values()),
            rack,
        )
        for rack, members in racks.items()
        if sum(members.values()) >= tasks
    ]
    return racks[min(fitting)[-1]] if fitting else None


def _sum_costs(
    slots: dict[str, int], tasks: int, weigh: Callable[[str], float]
) -> float:
    """Return the cost of the cheapest slots for a number of tasks."""
    total = 0.0
    for cost, count in sorted((weigh(name), slots[name]) for name in slots):
        total += cost * min(count, tasks)
        tasks -= min(count, tasks)
    return total
