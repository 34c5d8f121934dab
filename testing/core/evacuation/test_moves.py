"""Tests of the choice of tasks that leave an evacuated data centre."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.evacuation import moves

HOUR_MS = 3_600_000


def make_occupant(step, run_ms=0, unavailable=0, job_id="j", index=0):
    group = taskjobs.Group(job_id, 0, 0)
    indexes = range(step.tasks) if step.gang else (index,)
    tasks = tuple(taskjobs.Task(group, number) for number in indexes)
    return moves.Occupant(group, tasks, step, run_ms, unavailable)


def make_finite_step(run_ms, checkpointable=True, **values):
    return builders.make_step(
        2, run_ms=run_ms, checkpointable=checkpointable, **values
    )


def make_lasting_step(tasks, max_unavailable, **values):
    return builders.make_step(
        tasks, long_running=True, max_unavailable=max_unavailable, **values
    )


CASES = {
    "work would be lost": (make_finite_step(HOUR_MS, False), 0, 0, False),
    "resumes": (make_finite_step(HOUR_MS), 0, 0, True),
    "ends soon": (make_finite_step(9_000), 0, 0, False),
    "has nearly ended": (make_finite_step(HOUR_MS), HOUR_MS - 5_000, 0, False),
    "is long overdue": (make_finite_step(9_000), HOUR_MS, 0, True),
    "gang resumes": (make_finite_step(HOUR_MS, gang=True), 0, 0, False),
    "lasts": (make_lasting_step(3, 1), 0, 0, True),
    "none may be unavailable": (make_lasting_step(3, 0), 0, 0, False),
    "another is unavailable": (make_lasting_step(3, 2), 0, 1, False),
    "wide gang": (make_lasting_step(3, 2, gang=True), 0, 0, False),
    "whole gang": (make_lasting_step(3, 3, gang=True), 0, 0, True),
}


@pytest.mark.parametrize("name", CASES)
def test_occupant_is_moved_only_if_its_caller_loses_little(name):
    step, run_ms, unavailable, moved = CASES[name]
    assert moves.should_move(make_occupant(step, run_ms, unavailable)) is moved


def test_tasks_of_a_lasting_step_are_moved_one_at_a_time():
    # Two tasks that were away at once would exceed what the step allows.
    step = make_lasting_step(3, 1)
    occupants = [make_occupant(step, index=index) for index in range(3)]
    chosen = moves.choose_moves(occupants, lambda occupant: True)
    assert chosen == occupants[:1]


def test_occupants_without_room_elsewhere_stay():
    # They would be stopped and wait.
    step = make_lasting_step(1, 1)
    occupants = [make_occupant(step, job_id=f"j{n}") for n in range(20)]
    assert moves.choose_moves(occupants, lambda occupant: False) == []
    room = iter([False, True] * 10)
    chosen = moves.choose_moves(occupants, lambda occupant: next(room))
    assert chosen == occupants[1:16:2]
