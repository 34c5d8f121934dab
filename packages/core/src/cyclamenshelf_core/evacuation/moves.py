"""Which running tasks are moved out of a data centre that is being emptied.

A finite task usually ends where it runs, as moving it costs its caller a stop
and another start. What would keep the data centre in use for long is moved, if
its caller loses little by that: tasks that last, as far as their step allows
it, and tasks that resume from a checkpoint.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import taskjobs

# A finite task that is expected to end within this time is left to end.
_MAX_STAY_MS = 30_000
# Moves per decision, so that the tasks that start elsewhere do not crowd out
# the tasks that arrive meanwhile.
_MAX_MOVES = 8


class Occupant(NamedTuple):
    """Running tasks of a group that a stop would end together.

    Attributes:
        tasks: A single task, or all members of a gang.
        run_ms: How long they have run.
        unavailable: Number of tasks of the group that are not at work.
    """

    group: taskjobs.Group
    tasks: tuple[taskjobs.Task, ...]
    step: taskjobs.Step
    run_ms: int
    unavailable: int


def choose_moves(
    occupants: Iterable[Occupant], reserve_room: Callable[[Occupant], bool]
) -> list[Occupant]:
    """Return the occupants to stop now, so that they start elsewhere.

    Args:
        occupants: What runs in data centres that are being emptied.
        reserve_room: Reserves room in other data centres; returns whether
            there is any.
    """
    chosen: list[Occupant] = []
    moved_groups: set[taskjobs.Group] = set()
    for occupant in occupants:
        if len(chosen) == _MAX_MOVES:
            break
        if occupant.group in moved_groups or not should_move(occupant):
            continue
        if reserve_room(occupant):
            chosen.append(occupant)
            moved_groups.add(occupant.group)
    return chosen


def should_move(occupant: Occupant) -> bool:
    """Return whether an occupant is to be moved once there is room for it."""
    step = occupant.step
    if step.long_running:
        # The step's tasks go one by one: the next one only once all others are
        # at work.
        return (
            occupant.unavailable == 0
            and len(occupant.tasks) <= step.max_unavailable
        )
    if step.gang or not step.checkpointable:
        return False
    return _estimate_remaining_ms(occupant) > _MAX_STAY_MS


def _estimate_remaining_ms(occupant: Occupant) -> int:
    """Return the expected time until a finite task ends.

    One that is overdue is expected to take as long again as it is overdue.
    """
    return abs(occupant.step.expected_run_ms - occupant.run_ms)
