"""Why the planner did not start a group.

The planner itself is asked: the group is planned alone, once as it is and once
without each of the rules that may keep it from workers with room.
"""

from collections.abc import Callable
import enum
from typing import NamedTuple

from cyclamenshelf_core import feasibility
from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import victimcosts

# Limits the groups that are tried to find the one that reserves the room.
_MAX_BENEFICIARIES = 6


class WaitReason(enum.StrEnum):
    """What keeps a group from starting."""

    # No worker of the fleet can run it.
    IMPOSSIBLE = "impossible"
    # The workers that could run it do not accept tasks.
    UNUSABLE = "unusable"
    ADVICE = "advice"
    HEADROOM = "headroom"
    # The rack of its data, or a single rack for a gang.
    RACK = "rack_preference"
    # It needs empty workers.
    ISOLATION = "isolation"
    ISOLATION_LIMIT = "isolation_limit"
    # Latency-sensitive and best-effort tasks are kept apart.
    INTERFERENCE = "interference"
    # The limit of tasks of the step on one worker.
    SPREAD = "spread"
    # Several of the above, of which none alone.
    COMBINED = "combined"
    # Other groups reserve the room in which it would fit.
    RESERVED = "reserved"
    # Tasks are being stopped for it.
    PREEMPTION = "preemption"
    FULL = "full"
    # It fits now: room was released after the decision.
    STARTABLE = "startable"


class Requirement(enum.StrEnum):
    """What a step asks for that no worker has."""

    SERVICE = "service"
    LABEL = "label"
    SIZE = "size"
    WIDTH = "width"


class Situation(NamedTuple):
    """What the planner knows apart from the groups that wait.

    Attributes:
        workers: Workers that accept tasks, after the starts of the plan.
        held: Allocations of all tasks, after these starts.
        counts: Number of allocated tasks by job, step and worker.
        headroom: Accelerators to keep free for priority 0, by service.
        isolated_workers: Number of workers that run isolated tasks.
        idle_services: See `planstate.PlanningState`.
    """

    workers: dict[str, freecapacity.CandidateWorker]
    held: list[victimcosts.Allocation]
    counts: dict[tuple[str, int, str], int]
    headroom: dict[str, int]
    isolated_workers: int = 0
    idle_services: frozenset[str] | None = None


class Wait(NamedTuple):
    """Why a group waits.

    Attributes:
        requirement: What no worker that accepts tasks has.
        combined: The reasons that hold the group together.
        beneficiary: The group that reserves the room; None if it is not known.
    """

    reason: WaitReason
    requirement: Requirement | None = None
    combined: tuple[WaitReason, ...] = ()
    beneficiary: taskjobs.Group | None = None


# A group and a situation in which one rule does not apply to it.
_Case = tuple[planstate.WaitingGroup, Situation]
_Relaxation = Callable[[planstate.WaitingGroup, Situation], _Case]


def find_missing_requirement(
    fleet: feasibility.Fleet, job: taskjobs.TaskJob, step: taskjobs.Step
) -> Requirement | None:
    """Return why no worker of a fleet can run a step, or None if one can."""
    if feasibility.can_run(fleet, job, step):
        return None
    single = step._replace(gang=False)
    if feasibility.can_run(fleet, job, single):
        return Requirement.WIDTH
    if feasibility.can_run(fleet, job, single._replace(label="")):
        return Requirement.LABEL
    if any(kind.service == job.service for kind in fleet.workers):
        return Requirement.SIZE
    return Requirement.SERVICE


def explain_wait(
    entry: planstate.WaitingGroup,
    situation: Situation,
    earlier: list[planstate.WaitingGroup],
) -> Wait:
    """Return why a plan did not start a group that the fleet can run.

    Args:
        entry: The group, with the tasks that have not started.
        situation: The situation after the plan.
        earlier: Groups that the plan considered before it and did not start
            completely.
    """
    missing = _find_unusable(entry, situation)
    if missing is not None:
        return Wait(WaitReason.UNUSABLE, missing)
    if _starts_alone(entry, situation):
        return _explain_competition(entry, situation, earlier)
    for reason, relax in _RELAXATIONS.items():
        if _starts_alone(*relax(entry, situation)):
            return Wait(reason)
    combined = _find_combination(entry, situation)
    if combined:
        return Wait(WaitReason.COMBINED, combined=combined)
    if entry.isolated:
        return Wait(WaitReason.ISOLATION)
    if entry.preempting:
        return Wait(WaitReason.PREEMPTION)
    return Wait(WaitReason.FULL)


