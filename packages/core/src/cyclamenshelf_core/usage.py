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
    usage: dict[str, float],
    running: Iterable[decisions.Running],
    elapsed_ms: int,
    now_ms: int,
) -> dict[str, float]:
    """Return the usage after a time in which these jobs ran.

    Args:
        usage: Accelerator-seconds by account at the start of the time.
        running: The jobs that run now.
        elapsed_ms: Length of the time.
        now_ms: Unix time.
    """
    decay = math.exp2(-elapsed_ms / HALF_LIFE_MS)
    result = {account: used * decay for account, used in usage.items()}
    for entry in running:
        _add(result, entry, min(elapsed_ms, now_ms - entry.since_ms))
    return result


def _add(
    usage: dict[str, float], entry: decisions.Running, run_ms: int
) -> None:
    """Add the decayed integral of a constant use over the last `run_ms`."""
    accelerators = sum(part.accelerators for part in entry.placement)
    weight_ms = HALF_LIFE_MS / math.log(2)
    used_ms = weight_ms * (1 - math.exp2(-max(0, run_ms) / HALF_LIFE_MS))
    account = entry.job.account
    usage[account] = usage.get(account, 0.0) + accelerators * used_ms / 1000
