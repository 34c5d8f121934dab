"""Capacity that is kept for groups of priority 0 that may arrive next."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskplan

LONG_MS = 3_000
HALF = builders.CAPACITY._replace(accelerators=4)


def plan(*waiting, **free):
    """Return the ids of the jobs that start although all is kept free."""
    workers = builders.make_workers(2, 2, **free)
    result = taskplan.plan(list(waiting), [], workers, {}, {"service": 32})
    return [start.group.job_id for start in result.starts]


def make_group(job_id, waited_ms, priority=2, **values):
    job = builders.make_job(
        job_id, builders.make_step(1, 1, **values), priority=priority
    )
    return builders.make_waiting_group(job)._replace(waited_ms=waited_ms)


@pytest.mark.parametrize("priority", [1, 2])
def test_work_does_not_wait_for_long_beside_idle_workers(priority):
    # Urgent work that had ended, or could never run, kept all workers free.
    assert plan(make_group("new", 0, priority)) == []
    assert plan(make_group("old", LONG_MS, priority)) == ["old"]


def test_headroom_stays_on_a_service_of_which_half_is_in_use():
    # Otherwise no headroom is left where urgent work would need it most.
    free = dict.fromkeys(("w00", "w01", "w10", "w11"), HALF)
    assert plan(make_group("old", LONG_MS), **free) == []


def test_lasting_task_may_use_the_headroom_however_much_is_in_use():
    # Its users are not served while it waits.
    free = dict.fromkeys(("w00", "w01", "w10", "w11"), HALF)
    lasting = make_group("lasting", LONG_MS, long_running=True)
    assert plan(lasting, **free) == ["lasting"]
    assert plan(lasting._replace(waited_ms=0), **free) == []


@pytest.mark.parametrize(
    ("slack_ms", "values", "started"),
    [
        (1_999, {"checkpointable": True}, True),
        (-1, {"checkpointable": True}, True),
        (2_000, {"checkpointable": True}, False),
        (1_999, {}, False),
        (1_999, {"checkpointable": True, "gang": True}, False),
    ],
)
def test_tasks_that_are_cheap_to_stop_use_the_headroom_before_they_are_late(
    slack_ms, values, started
):
    # After a burst of urgent jobs, capacity for another one idled for 10 s
    # while checkpointed scans became late.
    free = dict.fromkeys(("w00", "w01", "w10", "w11"), HALF)
    group = make_group("scan", 0, **values)._replace(slack_ms=slack_ms)
    assert plan(group, **free) == ["scan"] * started


def test_headroom_is_kept_from_later_groups_again():
    old = make_group("old", LONG_MS)._replace(slack_ms=5_000)
    groups = [make_group("new", 0)._replace(slack_ms=1_000), old]
    last = make_group("last", 0)._replace(slack_ms=9_000)
    assert plan(*groups, last) == ["old"]


def test_search_that_failed_beside_the_headroom_is_repeated():
    # Groups of one shape share the result of a failed search.
    new = make_group("new", 0)._replace(slack_ms=1_000)
    assert plan(new, make_group("old", LONG_MS)) == ["old"]
