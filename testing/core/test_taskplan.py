"""Tests of the task planner: placement, order, gangs, data, preemption."""

import hypothesis
from hypothesis import strategies as st
import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan


def plan(waiting, workers, held=(), counts=None):
    return taskplan.plan(list(waiting), list(held), workers, counts or {}, {})


def list_starts(result):
    return {
        start.group.job_id: [worker for _, worker in start.placements]
        for start in result.starts
    }


def test_tasks_outside_a_gang_start_as_far_as_they_fit():
    job = builders.make_job("j", builders.make_step(5, 8))
    result = plan(
        [builders.make_waiting_group(job)], builders.make_workers(2, 2)
    )
    assert len(result.starts[0].placements) == 4


def test_gang_starts_whole_or_not_at_all():
    # If only part of a gang started, it would wait for the others and then be
    # ended.
    job = builders.make_job("j", builders.make_step(5, 8, gang=True))
    assert not plan(
        [builders.make_waiting_group(job)], builders.make_workers(2, 2)
    ).starts
    result = plan(
        [builders.make_waiting_group(job)], builders.make_workers(2, 3)
    )
    assert len(result.starts[0].placements) == 5


def test_same_rack_gang_is_placed_on_one_rack():
    # Its tasks would be slow on two racks, even if both have free workers.
    job = builders.make_job(
        "j", builders.make_step(2, 8, gang=True, same_rack=True)
    )
    workers = builders.make_workers(
        2, 2, w00=taskjobs.NO_RESOURCES, w10=builders.CAPACITY
    )
    result = plan([builders.make_waiting_group(job)], workers)
    assert list_starts(result) == {"j": ["w10", "w11"]}


def test_task_waits_for_the_rack_of_its_data():
    # Tasks are slow on other racks, so they run there only once they are late.
    job = builders.make_job("j", builders.make_step(1, 8, data_rack="r1"))
    workers = builders.make_workers(
        2, 1, w00=builders.CAPACITY, w10=taskjobs.NO_RESOURCES
    )
    assert not plan([builders.make_waiting_group(job)], workers).starts
    late = builders.make_waiting_group(job, slack_ms=-1)
    assert list_starts(plan([late], workers)) == {"j": ["w00"]}


def test_step_runs_only_on_workers_with_its_label():
    job = builders.make_job("j", builders.make_step(1, label="r1"))
    result = plan(
        [builders.make_waiting_group(job)], builders.make_workers(2, 1)
    )
    assert list_starts(result) == {"j": ["w10"]}


def test_max_per_worker_counts_tasks_of_all_occurrences():
    # The limit applies to all tasks of the step on a worker, including those
    # of other occurrences.
    job = builders.make_job("j", builders.make_step(3, max_per_worker=1))
    result = plan(
        [builders.make_waiting_group(job)],
        builders.make_workers(1, 3),
        counts={("j", 0, "w00"): 1},
    )
    assert sorted(list_starts(result)["j"]) == ["w01", "w02"]


def test_small_tasks_leave_whole_workers_free():
    # Small tasks on every worker would keep large tasks from starting.
    job = builders.make_job("j", builders.make_step(1, 1))
    workers = builders.make_workers(
        1, 2, w01=builders.CAPACITY._replace(accelerators=3)
    )
    result = plan([builders.make_waiting_group(job)], workers)
    assert list_starts(result) == {"j": ["w01"]}


@pytest.mark.parametrize(("priority", "expected"), [(0, "w00"), (1, "w01")])
def test_urgent_tasks_get_fast_workers_and_others_slow_ones(priority, expected):
    # An urgent task on a slow worker misses its objective although it started
    # in time; a task of another priority has more time.
    job = builders.make_job("j", builders.make_step(1, 8), priority=priority)
    workers = builders.make_workers(1, 2)
    workers["w01"] = workers["w01"]._replace(slow=True)
    result = plan([builders.make_waiting_group(job)], workers)
    assert list_starts(result) == {"j": [expected]}


_steps = st.builds(
    builders.make_step,
    tasks=st.integers(1, 6),
    accelerators=st.sampled_from([0, 1, 2, 4, 8]),
    cpu_millis=st.sampled_from([500, 9_000, 17_000]),
    gang=st.booleans(),
    same_rack=st.booleans(),
    data_rack=st.sampled_from(["", "", "r0", "r1", "gone"]),
    label=st.sampled_from(["", "", "a", "r1", "none"]),
    max_per_worker=st.sampled_from([0, 0, 1, 2]),
)


