"""The highest recent value of a quantity."""

import collections


class RecentPeak:
    """Values of the last `window_ms` that no later value has reached.

    Attributes:
        values: Pairs of time and value, oldest first, with falling values.
    """

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        self.values: collections.deque[tuple[int, int]] = collections.deque()


def record_value(peak: RecentPeak, now_ms: int, value: int) -> None:
    """Record the value at `now_ms`."""
    while peak.values and peak.values[-1][1] <= value:
        peak.values.pop()
    peak.values.append((now_ms, value))
    while peak.values[0][0] <= now_ms - peak.window_ms:
        peak.values.popleft()


def get_peak(peak: RecentPeak, now_ms: int) -> int:
    """Return the highest value recorded in the window; 0 if there is none."""
    return max(
        (
            value
            for at_ms, value in peak.values
            if at_ms > now_ms - peak.window_ms
        ),
        default=0,
    )
