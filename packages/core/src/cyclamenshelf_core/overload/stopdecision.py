"""Whether a group waits for tasks that end by themselves or stops others.

Both are compared by what callers lose: that of the group by its delay, those of
the stopped tasks by theirs, and all of them by the room that is taken by work
that is done again. So no more work is thrown away than jobs like that of the
group need.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import enum
import statistics
from typing import NamedTuple

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts
from cyclamenshelf_core.overload import callercost

# Callers' estimates of run times are poor, so capacity may come free this much
# later than they say.
_FORECAST_MARGIN = 2
# Time from the decision to stop tasks to the start on what they release. It
# must be left when a forecast turns out wrong.
STOP_MS = 500
# The longest wait of a group that has to start soon, whatever its slack.
_MAX_SHORT_WAIT_MS = 500


class Choice(enum.StrEnum):
    """Why a group waits for capacity that comes free, or why not."""

    STOP = "stop"
    # Enough is expected to come free before the group would be late.
    IN_TIME = "in_time"
    # The callers of the tasks that would be stopped lose more.
    CHEAPER = "cheaper"


def may_wait(
    demand: callercost.Demand,
    free_after_ms: int,
    must_start: bool,
    waited_ms: int,
) -> bool:
    """Return whether a wait costs the caller of a group nothing.

    Args:
        demand: What the caller expects, relative to now.
        free_after_ms: When enough is expected to come free.
        must_start: Whether the group has to start soon, whatever its slack.
        waited_ms: How long the group has waited for room.
    """
    wait_ms = _FORECAST_MARGIN * free_after_ms
    if must_start and waited_ms + wait_ms > _MAX_SHORT_WAIT_MS:
        return False
    return callercost.compute_delay_cost(demand, wait_ms + STOP_MS) == 0


def compute_wait_loss(
    demand: callercost.Demand, free_after_ms: int | None
) -> float:
    """Return what the caller of a group loses if it waits.

    Args:
        demand: What the caller expects, relative to now.
        free_after_ms: When enough is expected to come free; None if that is
            not known.
    """
    if free_after_ms is None:
        wait_ms = demand.last_use_ms
    else:
        wait_ms = _FORECAST_MARGIN * free_after_ms
    return callercost.compute_delay_cost(demand, wait_ms)


class StopLoss(NamedTuple):
    """What callers lose if tasks are stopped for a group.

    Attributes:
        total: Loss of all callers, that of the group included.
        dearest: The stopped group whose caller loses most by its delay; None
            if none is late by it.
    """

    total: float
    dearest: taskjobs.Group | None


def compute_stop_loss(
    demand: callercost.Demand,
    victims: Sequence[victimcosts.Allocation],
    running: Mapping[taskjobs.Group, callercost.Demand],
) -> StopLoss:
    """Return what all callers lose if tasks are stopped for a group.

    Args:
        demand: What the caller of the group expects, relative to now.
        victims: The tasks that would be stopped.
        running: What the callers of running tasks expect, relative to now.
    """
    by_group: dict[taskjobs.Group, list[victimcosts.Allocation]] = {}
    for held in victims:
        by_group.setdefault(held.task.group, []).append(held)
    delays = {
        group: _compute_victim_loss(demand, stopped, running[group])
        for group, stopped in by_group.items()
        if group in running
    }
    lost_core_ms = sum(map(victimcosts.compute_lost_core_ms, victims))
    repeated = lost_core_ms / _compute_typical_work(demand, running)
    total = callercost.compute_delay_cost(demand, STOP_MS)
    total += sum(delays.values())
    total += callercost.compute_weight(demand.priority) * repeated
    delayed = [group for group in delays if delays[group] > 0]
    dearest = max(
        delayed, key=lambda group: (delays[group], group), default=None
    )
    return StopLoss(total, dearest)


def _compute_typical_work(
    demand: callercost.Demand,
    running: Mapping[taskjobs.Group, callercost.Demand],
) -> float:
    """Return the work of a job like that of the group, in core-milliseconds.

    Work that is done again takes room in which such jobs could run, so it costs
    as much as not serving their callers. Estimates of single jobs are poor.
    """
    works = [
        other.work_core_ms
        for other in running.values()
        if other.priority == demand.priority
    ]
    return max(1.0, statistics.fmean([demand.work_core_ms, *works]))


def _compute_victim_loss(
    demand: callercost.Demand,
    stopped: list[victimcosts.Allocation],
    victim: callercost.Demand,
) -> float:
    """Return what the caller of stopped tasks loses by their delay.

    The room of the stopped tasks is in use until the group has ended.
    """
    delay_ms = STOP_MS + demand.remaining_ms
    delay_ms += max(held.lost_work_ms for held in stopped)
    return callercost.compute_delay_cost(
        victim, delay_ms
    ) - callercost.compute_delay_cost(victim, 0)
