"""Tests of what is expected to come free by itself."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts
from cyclamenshelf_core.overload import forecast

JOB = builders.make_job("low", builders.make_step(4, 2, cpu_millis=0))


def make_held(index, left_ms, **values):
    return builders.make_allocation(
        JOB, "w00", index, expected_left_ms=left_ms, **values
    )


HELD = [
    make_held(0, 900),
    make_held(1, 100),
    make_held(2, None),
    make_held(3, 100, stopping=True),
]


@pytest.mark.parametrize(
    ("within_ms", "accelerators"), [(50, 0), (100, 2), (5_000, 4)]
)
def test_only_known_ends_count_and_those_of_stopping_tasks_do_not(
    within_ms, accelerators
):
    # What a stopping task releases is counted as soon free already.
    released = forecast.get_released(
        forecast.ExpectedEnds(HELD),
        "w00",
        within_ms,
        victimcosts.VictimIndex(HELD),
    )
    assert released.accelerators == accelerators


def test_task_that_is_stopped_meanwhile_is_not_counted_twice():
    ends, victims = forecast.ExpectedEnds(HELD), victimcosts.VictimIndex(HELD)

    def get_accelerators():
        return forecast.get_released(ends, "w00", 500, victims).accelerators

    assert get_accelerators() == 2
    marked = victims.mark_for_stop(HELD[1])
    assert get_accelerators() == 0
    victims.unmark(marked)
    assert get_accelerators() == 2
    assert victims.releasing["w00"] == HELD[3].need


def test_nothing_is_expected_of_an_empty_worker():
    released = forecast.get_released(
        forecast.ExpectedEnds([]), "w01", 500, victimcosts.VictimIndex([])
    )
    assert released == taskjobs.NO_RESOURCES
