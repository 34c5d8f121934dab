"""Service-level objectives of ended jobs, and how fast they burn.

The burn rate of a window is the share of bad jobs over the share that the
objective allows: at 1 the error budget lasts exactly its period.
"""

import collections
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import model

URGENT_START_MS = 4_900
HOUR_MS = 3_600_000
WINDOWS_MS = (HOUR_MS, 6 * HOUR_MS, 72 * HOUR_MS)
BUDGET_PERIOD_MS = 168 * HOUR_MS
_MAX_CAUSES = 5


class EndedJob(NamedTuple):
    """What the report needs of a job that has ended; times are Unix ms."""

    job_id: str
    account: str
    urgency: str
    state: str
    accepted_ms: int
    started_ms: int | None
    ended_ms: int
    deadline_ms: int | None
    reason: str


class Objective(NamedTuple):
    """A promise on a share of jobs.

    Attributes:
        target: Share of jobs that are to be good, under 1.
        judge: Returns whether a job is good, or None if it does not count.
    """

    name: str
    target: float
    judge: Callable[[EndedJob], bool | None]


class WindowBurn(NamedTuple):
    """Jobs of one window and their burn rate."""

    window_ms: int
    total: int
    bad: int
    rate: float


class Cause(NamedTuple):
    """Bad jobs of one account for one reason, in the budget period."""

    account: str
    reason: str
    bad: int


class PlanBurn(NamedTuple):
    """The burn of one objective for the accounts on one plan.

    Attributes:
        budget_left: Share of the error budget of the period that is left;
            negative when more than all of it is spent.
    """

    plan: str
    objective: str
    target: float
    windows: tuple[WindowBurn, ...]
    budget_left: float
    causes: tuple[Cause, ...]


def _judge_deadline(job: EndedJob) -> bool | None:
    if job.deadline_ms is None or job.state == model.JobState.CANCELLED:
        return None
    succeeded = job.state == model.JobState.SUCCEEDED
    return succeeded and job.ended_ms <= job.deadline_ms


def _judge_start(job: EndedJob) -> bool | None:
    if job.urgency != model.Urgency.URGENT or (
        job.started_ms is None and job.state == model.JobState.CANCELLED
    ):
        return None
    if job.started_ms is None:
        return False
    return job.started_ms - job.accepted_ms <= URGENT_START_MS


def _judge_answer(job: EndedJob) -> bool | None:
    if job.state == model.JobState.CANCELLED:
        return None
    return job.state == model.JobState.SUCCEEDED


OBJECTIVES = (
    Objective("completed_by_deadline", 0.99, _judge_deadline),
    Objective("urgent_started", 0.99, _judge_start),
    Objective("answered_whole", 0.999, _judge_answer),
)


def compute_burn(
    jobs: list[EndedJob],
    plan_of: Callable[[str], str],
    now_ms: int,
    objectives: tuple[Objective, ...] = OBJECTIVES,
) -> list[PlanBurn]:
    """Return the burn of each objective for each plan with counted jobs.

    Args:
        jobs: Jobs that ended within the budget period; others are ignored.
        plan_of: Returns the plan of an account.
        now_ms: Unix time of the report.
        objectives: The promises to judge by.
    """
    by_plan: dict[str, list[EndedJob]] = collections.defaultdict(list)
    for job in jobs:
        if now_ms - BUDGET_PERIOD_MS < job.ended_ms <= now_ms:
            by_plan[plan_of(job.account)].append(job)
    return [
        _burn_plan(plan, objective, judged, now_ms)
        for plan, plan_jobs in sorted(by_plan.items())
        for objective in objectives
        if (judged := _judge_jobs(plan_jobs, objective))
    ]


def encode_burn(one: PlanBurn) -> dict[str, Any]:
    """Return a burn as a JSON value."""
    return one._asdict() | {
        "windows": [window._asdict() for window in one.windows],
        "causes": [cause._asdict() for cause in one.causes],
    }


def decode_burn(value: dict[str, Any]) -> PlanBurn:
    """Return the burn of a JSON value that `encode_burn` made."""
    return PlanBurn(
        **value
        | {
            "windows": tuple(
                WindowBurn(**window) for window in value["windows"]
            ),
            "causes": tuple(Cause(**cause) for cause in value["causes"]),
        }
    )


def _judge_jobs(
    jobs: list[EndedJob], objective: Objective
) -> list[tuple[EndedJob, bool]]:
    verdicts = ((job, objective.judge(job)) for job in jobs)
    return [(job, good) for job, good in verdicts if good is not None]


def _burn_plan(
    plan: str,
    objective: Objective,
    judged: list[tuple[EndedJob, bool]],
    now_ms: int,
) -> PlanBurn:
    period = _burn_window(judged, objective.target, BUDGET_PERIOD_MS, now_ms)
    return PlanBurn(
        plan=plan,
        objective=objective.name,
        target=objective.target,
        windows=tuple(
            _burn_window(judged, objective.target, window_ms, now_ms)
            for window_ms in WINDOWS_MS
        ),
        budget_left=1 - period.rate,
        causes=_list_causes(judged),
    )


def _burn_window(
    judged: list[tuple[EndedJob, bool]],
    target: float,
    window_ms: int,
    now_ms: int,
) -> WindowBurn:
    verdicts = [
        good for job, good in judged if job.ended_ms > now_ms - window_ms
    ]
    bad = verdicts.count(False)
    share = bad / len(verdicts) if verdicts else 0.0
    return WindowBurn(window_ms, len(verdicts), bad, share / (1 - target))


def _list_causes(
    judged: list[tuple[EndedJob, bool]],
) -> tuple[Cause, ...]:
    counts = collections.Counter(
        (job.account, job.reason or f"{job.state}, late")
        for job, good in judged
        if not good
    )
    ranked = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return tuple(
        Cause(account, reason, bad)
        for (account, reason), bad in ranked[:_MAX_CAUSES]
    )
