"""Exponentially decayed accelerator usage by account."""

from collections.abc import Iterable
import math

from cyclamenshelf_core import decisions

HALF_LIFE_MS = 600_000


def estimate_usage(
    running: Iterable[decisions.RunningJob], now_ms: int
) -> dict[str, float]:
    """Return the decayed accelerator-seconds that the running jobs used."""
    usage: dict[str, float] = {}
    for entry in running:
        _add_usage(usage, entry, now_ms - entry.since_ms)
    return usage


def advance_usage(
    usage: dict[str, float], held: dict[str, int], elapsed_ms: int
) -> dict[str, float]:
    """Return the usage after an interval with a constant allocation.

    Args:
        usage: Decayed accelerator-seconds by account at the start of the
            interval.
        held: Accelerators allocated to each account during the interval.
        elapsed_ms: Length of the interval.
    """
    decay = math.exp2(-elapsed_ms / HALF_LIFE_MS)
    integral_s = _integrate_decay(elapsed_ms)
    return {
        account: usage.get(account, 0.0) * decay
        + held.get(account, 0) * integral_s
        for account in usage.keys() | held.keys()
    }


def compute_average_accelerators(usage: float) -> float:
    """Return the constant allocation that would lead to this usage."""
    return usage * 1000 * math.log(2) / HALF_LIFE_MS


def _add_usage(
    usage: dict[str, float], entry: decisions.RunningJob, run_ms: int
) -> None:
    accelerators = sum(part.accelerators for part in entry.placement)
    account = entry.job.account
    used = accelerators * _integrate_decay(max(0, run_ms))
    usage[account] = usage.get(account, 0.0) + used


def _integrate_decay(run_ms: int) -> float:
    """Return the decayed seconds of an allocation that began `run_ms` ago."""
    weight_s = HALF_LIFE_MS / math.log(2) / 1000
    return weight_s * (1 - math.exp2(-run_ms / HALF_LIFE_MS))
