"""The clock that is injected into all code that waits or measures time."""

from collections.abc import Callable
import time
from typing import NamedTuple


class Clock(NamedTuple):
    """Functions that read the time or wait, in integer milliseconds.

    Attributes:
        now_ms: Monotonic time; only differences are meaningful.
        wall_ms: Unix time, for timestamps that people read.
        sleep_ms: Blocks the calling thread for the given duration.
    """

    now_ms: Callable[[], int]
    wall_ms: Callable[[], int]
    sleep_ms: Callable[[int], None]


def make_system_clock() -> Clock:
    """Return a clock that reads the system time."""
    return Clock(
        # CLOCK_BOOTTIME includes the time that the machine is suspended, so
        # that a lease that expired meanwhile counts as expired on resume.
        now_ms=lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000,
        wall_ms=lambda: time.time_ns() // 1_000_000,
        sleep_ms=lambda duration_ms: time.sleep(duration_ms / 1000),
    )
