"""Event counts over a sliding time window."""

import collections

_BUCKETS = 10


class SlidingCount:
    """Event count of the last `window_ms`, in buckets of a tenth of the window.

    Attributes:
        buckets: Pairs of bucket number and count, oldest first.
    """

    def __init__(self, window_ms: int) -> None:
        self.bucket_ms = max(1, window_ms // _BUCKETS)
        self.buckets: collections.deque[tuple[int, int]] = collections.deque()


def add_events(count: SlidingCount, now_ms: int, events: int = 1) -> None:
    """Add events at `now_ms`."""
    bucket = now_ms // count.bucket_ms
    if count.buckets and count.buckets[-1][0] >= bucket:
        last, previous_events = count.buckets.pop()
        count.buckets.append((last, previous_events + events))
    else:
        count.buckets.append((bucket, events))
    while count.buckets[0][0] <= bucket - _BUCKETS:
        count.buckets.popleft()


def sum_events(count: SlidingCount, now_ms: int) -> int:
    """Return the number of events in the window that ends at `now_ms`."""
    oldest = now_ms // count.bucket_ms - _BUCKETS
    return sum(events for bucket, events in count.buckets if bucket > oldest)
