"""Admission of short requests by the plan's rate, for this host alone."""

from collections.abc import Callable
import threading

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import model

Admit = Callable[[str], bool]
# One second's worth may arrive at once.
_BURST_MS = 1_000


class Bucket:
    """Tokens of one account in thousandths, and when they were counted."""

    def __init__(self, tokens: int, counted_at_ms: int) -> None:
        self.tokens = tokens
        self.counted_at_ms = counted_at_ms


def make_local_admit(
    get_lists: Callable[[], model.Lists], clock: clocks.Clock
) -> Admit:
    """Return a function that takes one request of an account's rate.

    It gives this host the whole rate of the plan; a share between hosts is
    given by another function of the same signature.
    """
    lock = threading.Lock()
    buckets: dict[str, Bucket] = {}

    def admit(account: str) -> bool:
        rate = model.get_plan(get_lists(), account).request_rate_per_s
        full = max(1_000, rate * _BURST_MS)
        now_ms = clock.now_ms()
        with lock:
            bucket = buckets.setdefault(account, Bucket(full, now_ms))
            gained = rate * (now_ms - bucket.counted_at_ms)
            bucket.tokens = min(full, bucket.tokens + gained)
            bucket.counted_at_ms = now_ms
            if bucket.tokens < 1_000:
                return False
            bucket.tokens -= 1_000
            return True

    return admit
