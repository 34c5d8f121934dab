"""Limits of calls to a store that is slow or loses answers."""

import pytest

from cyclamenshelf_daemon.tasks import calltimes


@pytest.mark.parametrize(
    ("events", "limit_ms"),
    [
        ([], 500),
        ([20], 500),
        ([200], 800),
        ([1_100], 1_500),
        ([None], 1_000),
        ([None, None], 1_500),
        ([None, 20], 500),
    ],
)
def test_limit_follows_answers_and_doubles_without_one(events, limit_ms):
    # A fixed limit below the time of a slow store repeats every call until
    # the caller's time is over, though each has been carried out.
    times = calltimes.CallTimes()
    for took_ms in events:
        if took_ms is None:
            calltimes.note_silence(times)
        else:
            calltimes.note_answer(times, took_ms)
    assert times.limit_ms == limit_ms
