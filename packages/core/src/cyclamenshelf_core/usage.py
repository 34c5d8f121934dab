"""Decayed use of accelerators by account."""

from collections.abc import Iterable
import math

from cyclamenshelf_core import decisions

HALF_LIFE_MS = 600_000


def estimate_usage(
    running: Iterable[decisions.Running], now_ms: int
) -> dict[str, float]:
    """Return the accelerator-seconds that the running jobs have used."""
    usage: dict[str, float] = {}
    for entry in running:
        _add(usage, entry, now_ms - entry.since_ms)
    return usage


def advance_usage(
    usage: dict[str, float], held: dict[str, int], elapsed_ms: int
) -> dict[str, float]:
    """Return the usage after a time in which these accelerators were held.

    Args:
        usage: Accelerator-seconds by account at the start of the time.
        held: Accelerators by account during the time.
        elapsed_ms: Length of the time.
    """
    decay = math.exp2(-elapsed_ms / HALF_LIFE_MS)
    integral_s = _integrate(elapsed_ms)
    return {
        account: usage.get(account, 0.0) * decay
        + held.get(account, 0) * integral_s
        for account in usage.keys() | held.keys()
    }


def average_held(usage: float) -> float:
    """Return the accelerators that a steady use would show as this usage."""
    return usage * 1000 * math.log(2) / HALF_LIFE_MS


def _add(
    usage: dict[str, float], entry: decisions.Running, run_ms: int
) -> None:
    accelerators = sum(part.accelerators for part in entry.placement)
    account = entry.job.account
    used = accelerators * _integrate(max(0, run_ms))
    usage[account] = usage.get(account, 0.0) + used


def _integrate(run_ms: int) -> float:
    """Return the decayed seconds of a use that began `run_ms` ago."""
    weight_s = HALF_LIFE_MS / math.log(2) / 1000
    return weight_s * (1 - math.exp2(-run_ms / HALF_LIFE_MS))
