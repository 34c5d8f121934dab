"""Tests of the closed loop that paces best-effort tasks."""

import pytest

from cyclamenshelf_core.pacing import control

TERMS = control.PacingTerms(interval_ms=100, max_excess_ms=4_500)
REPORT_MS = 300


def run_loop(compute_load, reports, percent=100):
    """Report the load that follows from each pace; return the paces."""
    pace = control.Pace(percent, 0)
    paces = []
    for number in range(1, reports + 1):
        load = compute_load(pace.percent)
        pace = control.update_pace(pace, load, number * REPORT_MS, TERMS)
        paces.append(pace)
    return paces


def test_tail_above_its_target_falls_well_before_the_longest_excess():
    # Best-effort tasks that work on beside a tail above its target harm users.
    paces = run_loop(lambda percent: 0.3 + percent / 100, 20)
    assert paces[0].percent == control.MIN_PERCENT
    assert not any(pace.stop for pace in paces)


def test_pace_is_lowered_before_a_tail_reaches_its_target():
    paces = run_loop(lambda percent: 0.5 + percent / 250, 40)
    assert all(pace.excess_since_ms is None for pace in paces)
    assert paces[-1].percent == 50


def test_pace_rises_slowly_to_the_maximum_beside_idle_tasks():
    paces = run_loop(lambda percent: 0.1, 40, percent=20)
    rises = [
        later.percent - earlier.percent
        for earlier, later in zip(paces, paces[1:], strict=False)
    ]
    assert max(rises) <= 10
    assert paces[-1].percent == control.MAX_PERCENT


@pytest.mark.parametrize("load", [1.0, 3.0])
def test_tasks_are_stopped_only_where_the_minimum_does_not_help(load):
    # The excess of the tail had no end, and the bound on it still has to hold.
    paces = run_loop(lambda percent: load, 12)
    stops = [number for number, pace in enumerate(paces) if pace.stop]
    assert stops[0] * REPORT_MS >= 1_000
    assert (stops[0] + 1) * REPORT_MS < TERMS.max_excess_ms - 1_500


def test_report_without_a_tail_changes_nothing():
    pace = control.Pace(30, 0, excess_since_ms=100)
    assert control.update_pace(pace, None, 9_000, TERMS) == pace


@pytest.mark.parametrize(
    ("load", "room"), [(None, False), (0.5, True), (0.7, False)]
)
def test_best_effort_tasks_start_only_beside_a_known_low_tail(load, room):
    assert control.has_room(load) is room
