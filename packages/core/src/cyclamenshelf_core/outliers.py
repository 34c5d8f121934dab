"""Which servers of a service fail far more often than the others."""

from collections.abc import Mapping

WINDOW_MS = 30_000
EJECTION_MS = 30_000
MAX_EJECTION_MS = 300_000
_MIN_REQUESTS = 10
_MIN_FAILED_FRACTION = 0.3
_TIMES_THE_OTHERS = 3


def is_outlier(
    failures: int, requests: int, other_failures: int, other_requests: int
) -> bool:
    """Return whether a server fails far more often than the others together.

    A service that fails everywhere has no outlier: ejecting a server would
    only move its load to others that fail as often.
    """
    if requests < _MIN_REQUESTS or other_requests == 0:
        return False
    fraction = failures / requests
    others = other_failures / other_requests
    return (
        fraction >= _MIN_FAILED_FRACTION
        and fraction >= _TIMES_THE_OTHERS * others
    )


def compute_ejection(ejections: int) -> int:
    """Return how long the next ejection lasts, in milliseconds."""
    return min(MAX_EJECTION_MS, EJECTION_MS * (ejections + 1))


def select_ejected(
    until_ms: Mapping[str, int], broken: int, servers: int, now_ms: int
) -> frozenset[str]:
    """Return the servers that are out, never more than half of a service.

    Args:
        until_ms: End of the ejection, by server id.
        broken: Servers whose breaker is open; they count towards the half.
        servers: Servers of the service that are not leaving.
        now_ms: Time now.
    """
    room = max(0, servers // 2 - broken)
    current = [id_ for id_, until in until_ms.items() if until > now_ms]
    longest_first = sorted(current, key=lambda id_: (-until_ms[id_], id_))
    return frozenset(longest_first[:room])
