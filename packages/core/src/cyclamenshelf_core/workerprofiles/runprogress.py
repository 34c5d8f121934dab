"""Run time of a task, estimated from the progress that its worker reports.

A worker reports how many percent of a running task's work are done. The rate
between two reports tells how long the whole task takes on that worker, without
the time before it began or was resumed. A member of a gang that has done its
part waits at 100 percent for the others, so that value tells nothing.
"""

import math
from typing import NamedTuple

_COMPLETE_PERCENT = 100
# Reports are whole percents, so a shorter distance is too inaccurate.
_MIN_PERCENT = 8


class Progress(NamedTuple):
    """The first and the last useful report on a run.

    Attributes:
        first_ms: Monotonic time of the first report.
        last_ms: Monotonic time of the last one below 100 percent.
        learned_percent: Part of the work from which the run time was learned.
    """

    first_ms: int
    first_percent: int
    last_ms: int
    last_percent: int
    learned_percent: int = 0


def add_report(
    progress: Progress | None, now_ms: int, percent: int
) -> Progress | None:
    """Return the progress with a report added.

    A lower value than before means that the work has begun again.
    """
    if not 0 <= percent < _COMPLETE_PERCENT:
        return progress
    if progress is None or percent < progress.last_percent:
        return Progress(now_ms, percent, now_ms, percent)
    return progress._replace(last_ms=now_ms, last_percent=percent)


def estimate_run_ms(progress: Progress | None) -> float | None:
    """Return how long the whole task takes, or None if not yet known."""
    if progress is None:
        return None
    done_percent = progress.last_percent - progress.first_percent
    if done_percent < _MIN_PERCENT:
        return None
    elapsed_ms = progress.last_ms - progress.first_ms
    return max(1.0, elapsed_ms * _COMPLETE_PERCENT / done_percent)


def estimate_log_error(progress: Progress) -> float:
    """Return the relative error of the estimated run time."""
    return 1 / (progress.last_percent - progress.first_percent)


def estimate_remaining_ms(progress: Progress | None, now_ms: int) -> int | None:
    """Return how long a run still takes, or None if not yet known."""
    run_ms = estimate_run_ms(progress)
    if progress is None or run_ms is None:
        return None
    left_percent = _COMPLETE_PERCENT - progress.last_percent
    end_ms = progress.last_ms + run_ms * left_percent / _COMPLETE_PERCENT
    return max(0, math.ceil(end_ms - now_ms))
