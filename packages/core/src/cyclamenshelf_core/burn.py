"""Service-level objectives of ended jobs, and the burn rates of their budgets.

The burn rate of a window is the fraction of bad jobs divided by the fraction
that the objective allows. At a rate of 1, the error budget lasts for exactly
its period.
"""

import collections
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import model

MAX_URGENT_START_MS = 4_900
HOUR_MS = 3_600_000
WINDOWS_MS = (HOUR_MS, 6 * HOUR_MS, 72 * HOUR_MS)
BUDGET_PERIOD_MS = 168 * HOUR_MS
_MAX_CAUSES = 5


class EndedJob(NamedTuple):
    """The fields of an ended job that the report needs; times are Unix ms."""

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
    """A service-level objective: the target fraction of good jobs.

    Attributes:
        target: Fraction of jobs that should be good, below 1.
        evaluate: Returns whether a job is good, or None if it does not count.
    """

    name: str
    target: float
    evaluate: Callable[[EndedJob], bool | None]


class WindowBurn(NamedTuple):
    """Job counts of one window and the burn rate."""

    window_ms: int
    total: int
    bad: int
    rate: float


class Cause(NamedTuple):
    """Bad jobs of one account for one reason within the budget period."""

    account: str
    reason: str
    bad: int


class PlanBurn(NamedTuple):
    """Burn rates of one objective for all accounts on one plan.

    Attributes:
        budget_left: Fraction of the error budget of the period that is
            left; negative if the budget is overspent.
    """

    plan: str
    objective: str
    target: float
    windows: tuple[WindowBurn, ...]
    budget_left: float
    causes: tuple[Cause, ...]


def _evaluate_deadline(job: EndedJob) -> bool | None:
    if job.deadline_ms is None or job.state == model.JobState.CANCELLED:
        return None
    succeeded = job.state == model.JobState.SUCCEEDED
    return succeeded and job.ended_ms <= job.deadline_ms


def _evaluate_start(job: EndedJob) -> bool | None:
    if job.urgency != model.Urgency.URGENT or (
        job.started_ms is None and job.state == model.JobState.CANCELLED
    ):
        return None
    if job.started_ms is None:
        return False
    return job.started_ms - job.accepted_ms <= MAX_URGENT_START_MS


def _evaluate_answer(job: EndedJob) -> bool | None:
    if job.state == model.JobState.CANCELLED:
        return None
    return job.state == model.JobState.SUCCEEDED


OBJECTIVES = (
    Objective("completed_by_deadline", 0.99, _evaluate_deadline),
    Objective("urgent_started", 0.99, _evaluate_start),
    Objective("answered_whole", 0.999, _evaluate_answer),
)


def compute_burn(
    jobs: list[EndedJob],
    get_plan: Callable[[str], str],
    now_ms: int,
    objectives: tuple[Objective, ...] = OBJECTIVES,
) -> list[PlanBurn]:
    """Return the burn of each objective for each plan that has counted jobs.

    Args:
        jobs: Ended jobs; those that ended outside the budget period are
            ignored.
        get_plan: Returns the plan of an account.
        now_ms: Unix time of the report.
        objectives: The objectives to evaluate.
    """
    by_plan: dict[str, list[EndedJob]] = collections.defaultdict(list)
    for job in jobs:
        if now_ms - BUDGET_PERIOD_MS < job.ended_ms <= now_ms:
            by_plan[get_plan(job.account)].append(job)
    return [
        _compute_plan_burn(plan, objective, evaluated, now_ms)
        for plan, plan_jobs in sorted(by_plan.items())
        for objective in objectives
        if (evaluated := _evaluate_jobs(plan_jobs, objective))
    ]


def encode_burn(plan_burn: PlanBurn) -> dict[str, Any]:
    """Return the JSON value of a plan's burn."""
    return plan_burn._asdict() | {
        "windows": [window._asdict() for window in plan_burn.windows],
        "causes": [cause._asdict() for cause in plan_burn.causes],
    }


def decode_burn(value: dict[str, Any]) -> PlanBurn:
    """Return the burn that `encode_burn` encoded."""
    return PlanBurn(
        **value
        | {
            "windows": tuple(
                WindowBurn(**window) for window in value["windows"]
            ),
            "causes": tuple(Cause(**cause) for cause in value["causes"]),
        }
    )


def _evaluate_jobs(
    jobs: list[EndedJob], objective: Objective
) -> list[tuple[EndedJob, bool]]:
    results = ((job, objective.evaluate(job)) for job in jobs)
    return [(job, good) for job, good in results if good is not None]


def _compute_plan_burn(
    plan: str,
    objective: Objective,
    evaluated: list[tuple[EndedJob, bool]],
    now_ms: int,
) -> PlanBurn:
    period_burn = _compute_window_burn(
        evaluated, objective.target, BUDGET_PERIOD_MS, now_ms
    )
    return PlanBurn(
        plan=plan,
        objective=objective.name,
        target=objective.target,
        windows=tuple(
            _compute_window_burn(evaluated, objective.target, window_ms, now_ms)
            for window_ms in WINDOWS_MS
        ),
        budget_left=1 - period_burn.rate,
        causes=_list_causes(evaluated),
    )


def _compute_window_burn(
    evaluated: list[tuple[EndedJob, bool]],
    target: float,
    window_ms: int,
    now_ms: int,
) -> WindowBurn:
    results = [
        good for job, good in evaluated if job.ended_ms > now_ms - window_ms
    ]
    bad = results.count(False)
    bad_fraction = bad / len(results) if results else 0.0
    return WindowBurn(window_ms, len(results), bad, bad_fraction / (1 - target))


def _list_causes(
    evaluated: list[tuple[EndedJob, bool]],
) -> tuple[Cause, ...]:
    counts = collections.Counter(
        (job.account, job.reason or f"{job.state}, late")
        for job, good in evaluated
        if not good
    )
    ranked = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return tuple(
        Cause(account, reason, bad)
        for (account, reason), bad in ranked[:_MAX_CAUSES]
    )
