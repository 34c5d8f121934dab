"""What a delay costs the caller of a job, by priority, deadline and work.

One caller counts for one job, whatever the size of the job.
"""

import enum
from typing import NamedTuple

from cyclamenshelf_core import taskjobs

# A result that comes later than this multiple of the objective is of no use.
_LAST_USE_FACTOR = 3
# Share of the worth of a result that is lost as soon as it is late; the rest
# is lost evenly until the result is of no use.
_MISSED_SHARE = 0.5
# How much the caller of a priority counts compared with the next higher one.
_PRIORITY_RATIO = 0.5
# Accelerators are scarcer than cores: each counts as this many.
_CORES_PER_ACCELERATOR = 8


class Demand(NamedTuple):
    """What the caller of a group still expects.

    All times are Unix times, or all are relative to the time of a decision.

    Attributes:
        priority: Priority of the job.
        objective_ms: Time by which the job has to end to be in time.
        last_use_ms: Time after which its result is of no use to its caller.
        remaining_ms: Expected time from the start of the group to the end of
            the job.
        work_core_ms: Work that remains, in core-milliseconds; an accelerator
            counts as several cores.
    """

    priority: int
    objective_ms: int
    last_use_ms: int
    remaining_ms: int
    work_core_ms: float


class Urgency(enum.IntEnum):
    """How much a caller loses by waiting, those that lose most first."""

    # The job can still end in time.
    IN_TIME = 0
    # It ends late, but is still of use.
    LATE = 1
    # It ends too late to be of use.
    EXPIRED = 2


def make_demand(
    job: taskjobs.TaskJob, group: taskjobs.Group, tasks: int | None = None
) -> Demand:
    """Return what the caller of a group expects, in Unix time.

    Args:
        job: The job.
        group: A step of an occurrence of it whose predecessors are done.
        tasks: Number of the step's tasks that remain; None for all.
    """
    length_ms = compute_objective_length_ms(job)
    due_ms = taskjobs.get_due_ms(job, group.occurrence)
    return Demand(
        job.priority,
        due_ms + length_ms,
        due_ms + _LAST_USE_FACTOR * length_ms,
        estimate_remaining_ms(job, group.step),
        _estimate_remaining_work(job, group.step, tasks),
    )


def make_relative_demand(
    job: taskjobs.TaskJob, group: taskjobs.Group, tasks: int, slack_ms: int
) -> Demand:
    """Return what the caller of a group expects, relative to now.

    Args:
        job: The job.
        group: A step of an occurrence of it whose predecessors are done.
        tasks: Number of the step's tasks that remain.
        slack_ms: How long a start may still be delayed.
    """
    demand = make_demand(job, group, tasks)
    objective_ms = slack_ms + demand.remaining_ms
    late_ms = demand.last_use_ms - demand.objective_ms
    return demand._replace(
        objective_ms=objective_ms, last_use_ms=objective_ms + late_ms
    )


def make_running_demand(
    job: taskjobs.TaskJob, group: taskjobs.Group, elapsed_ms: int, now_ms: int
) -> Demand:
    """Return what the caller of a running group expects, relative to now.

    Args:
        job: The job.
        group: A step of an occurrence of it.
        elapsed_ms: How long its tasks have run.
        now_ms: Unix time.
    """
    demand = make_demand(job, group)
    return demand._replace(
        objective_ms=demand.objective_ms - now_ms,
        last_use_ms=demand.last_use_ms - now_ms,
        remaining_ms=max(0, demand.remaining_ms - elapsed_ms),
    )


def compute_objective_length_ms(job: taskjobs.TaskJob) -> int:
    """Return the time that the objective allows from when a job is due."""
    critical_path_ms = taskjobs.estimate_critical_path_ms(job)
    return int(job.slowdown_factor * critical_path_ms) + job.target_latency_ms


def estimate_remaining_ms(job: taskjobs.TaskJob, step: int) -> int:
    """Return the expected time from the start of a step to a job's end."""
    done_ms = sum(
        job.steps[number].expected_run_ms for number in job.steps[step].after
    )
    return max(0, taskjobs.estimate_critical_path_ms(job) - done_ms)


def count_cores(need: taskjobs.Resources) -> float:
    """Return resources as a number of cores."""
    return need.cpu_millis / 1000 + need.accelerators * _CORES_PER_ACCELERATOR


def compute_weight(priority: int) -> float:
    """Return how much the caller of a job of a priority counts."""
    return _PRIORITY_RATIO**priority


def compute_delay_cost(demand: Demand, start_ms: int) -> float:
    """Return what the caller loses if the group starts at a time.

    Nothing is lost while the job ends in time, and the caller's whole weight
    if it ends too late to be of use.
    """
    end_ms = start_ms + demand.remaining_ms
    if end_ms <= demand.objective_ms:
        return 0.0
    weight = compute_weight(demand.priority)
    if end_ms >= demand.last_use_ms:
        return weight
    lateness = (end_ms - demand.objective_ms) / (
        demand.last_use_ms - demand.objective_ms
    )
    return weight * (_MISSED_SHARE + (1 - _MISSED_SHARE) * lateness)


def get_urgency(demand: Demand, start_ms: int) -> Urgency:
    """Return whether a job ends in time, late or too late from a start."""
    end_ms = start_ms + demand.remaining_ms
    if end_ms <= demand.objective_ms:
        return Urgency.IN_TIME
    return Urgency.LATE if end_ms < demand.last_use_ms else Urgency.EXPIRED


def get_order_key(demand: Demand, now_ms: int) -> tuple[int, float]:
    """Return the sort key of a group among those of its priority.

    Groups that can still be in time come first, those with the least slack
    ahead. Among late ones the least work comes first, so that callers of small
    jobs do not wait behind large ones. Those of no use any more come last, the
    oldest ahead.
    """
    urgency = get_urgency(demand, now_ms)
    if urgency is Urgency.IN_TIME:
        return urgency, demand.objective_ms - demand.remaining_ms - now_ms
    if urgency is Urgency.LATE:
        return urgency, demand.work_core_ms
    return urgency, demand.last_use_ms


def _estimate_remaining_work(
    job: taskjobs.TaskJob, first_step: int, tasks: int | None
) -> float:
    """Return the work of a step and of those after it."""
    work_core_ms = 0.0
    for number, step in enumerate(job.steps[first_step:]):
        count = step.tasks if number or tasks is None else tasks
        work_core_ms += count * step.expected_run_ms * count_cores(step.need)
    return work_core_ms
