import random

from cyclamenshelf_core import backoff


def test_delays_cover_the_whole_range_and_stay_under_the_cap():
    # Guards against delays that are not spread, which would let callers that
    # failed together retry together.
    generator = random.Random(1)
    for retries in (0, 3, 100):
        ceiling = min(backoff.MAX_DELAY_MS, backoff.BASE_MS << retries)
        delays = [backoff.choose_delay(generator, retries) for _ in range(500)]
        assert 0 <= min(delays) < ceiling * 0.1
        assert ceiling * 0.9 < max(delays) <= ceiling
