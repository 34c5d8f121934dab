"""How surely a copy of a table is current."""

import pytest
from testing.daemon.tasks import fakestore

from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import ports

WAIT_MS = 1_000
ROW = ports.Row(ports.RowKey("t", "k"), 9, b"v")


@pytest.mark.parametrize(
    ("took_ms", "rows", "confirmed_ms"),
    [
        (WAIT_MS, [], WAIT_MS),
        (WAIT_MS + 300, [], WAIT_MS),
        # Nothing says when such an answer was given.
        (WAIT_MS - 1, [], 0),
        (WAIT_MS, [ROW], 0),
    ],
)
def test_answer_at_the_end_of_the_wait_shows_that_moment(
    manual_clock, took_ms, rows, confirmed_ms
):
    # Counted from the question, a copy was up to two waits old though the
    # store had just said that nothing changed, and hosts were not ready.
    clock = manual_clock.clock
    copy = following.Copy("t")
    store = fakestore.FakeStore().store
    following.refresh(copy, store, clock)
    manual_clock.move(5_000)
    asked_ms = clock.now_ms()

    def follow(table, version, wait_ms):
        manual_clock.move(took_ms)
        return ports.Reading(rows, version)

    following._follow_once(copy, store._replace(follow=follow), clock, WAIT_MS)
    assert copy.confirmed_ms == asked_ms + confirmed_ms
