"""Tests of jobs made of steps: rows, names, resources and due times."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskjobs


def test_job_round_trips_through_its_row():
    job = builders.make_job(
        "00f1",
        builders.make_step(3, 8, gang=True, same_rack=True),
        builders.make_step(2, label="a", after=(0,), max_per_worker=1),
        repetitions=3,
        start_at_ms=500,
        interval_ms=40,
    )
    assert taskjobs.decode_job(taskjobs.encode_job(job)) == job


def test_task_round_trips_through_its_name():
    task = taskjobs.Task(taskjobs.Group("5c0e7a21d94b36f8", 2, 1), 17)
    assert taskjobs.format_task(task) == "5c0e7a21d94b36f8.2.1.17"
    assert taskjobs.parse_task("5c0e7a21d94b36f8.2.1.17") == task


@pytest.mark.parametrize("name", ["", "job", "a.b.c.d", "j.0.0", "j.0.-1.2"])
def test_parse_task_returns_none_for_other_names(name):
    assert taskjobs.parse_task(name) is None


@pytest.mark.parametrize(
    ("free", "need", "count"),
    [
        ((32_000, 64_000, 8), (1_000, 1_000, 8), 1),
        ((32_000, 64_000, 8), (13_000, 1_000, 1), 2),
        ((32_000, -1, 8), (1_000, 1_000, 1), 0),
        ((0, 0, 8), (0, 0, 3), 2),
    ],
)
def test_scarcest_resource_limits_the_count(free, need, count):
    assert (
        taskjobs.count_fitting(
            taskjobs.Resources(*free), taskjobs.Resources(*need)
        )
        == count
    )


def test_critical_path_follows_step_dependencies():
    job = builders.make_job(
        "j",
        builders.make_step(run_ms=100),
        builders.make_step(run_ms=50),
        builders.make_step(run_ms=10, after=(0, 1)),
    )
    assert taskjobs.estimate_critical_path_ms(job) == 110


def test_occurrences_are_due_one_interval_apart():
    job = builders.make_job(repetitions=3, start_at_ms=500, interval_ms=40)
    assert [taskjobs.get_due_ms(job, k) for k in range(3)] == [500, 540, 580]
