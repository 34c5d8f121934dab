"""Tests of run times estimated from reported progress."""

import pytest

from cyclamenshelf_core.workerprofiles import runprogress


def make_progress(*reports):
    progress = None
    for now_ms, percent in reports:
        progress = runprogress.add_report(progress, now_ms, percent)
    return progress


def test_resumed_run_is_as_long_as_a_whole_one():
    # A run that resumed at 60% took less than half as long as its peers, which
    # made its worker look fast.
    progress = make_progress((1_000, 60), (2_000, 70), (3_000, 80))
    assert runprogress.estimate_run_ms(progress) == pytest.approx(10_000)


def test_member_that_waits_for_its_gang_keeps_its_own_pace():
    # Members on fast workers report 100% until the slowest one is done.
    progress = make_progress((0, 0), (1_000, 50), (2_000, 100), (9_000, 100))
    assert runprogress.estimate_run_ms(progress) == pytest.approx(2_000)


def test_few_percent_tell_nothing():
    assert runprogress.estimate_run_ms(make_progress((0, 0), (9, 2))) is None
    assert runprogress.estimate_run_ms(make_progress()) is None


def test_work_that_begins_again_is_measured_anew():
    progress = make_progress((0, 0), (1_000, 50), (1_500, 0), (3_500, 20))
    assert runprogress.estimate_run_ms(progress) == pytest.approx(10_000)


def test_remaining_time_counts_from_the_last_report():
    progress = make_progress((0, 0), (1_000, 25))
    assert runprogress.estimate_remaining_ms(progress, 1_500) == 2_500
    assert runprogress.estimate_remaining_ms(progress, 9_000) == 0
