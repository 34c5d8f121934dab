"""The time at which a copy of a table is confirmed to be current."""

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
        # The time at which the store gave these responses is unknown.
        (WAIT_MS - 1, [], 0),
        (WAIT_MS, [ROW], 0),
    ],
)
def test_response_at_the_end_of_the_wait_confirms_the_copy_at_that_time(
    manual_clock, took_ms, rows, confirmed_ms
):
    # Guards against dating the response by its request: a copy then counted as
    # up to two waits old right after the store had reported no changes, and
    # hosts were not ready.
    clock = manual_clock.clock
    copy = following.TableCopy("t")
    store = fakestore.FakeStore().store
    following.refresh(copy, store, clock)
    manual_clock.advance(5_000)
    requested_ms = clock.now_ms()

    def follow(table, version, wait_ms):
        manual_clock.advance(took_ms)
        return ports.ReadResult(rows, version)

    following._follow_once(copy, store._replace(follow=follow), clock, WAIT_MS)
    assert copy.confirmed_ms == requested_ms + confirmed_ms


def test_delayed_response_does_not_restore_a_removed_row(manual_clock):
    # Another thread read the table, without the row, before the response that
    # still had it arrived; its removal was not reported again.
    fake_store = fakestore.FakeStore()
    store, clock = fake_store.store, manual_clock.clock
    copy = following.TableCopy("t")
    following.refresh(copy, store, clock)
    fake_store.put("t", "k", b"v")

    def follow(table, version, wait_ms):
        result = fake_store.follow(table, version, 0)
        key = ports.RowKey("t", "k")
        fake_store.commit(ports.Transaction({}, {}, (key,)), 0)
        following.refresh(copy, store, clock)
        return result

    following._follow_once(copy, store._replace(follow=follow), clock, WAIT_MS)
    assert not copy.rows
