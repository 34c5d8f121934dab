"""Correction of declared run times by what was observed."""

from collections.abc import Iterable

from cyclamenshelf_core import decisions
from cyclamenshelf_core import model

_MAX_SAMPLES = 64
_DECAY_PER_SAMPLE = 0.95


def add_sample(samples: list[float], ratio: float) -> None:
    """Append an observed by declared run time and drop the oldest."""
    samples.append(ratio)
    del samples[:-_MAX_SAMPLES]


def compute_ratio(samples: list[float]) -> float:
    """Return the median of the ratios, recent ones weighing more."""
    if not samples:
        return 1.0
    weighted = sorted(
        (ratio, _DECAY_PER_SAMPLE**age)
        for age, ratio in enumerate(reversed(samples))
    )
    half = sum(weight for _, weight in weighted) / 2
    passed = 0.0
    for ratio, weight in weighted:
        passed += weight
        if passed >= half:
            return ratio
    return weighted[-1][0]


def list_overruns(
    running: Iterable[decisions.Running], now_ms: int
) -> dict[str, list[float]]:
    """Return the ratios of running jobs that are past their declared end."""
    overruns: dict[str, list[float]] = {}
    for entry in running:
        declared_ms = max(1, entry.job.spec.expected_run_ms)
        ratio = (now_ms - entry.since_ms) / declared_ms
        if ratio > 1:
            overruns.setdefault(entry.job.account, []).append(ratio)
    return overruns


def estimate_run_ms(job: model.Job, ratios: dict[str, float]) -> int:
    """Return the corrected run time of a job."""
    return int(job.spec.expected_run_ms * ratios.get(job.account, 1.0))


def estimate_end_ms(
    entry: decisions.Running, ratios: dict[str, float], now_ms: int
) -> int:
    """Return when a running job is expected to end.

    A job past its corrected run time is expected to run on for a quarter of
    the time that it has run.
    """
    elapsed_ms = max(0, now_ms - entry.since_ms)
    run_ms = estimate_run_ms(entry.job, ratios)
    return now_ms + max(run_ms - elapsed_ms, elapsed_ms // 4)
