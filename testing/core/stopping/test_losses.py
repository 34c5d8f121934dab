"""Tests of what a stop loses, and of the choice of tasks that follows."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core.stopping import losses

TERMS = losses.StopTerms(restore_ms=600, stop_ms=400)


def make_full_workers(count):
    names = [f"w0{number}" for number in range(count)]
    return builders.make_workers(
        1, count, **dict.fromkeys(names, taskjobs.NO_RESOURCES)
    )


def hold(job_id, worker_id, index=0, accelerators=8, run_ms=5_000, **step):
    """Return the allocation of a task that has run for `run_ms`."""
    job = builders.make_job(
        job_id, builders.make_step(20, accelerators, **step), priority=2
    )
    lost_ms = losses.estimate_lost_ms(job.steps[0], run_ms, TERMS)
    return builders.make_allocation(
        job, worker_id, index, lost_work_ms=lost_ms, stop_ms=TERMS.stop_ms
    )


def list_stopped_jobs(held, workers, tasks=1):
    job = builders.make_job("urgent", builders.make_step(tasks, 8), priority=0)
    waiting = builders.make_waiting_group(job)
    result = taskplan.plan([waiting], held, workers, {}, {})
    return {stop.task.group.job_id for stop in result.stops}


def hold_gang(count):
    return [
        hold("gang", f"w0{number}", number, gang=True, checkpointable=True)
        for number in range(count)
    ]


def test_wide_resumable_gang_is_not_stopped_for_a_single_task():
    # With a restore of a constant 100 ms, 19 workers of a gang were stopped
    # where one task of a few seconds would have made room.
    held = [*hold_gang(8), hold("single", "w08")]
    assert list_stopped_jobs(held, make_full_workers(9)) == {"single"}


def test_members_of_a_gang_on_one_worker_cost_one_stop():
    # Each member was priced as a stop of the whole gang.
    gang = [
        hold("gang", "w00", number, 4, 2_000, gang=True) for number in range(2)
    ]
    held = [*gang, hold("single", "w01", run_ms=3_000)]
    assert list_stopped_jobs(held, make_full_workers(2)) == {"gang"}


@pytest.mark.parametrize(("left_ms", "stopped"), [(300, "b"), (None, "a")])
def test_task_about_to_end_is_spared_until_its_estimate_has_passed(
    left_ms, stopped
):
    # A gang was stopped after 10.3 of its 11 s; a wrong estimate must not
    # protect a task for longer than a stop takes.
    spared = losses.ends_before_stop(left_ms, TERMS)
    held = [
        hold("a", "w00", run_ms=1_000)._replace(spared=spared),
        hold("b", "w01", run_ms=2_000),
    ]
    assert list_stopped_jobs(held, make_full_workers(2)) == {stopped}


@pytest.mark.parametrize(
    ("step", "work_ms", "stopped"),
    [
        ({"checkpointable": True}, 4_500, False),
        ({"checkpointable": True}, 3_000, True),
        ({"checkpointable": True}, 6_000, True),
        ({}, 4_500, False),
        ({}, 3_000, True),
        ({"long_running": True}, 4_500, True),
    ],
)
def test_only_tasks_that_outlast_a_draining_worker_are_stopped(
    step, work_ms, stopped
):
    # Checkpointable tasks were stopped there a moment before their end.
    step = builders.make_step(**step, run_ms=5_000)
    assert losses.is_stopped_for_drain(step, work_ms, 1_000, TERMS) is stopped


def test_resumable_task_is_not_left_to_be_lost_with_a_draining_worker():
    # With estimates that were too short, tasks waited for the end of a lease.
    step = builders.make_step(run_ms=5_000, checkpointable=True)
    assert losses.is_stopped_for_drain(step, 4_990, 800, TERMS)


def test_stop_of_a_young_task_loses_no_more_than_it_has_done():
    step = builders.make_step(checkpointable=True, gang=True)
    assert losses.estimate_lost_ms(step, 200, TERMS) == 200
    assert losses.estimate_lost_ms(step, 9_000, TERMS) == 1_000
