"""Tests of whether a group waits for its rack or runs elsewhere."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskplan
from cyclamenshelf_core.taskplacement import remotewait

NEED = builders.make_step().need
FULL = builders.CAPACITY._replace(accelerators=0)


def release(wait_ms, worker_id="w"):
    return remotewait.Release(wait_ms, worker_id, NEED)


@pytest.mark.parametrize(("tasks", "expected"), [(1, 300), (2, 900), (3, None)])
def test_wait_ends_when_enough_has_been_released(tasks, expected):
    releases = [release(900), release(300), release(100, "other")]
    wait_ms = remotewait.estimate_wait_ms({"w": FULL}, releases, NEED, tasks)
    assert wait_ms == expected


# The rack of the data is full, and another one is free.
@pytest.mark.parametrize(
    ("remaining_ms", "slack_ms", "waited_ms", "starts"),
    [
        # It waited until its slack was gone, and then ran three times as long.
        pytest.param(30_000, 20_000, 0, True, id="sooner-elsewhere"),
        pytest.param(2_000, 20_000, 0, False, id="sooner-on-the-rack"),
        # It ran elsewhere for 15 s although the rack was free after 2 s.
        pytest.param(2_000, -1, 0, False, id="late-and-sooner-on-the-rack"),
        # Others may take what comes free on the rack for ever.
        pytest.param(2_000, 20_000, 9_000, True, id="waited-for-long"),
        pytest.param(None, -1, 0, True, id="late-and-end-unknown"),
        pytest.param(None, 20_000, 0, False, id="end-unknown"),
    ],
)
def test_group_goes_where_it_ends_first(
    remaining_ms, slack_ms, waited_ms, starts
):
    running = builders.make_job("old", builders.make_step(16, 1))
    held = [
        builders.make_allocation(running, f"w0{index // 8}", index)
        for index in range(16)
    ]
    workers = builders.make_workers(w00=FULL, w01=FULL)
    job = builders.make_job("j", builders.make_step(2, 8, data_rack="r0"))
    waiting = builders.make_waiting_group(job, slack_ms=slack_ms)
    result = taskplan.plan(
        [waiting._replace(waited_ms=waited_ms)],
        held,
        workers,
        {},
        {},
        outlook=planstate.Outlook(3.0, lambda task: remaining_ms),
    )
    assert bool(result.starts) is starts


def test_late_group_runs_elsewhere_if_only_its_limit_on_a_worker_is_reached():
    # The rack has room, so nothing would ever come free for it there.
    step = builders.make_step(4, 1, data_rack="r0", max_per_worker=1)
    result = taskplan.plan(
        [
            builders.make_waiting_group(
                builders.make_job("j", step), slack_ms=-1, indexes=(2, 3)
            )
        ],
        [],
        builders.make_workers(),
        {("j", 0, "w00"): 1, ("j", 0, "w01"): 1},
        {},
    )
    assert len(result.starts[0].placements) == 2
