"""Tests of preemption by the task planner, and of headroom to avoid it."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan


def plan(waiting, workers, held=()):
    return taskplan.plan(list(waiting), list(held), workers, {}, {})


def list_starts(result):
    return {
        start.group.job_id: [worker for _, worker in start.placements]
        for start in result.starts
    }


def test_priority_0_stops_the_task_that_loses_the_least_work():
    urgent = builders.make_job("u", builders.make_step(1, 8), priority=0)
    low = builders.make_job("low", builders.make_step(2, 8), priority=2)
    held = [
        builders.make_allocation(low, "w00", 0, lost_work_ms=9_000),
        builders.make_allocation(low, "w01", 1, lost_work_ms=1_000),
    ]
    workers = builders.make_workers(
        1, 2, w00=taskjobs.NO_RESOURCES, w01=taskjobs.NO_RESOURCES
    )
    result = plan([builders.make_waiting_group(urgent)], workers, held)
    assert [stop.task.index for stop in result.stops] == [1]


def test_no_task_is_stopped_for_capacity_that_is_being_released():
    # Otherwise every decision would stop more tasks until the first stop has
    # ended.
    urgent = builders.make_job("u", builders.make_step(1, 8), priority=0)
    low = builders.make_job("low", builders.make_step(2, 8), priority=2)
    held = [
        builders.make_allocation(low, "w00", 0, stopping=True),
        builders.make_allocation(low, "w01", 1),
    ]
    workers = builders.make_workers(
        1, 2, w00=taskjobs.NO_RESOURCES, w01=taskjobs.NO_RESOURCES
    )
    result = plan([builders.make_waiting_group(urgent)], workers, held)
    assert not result.stops


def test_capacity_freed_for_a_group_is_reserved_for_it():
    # Otherwise tasks of lower priority could start on it before the group.
    urgent = builders.make_job("u", builders.make_step(1, 8), priority=0)
    low = builders.make_job("low", builders.make_step(1, 4), priority=2)
    held = [
        builders.make_allocation(
            builders.make_job("x", builders.make_step(1, 4)),
            "w00",
            stopping=True,
        )
    ]
    half = builders.CAPACITY._replace(accelerators=4)
    workers = builders.make_workers(1, 1, w00=half)
    result = plan(
        [builders.make_waiting_group(low), builders.make_waiting_group(urgent)],
        workers,
        held,
    )
    assert not result.starts


def test_gang_is_stopped_as_a_whole():
    # The other members of a gang cannot work without the one that is stopped.
    urgent = builders.make_job("u", builders.make_step(1, 8), priority=0)
    gang = builders.make_job(
        "g", builders.make_step(2, 8, gang=True), priority=1
    )
    held = [builders.make_allocation(gang, f"w0{n}", n) for n in range(2)]
    workers = builders.make_workers(
        1, 2, w00=taskjobs.NO_RESOURCES, w01=taskjobs.NO_RESOURCES
    )
    result = plan([builders.make_waiting_group(urgent)], workers, held)
    assert sorted(stop.task.index for stop in result.stops) == [0, 1]


@pytest.mark.parametrize(
    ("guaranteed", "victim_guaranteed", "stops"),
    [(True, False, 1), (True, True, 0), (False, False, 0)],
)
def test_guaranteed_job_preempts_only_jobs_without_guarantee(
    guaranteed, victim_guaranteed, stops
):
    own = builders.make_job("own", builders.make_step(1, 8), priority=0)
    other = builders.make_job("other", builders.make_step(1, 8), priority=0)
    held = [
        builders.make_allocation(other, "w00", guaranteed=victim_guaranteed)
    ]
    workers = builders.make_workers(1, 1, w00=taskjobs.NO_RESOURCES)
    result = plan(
        [builders.make_waiting_group(own, guaranteed=guaranteed)], workers, held
    )
    assert len(result.stops) == stops


@pytest.mark.parametrize("slack_ms", [10_000, 1_000, 0])
def test_gang_of_priority_1_stops_no_task(slack_ms):
    # Stopping many small tasks for a gang that is nearly late lost more of
    # their work than the gang was worth.
    gang = builders.make_job("g", builders.make_step(2, 8, gang=True))
    low = builders.make_job("low", builders.make_step(1, 8), priority=2)
    workers = builders.make_workers(1, 2, w00=taskjobs.NO_RESOURCES)
    result = plan(
        [builders.make_waiting_group(gang, slack_ms=slack_ms)],
        workers,
        [builders.make_allocation(low, "w00")],
    )
    assert not result.stops


@pytest.mark.parametrize(
    ("lost_on_slow_ms", "stopped"), [(600, "w00"), (100, "w01")]
)
def test_stops_on_a_slow_worker_must_save_work(lost_on_slow_ms, stopped):
    # A slow worker is only worth it if much less work is lost there.
    urgent = builders.make_job("u", builders.make_step(1, 8), priority=0)
    low = builders.make_job("low", builders.make_step(2, 8), priority=2)
    held = [
        builders.make_allocation(low, "w00", 0, lost_work_ms=1_000),
        builders.make_allocation(low, "w01", 1, lost_work_ms=lost_on_slow_ms),
    ]
    workers = builders.make_workers(
        1, 2, w00=taskjobs.NO_RESOURCES, w01=taskjobs.NO_RESOURCES
    )
    workers["w01"] = workers["w01"]._replace(slow=True)
    result = plan([builders.make_waiting_group(urgent)], workers, held)
    names = {held.task: held.worker_id for held in held}
    assert [names[stop.task] for stop in result.stops] == [stopped]


def test_group_for_which_tasks_are_stopped_comes_first():
    # A more urgent group took what was freed, and tasks were stopped again
    # and again for the same gang.
    first = builders.make_job("first", builders.make_step(2, 8), priority=0)
    other = builders.make_job("other", builders.make_step(1, 8), priority=0)
    low = builders.make_job("low", builders.make_step(1, 8), priority=2)
    waiting = builders.make_waiting_group(first, slack_ms=500)
    result = plan(
        [
            builders.make_waiting_group(other, slack_ms=100, guaranteed=True),
            waiting._replace(preempting=True),
        ],
        builders.make_workers(1, 2, w01=taskjobs.NO_RESOURCES),
        [builders.make_allocation(low, "w01", stopping=True)],
    )
    assert list_starts(result) == {"first": ["w00"]}


@pytest.mark.parametrize(
    ("headroom", "priority", "tasks"),
    [
        ({}, 1, 32),
        ({"service": 9}, 1, 16),
        ({"service": 9}, 2, 16),
        ({"service": 9}, 0, 32),
        ({"service": 99}, 1, 0),
        ({"other service": 99}, 1, 32),
    ],
)
def test_headroom_stays_free_for_priority_0(headroom, priority, tasks):
    # Without it, nearly every urgent job of a busy fleet had to wait until
    # other tasks were stopped for it.
    job = builders.make_job("j", builders.make_step(40, 1), priority=priority)
    waiting = [builders.make_waiting_group(job)]
    workers = builders.make_workers(2, 2)
    result = taskplan.plan(waiting, [], workers, {}, headroom)
    assert sum(len(start.placements) for start in result.starts) == tasks


@pytest.mark.parametrize(
    ("slack_ms", "priority", "starts"),
    [(4_999, 1, 1), (5_000, 1, 0), (-1, 1, 0), (4_999, 2, 0)],
)
def test_priority_1_uses_the_headroom_before_it_is_late(
    slack_ms, priority, starts
):
    # Under steady urgent demand its gangs did not start before their
    # objective had passed.
    step = builders.make_step(2, 8, gang=True)
    job = builders.make_job("j", step, priority=priority)
    result = taskplan.plan(
        [builders.make_waiting_group(job, slack_ms=slack_ms)],
        [],
        builders.make_workers(1, 2),
        {},
        {"service": 16},
    )
    assert len(result.starts) == starts


def test_tasks_that_fill_make_way_for_tasks_that_serve():
    # With best-effort tasks on every worker, a latency-sensitive task could
    # not run anywhere.
    workers = builders.make_workers(2, 1)
    held = [
        builders.make_allocation(
            builders.make_long_running_job(f"fills{name}", fills=True),
            name,
            fills=True,
        )
        for name in workers
    ]
    serving = builders.make_waiting_group(
        builders.make_long_running_job("serves", tail_target_ms=50)
    )
    result = plan([serving], workers, held)
    assert not result.starts
    assert [stop.task for stop in result.stops] == [held[0].task]
    held[0] = held[0]._replace(stopping=True)
    assert not plan([serving], workers, held).stops
