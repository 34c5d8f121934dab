"""Which tasks start where, and which are stopped to make room.

Groups are served by priority, then by how little time is left until their
objective; those that can no longer meet it come after those that can. A
group of the first priority, or a gang whose time runs out, may stop tasks of
lower priority. Room that is being made for a group is held for it.
"""

from typing import NamedTuple

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskspace

# On each rack the emptiest workers, this many, are kept from single tasks of
# the last priorities, so that urgent groups start without a stop, which takes
# most of the time that their objective leaves.
_KEPT_WORKERS = 1
_KEPT_FROM_PRIORITY = 2
# How many blocked groups of lower priority keep room held for them at once.
_MAX_HOLDING = 3
# A gang of lower priority makes room for itself when this is all that is left
# until it would miss its objective.
_PRESSED_MS = 6_000
# An accelerator counts as this many cores when lost work is weighed.
_CORES_PER_ACCELERATOR = 8


class Waiting(NamedTuple):
    """Tasks of one group that could start now.

    Attributes:
        indexes: The tasks; for a gang, all of them.
        spare_ms: Time left until a start would miss the objective.
        guaranteed: Whether the account's guarantee covers the job.
    """

    job: taskjobs.TaskJob
    group: taskjobs.Group
    indexes: tuple[int, ...]
    spare_ms: int
    guaranteed: bool


class Held(NamedTuple):
    """A task that holds room on a worker.

    Attributes:
        lost_ms: Work that a stop would throw away.
        guaranteed: Whether the account's guarantee covers the job.
    """

    task: taskjobs.Task
    worker_id: str
    need: taskjobs.Resources
    priority: int
    gang: bool
    long_running: bool
    lost_ms: int
    stopping: bool
    guaranteed: bool


class Start(NamedTuple):
    """Start tasks of a group; for a gang all of them at once."""

    group: taskjobs.Group
    placements: tuple[tuple[int, str], ...]


class Stop(NamedTuple):
    """Stop a task to make room for a group."""

    task: taskjobs.Task
    beneficiary: taskjobs.Group


class Plan(NamedTuple):
    """What to do now; `blocked` says which groups wait."""

    starts: list[Start]
    stops: list[Stop]
    blocked: list[taskjobs.Group]


class _Round:
    """State of one decision."""

    def __init__(
        self,
        workers: dict[str, taskspace.WorkerRoom],
        held: list[Held],
        counts: dict[tuple[str, int, str], int],
    ) -> None:
        self.space = taskspace.Space(workers, counts)
        self.by_worker: dict[str, list[Held]] = {name: [] for name in workers}
        self.by_group: dict[taskjobs.Group, list[Held]] = {}
        self.stopping: dict[str, taskjobs.Resources] = {}
        self.chosen: set[taskjobs.Task] = set()
        self.starts: list[Start] = []
        self.stops: list[Stop] = []
        self.blocked: list[taskjobs.Group] = []
        self.holding = 0
        self.kept: set[str] = set()
        for entry in held:
            self.by_group.setdefault(entry.task.group, []).append(entry)
            if entry.worker_id in self.by_worker:
                self.by_worker[entry.worker_id].append(entry)
                if entry.stopping:
                    self.add_stopping(entry)

    def add_stopping(self, entry: Held) -> None:
        """Count the room of a task that will soon be gone."""
        self.stopping[entry.worker_id] = taskjobs.add(
            self.stopping.get(entry.worker_id, taskjobs.NOTHING), entry.need
        )

    def get_soon(self, worker_id: str) -> taskjobs.Resources:
        """Return the room that is free, or about to be."""
        return taskjobs.add(
            self.space.free[worker_id],
            self.stopping.get(worker_id, taskjobs.NOTHING),
        )


def plan(
    waiting: list[Waiting],
    held: list[Held],
    workers: dict[str, taskspace.WorkerRoom],
    counts: dict[tuple[str, int, str], int],
) -> Plan:
    """Return what to start and to stop.

    Args:
        waiting: Groups with tasks that could start now.
        held: All tasks that hold room.
        workers: Workers that may be given tasks, by id.
        counts: Tasks by job, step and worker, of steps that spread.
    """
    state = _Round(workers, held, counts)
    for entry in sorted(waiting, key=_rank):
        if entry.job.priority >= _KEPT_FROM_PRIORITY and not state.kept:
            _keep_workers(state)
        _serve(state, entry)
    return Plan(state.starts, state.stops, state.blocked)


def _rank(entry: Waiting) -> tuple:
    late = entry.spare_ms < 0 and not entry.guaranteed
    return (
        entry.job.priority,
        not entry.guaranteed,
        late,
        entry.job.accepted_ms if late else entry.spare_ms,
        entry.group,
    )


def _keep_workers(state: _Round) -> None:
    """Keep the emptiest workers of each rack from the groups that follow."""
    free = state.space.free
    racks: dict[str, list[str]] = {}
    for worker in state.space.workers.values():
        racks.setdefault(worker.rack, []).append(worker.id)
    for members in racks.values():
        # A rack of one or two workers is not kept: most of it would idle.
        if len(members) <= 2 * _KEPT_WORKERS:
            continue
        members.sort(key=lambda name: (free[name].accelerators, name))
        for worker_id in members[-_KEPT_WORKERS:]:
            state.kept.add(worker_id)
            free[worker_id] = taskjobs.NOTHING


