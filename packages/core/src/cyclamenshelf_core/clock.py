"""The clock that is injected into everything that waits or measures."""

from collections.abc import Callable
import time
from typing import NamedTuple


class Clock(NamedTuple):
    """Times in integer milliseconds.

    Attributes:
        now_ms: Monotonic time; only differences are meaningful.
        wall_ms: Unix time, for records that people read.
        sleep_ms: Blocks the calling thread for a number of milliseconds.
    """

    now_ms: Callable[[], int]
    wall_ms: Callable[[], int]
    sleep_ms: Callable[[int], None]


def make_system_clock() -> Clock:
    """Return the clock of this process."""
    return Clock(
        # Counts the time that the machine is suspended, so that a lease is
        # seen to have lapsed after a wake-up.
        now_ms=lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000,
        wall_ms=lambda: time.time_ns() // 1_000_000,
        sleep_ms=lambda duration_ms: time.sleep(duration_ms / 1000),
    )
