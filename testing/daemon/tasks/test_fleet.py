"""Tests of the owner's worker state and of the polling intervals."""

import pytest
from testing.daemon.tasks import fakefleet

from cyclamenshelf_daemon.tasks import fleet


@pytest.mark.parametrize(
    ("workers", "busy", "pause_ms"),
    [
        (24, False, 0),
        (120, False, 0),
        (176, False, 700),
        (1_100, False, 12_250),
        (1_100, True, 0),
    ],
)
def test_idle_workers_are_polled_less_often_on_large_fleets(
    workers, busy, pause_ms
):
    # With 500 workers, renewals saturated the owner's CPU: every worker seemed
    # unresponsive and no task was started.
    assert fleet.choose_pause(workers, busy) == pause_ms


@pytest.fixture
def paused_worker():
    """A worker that responded at 1,000 ms and whose polling pauses for 5 s."""
    worker = fleet.Worker(fakefleet.FakeWorker("w0").info, 6_000)
    worker.pause_ms = 5_000
    fleet.record_response(worker, 1, 1_000)
    return worker


def test_paused_worker_does_not_count_as_unresponsive(paused_worker):
    assert not fleet.is_unresponsive(paused_worker, 8_000)
    assert fleet.is_unresponsive(paused_worker, 9_000)


def test_woken_worker_has_time_to_respond(paused_worker):
    # A new task was requeued at once, because the paused worker had not
    # responded for a long time.
    fleet.wake_worker(paused_worker, 4_000)
    assert paused_worker.wake.is_set()
    assert not fleet.is_unresponsive(paused_worker, 6_000)
    assert fleet.is_unresponsive(paused_worker, 6_500)
