"""Decision whether to refuse a job that cannot end while it is of use.

A job that is accepted is carried through, however late. Under overload that
costs all callers: capacity goes to results that nobody can use any more, and
the caller waits for a result instead of looking elsewhere. A job is refused at
once where what is ahead of it takes so long that its result would come too
late, with the time at which capacity for it is expected.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.overload import backlog as backlogs
from cyclamenshelf_core.overload import callercost

# A backlog that is older, or from a clock that differs by more, is not used.
MAX_AGE_MS = 2_500
# A caller that is refused is asked to wait at least this long.
MIN_RETRY_MS = 1_000
# Estimates of run times are up to 90% too long, so that about half of an
# expected wait is certain.
_CERTAIN_SHARE = 0.5
# The same for accounts that wait for less than their share: they are refused at
# twice the backlog.
_FAVOURED_CERTAIN_SHARE = 0.25


class Refusal(NamedTuple):
    """A job that was refused and may be submitted again.

    Attributes:
        return_ms: Unix time from which it is.
        work: The work of the job.
    """

    return_ms: int
    service: str
    priority: int
    work: backlogs.Work


class Verdict(NamedTuple):
    """Whether a job is refused, and what decided it.

    Attributes:
        refused: Whether it is.
        wait_ms: Expected time until capacity for the job comes free.
        certain_ms: The part of it that the decision relies on.
        spare_ms: How long the job may wait and still be of use.
        favoured: Whether its account waits for less than its share.
        retry_after_ms: When the caller is to submit the job again.
    """

    refused: bool
    wait_ms: int = 0
    certain_ms: int = 0
    spare_ms: int = 0
    favoured: bool = False
    retry_after_ms: int = 0


_ACCEPTED = Verdict(refused=False)


def decide(
    backlog: backlogs.Backlog | None,
    job: taskjobs.TaskJob,
    guaranteed: int,
    returning: Iterable[Refusal],
    spread: float,
    now_ms: int,
) -> Verdict:
    """Return whether a job is refused as it would end too late.

    Args:
        backlog: The work ahead; None if it is not known.
        job: The job, due at its acceptance.
        guaranteed: Accelerators that are guaranteed to its account.
        returning: Jobs that were refused and will be submitted again.
        spread: Random number from 0 to 1, by which the return is delayed, so
            that callers refused at the same time do not return together.
        now_ms: Unix time.
    """
    if backlog is None or abs(now_ms - backlog.wall_ms) > MAX_AGE_MS:
        return _ACCEPTED
    service = backlog.services.get(job.service)
    if (
        service is None
        or _is_exempt(service, job, guaranteed)
        or _may_start_at_once(service, job)
        or not _has_capacity(service, job)
    ):
        return _ACCEPTED
    demand = callercost.make_demand(job, taskjobs.Group(job.id, 0, 0))
    favoured = _is_within_share(service, job)
    share = _FAVOURED_CERTAIN_SHARE if favoured else _CERTAIN_SHARE
    elapsed_ms = max(0, now_ms - backlog.wall_ms)

    def estimate_wait_ms(is_late: bool) -> int:
        ahead = _sum_ahead(service, demand, is_late)
        return max(0, _compute_duration_ms(service, job, ahead) - elapsed_ms)

    def find_urgency(wait_ms: int) -> callercost.Urgency:
        return callercost.get_urgency(demand, now_ms + int(wait_ms * share))

    if find_urgency(estimate_wait_ms(False)) is callercost.Urgency.IN_TIME:
        return _ACCEPTED
    wait_ms = estimate_wait_ms(True)
    earlier = _sum_returning(returning, job, now_ms)
    retry_ms = (
        wait_ms
        + _compute_duration_ms(service, job, earlier)
        + int(spread * _compute_duration_ms(service, job, compute_work(job)))
    )
    return Verdict(
        find_urgency(wait_ms) is callercost.Urgency.EXPIRED,
        wait_ms,
        int(wait_ms * share),
        demand.last_use_ms - demand.remaining_ms - now_ms,
        favoured,
        max(MIN_RETRY_MS, retry_ms),
    )


def compute_work(job: taskjobs.TaskJob) -> backlogs.Work:
    """Return the work of one occurrence of a job."""
    total = backlogs.NO_WORK
    for step in job.steps:
        work = backlogs.multiply(step.need, step.tasks * step.expected_run_ms)
        total = backlogs.add(total, work)
    return total


def _is_exempt(
    service: backlogs.ServiceBacklog, job: taskjobs.TaskJob, guaranteed: int
) -> bool:
    """Return whether a job is accepted whatever the backlog.

    Timed jobs are due later, and tasks that last have no end to be too late
    for. What is guaranteed to an account can be used at any time.
    """
    if job.repetitions or any(step.long_running for step in job.steps):
        return True
    if job.priority > 0:
        return False
    asked = sum(step.tasks * step.need.accelerators for step in job.steps)
    used = service.guarantee_use.get(job.account, 0)
    return asked <= guaranteed - used


def _may_start_at_once(
    service: backlogs.ServiceBacklog, job: taskjobs.TaskJob
) -> bool:
    """Return whether each step may fit into what others leave free.

    Small jobs start there while larger ones ahead of them wait.
    """
    return all(
        taskjobs.count_fitting(service.largest_free, step.need) > 0
        and taskjobs.count_fitting(service.free, step.need) >= step.tasks
        for step in job.steps
    )


def _is_within_share(
    service: backlogs.ServiceBacklog, job: taskjobs.TaskJob
) -> bool:
    """Return whether an account waits for less than others of its priority."""
    by_account = {job.account: 0.0} | {
        entry.account: entry.core_ms
        for entry in service.accounts
        if entry.priority == job.priority
    }
    mean_core_ms = sum(by_account.values()) / len(by_account)
    return by_account[job.account] < mean_core_ms


def _compute_duration_ms(
    service: backlogs.ServiceBacklog,
    job: taskjobs.TaskJob,
    work: backlogs.Work,
) -> int:
    """Return how long work occupies the resources that a job needs."""
    capacity = _get_capacity(service, job.priority)
    return backlogs.compute_duration_ms(work, capacity, _list_needed(job))


def _list_needed(job: taskjobs.TaskJob) -> tuple[bool, ...]:
    """Return for each resource whether a job needs it at all."""
    needs = [step.need for step in job.steps]
    return tuple(any(amounts) for amounts in zip(*needs, strict=True))


def _has_capacity(
    service: backlogs.ServiceBacklog, job: taskjobs.TaskJob
) -> bool:
    """Return whether the service has some of all that a job needs."""
    capacity = _get_capacity(service, job.priority)
    return all(
        amount > 0
        for amount, needed in zip(capacity, _list_needed(job), strict=True)
        if needed
    )


def _get_capacity(
    service: backlogs.ServiceBacklog, priority: int
) -> taskjobs.Resources:
    """Return the capacity without what long-running tasks keep from a job."""
    capacity = service.capacity
    for holder, held in service.held.items():
        if not _is_preemptible(holder, priority):
            capacity = taskjobs.subtract(capacity, held)
    return capacity


def _sum_ahead(
    service: backlogs.ServiceBacklog, demand: callercost.Demand, is_late: bool
) -> backlogs.Work:
    """Return the work that is done before a job starts.

    Args:
        service: The work.
        demand: What the caller of the job expects.
        is_late: Whether the job has become late while it waited.
    """
    total = backlogs.NO_WORK
    for priority, work in service.running.items():
        if not _is_preemptible(priority, demand.priority):
            total = backlogs.add(total, work)
    position = (
        (callercost.Urgency.LATE, demand.work_core_ms)
        if is_late
        else (
            callercost.Urgency.IN_TIME,
            demand.objective_ms - demand.remaining_ms,
        )
    )
    for entry in service.queued:
        ahead = (entry.urgency, entry.last_key) <= position
        if entry.priority < demand.priority or (
            entry.priority == demand.priority and ahead
        ):
            total = backlogs.add(total, entry.work)
    return total


def _is_preemptible(priority: int, preemptor: int) -> bool:
    return preemptor == 0 and priority > 0


def _sum_returning(
    returning: Iterable[Refusal], job: taskjobs.TaskJob, now_ms: int
) -> backlogs.Work:
    """Return the refused work that is submitted again ahead of a job."""
    total = backlogs.NO_WORK
    for refusal in returning:
        if (
            refusal.service == job.service
            and refusal.priority <= job.priority
            and refusal.return_ms > now_ms
        ):
            total = backlogs.add(total, refusal.work)
    return total
