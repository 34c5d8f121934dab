"""Correction of declared run times by observed run times."""

from collections.abc import Iterable

from cyclamenshelf_core import decisions
from cyclamenshelf_core import model

_MAX_SAMPLES = 64
_DECAY_PER_SAMPLE = 0.95


def add_sample(samples: list[float], ratio: float) -> None:
    """Append a ratio of observed to declared run time.

    The oldest samples beyond the limit are dropped.
    """
    samples.append(ratio)
    del samples[:-_MAX_SAMPLES]


def compute_ratio(samples: list[float]) -> float:
    """Return the median of the ratios, weighted towards recent ones."""
    if not samples:
        return 1.0
    weighted = sorted(
        (ratio, _DECAY_PER_SAMPLE**age)
        for age, ratio in enumerate(reversed(samples))
    )
    half = sum(weight for _, weight in weighted) / 2
    cumulative = 0.0
    for ratio, weight in weighted:
        cumulative += weight
        if cumulative >= half:
            return ratio
    return weighted[-1][0]


def list_overruns(
    running: Iterable[decisions.RunningJob], now_ms: int
) -> dict[str, list[float]]:
    """Return the ratios, by account, of running jobs that are overdue.

    A job is overdue when it has run for longer than its declared run time.
    """
    overruns: dict[str, list[float]] = {}
    for entry in running:
        declared_ms = max(1, entry.job.spec.expected_run_ms)
        ratio = (now_ms - entry.since_ms) / declared_ms
        if ratio > 1:
            overruns.setdefault(entry.job.account, []).append(ratio)
    return overruns


def estimate_run_ms(job: model.Job, run_time_ratios: dict[str, float]) -> int:
    """Return the expected run time of a job, corrected by its account."""
    return int(job.spec.expected_run_ms * run_time_ratios.get(job.account, 1.0))


def estimate_end_ms(
    entry: decisions.RunningJob, run_time_ratios: dict[str, float], now_ms: int
) -> int:
    """Return when a running job is expected to end.

    A job that exceeds its corrected run time is expected to continue for a
    quarter of the time that it has already run.
    """
    elapsed_ms = max(0, now_ms - entry.since_ms)
    run_ms = estimate_run_ms(entry.job, run_time_ratios)
    return now_ms + max(run_ms - elapsed_ms, elapsed_ms // 4)
