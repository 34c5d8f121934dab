"""Planning of the tasks to start, and of those to preempt for them.

Groups are scheduled by priority. Within a priority, groups for which tasks are
being stopped come first, then those that a guarantee covers, then those with
the least slack until they would miss their objective; other groups that can no
longer meet it come last. Only a group of priority 0 may preempt tasks of lower
priority. Capacity that is being freed for a group is reserved for it, and a
few other gangs reserve capacity too. Some capacity stays free for groups of
priority 0 that may arrive next.
"""

from collections.abc import Callable
from typing import NamedTuple

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts
from cyclamenshelf_core import victimsearch

# How many blocked gangs below priority 0 get capacity reserved per decision.
_MAX_GANG_RESERVATIONS = 3


class WaitingGroup(NamedTuple):
    """A group with tasks that are ready to start.

    Attributes:
        indexes: Indexes of these tasks; for a gang, of all its tasks.
        slack_ms: Slack: time left until a start would miss the objective;
            negative if it already would.
        guaranteed: Whether the account's guarantee covers the job.
        allowed_workers: Workers that may run the tasks; None for any.
        preempting: Whether tasks have been stopped for the group.
    """

    job: taskjobs.TaskJob
    group: taskjobs.Group
    indexes: tuple[int, ...]
    slack_ms: int
    guaranteed: bool
    allowed_workers: frozenset[str] | None = None
    preempting: bool = False


class Start(NamedTuple):
    """Tasks of a group to start; for a gang, all of its tasks.

    Attributes:
        placements: Index and worker of each task.
    """

    group: taskjobs.Group
    placements: tuple[tuple[int, str], ...]


class Stop(NamedTuple):
    """A task to stop, to free capacity for the beneficiary."""

    task: taskjobs.Task
    beneficiary: taskjobs.Group


class Plan(NamedTuple):
    """The result of a decision.

    Attributes:
        starts: Tasks to start.
        stops: Tasks to stop.
        blocked: Groups of which some tasks could not be placed.
    """

    starts: list[Start]
    stops: list[Stop]
    blocked: list[taskjobs.Group]


class _Shape(NamedTuple):
    """The properties that decide where the tasks of a group can be placed."""

    service: str
    label: str
    data_rack: str
    need: taskjobs.Resources
    gang: bool
    same_rack: bool
    allow_remote: bool
    allowed_workers: frozenset[str] | None
    fills: bool
    latency_sensitive: bool


class _PlanningState:
    """State of one decision.

    Attributes:
        capacity: Free capacity of the workers.
        victims: All allocations, and the tasks chosen to be stopped.
        gang_reservations: Number of blocked gangs below priority 0 for which
            capacity was reserved.
        unplaceable: By shape, the smallest number of tasks that could not be
            placed. More cannot be placed later either, as free capacity only
            shrinks within a decision.
    """

    def __init__(
        self,
        workers: dict[str, freecapacity.CandidateWorker],
        held: list[victimcosts.Allocation],
        counts: dict[tuple[str, int, str], int],
    ) -> None:
        self.capacity = freecapacity.FreeCapacity(workers, counts)
        for allocation in held:
            if allocation.fills:
                self.capacity.best_effort_workers.add(allocation.worker_id)
            if allocation.latency_sensitive:
                self.capacity.latency_sensitive_workers.add(
                    allocation.worker_id
                )
        self.victims = victimcosts.VictimIndex(held)
        self.starts: list[Start] = []
        self.stops: list[Stop] = []
        self.blocked: list[taskjobs.Group] = []
        self.gang_reservations = 0
        self.unplaceable: dict[_Shape, int] = {}

    def get_soon_free(self, worker_id: str) -> taskjobs.Resources:
        """Return the resources that are free or being released."""
        free = self.capacity.free[worker_id]
        releasing = self.victims.releasing.get(worker_id)
        return free if releasing is None else taskjobs.add(free, releasing)


def plan(
    waiting: list[WaitingGroup],
    held: list[victimcosts.Allocation],
    workers: dict[str, freecapacity.CandidateWorker],
    counts: dict[tuple[str, int, str], int],
    urgent_headroom: dict[str, int],
) -> Plan:
    """Return the tasks to start and to stop.

    Args:
        waiting: Groups with tasks that are ready to start.
        held: Allocations of all tasks.
        workers: Workers that accept tasks, by id.
        counts: Number of allocated tasks by job, step and worker.
        urgent_headroom: Number of accelerators to keep free for groups of
            priority 0 that may arrive next, by service.
    """
    state = _PlanningState(workers, held, counts)
    headroom_reserved = False
    for entry in sorted(waiting, key=_get_sort_key):
        if entry.job.priority > 0 and not headroom_reserved:
            headroom_reserved = True
            _reserve_headroom(state, urgent_headroom)
        _schedule_group(state, entry)
    return Plan(state.starts, state.stops, state.blocked)


