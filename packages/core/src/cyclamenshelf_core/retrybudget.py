"""A budget that limits retries to a fraction of the recent requests."""

from cyclamenshelf_core import slidingcount

MAX_RETRY_FRACTION = 0.1
WINDOW_MS = 10_000
# Retries that are allowed at any traffic; with the fraction alone, a service
# with few requests could never retry.
MIN_RETRIES = 10


class RetryBudget:
    """Requests and retries to one service within the window.

    A request counts once, at its first call; its retries count separately.
    """

    def __init__(self) -> None:
        self.requests = slidingcount.SlidingCount(WINDOW_MS)
        self.retries = slidingcount.SlidingCount(WINDOW_MS)


def record_request(budget: RetryBudget, now_ms: int) -> None:
    """Record the first call of a request."""
    slidingcount.add_events(budget.requests, now_ms)


def record_retry(budget: RetryBudget, now_ms: int) -> None:
    """Record a retry."""
    slidingcount.add_events(budget.retries, now_ms)


def allows_retry(budget: RetryBudget, now_ms: int) -> bool:
    """Return whether the budget allows another retry."""
    requests = slidingcount.sum_events(budget.requests, now_ms)
    retries = slidingcount.sum_events(budget.retries, now_ms)
    return retries < max(MIN_RETRIES, int(requests * MAX_RETRY_FRACTION))