def _find_unusable(
    entry: planstate.WaitingGroup, situation: Situation
) -> Requirement | None:
    usable = feasibility.Fleet(
        feasibility.WorkerKind(worker.service, worker.labels, worker.total)
        for worker in situation.workers.values()
    )
    step = entry.job.steps[entry.group.step]
    return find_missing_requirement(usable, entry.job, step)


def _explain_competition(
    entry: planstate.WaitingGroup,
    situation: Situation,
    earlier: list[planstate.WaitingGroup],
) -> Wait:
    """Return which other group keeps one from starting that would alone."""
    # Other groups than these reserve nothing.
    reserving = [
        other
        for other in earlier
        if other.job.priority == 0
        or other.isolated
        or other.job.steps[other.group.step].gang
    ]
    if not reserving:
        return Wait(WaitReason.STARTABLE)
    for other in reserving[:_MAX_BENEFICIARIES]:
        if not _starts([other, entry], situation):
            return Wait(WaitReason.RESERVED, beneficiary=other.group)
    return Wait(WaitReason.RESERVED)


def _find_combination(
    entry: planstate.WaitingGroup, situation: Situation
) -> tuple[WaitReason, ...]:
    """Return the rules that only together keep a group from starting.

    Empty if it does not start without them either.
    """
    required = list(_RELAXATIONS)
    if not _starts_alone(*_relax_all(entry, situation, required)):
        return ()
    for reason in _RELAXATIONS:
        others = [other for other in required if other is not reason]
        if _starts_alone(*_relax_all(entry, situation, others)):
            required = others
    return tuple(required)


def _starts_alone(entry: planstate.WaitingGroup, situation: Situation) -> bool:
    """Return whether a group starts if no other one waits."""
    # Whether it starts depends on no others of the allocations, and on a large
    # fleet most of the time would be spent on them.
    interfering = [
        allocation
        for allocation in situation.held
        if allocation.fills or allocation.latency_sensitive
    ]
    return _starts([entry], situation._replace(held=interfering))


def _starts(
    waiting: list[planstate.WaitingGroup], situation: Situation
) -> bool:
    """Return whether any task of the last of some waiting groups starts."""
    plan = taskplan.plan(
        waiting,
        situation.held,
        situation.workers,
        situation.counts,
        situation.headroom,
        situation.isolated_workers,
        situation.idle_services,
    )
    entry = waiting[-1]
    started = {
        index
        for start in plan.starts
        if start.group == entry.group
        for index, _ in start.placements
    }
    return not started.isdisjoint(entry.indexes)


def _relax_all(
    entry: planstate.WaitingGroup,
    situation: Situation,
    reasons: list[WaitReason],
) -> _Case:
    for reason in reasons:
        entry, situation = _RELAXATIONS[reason](entry, situation)
    return entry, situation


def _replace_step(
    entry: planstate.WaitingGroup, **values: object
) -> planstate.WaitingGroup:
    """Return a group whose step has other properties."""
    number = entry.group.step
    steps = list(entry.job.steps)
    steps[number] = steps[number]._replace(**values)
    return entry._replace(job=entry.job._replace(steps=tuple(steps)))


def _drop_advice(entry: planstate.WaitingGroup, situation: Situation) -> _Case:
    return entry._replace(allowed_workers=None), situation


def _drop_headroom(
    entry: planstate.WaitingGroup, situation: Situation
) -> _Case:
    return entry, situation._replace(headroom={})


def _drop_rack(entry: planstate.WaitingGroup, situation: Situation) -> _Case:
    return _replace_step(entry, data_rack="", same_rack=False), situation


def _drop_isolation_limit(
    entry: planstate.WaitingGroup, situation: Situation
) -> _Case:
    return entry, situation._replace(isolated_workers=0)


def _drop_isolation(
    entry: planstate.WaitingGroup, situation: Situation
) -> _Case:
    return entry._replace(isolated=False), situation


def _drop_interference(
    entry: planstate.WaitingGroup, situation: Situation
) -> _Case:
    return entry, situation._replace(held=[])


def _drop_spread(entry: planstate.WaitingGroup, situation: Situation) -> _Case:
    return _replace_step(entry, max_per_worker=0), situation


# In the order in which they are tried.
_RELAXATIONS: dict[WaitReason, _Relaxation] = {
    WaitReason.ADVICE: _drop_advice,
    WaitReason.HEADROOM: _drop_headroom,
    WaitReason.RACK: _drop_rack,
    WaitReason.ISOLATION_LIMIT: _drop_isolation_limit,
    WaitReason.ISOLATION: _drop_isolation,
    WaitReason.INTERFERENCE: _drop_interference,
    WaitReason.SPREAD: _drop_spread,
}
