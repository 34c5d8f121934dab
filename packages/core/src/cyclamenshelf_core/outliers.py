"""Detection of servers that fail far more often than the rest of a service."""

from collections.abc import Mapping

WINDOW_MS = 30_000
BASE_EJECTION_MS = 30_000
MAX_EJECTION_MS = 300_000
_MIN_REQUESTS = 10
_MIN_FAILED_FRACTION = 0.3
_MIN_RATIO_TO_OTHERS = 3


def is_outlier(
    failures: int, requests: int, other_failures: int, other_requests: int
) -> bool:
    """Return whether a server fails far more often than the rest combined.

    If all servers of a service fail, none is an outlier: ejecting one would
    only move its load to servers that fail as often.
    """
    if requests < _MIN_REQUESTS or other_requests == 0:
        return False
    fraction = failures / requests
    other_fraction = other_failures / other_requests
    return (
        fraction >= _MIN_FAILED_FRACTION
        and fraction >= _MIN_RATIO_TO_OTHERS * other_fraction
    )


def compute_ejection_duration(ejections: int) -> int:
    """Return the duration of the next ejection, in milliseconds.

    Args:
        ejections: Number of earlier ejections of the server.
    """
    return min(MAX_EJECTION_MS, BASE_EJECTION_MS * (ejections + 1))


def select_ejected(
    until_ms: Mapping[str, int], open_breakers: int, servers: int, now_ms: int
) -> frozenset[str]:
    """Return the servers to eject, at most half of a service.

    Args:
        until_ms: End of the last ejection, by server id.
        open_breakers: Number of servers whose breaker is open; they count
            towards the half.
        servers: Number of servers of the service that are not leaving.
        now_ms: Current time.
    """
    max_ejected = max(0, servers // 2 - open_breakers)
    current = [id_ for id_, end_ms in until_ms.items() if end_ms > now_ms]
    longest_first = sorted(current, key=lambda id_: (-until_ms[id_], id_))
    return frozenset(longest_first[:max_ejected])
