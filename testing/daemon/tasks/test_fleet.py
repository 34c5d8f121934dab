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


def test_worker_that_is_left_alone_does_not_count_as_silent():
    worker = fleet.Worker(fakefleet.FakeWorker("w0").info)
    fleet.note_answer(worker, 1, 1_000)
    assert fleet.is_silent(worker, 5_000)
    worker.pause_ms = 5_000
    assert not fleet.is_silent(worker, 5_000)
    assert fleet.is_silent(worker, 9_000)
