"""Tests of the order of workers by speed."""

import pytest

from cyclamenshelf_core.taskplacement import speedorder

FAST, TYPICAL, SLOW = -4, 0, 3


@pytest.mark.parametrize(
    ("slots", "urgent", "expected"),
    [
        pytest.param(
            {FAST: 5, TYPICAL: 9}, True, FAST, id="urgent-all-on-fast"
        ),
        pytest.param(
            {FAST: 2, TYPICAL: 9, SLOW: 9},
            True,
            TYPICAL,
            id="urgent-without-slow",
        ),
        pytest.param(
            {FAST: 9, TYPICAL: 9, SLOW: 2}, False, TYPICAL, id="not-slowed"
        ),
        pytest.param({FAST: 9, SLOW: 5}, False, SLOW, id="leaves-fast"),
        pytest.param({FAST: 5, SLOW: 4}, False, FAST, id="all-alike"),
        pytest.param({FAST: 4, SLOW: 1}, False, SLOW, id="no-choice"),
    ],
)
def test_gang_wastes_no_fast_worker_on_slow_members(slots, urgent, expected):
    # A gang runs at the pace of its slowest member: fast workers beside slow
    # ones waited for half of their time, a quarter of the fleet's capacity.
    assert speedorder.order_ranks(slots, 5, True, urgent)[0] == expected


def test_urgent_gang_is_filled_with_no_faster_workers_than_it_needs():
    slots = {FAST: 2, TYPICAL: 9, SLOW: 9}
    order = speedorder.order_ranks(slots, 5, gang=True, urgent=True)
    assert order == [TYPICAL, FAST, SLOW]


@pytest.mark.parametrize(
    ("urgent", "expected"), [(True, [FAST, SLOW]), (False, [SLOW, FAST])]
)
def test_single_tasks_leave_fast_workers_to_urgent_ones(urgent, expected):
    slots = {FAST: 2, SLOW: 2}
    order = speedorder.order_ranks(slots, 3, gang=False, urgent=urgent)
    assert order == expected
