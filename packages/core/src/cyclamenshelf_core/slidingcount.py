"""Counts over a sliding window of time."""

import collections

_BUCKETS = 10


class SlidingCount:
    """Events of the last `window_ms`, kept in a tenth of the window each.

    Attributes:
        buckets: Pairs of bucket number and count, oldest first.
    """

    def __init__(self, window_ms: int) -> None:
        self.bucket_ms = max(1, window_ms // _BUCKETS)
        self.buckets: collections.deque[tuple[int, int]] = collections.deque()


def add_events(count: SlidingCount, now_ms: int, events: int = 1) -> None:
    """Count events at this time."""
    bucket = now_ms // count.bucket_ms
    if count.buckets and count.buckets[-1][0] >= bucket:
        last, events_before = count.buckets.pop()
        count.buckets.append((last, events_before + events))
    else:
        count.buckets.append((bucket, events))
    while count.buckets[0][0] <= bucket - _BUCKETS:
        count.buckets.popleft()


def sum_events(count: SlidingCount, now_ms: int) -> int:
    """Return the events of the window that ends now."""
    oldest = now_ms // count.bucket_ms - _BUCKETS
    return sum(events for bucket, events in count.buckets if bucket > oldest)