def _get_sort_key(entry: WaitingGroup) -> tuple:
    late = entry.slack_ms < 0 and not entry.guaranteed
    return (
        entry.job.priority,
        # Another group would take the capacity that is freed for this one,
        # for which more tasks would then be stopped.
        not entry.preempting,
        not entry.guaranteed,
        late,
        entry.job.accepted_ms if late else entry.slack_ms,
        entry.group,
    )


def _reserve_headroom(
    state: _PlanningState, urgent_headroom: dict[str, int]
) -> None:
    """Reserve whole workers with a number of free accelerators in total.

    The groups that are scheduled afterwards cannot use them. The workers with
    the most free accelerators are taken, as an urgent task may need a whole
    worker.
    """
    free, workers = state.capacity.free, state.capacity.workers
    missing = dict(urgent_headroom)
    for worker_id in sorted(
        free, key=lambda name: (-free[name].accelerators, name)
    ):
        service = workers[worker_id].service
        if missing.get(service, 0) > 0 and free[worker_id].accelerators > 0:
            missing[service] -= free[worker_id].accelerators
            free[worker_id] = taskjobs.NO_RESOURCES


def _schedule_group(state: _PlanningState, entry: WaitingGroup) -> None:
    step = entry.job.steps[entry.group.step]
    allow_remote = _is_remote_preferable(state, entry)
    placed = _find_free(state, entry, allow_remote)
    if placed:
        _start_tasks(state, entry, placed)
    if len(placed) == len(entry.indexes):
        return
    state.blocked.append(entry.group)
    remaining = entry._replace(indexes=entry.indexes[len(placed) :])
    if step.tail_target_ms:
        _preempt_best_effort(state, remaining)
    if entry.job.priority == 0:
        _preempt_and_reserve(state, remaining, allow_remote)
    elif step.gang and state.gang_reservations < _MAX_GANG_RESERVATIONS:
        state.gang_reservations += 1
        _reserve(
            state, remaining, _find_soon_free(state, remaining, allow_remote)
        )


def _is_remote_preferable(state: _PlanningState, entry: WaitingGroup) -> bool:
    """Return whether slow placement is preferable to waiting.

    This holds if the group already misses its objective, if no rack could hold
    the gang even when empty, or if no eligible worker is on the rack of its
    data.
    """
    step = entry.job.steps[entry.group.step]
    if entry.slack_ms < 0:
        return True
    if step.gang and step.same_rack:
        slots = freecapacity.count_slots_of_largest_rack(
            state.capacity, entry.job, step
        )
        if slots < len(entry.indexes):
            return True
    if not step.data_rack:
        return False
    return not any(
        step.data_rack == worker.rack
        and freecapacity.is_eligible(worker, entry.job, step)
        for worker in state.capacity.workers.values()
    )


def _find_free(
    state: _PlanningState, entry: WaitingGroup, allow_remote: bool
) -> list[str]:
    """Return a worker with free capacity for each task that fits."""
    step, tasks = entry.job.steps[entry.group.step], len(entry.indexes)
    shape = _Shape(
        entry.job.service,
        step.label,
        step.data_rack,
        step.need,
        step.gang,
        step.same_rack,
        allow_remote,
        entry.allowed_workers,
        step.fills,
        step.tail_target_ms > 0,
    )
    # Tasks outside a gang are placed one by one, so a search for them only
    # fails if not even one fits.
    required_count = tasks if step.gang else 1
    if required_count >= state.unplaceable.get(shape, required_count + 1):
        return []
    found = _search_workers(
        state,
        _make_query(
            entry,
            freecapacity.list_fitting(state.capacity, entry.job, step),
            state.capacity.free.__getitem__,
        ),
        allow_remote,
    )
    if not found and not step.max_per_worker:
        state.unplaceable[shape] = required_count
    return found


def _find_soon_free(
    state: _PlanningState, entry: WaitingGroup, allow_remote: bool
) -> list[str]:
    """Return a worker for each task that fits into free and released capacity.

    Released capacity is what stopping tasks are about to release.
    """
    capacity, step = state.capacity, entry.job.steps[entry.group.step]
    candidates = {
        worker.id: worker
        for worker in freecapacity.list_fitting(capacity, entry.job, step)
    }
    for worker_id in state.victims.releasing:
        worker = capacity.workers.get(worker_id)
        if worker and freecapacity.is_eligible(worker, entry.job, step):
            candidates[worker_id] = worker
    return _search_workers(
        state,
        _make_query(entry, list(candidates.values()), state.get_soon_free),
        allow_remote,
    )


