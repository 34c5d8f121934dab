"""Planning of the tasks to start, and of those to preempt for them.

Groups are scheduled by priority. Within a priority, groups for which tasks are
being stopped come first, then those that a guarantee covers, then the others
by what a delay costs their callers; see `overload.grouporder`. Only a group of
priority 0 may preempt tasks of lower priority. Capacity that is being freed for
a group is reserved for it, and a few other gangs reserve capacity too. Tasks
that may have crashed workers run alone, and are scheduled after the groups of
priority 0. Some capacity stays free for groups of priority 0 that may arrive
next; see `headroom`.
"""

from collections.abc import Sequence
from typing import NamedTuple

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import headroom
from cyclamenshelf_core import planisolation
from cyclamenshelf_core import planpreemption
from cyclamenshelf_core import plansearch
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts
from cyclamenshelf_core.overload import callercost
from cyclamenshelf_core.overload import grouporder

# How many blocked gangs below priority 0 get capacity reserved per decision.
_MAX_GANG_RESERVATIONS = 3


class Plan(NamedTuple):
    """The result of a decision.

    Attributes:
        starts: Tasks to start.
        stops: Tasks to stop.
        blocked: Groups of which some tasks could not be placed.
        waits: Those of them that wait although they could stop tasks.
    """

    starts: list[planstate.Start]
    stops: list[planstate.Stop]
    blocked: list[taskjobs.Group]
    waits: Sequence[planstate.Wait] = ()


def plan(
    waiting: list[planstate.WaitingGroup],
    held: list[victimcosts.Allocation],
    workers: dict[str, freecapacity.CandidateWorker],
    counts: dict[tuple[str, int, str], int],
    urgent_headroom: dict[str, int],
    isolated_workers: int = 0,
    idle_services: frozenset[str] | None = None,
    running: dict[taskjobs.Group, callercost.Demand] | None = None,
    outlook: planstate.Outlook = planstate.NO_OUTLOOK,
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
        idle_services: See `planstate.PlanningState`.
        running: What the callers of running groups expect, relative to now.
        outlook: What is expected of run times.
    """
    state = planstate.PlanningState(
        workers,
        held,
        counts,
        isolated_workers,
        idle_services,
        running,
        outlook,
    )
    kept = headroom.Headroom(urgent_headroom)
    for entry in grouporder.sort_groups(waiting):
        if headroom.may_use(state, entry):
            headroom.release(kept, state)
        else:
            headroom.reserve(kept, state)
        if entry.isolated:
            planisolation.schedule_isolated_group(state, entry)
        else:
            _schedule_group(state, entry)
    return Plan(state.starts, state.stops, state.blocked, state.waits)


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
