"""Retry delays: exponential backoff with full jitter.

Full jitter draws each delay from the whole range up to the backoff limit, so
that many callers that failed together do not retry at the same time.
"""

import random

BASE_MS = 25
MAX_DELAY_MS = 2_000
_MAX_DOUBLINGS = 16


def choose_delay(generator: random.Random, retries: int) -> int:
    """Return the delay before the next retry, in milliseconds.

    Args:
        generator: Random number generator for the jitter.
        retries: Number of retries already made.
    """
    ceiling = min(MAX_DELAY_MS, BASE_MS << min(retries, _MAX_DOUBLINGS))
    return generator.randint(0, ceiling)
