"""Tests of the highest recent value."""

import hypothesis
from hypothesis import strategies as st

from cyclamenshelf_core import recentpeak


@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 400), st.integers(0, 100))),
    st.integers(0, 400),
)
def test_peak_is_the_maximum_of_the_window(steps, wait_ms):
    """The peak equals a search through all values of the window."""
    peak, now_ms, recorded = recentpeak.RecentPeak(1_000), 0, []
    for step_ms, value in steps:
        now_ms += step_ms
        recentpeak.record_value(peak, now_ms, value)
        recorded.append((now_ms, value))
    now_ms += wait_ms
    expected = [v for at_ms, v in recorded if at_ms > now_ms - 1_000]
    assert recentpeak.get_peak(peak, now_ms) == max(expected, default=0)


def test_values_that_cannot_become_the_peak_are_dropped():
    # The owner records a value with every decision.
    peak = recentpeak.RecentPeak(1_000)
    for now_ms in range(500):
        recentpeak.record_value(peak, now_ms, now_ms % 7)
    assert len(peak.values) <= 7
