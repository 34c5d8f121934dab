"""Delays between tries: exponential backoff with full jitter.

Full jitter spreads the retries of many callers evenly over the whole delay,
so that they do not come back together.
"""

import random

BASE_MS = 25
MAX_DELAY_MS = 2_000
_MAX_DOUBLINGS = 16


def choose_delay(generator: random.Random, retries: int) -> int:
    """Return the delay before the next try, in milliseconds.

    Args:
        generator: Source of the jitter.
        retries: Retries already made.
    """
    ceiling = min(MAX_DELAY_MS, BASE_MS << min(retries, _MAX_DOUBLINGS))
    return generator.randint(0, ceiling)
