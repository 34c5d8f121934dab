"""Preview of what the scheduling policy would do with one more job."""

import enum
from typing import NamedTuple

from cyclamenshelf_core import decisions
from cyclamenshelf_core import model
from cyclamenshelf_core import policy


class Outcome(enum.StrEnum):
    """What the next decision would do with the job."""

    START = "start"
    # It starts once jobs that are stopped for it have ended.
    PREEMPT = "preempt"
    WAIT = "wait"


class JobPreview(NamedTuple):
    """What the next decision would do with a job.

    Attributes:
        placement: Workers on which it would start; empty unless it would.
        preempted: Running jobs that would be stopped only if it is submitted.
        reason: Code of the reason why it would not start at once.
        queued: Number of jobs of its account that wait already.
    """

    outcome: Outcome
    placement: model.Placement
    preempted: tuple[str, ...]
    reason: str
    queued: int


def preview_job(snapshot: decisions.Snapshot, job: model.Job) -> JobPreview:
    """Return what a decision would do with a job; nothing is changed.

    The decision is made with the job and without it, so that jobs that would be
    stopped anyway are not attributed to it.

    Args:
        snapshot: The inputs of the next decision.
        job: A queued job that is not among them.
    """
    known = _list_preempted(policy.decide(snapshot))
    made = policy.decide(snapshot._replace(queued=[*snapshot.queued, job]))
    preempted = tuple(sorted(_list_preempted(made) - known))
    queued = sum(other.account == job.account for other in snapshot.queued)
    for decision in made:
        if decision.job_id != job.id:
            continue
        if isinstance(decision, decisions.Start):
            return JobPreview(
                Outcome.START, decision.placement, preempted, "", queued
            )
        if isinstance(decision, decisions.Blocked):
            outcome = Outcome.PREEMPT if preempted else Outcome.WAIT
            return JobPreview(outcome, (), preempted, decision.reason, queued)
    return JobPreview(Outcome.WAIT, (), preempted, "not_considered", queued)


def _list_preempted(made: list[decisions.Decision]) -> set[str]:
    return {
        decision.job_id
        for decision in made
        if isinstance(decision, decisions.Preempt)
    }
