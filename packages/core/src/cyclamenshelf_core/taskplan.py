"""Which tasks start where, and which are stopped to make room.

Groups are served by priority, then by how little time is left until their
objective; those that can no longer meet it come after those that can. A
group of the first priority, or a gang whose time runs out, may stop tasks of
lower priority. Room that is being made for a group is held for it.
"""

from collections.abc import Callable
from typing import NamedTuple

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskspace
from cyclamenshelf_core import taskvictims

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


class Waiting(NamedTuple):
    """Tasks of one group that could start now.

    Attributes:
        indexes: The tasks; for a gang, all of them.
        spare_ms: Time left until a start would miss the objective.
        guaranteed: Whether the account's guarantee covers the job.
        allowed: Workers that may run it; None for any.
    """

    job: taskjobs.TaskJob
    group: taskjobs.Group
    indexes: tuple[int, ...]
    spare_ms: int
    guaranteed: bool
    allowed: frozenset[str] | None = None


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


class _Shape(NamedTuple):
    """What decides where the tasks of a step fit."""

    service: str
    label: str
    data_rack: str
    need: taskjobs.Resources
    gang: bool
    same_rack: bool
    far: bool
    allowed: frozenset[str] | None
    fills: bool
    serves: bool


class _Round:
    """State of one decision.

    Attributes:
        kept: Workers that are kept from the groups that follow.
        unfit: By shape, the fewest tasks that do not fit into what is free;
            what is free only shrinks within a decision.
    """

    def __init__(
        self,
        workers: dict[str, taskspace.WorkerRoom],
        held: list[taskvictims.Held],
        counts: dict[tuple[str, int, str], int],
    ) -> None:
        self.space = taskspace.Space(workers, counts)
        for entry in held:
            if entry.fills:
                self.space.filling.add(entry.worker_id)
            if entry.serves:
                self.space.serving.add(entry.worker_id)
        self.victims = taskvictims.Victims(held)
        self.starts: list[Start] = []
        self.stops: list[Stop] = []
        self.blocked: list[taskjobs.Group] = []
        self.holding = 0
        self.kept: set[str] = set()
        self.unfit: dict[_Shape, int] = {}

    def get_soon(self, worker_id: str) -> taskjobs.Resources:
        """Return the room that is free, or about to be."""
        return taskjobs.add(
            self.space.free[worker_id],
            self.victims.stopping.get(worker_id, taskjobs.NOTHING),
        )


def plan(
    waiting: list[Waiting],
    held: list[taskvictims.Held],
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
    placed = _find(state, entry, far)
    if placed:
        _start(state, entry, placed)
    if len(placed) == len(entry.indexes):
        return
    state.blocked.append(entry.group)
    rest = entry._replace(indexes=entry.indexes[len(placed) :])
    if step.tail_target_ms:
        _clear_workers(state, rest)
    if entry.job.priority == 0:
        _make_room(state, rest, far)
    elif step.gang and state.holding < _MAX_HOLDING:
        state.holding += 1
        if entry.spare_ms < _PRESSED_MS and entry.spare_ms >= 0:
            _make_room(state, rest, far)
        else:
            _hold(state, rest, _find_soon(state, rest, far))


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


def _find(state: _Round, entry: Waiting, far: bool) -> list[str]:
    """Return workers with room that is free for as many tasks as fit."""
    step, tasks = entry.job.steps[entry.group.step], len(entry.indexes)
    shape = _Shape(
        entry.job.service,
        step.label,
        step.data_rack,
        step.need,
        step.gang,
        step.same_rack,
        far,
        entry.allowed,
        step.fills,
        step.tail_target_ms > 0,
    )
    # Single tasks are placed as far as they fit, so only none is no room.
    wanted = tasks if step.gang else 1
    if wanted >= state.unfit.get(shape, wanted + 1):
        return []
    found = _search(state, entry, far, state.space.free.__getitem__)
    if not found and not step.max_per_worker:
        state.unfit[shape] = wanted
    return found


def _find_soon(state: _Round, entry: Waiting, far: bool) -> list[str]:
    """Return workers with room that is free or about to be."""
    return _search(state, entry, far, state.get_soon)


def _search(
    state: _Round,
    entry: Waiting,
    far: bool,
    get_room: Callable[[str], taskjobs.Resources],
) -> list[str]:
    number, tasks = entry.group.step, len(entry.indexes)
    found = taskspace.find_workers(
        state.space,
        entry.job,
        number,
        tasks,
        get_room,
        allow_far=False,
        allowed=entry.allowed,
    )
    if len(found) < tasks and far:
        wider = taskspace.find_workers(
            state.space,
            entry.job,
            number,
            tasks,
            get_room,
            allow_far=True,
            allowed=entry.allowed,
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
    taskspace.note_placed(state.space, step, placed)
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
    placed = _find_soon(state, entry, far)
    if len(placed) < len(entry.indexes):
        _choose_victims(state, entry, far)
        placed = _find_soon(state, entry, far)
    _hold(state, entry, placed)


def _choose_victims(state: _Round, entry: Waiting, far: bool) -> None:
    """Mark the tasks to stop, if that makes the group fit."""
    step = entry.job.steps[entry.group.step]
    rank = taskvictims.Rank(entry.job.priority, entry.guaranteed)

    def get_room(worker_id: str) -> taskjobs.Resources:
        return taskjobs.add(
            state.get_soon(worker_id),
            state.victims.get_freed(worker_id, rank),
        )

    def weigh(worker_id: str) -> float:
        soon = state.get_soon(worker_id)
        return state.victims.get_cost(worker_id, soon, step.need, rank)

    placed = taskspace.find_workers(
        state.space,
        entry.job,
        entry.group.step,
        len(entry.indexes),
        get_room,
        far,
        weigh,
        entry.allowed,
    )
    if step.gang and len(placed) < len(entry.indexes):
        return
    for worker_id in dict.fromkeys(placed):
        stops = taskvictims.stop_cheapest(
            state.victims,
            worker_id,
            state.get_soon(worker_id),
            step.need,
            placed.count(worker_id),
            rank,
        )
        state.stops += [Stop(held.task, entry.group) for held in stops]


def _clear_workers(state: _Round, entry: Waiting) -> None:
    """Stop tasks that fill where tasks that serve would then have room."""
    step, missing = entry.job.steps[entry.group.step], len(entry.indexes)
    fills = {
        worker.id: [
            held
            for held in state.victims.by_worker.get(worker.id, ())
            if held.fills
        ]
        for worker in taskspace.list_allowed(state.space, entry.job, step)
    }
    for worker_id in sorted(fills, key=lambda name: (len(fills[name]), name)):
        room = state.get_soon(worker_id)
        for held in fills[worker_id]:
            if not held.stopping and held.task not in state.victims.chosen:
                room = taskjobs.add(room, held.need)
        fitting = taskjobs.count_fitting(room, step.need)
        if not fills[worker_id] or not fitting:
            continue
        for held in fills[worker_id]:
            stops = state.victims.choose(held)
            state.stops += [Stop(stop.task, entry.group) for stop in stops]
        missing -= min(fitting, step.max_per_worker or fitting)
        if missing <= 0:
            return
