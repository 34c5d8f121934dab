"""Learned run times of tasks, in place of what their callers declare.

A declared run time is a rough hint. Of each kind of step (a queue and an
image) it is learned how the observed run times depend on the declared ones: a
line is fitted to their logarithms. Where declarations tell little, as with
callers that guess, the estimate is close to the usual run time of the kind.
Once tasks of a step have made progress, these tell its run time.
"""

import math
from typing import NamedTuple

# Weight of the assumption that declarations are right: of their mean, in
# observed steps, and of their spread, as a sum of squared logarithms.
_PRIOR_STEPS = 2
_PRIOR_SPREAD = 1.0
# Kinds that are kept; callers choose the names of images.
_MAX_KINDS = 1_000
# Beyond this many steps the old ones lose weight.
_MAX_STEPS = 100
# A task that takes much longer than usual tells little of others.
_MAX_LOG_ERROR = math.log(4)


class Kind(NamedTuple):
    """Steps whose declarations are comparable."""

    queue: str
    image: str


class Fit(NamedTuple):
    """Weighted sums over the logarithms of declared and observed run times."""

    steps: float = 0.0
    declared: float = 0.0
    observed: float = 0.0
    declared_squared: float = 0.0
    product: float = 0.0


class _Observed(NamedTuple):
    """Mean of the logarithms of a step's run times."""

    samples: int = 0
    mean: float = 0.0


class RunTimes:
    """What is known of run times on a typical worker.

    Attributes:
        by_kind: The fit of each kind of step.
        by_job: What was observed of the steps of unfinished jobs.
    """

    def __init__(self) -> None:
        self.by_kind: dict[Kind, Fit] = {}
        self.by_job: dict[str, dict[int, _Observed]] = {}


def record_run(
    times: RunTimes,
    kind: Kind,
    job_id: str,
    step: int,
    declared_ms: int,
    run_ms: float,
) -> None:
    """Record the run time of a task, converted to a typical worker."""
    log_ms = math.log(max(1.0, run_ms))
    steps = times.by_job.setdefault(job_id, {})
    known = steps.get(step, _Observed())
    if known.samples == 0:
        _extend_fit(times, kind, declared_ms, log_ms)
    else:
        error = log_ms - known.mean
        log_ms = known.mean + max(-_MAX_LOG_ERROR, min(_MAX_LOG_ERROR, error))
    samples = known.samples + 1
    mean = known.mean + (log_ms - known.mean) / samples
    steps[step] = _Observed(samples, mean)


def _extend_fit(
    times: RunTimes, kind: Kind, declared_ms: int, log_ms: float
) -> None:
    fit = times.by_kind.get(kind, Fit())
    if fit.steps >= _MAX_STEPS:
        fit = Fit(*(value / 2 for value in fit))
    declared = math.log(max(1, declared_ms))
    # The kind that was recorded last stays longest.
    times.by_kind.pop(kind, None)
    if len(times.by_kind) >= _MAX_KINDS:
        del times.by_kind[next(iter(times.by_kind))]
    times.by_kind[kind] = Fit(
        fit.steps + 1,
        fit.declared + declared,
        fit.observed + log_ms,
        fit.declared_squared + declared * declared,
        fit.product + declared * log_ms,
    )


def estimate_run_ms(
    times: RunTimes, kind: Kind, job_id: str, step: int, declared_ms: int
) -> int:
    """Return the expected run time of a step's tasks on a typical worker."""
    observed = times.by_job.get(job_id, {}).get(step)
    if observed is not None:
        return int(math.exp(observed.mean))
    fit = times.by_kind.get(kind)
    if fit is None or declared_ms <= 0:
        return declared_ms
    declared = math.log(declared_ms)
    mean_declared = fit.declared / fit.steps
    mean_observed = fit.observed / fit.steps
    spread = fit.declared_squared - fit.steps * mean_declared**2
    covariance = fit.product - fit.steps * mean_declared * mean_observed
    slope = (covariance + _PRIOR_SPREAD) / (max(0.0, spread) + _PRIOR_SPREAD)
    slope = max(0.0, min(1.0, slope))
    weight = fit.steps / (fit.steps + _PRIOR_STEPS)
    usual = mean_declared + weight * (mean_observed - mean_declared)
    return int(math.exp(usual + slope * (declared - mean_declared)))


def forget_job(times: RunTimes, job_id: str) -> None:
    """Drop what was observed of a job that has ended."""
    times.by_job.pop(job_id, None)
