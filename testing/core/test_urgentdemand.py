"""Tests of the capacity that is kept free for priority 0."""

import pytest

from cyclamenshelf_core import urgentdemand

NOW_MS = 50_000


@pytest.mark.parametrize(
    ("age_ms", "expected"), [(0, 13), (9_999, 13), (10_000, 0)]
)
def test_headroom_is_the_recent_demand_less_what_is_in_use(age_ms, expected):
    # It is given back once nothing urgent has asked for as much for a while.
    demand = urgentdemand.UrgentDemand()
    demand.in_use["s"] = 8
    urgentdemand.record_demand(demand, {"s": 8}, NOW_MS)
    demand.in_use["s"] = 3
    headroom = urgentdemand.compute_headroom(demand, NOW_MS + age_ms)
    assert headroom == {"s": expected}


def test_services_have_headrooms_of_their_own():
    # Workers of one service cannot run the urgent tasks of another.
    demand = urgentdemand.UrgentDemand()
    urgentdemand.record_demand(demand, {"a": 8}, NOW_MS)
    urgentdemand.record_demand(demand, {"b": 4}, NOW_MS)
    headroom = urgentdemand.compute_headroom(demand, NOW_MS)
    assert headroom == {"a": 8, "b": 4}
