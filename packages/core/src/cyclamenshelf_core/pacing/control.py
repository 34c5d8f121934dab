"""Closed loop that sets the pace of the best-effort tasks on a worker.

All best-effort tasks of a worker get the same pace, the share of their time in
which they work. It is halved when the tail latency of a task beside them nears
its target, drops to the minimum above the target, and is raised in small steps
while the tail is well below. Only where the minimum does not bring the tail
below the target are the best-effort tasks to be stopped.
"""

from collections.abc import Iterable
from typing import NamedTuple

MAX_PERCENT = 100
MIN_PERCENT = 0
# Pace of best-effort tasks of which nothing is known yet: they have just been
# started, or by an earlier owner.
_INITIAL_PERCENT = 20
_RAISE_PERCENT = 10
# Load, the highest ratio of tail latency to target, from which the pace is
# lowered, and below which it is raised. Tails vary by themselves, so the pace
# stays as it is in between.
_HIGH_LOAD = 0.8
_LOW_LOAD = 0.6
_MAX_LOAD = 1.0
# Tail latencies are reported for the last half second.
_REPORT_MS = 500
# Part of the longest excess after which tasks are stopped that were slowed
# down to the minimum. The rest is for the stops.
_STOP_PART = 0.5


class PacingTerms(NamedTuple):
    """How workers slow tasks down.

    Attributes:
        interval_ms: Time from an order until it has effect.
        max_excess_ms: Longest time in which the tail latency of a task may be
            above its target because of best-effort tasks.
    """

    interval_ms: int
    max_excess_ms: int


class Pace(NamedTuple):
    """The pace of the best-effort tasks on a worker.

    Attributes:
        percent: Share of their time in which they work.
        changed_ms: Monotonic time at which it was set.
        excess_since_ms: Monotonic time since when a tail has been above its
            target; None while none is.
        stop: Whether the best-effort tasks are to be stopped.
    """

    percent: int
    changed_ms: int
    excess_since_ms: int | None = None
    stop: bool = False


def make_pace(now_ms: int) -> Pace:
    """Return the first pace of best-effort tasks on a worker."""
    return Pace(_INITIAL_PERCENT, now_ms)


def compute_load(tails: Iterable[tuple[float, int]]) -> float | None:
    """Return the highest ratio of a tail latency to its target.

    Args:
        tails: Tail latency and target of each latency-sensitive task of which
            one is known.

    Returns:
        The ratio, or None if no tail is known.
    """
    return max((tail / target for tail, target in tails), default=None)


def has_room(load: float | None) -> bool:
    """Return whether best-effort tasks may start beside those with a load."""
    return load is not None and load < _LOW_LOAD


def update_pace(
    pace: Pace, load: float | None, now_ms: int, terms: PacingTerms
) -> Pace:
    """Return the pace after a report of the tail latencies.

    Args:
        pace: The pace so far.
        load: The highest ratio of a tail latency to its target; None if no
            tail is known, which changes nothing.
        now_ms: The monotonic time.
        terms: How workers slow tasks down.
    """
    if load is None:
        return pace
    if load < _MAX_LOAD:
        pace = pace._replace(excess_since_ms=None, stop=False)
    elif pace.excess_since_ms is None:
        pace = pace._replace(excess_since_ms=now_ms)
    percent = _choose_percent(pace, load, now_ms, terms)
    if percent != pace.percent:
        pace = pace._replace(percent=percent, changed_ms=now_ms)
    return pace._replace(stop=_must_stop(pace, now_ms, terms))


def _choose_percent(
    pace: Pace, load: float, now_ms: int, terms: PacingTerms
) -> int:
    if load >= _MAX_LOAD:
        return MIN_PERCENT
    # The tail does not show the effect of the last change before that.
    if now_ms - pace.changed_ms < terms.interval_ms + _REPORT_MS:
        return pace.percent
    if load >= _HIGH_LOAD:
        return pace.percent // 2
    if load < _LOW_LOAD:
        return min(MAX_PERCENT, pace.percent + _RAISE_PERCENT)
    return pace.percent


def _must_stop(pace: Pace, now_ms: int, terms: PacingTerms) -> bool:
    if pace.excess_since_ms is None:
        return False
    excess_ms = now_ms - pace.excess_since_ms
    return excess_ms >= terms.max_excess_ms * _STOP_PART
