"""The recent demand of priority 0, for which some capacity stays free.

Urgent jobs arrive in bursts. What they asked for a short while ago shows how
much the next of them need at once, so that they start without preemption.
"""

import collections

from cyclamenshelf_core import recentpeak

# How long the highest demand counts as the demand to be ready for.
_WINDOW_MS = 10_000


class UrgentDemand:
    """Accelerators that priority 0 uses and used to ask for, by service.

    Attributes:
        in_use: Accelerators allocated to its runs.
        peaks: Accelerators for which it asked at once, running or waiting.
    """

    def __init__(self) -> None:
        self.in_use: collections.Counter[str] = collections.Counter()
        self.peaks: dict[str, recentpeak.RecentPeak] = {}


def record_demand(
    demand: UrgentDemand, waiting: dict[str, int], now_ms: int
) -> None:
    """Record the demand at `now_ms`.

    Args:
        demand: The demand; changed.
        waiting: Accelerators for which groups of priority 0 wait, by service.
        now_ms: Monotonic time.
    """
    for service in demand.in_use.keys() | waiting.keys():
        peak = demand.peaks.setdefault(
            service, recentpeak.RecentPeak(_WINDOW_MS)
        )
        total = demand.in_use[service] + waiting.get(service, 0)
        recentpeak.record_value(peak, now_ms, total)


def compute_headroom(demand: UrgentDemand, now_ms: int) -> dict[str, int]:
    """Return how many accelerators to keep free for priority 0, by service.

    As many are kept as it recently asked for at once, less those that it uses.
    Those for which groups wait now are kept in addition to what these groups
    are given, as more may arrive with them.
    """
    return {
        service: max(
            0, recentpeak.get_peak(peak, now_ms) - demand.in_use[service]
        )
        for service, peak in demand.peaks.items()
    }
