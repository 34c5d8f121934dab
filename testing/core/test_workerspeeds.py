"""Tests of the estimates of worker speeds."""

import pytest

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import workerspeeds

GROUP = taskjobs.Group("j", 0, 0)


@pytest.fixture
def estimates():
    """Return estimates after some runs of the group on other workers."""
    estimates = workerspeeds.SpeedEstimates()
    for number in range(6):
        workerspeeds.record_run(estimates, GROUP, f"w{number}", 1_000)
    return estimates


def record_runs(estimates, worker_id, run_ms, runs, group=GROUP):
    for _ in range(runs):
        workerspeeds.record_run(estimates, group, worker_id, run_ms)


def test_worker_with_longer_runs_than_its_peers_is_slow(estimates):
    record_runs(estimates, "late", 1_500, 3)
    assert workerspeeds.is_slow(estimates, "late")
    assert not workerspeeds.is_slow(estimates, "w5")


def test_one_slightly_longer_run_does_not_make_a_worker_slow(estimates):
    # Run times vary from task to task as well.
    record_runs(estimates, "late", 1_400, 1)
    assert not workerspeeds.is_slow(estimates, "late")


def test_first_runs_of_a_group_judge_no_worker():
    # A single longer task would make the next worker look fast, or slow.
    estimates = workerspeeds.SpeedEstimates()
    record_runs(estimates, "first", 100, 1)
    record_runs(estimates, "second", 9_000, 3)
    assert not workerspeeds.is_slow(estimates, "second")


def test_worker_that_became_fast_is_no_longer_slow(estimates):
    record_runs(estimates, "w", 2_000, 60)
    other = taskjobs.Group("k", 0, 0)
    record_runs(estimates, "other", 1_000, 6, other)
    record_runs(estimates, "w", 500, 60, other)
    assert not workerspeeds.is_slow(estimates, "w")


@pytest.mark.parametrize(
    ("forget", "name"),
    [(workerspeeds.forget_worker, "late"), (workerspeeds.forget_job, "j")],
)
def test_forgotten_records_are_dropped(estimates, forget, name):
    # The owner would otherwise keep an entry for every job that it ever ran.
    record_runs(estimates, "late", 1_500, 3)
    forget(estimates, name)
    assert name not in estimates.by_worker
    assert name not in estimates.by_job
