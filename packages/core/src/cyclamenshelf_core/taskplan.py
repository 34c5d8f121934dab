"""Planning of the tasks to start, and of those to preempt for them.

Groups are scheduled by priority. Within a priority, groups for which tasks are
being stopped come first, then those that a guarantee covers, then those with
the least slack until they would miss their objective; other groups that can no
longer meet it come last. Only a group of priority 0 may preempt tasks of lower
priority. Capacity that is being freed for a group is reserved for it, and a
few other gangs reserve capacity too. Tasks that may have crashed workers run
alone, and are scheduled after the groups of priority 0. Some capacity stays
free for groups of priority 0 that may arrive next; of the others, only isolated
tasks and a group of priority 1 that would soon miss its objective may use it.
"""

from typing import NamedTuple

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import planisolation
from cyclamenshelf_core import planpreemption
from cyclamenshelf_core import plansearch
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts

# A group of priority 1 with less slack than this may use the capacity that is
# kept free for priority 0, so that urgent work does not make it late.
_HEADROOM_SLACK_MS = 5_000
# How many blocked gangs below priority 0 get capacity reserved per decision.
_MAX_GANG_RESERVATIONS = 3


class Plan(NamedTuple):
    """The result of a decision.

    Attributes:
        starts: Tasks to start.
        stops: Tasks to stop.
        blocked: Groups of which some tasks could not be placed.
    """

    starts: list[planstate.Start]
    stops: list[planstate.Stop]
    blocked: list[taskjobs.Group]


def plan(
    waiting: list[planstate.WaitingGroup],
    held: list[victimcosts.Allocation],
    workers: dict[str, freecapacity.CandidateWorker],
    counts: dict[tuple[str, int, str], int],
    urgent_headroom: dict[str, int],
    isolated_workers: int = 0,
) -> Plan:
    """Return the tasks to start and to stop.

    Args:
        waiting: Groups with tasks that are ready to start.
        held: Allocations of all tasks.
        workers: Workers that accept tasks, by id.
        counts: Number of allocated tasks by job, step and worker.
        urgent_headroom: Number of accelerators to keep free for groups of
            priority 0 that may arrive next, by service.
        isolated_workers: Number of workers that run isolated tasks; they are
            not among `workers`.
    """
    state = planstate.PlanningState(workers, held, counts, isolated_workers)
    headroom_reserved = False
    for entry in sorted(waiting, key=_get_sort_key):
        if not headroom_reserved and not _may_use_headroom(entry):
            headroom_reserved = True
            _reserve_headroom(state, urgent_headroom)
        if entry.isolated:
            planisolation.schedule_isolated_group(state, entry)
        else:
            _schedule_group(state, entry)
    return Plan(state.starts, state.stops, state.blocked)


def _get_sort_key(entry: planstate.WaitingGroup) -> tuple:
    late = entry.slack_ms < 0 and not entry.guaranteed
    return (
        # An empty worker is rarely left over by other groups.
        0 if entry.isolated else entry.job.priority,
        entry.isolated,
        # Another group would take the capacity that is freed for this one,
        # for which more tasks would then be stopped.
        not entry.preempting,
        not entry.guaranteed,
        late,
        entry.job.accepted_ms if late else entry.slack_ms,
        entry.group,
    )


def _may_use_headroom(entry: planstate.WaitingGroup) -> bool:
    """Return whether a group may use what is kept free for priority 0."""
    if entry.job.priority == 1 and not entry.isolated:
        return 0 <= entry.slack_ms < _HEADROOM_SLACK_MS
    return entry.job.priority == 0 or entry.isolated


def _reserve_headroom(
    state: planstate.PlanningState, urgent_headroom: dict[str, int]
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


def _schedule_group(
    state: planstate.PlanningState, entry: planstate.WaitingGroup
) -> None:
    step = entry.job.steps[entry.group.step]
    allow_remote = plansearch.is_remote_preferable(state, entry)
    placed = plansearch.find_free(state, entry, allow_remote)
    if placed:
        planstate.start_tasks(state, entry, placed)
    if len(placed) == len(entry.indexes):
        return
    state.blocked.append(entry.group)
    remaining = entry._replace(indexes=entry.indexes[len(placed) :])
    if step.tail_target_ms:
        planpreemption.preempt_best_effort(state, remaining)
    if entry.job.priority == 0:
        planpreemption.preempt_and_reserve(state, remaining, allow_remote)
    elif step.gang and state.gang_reservations < _MAX_GANG_RESERVATIONS:
        state.gang_reservations += 1
        planstate.reserve(
            state,
            remaining,
            plansearch.find_soon_free(state, remaining, allow_remote),
        )