def _serve(state: _Round, entry: Waiting) -> None:
    step = entry.job.steps[entry.group.step]
    far = _is_far_worth_it(state, entry)
    placed = _find(state, entry, far, soon=False)
    if placed:
        _start(state, entry, placed)
    if len(placed) == len(entry.indexes):
        return
    state.blocked.append(entry.group)
    rest = entry._replace(indexes=entry.indexes[len(placed) :])
    if entry.job.priority == 0:
        _make_room(state, rest, far)
    elif step.gang and state.holding < _MAX_HOLDING:
        state.holding += 1
        if entry.spare_ms < _PRESSED_MS and entry.spare_ms >= 0:
            _make_room(state, rest, far)
        else:
            _hold(state, rest, _find(state, rest, far, soon=True))


def _is_far_worth_it(state: _Round, entry: Waiting) -> bool:
    """Return whether slow workers are better than waiting for near ones."""
    step = entry.job.steps[entry.group.step]
    if entry.spare_ms < 0:
        return True
    if not step.data_rack:
        return False
    return not any(
        step.data_rack == worker.rack
        and taskspace.is_allowed(worker, entry.job, step)
        for worker in state.space.workers.values()
    )


def _find(state: _Round, entry: Waiting, far: bool, soon: bool) -> list[str]:
    room = state.get_soon if soon else state.space.free.__getitem__
    number, tasks = entry.group.step, len(entry.indexes)
    found = taskspace.find_workers(
        state.space, entry.job, number, tasks, room, False
    )
    if len(found) < tasks and far:
        wider = taskspace.find_workers(
            state.space, entry.job, number, tasks, room, True
        )
        found = max(found, wider, key=len)
    return found


def _start(state: _Round, entry: Waiting, placed: list[str]) -> None:
    indexes = entry.indexes[: len(placed)]
    state.starts.append(
        Start(entry.group, tuple(zip(indexes, placed, strict=True)))
    )
    _take(state, entry, placed)


def _take(state: _Round, entry: Waiting, placed: list[str]) -> None:
    step = entry.job.steps[entry.group.step]
    for worker_id in placed:
        taskspace.take(
            state.space,
            worker_id,
            step.need,
            (entry.job.id, entry.group.step),
        )


def _hold(state: _Round, entry: Waiting, placed: list[str]) -> None:
    """Keep room that is free or about to be from the groups that follow."""
    _take(state, entry, placed)


def _make_room(state: _Round, entry: Waiting, far: bool) -> None:
    """Hold room for a group, stopping tasks of lower rank if need be."""
    placed = _find(state, entry, far, soon=True)
    if len(placed) < len(entry.indexes):
        _choose_victims(state, entry, far)
        placed = _find(state, entry, far, soon=True)
    _hold(state, entry, placed)


def _choose_victims(state: _Round, entry: Waiting, far: bool) -> None:
    """Mark the tasks to stop, if that makes the group fit."""
    step = entry.job.steps[entry.group.step]
    eligible = {
        worker_id: [
            held
            for held in held_there
            if not held.stopping
            and held.task not in state.chosen
            and _may_stop(entry, held)
        ]
        for worker_id, held_there in state.by_worker.items()
    }

    def get_room(worker_id: str) -> taskjobs.Resources:
        room = state.get_soon(worker_id)
        for held in eligible[worker_id]:
            room = taskjobs.add(room, held.need)
        return room

    placed = taskspace.find_workers(
        state.space,
        entry.job,
        entry.group.step,
        len(entry.indexes),
        get_room,
        far,
        lambda worker_id: _weigh_worker(
            state, worker_id, step.need, eligible[worker_id]
        ),
    )
    if step.gang and len(placed) < len(entry.indexes):
        return
    for worker_id in dict.fromkeys(placed):
        wanted = placed.count(worker_id)
        _stop_for(state, entry, worker_id, wanted, eligible[worker_id])


def _weigh_worker(
    state: _Round,
    worker_id: str,
    need: taskjobs.Resources,
    eligible: list[Held],
) -> float:
    """Return the work that is lost to fit one task on a worker."""
    room = state.get_soon(worker_id)
    cost = 0.0
    for held in sorted(eligible, key=lambda held: _weigh(state, held)):
        if taskjobs.count_fitting(room, need) > 0:
            break
        room = taskjobs.add(room, held.need)
        cost += 1 + _weigh(state, held)[1]
    return cost


def _may_stop(entry: Waiting, held: Held) -> bool:
    if held.long_running:
        return False
    if held.priority > entry.job.priority:
        return True
    return (
        entry.guaranteed
        and held.priority == entry.job.priority
        and not held.guaranteed
    )


def _stop_for(
    state: _Round,
    entry: Waiting,
    worker_id: str,
    wanted: int,
    eligible: list[Held],
) -> None:
    """Stop the cheapest tasks of a worker until the wanted tasks fit."""
    need = entry.job.steps[entry.group.step].need
    for held in sorted(eligible, key=lambda held: _weigh(state, held)):
        room = state.get_soon(worker_id)
        if taskjobs.count_fitting(room, need) >= wanted:
            return
        if held.task in state.chosen:
            continue
        members = state.by_group[held.task.group] if held.gang else [held]
        for member in members:
            if member.stopping or member.task in state.chosen:
                continue
            state.chosen.add(member.task)
            state.add_stopping(member)
            state.stops.append(Stop(member.task, entry.group))


def _weigh(state: _Round, held: Held) -> tuple:
    """Return the order in which tasks are stopped: least lost work first."""
    members = state.by_group[held.task.group] if held.gang else [held]
    cores = held.need.cpu_millis / 1000
    cores += held.need.accelerators * _CORES_PER_ACCELERATOR
    return (-held.priority, held.lost_ms * cores * len(members), held.task)
