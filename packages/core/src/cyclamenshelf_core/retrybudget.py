"""A budget that keeps retries to a fraction of recent traffic."""

from cyclamenshelf_core import slidingcount

FRACTION = 0.1
WINDOW_MS = 10_000
# A service with little traffic could otherwise never retry at all.
MIN_RETRIES = 10


class RetryBudget:
    """First tries and retries of one service within the window."""

    def __init__(self) -> None:
        self.requests = slidingcount.SlidingCount(WINDOW_MS)
        self.retries = slidingcount.SlidingCount(WINDOW_MS)


def note_request(budget: RetryBudget, now_ms: int) -> None:
    """Count the first try of a request."""
    slidingcount.add_events(budget.requests, now_ms)


def note_retry(budget: RetryBudget, now_ms: int) -> None:
    """Count a retry."""
    slidingcount.add_events(budget.retries, now_ms)


def allows_retry(budget: RetryBudget, now_ms: int) -> bool:
    """Return whether one more retry stays within the budget."""
    requests = slidingcount.sum_events(budget.requests, now_ms)
    retries = slidingcount.sum_events(budget.retries, now_ms)
    return retries < max(MIN_RETRIES, int(requests * FRACTION))
