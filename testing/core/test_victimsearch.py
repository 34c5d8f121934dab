"""Tests of the search for the cheapest tasks to stop."""

from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan


def make_held(job_id, worker_id, lost_work_ms, index=0, **step):
    job = builders.make_job(job_id, builders.make_step(2, 8, **step))
    return builders.make_allocation(
        job._replace(priority=2),
        worker_id,
        index,
        lost_work_ms=lost_work_ms,
    )


def plan_urgent(tasks, workers, held, **step):
    job = builders.make_job("urgent", builders.make_step(tasks, 8, **step))
    waiting = builders.make_waiting_group(job._replace(priority=0))
    result = taskplan.plan([waiting], held, workers, {}, {})
    return {(stop.task.group.job_id, stop.task.index) for stop in result.stops}


def make_full_workers(*names):
    return builders.make_workers(
        1, len(names), **dict.fromkeys(names, taskjobs.NO_RESOURCES)
    )


def test_worker_freed_by_the_stop_of_a_gang_is_used_next():
    # Pricing each worker on its own stopped the two cheapest workers' gangs,
    # although the first gang had freed most of a second worker already.
    workers = make_full_workers("w00", "w01", "w02", "w03")
    small = builders.make_job("small", builders.make_step(1, 1))
    held = [
        make_held("first", "w00", 100, 0, gang=True),
        make_held("first", "w03", 100, 1, gang=True),
        make_held("second", "w01", 150, 0, gang=True),
        make_held("second", "w02", 150, 1, gang=True),
    ]
    # What else runs on w03 makes it the most expensive one by itself.
    held[1] = held[1]._replace(need=taskjobs.Resources(1_000, 1_000, 7))
    held.append(
        builders.make_allocation(
            small._replace(priority=2), "w03", lost_work_ms=1_200
        )
    )
    assert plan_urgent(2, workers, held, gang=True) == {
        ("first", 0),
        ("first", 1),
        ("small", 0),
    }


def test_search_ends_beside_a_worker_with_more_slots():
    # The cost of no further task was asked for, which ended the owner.
    workers = make_full_workers("w00")
    held = [
        make_held("a", "w00", 100, index)._replace(
            need=taskjobs.Resources(16_000, 32_000, 4)
        )
        for index in range(2)
    ]
    job = builders.make_job("urgent", builders.make_step(1, 4), priority=0)
    waiting = builders.make_waiting_group(job)
    result = taskplan.plan([waiting], held, workers, {}, {})
    assert len(result.stops) == 1


def test_least_lost_work_is_stopped_across_workers():
    workers = make_full_workers("w00", "w01", "w02")
    held = [
        make_held("a", "w00", 5_000),
        make_held("b", "w01", 100),
        make_held("c", "w02", 200),
    ]
    assert plan_urgent(2, workers, held) == {("b", 0), ("c", 0)}


def test_nothing_is_stopped_for_a_gang_that_would_not_fit():
    # Stopping some tasks would lose their work and still leave it waiting.
    workers = make_full_workers("w00", "w01")
    held = [make_held("a", "w00", 100), make_held("b", "w01", 100)]
    assert not plan_urgent(3, workers, held, gang=True)


def test_limit_per_worker_holds_for_capacity_of_stopped_tasks():
    workers = make_full_workers("w00", "w01")
    held = [
        builders.make_allocation(
            builders.make_job(f"j{worker}{index}")._replace(priority=2),
            worker,
            lost_work_ms=100 if worker == "w00" else 200,
        )._replace(need=taskjobs.Resources(8_000, 8_000, 2))
        for worker in workers
        for index in range(4)
    ]
    job = builders.make_job(
        "urgent", builders.make_step(2, 1, gang=True, max_per_worker=1)
    )
    waiting = builders.make_waiting_group(job._replace(priority=0))
    result = taskplan.plan([waiting], held, workers, {}, {})
    assert {stop.task.group.job_id[:4] for stop in result.stops} == {
        "jw00",
        "jw01",
    }