def _make_query(
    entry: WaitingGroup,
    candidates: list[freecapacity.CandidateWorker],
    get_available: Callable[[str], taskjobs.Resources],
    allow_remote: bool = False,
) -> freecapacity.Query:
    return freecapacity.Query(
        entry.job,
        entry.group.step,
        len(entry.indexes),
        candidates,
        get_available,
        allow_remote,
        entry.allowed_workers,
    )


def _search_workers(
    state: _PlanningState, query: freecapacity.Query, allow_remote: bool
) -> list[str]:
    """Return a worker for each task, off the rack of the data if necessary."""
    found = freecapacity.find_workers(state.capacity, query)
    if len(found) < query.tasks and allow_remote:
        remote = freecapacity.find_workers(
            state.capacity, query._replace(allow_remote=True)
        )
        found = max(found, remote, key=len)
    return found


def _start_tasks(
    state: _PlanningState, entry: WaitingGroup, placed: list[str]
) -> None:
    indexes = entry.indexes[: len(placed)]
    state.starts.append(
        Start(entry.group, tuple(zip(indexes, placed, strict=True)))
    )
    _allocate(state, entry, placed)


def _allocate(
    state: _PlanningState, entry: WaitingGroup, placed: list[str]
) -> None:
    step = entry.job.steps[entry.group.step]
    freecapacity.record_placed(state.capacity, step, placed)
    for worker_id in placed:
        freecapacity.allocate(
            state.capacity,
            worker_id,
            step.need,
            (entry.job.id, entry.group.step),
        )


def _reserve(
    state: _PlanningState, entry: WaitingGroup, placed: list[str]
) -> None:
    """Reserve capacity that is free or being released for a blocked group.

    The groups that are scheduled afterwards cannot use it.
    """
    _allocate(state, entry, placed)


def _preempt_and_reserve(
    state: _PlanningState, entry: WaitingGroup, allow_remote: bool
) -> None:
    """Reserve capacity for a group, preempting other tasks if necessary."""
    placed = _find_soon_free(state, entry, allow_remote)
    if len(placed) < len(entry.indexes):
        _choose_victims(state, entry, allow_remote)
        placed = _find_soon_free(state, entry, allow_remote)
    _reserve(state, entry, placed)


def _choose_victims(
    state: _PlanningState, entry: WaitingGroup, allow_remote: bool
) -> None:
    """Choose the tasks to stop for a group.

    No task is stopped for a gang that would not fit as a whole even then.
    """
    step = entry.job.steps[entry.group.step]
    preemptor = victimcosts.Preemptor(entry.job.priority, entry.guaranteed)

    def get_available(worker_id: str) -> taskjobs.Resources:
        return taskjobs.add(
            state.get_soon_free(worker_id),
            state.victims.get_preemptible(worker_id, preemptor),
        )

    def get_cost(worker_id: str) -> float:
        soon_free = state.get_soon_free(worker_id)
        return state.victims.get_cost(
            worker_id, soon_free, step.need, preemptor
        )

    slots = freecapacity.list_slots(
        state.capacity,
        _make_query(
            entry,
            freecapacity.list_eligible(state.capacity, entry.job, step),
            get_available,
            allow_remote,
        ),
        get_cost,
    )
    if step.gang and sum(slots.values()) < len(entry.indexes):
        return
    stops = victimsearch.choose_victims(
        state.victims,
        victimsearch.Request(
            step.need, len(entry.indexes), preemptor, step.data_rack
        ),
        {
            name: victimsearch.Candidate(
                slots[name],
                state.get_soon_free(name),
                state.capacity.workers[name].rack,
                state.capacity.workers[name].suspect,
                state.capacity.workers[name].slow,
            )
            for name in slots
        },
    )
    state.stops += [Stop(held.task, entry.group) for held in stops]


def _preempt_best_effort(state: _PlanningState, entry: WaitingGroup) -> None:
    """Stop best-effort tasks on workers where tasks of the group then fit.

    Workers with the fewest best-effort tasks come first.
    """
    step, missing_count = entry.job.steps[entry.group.step], len(entry.indexes)
    fills = {
        worker.id: [
            held
            for held in state.victims.by_worker.get(worker.id, ())
            if held.fills
        ]
        for worker in freecapacity.list_eligible(
            state.capacity, entry.job, step
        )
    }
    for worker_id in sorted(fills, key=lambda name: (len(fills[name]), name)):
        available = state.get_soon_free(worker_id)
        for held in fills[worker_id]:
            if not held.stopping and held.task not in state.victims.chosen:
                available = taskjobs.add(available, held.need)
        fitting = taskjobs.count_fitting(available, step.need)
        if not fills[worker_id] or not fitting:
            continue
        for held in fills[worker_id]:
            stops = state.victims.mark_for_stop(held)
            state.stops += [Stop(stop.task, entry.group) for stop in stops]
        missing_count -= min(fitting, step.max_per_worker or fitting)
        if missing_count <= 0:
            return