@hypothesis.given(
    st.lists(
        st.tuples(_steps, st.integers(0, 2), st.integers(-5_000, 20_000)),
        min_size=1,
        max_size=12,
    ),
    st.lists(st.tuples(_steps, st.integers(0, 2), st.integers(0, 3))),
)
def test_plan_respects_capacity_gangs_labels_and_limits(asked, placed):
    """Starts fit into free capacity, and only lower priorities are stopped."""
    workers = builders.make_workers(2, 2)
    names = sorted(workers)
    held = []
    free = {name: workers[name].free for name in names}
    for number, (step, priority, place) in enumerate(placed):
        job = builders.make_job(f"h{number}", step, priority=priority)
        name = names[place]
        if taskjobs.count_fitting(free[name], step.need) > 0:
            free[name] = taskjobs.subtract(free[name], step.need)
            held.append(builders.make_allocation(job, name))
    workers = {name: workers[name]._replace(free=free[name]) for name in names}
    jobs = {
        f"j{number}": builders.make_job(f"j{number}", step, priority=priority)
        for number, (step, priority, _) in enumerate(asked)
    }
    result = plan(
        [
            builders.make_waiting_group(jobs[f"j{number}"], slack_ms=slack_ms)
            for number, (_, _, slack_ms) in enumerate(asked)
        ],
        workers,
        held,
    )
    for start in result.starts:
        job = jobs[start.group.job_id]
        step = job.steps[0]
        assert not step.gang or len(start.placements) == step.tasks
        used = [worker for _, worker in start.placements]
        for worker in used:
            free[worker] = taskjobs.subtract(free[worker], step.need)
            assert freecapacity.is_eligible(workers[worker], job, step)
            assert min(free[worker]) >= 0
            assert not step.max_per_worker or (
                used.count(worker) <= step.max_per_worker
            )
    running = {entry.task: entry for entry in held}
    assert len({stop.task for stop in result.stops}) == len(result.stops)
    for stop in result.stops:
        beneficiary = jobs[stop.beneficiary.job_id]
        assert running[stop.task].priority > beneficiary.priority


@pytest.mark.parametrize(
    ("there", "new", "expected"),
    [
        ({"tail_target_ms": 50}, {"fills": True}, "w10"),
        ({"fills": True}, {"tail_target_ms": 50}, "w10"),
        ({"fills": True}, {"fills": True}, "w00"),
        ({"fills": True}, {}, "w00"),
    ],
)
def test_tasks_that_fill_and_tasks_that_serve_keep_apart(there, new, expected):
    # A best-effort task can push the tail latency of a latency-sensitive task
    # on the same worker over its target.
    first = builders.make_long_running_job("first", **there)
    workers = builders.make_workers(
        2, 1, w00=taskjobs.Resources(9_000, 9_000, 7)
    )
    step = first.steps[0]
    held = builders.make_allocation(
        first,
        "w00",
        fills=step.fills,
        latency_sensitive=step.tail_target_ms > 0,
    )
    result = plan(
        [
            builders.make_waiting_group(
                builders.make_long_running_job("new", **new)
            )
        ],
        workers,
        [held],
    )
    assert list_starts(result) == {"new": [expected]}


def test_tasks_of_one_decision_keep_apart():
    # Best-effort and latency-sensitive tasks must not start on the same worker
    # in one decision either.
    waiting = [
        builders.make_waiting_group(
            builders.make_long_running_job("serves", tail_target_ms=50)
        ),
        builders.make_waiting_group(
            builders.make_long_running_job("fills", fills=True)
        ),
    ]
    assert len(list_starts(plan(waiting, builders.make_workers(1, 1)))) == 1


def test_gang_wider_than_any_rack_starts_on_several_racks():
    # Waiting for a rack that could never hold it only made the gang late.
    step = builders.make_step(3, 8, gang=True, same_rack=True)
    waiting = builders.make_waiting_group(builders.make_job("j", step))
    result = plan([waiting], builders.make_workers(2, 2))
    assert len(result.starts[0].placements) == 3


def test_gang_that_a_rack_could_hold_waits_for_one():
    # On two racks it would be slow, and its objective can still be met.
    step = builders.make_step(2, 8, gang=True, same_rack=True)
    waiting = builders.make_waiting_group(builders.make_job("j", step))
    workers = builders.make_workers(
        2, 2, w00=taskjobs.NO_RESOURCES, w10=taskjobs.NO_RESOURCES
    )
    assert not plan([waiting], workers).starts
