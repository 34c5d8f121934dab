"""What the owner knows of a worker, and how often it asks it."""

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
def test_workers_without_tasks_are_asked_less_often_on_large_fleets(
    workers, busy, pause_ms
):
    # With 500 workers the owner's processor was full with their renewals, so
    # that each seemed silent and nothing was started.
    assert fleet.choose_pause(workers, busy) == pause_ms


@pytest.fixture
def paused_worker():
    """A worker that answered at 1,000 ms and is left alone for 5 s."""
    worker = fleet.Worker(fakefleet.FakeWorker("w0").info)
    worker.pause_ms = 5_000
    fleet.record_response(worker, 1, 1_000)
    return worker


def test_worker_that_is_left_alone_does_not_count_as_silent(paused_worker):
    assert not fleet.is_unresponsive(paused_worker, 8_000)
    assert fleet.is_unresponsive(paused_worker, 9_000)


def test_worker_that_is_given_a_task_has_time_to_answer(paused_worker):
    # Its task was taken back at once, as it had not answered for long.
    fleet.wake_worker(paused_worker, 4_000)
    assert paused_worker.wake.is_set()
    assert not fleet.is_unresponsive(paused_worker, 6_000)
    assert fleet.is_unresponsive(paused_worker, 6_500)
