"""Tests of what a delay costs a caller, and of the order that follows."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.overload import callercost

# One step of 5 s on one core and one accelerator, due at 1 s and in time
# until 3 * 5 s + 1 s later.
JOB = builders.make_job("j", priority=0)
GROUP = taskjobs.Group("j", 0, 0)
DEMAND = callercost.make_demand(JOB, GROUP)


def test_demand_follows_the_objective_and_the_remaining_work():
    assert callercost.Demand(0, 17_000, 49_000, 5_000, 45_000) == DEMAND


def test_later_steps_need_only_the_rest_of_the_critical_path():
    # A job halfway through would otherwise seem late while it is not.
    steps = (builders.make_step(), builders.make_step(after=(0,)))
    job = builders.make_job("j", *steps)
    demand = callercost.make_demand(job, taskjobs.Group("j", 0, 1))
    assert demand.remaining_ms == 5_000
    assert demand.work_core_ms == 45_000


@pytest.mark.parametrize(
    ("start_ms", "cost"),
    [(0, 0), (12_000, 0), (28_000, 0.75), (44_000, 1), (90_000, 1)],
)
def test_cost_grows_from_the_objective_to_the_last_use(start_ms, cost):
    assert callercost.compute_delay_cost(DEMAND, start_ms) == cost


def test_delay_costs_less_at_lower_priority():
    lower = DEMAND._replace(priority=2)
    assert callercost.compute_delay_cost(lower, 90_000) == 0.25


def test_large_late_jobs_do_not_hold_up_small_ones():
    # In a burst of all sizes, the callers of many small jobs would be late
    # behind one large job that is late anyway.
    small = DEMAND._replace(work_core_ms=1_000, objective_ms=16_000)
    large = DEMAND._replace(work_core_ms=900_000, objective_ms=15_000)
    key = callercost.get_order_key
    assert key(small, 20_000) < key(large, 20_000)


def test_jobs_of_no_use_come_last_and_the_oldest_of_them_first():
    # Behind jobs that nobody needs any more, all others would be late too.
    expired = DEMAND._replace(last_use_ms=18_000, objective_ms=16_000)
    older = expired._replace(last_use_ms=17_000)
    order = sorted(
        [expired, DEMAND, older],
        key=lambda demand: callercost.get_order_key(demand, 20_000),
    )
    assert order == [DEMAND, older, expired]


def test_relative_demand_costs_the_same_as_an_absolute_one():
    now_ms = 20_000
    slack_ms = DEMAND.objective_ms - DEMAND.remaining_ms - now_ms
    relative = callercost.make_relative_demand(JOB, GROUP, 1, slack_ms)
    assert callercost.compute_delay_cost(
        relative, 3_000
    ) == callercost.compute_delay_cost(DEMAND, now_ms + 3_000)
