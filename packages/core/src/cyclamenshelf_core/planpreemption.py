"""Preemption of tasks for a group that found no free capacity.

Tasks are only stopped if callers lose less by it than if the group waits for
others to end; see `overload.stopdecision`.
"""

from typing import NamedTuple

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import plansearch
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts
from cyclamenshelf_core import victimsearch
from cyclamenshelf_core.overload import callercost
from cyclamenshelf_core.overload import floor
from cyclamenshelf_core.overload import stopdecision

# Times for which it is asked whether enough comes free by then.
_FORECAST_TIMES_MS = (250, 500, 1_000, 2_000, 4_000, 8_000)

# How many times cheaper stops are searched for.
_MAX_ALTERNATIVES = 3


class _Forecast(NamedTuple):
    """When a group is expected to fit, and where.

    Attributes:
        free_after_ms: Time from now; None if it is not known.
        workers: A worker for each task that fits then.
    """

    free_after_ms: int | None
    workers: list[str]


class _Stops(NamedTuple):
    """Tasks to stop for a group.

    Attributes:
        placed: A worker for each task that fits then.
        loss: What callers lose by it.
    """

    victims: list[victimcosts.Allocation]
    placed: list[str]
    loss: stopdecision.StopLoss


def preempt_and_reserve(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    allow_remote: bool,
) -> None:
    """Reserve capacity for a group, preempting other tasks if necessary."""
    placed = plansearch.find_soon_free(state, entry, allow_remote)
    if len(placed) < len(entry.indexes):
        placed = _preempt_or_wait(state, entry, allow_remote)
    planstate.reserve(state, entry, placed)


def _preempt_or_wait(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    allow_remote: bool,
) -> list[str]:
    """Stop tasks for a group unless callers lose less if it waits.

    Returns:
        A worker for each task for which capacity is to be reserved.
    """
    demand = callercost.make_relative_demand(
        entry.job, entry.group, len(entry.indexes), entry.slack_ms
    )
    # The users of a lasting task are not served while it waits.
    must_start = (
        entry.guaranteed or entry.job.steps[entry.group.step].long_running
    )
    expected = _forecast_room(state, entry, allow_remote, demand)
    after_ms = expected.free_after_ms
    if after_ms is not None and stopdecision.may_wait(
        demand, after_ms, must_start, entry.waited_ms
    ):
        return _wait(state, entry, expected, stopdecision.Choice.IN_TIME)
    stops = _choose_stops(state, entry, allow_remote, demand)
    if stops.victims and not must_start:
        wait_loss = stopdecision.compute_wait_loss(demand, after_ms)
        if stops.loss.total > wait_loss:
            state.victims.unmark(stops.victims)
            if after_ms is None:
                # Nothing else starts there, so that the group fits once
                # enough tasks have ended.
                expected = expected._replace(workers=stops.placed)
            return _wait(state, entry, expected, stopdecision.Choice.CHEAPER)
    state.stops += [
        planstate.Stop(held.task, entry.group) for held in stops.victims
    ]
    return stops.placed


def _wait(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    expected: _Forecast,
    choice: stopdecision.Choice,
) -> list[str]:
    state.waits.append(
        planstate.Wait(entry.group, choice, expected.free_after_ms)
    )
    return expected.workers


def _forecast_room(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    allow_remote: bool,
    demand: callercost.Demand,
) -> _Forecast:
    """Return when all tasks of a group fit, as long as they are of use."""

    def find(time_ms: int) -> list[str]:
        found = plansearch.find_expected_free(
            state, entry, allow_remote, time_ms
        )
        return found if len(found) == len(entry.indexes) else []

    times_ms = [
        time_ms
        for time_ms in _FORECAST_TIMES_MS
        if time_ms + demand.remaining_ms <= demand.last_use_ms
    ]
    # What does not fit at the last time does not fit earlier either.
    workers = find(times_ms[-1]) if times_ms else []
    if not workers:
        return _Forecast(None, [])
    first, last = 0, len(times_ms) - 1
    while first < last:
        middle = (first + last) // 2
        found = find(times_ms[middle])
        if found:
            workers, last = found, middle
        else:
            first = middle + 1
    return _Forecast(times_ms[last], workers)


def _choose_stops(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    allow_remote: bool,
    demand: callercost.Demand,
) -> _Stops:
    """Choose the tasks to stop for a group, and mark them.

    The search weighs lost work only. It is repeated without the group whose
    caller loses most, as long as all callers together lose less then.
    """
    kept: set[taskjobs.Group] = set()
    if not entry.guaranteed:
        kept = floor.list_protected(
            state.victims.by_group, state.capacity.workers, state.running
        )
    best = _search_stops(state, entry, allow_remote, demand, kept)
    for _ in range(_MAX_ALTERNATIVES):
        if best.loss.dearest is None:
            break
        state.victims.unmark(best.victims)
        kept = kept | {best.loss.dearest}
        other = _search_stops(state, entry, allow_remote, demand, kept)
        if (
            len(other.placed) < len(best.placed)
            or other.loss.total >= best.loss.total
        ):
            state.victims.unmark(other.victims)
            for held in best.victims:
                state.victims.mark_for_stop(held)
            break
        best = other
    state.victims.keep(())
    return best


def _search_stops(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    allow_remote: bool,
    demand: callercost.Demand,
    kept: set[taskjobs.Group],
) -> _Stops:
    state.victims.keep(kept)
    victims = _choose_victims(state, entry, allow_remote)
    return _Stops(
        victims,
        plansearch.find_soon_free(state, entry, allow_remote),
        stopdecision.compute_stop_loss(demand, victims, state.running),
    )


def _choose_victims(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    allow_remote: bool,
) -> list[victimcosts.Allocation]:
    """Choose the tasks to stop for a group, and mark them.

    No task is stopped for a gang that would not fit as a whole even then.
    """
    step = entry.job.steps[entry.group.step]
    preemptor = victimcosts.Preemptor(entry.job.priority, entry.guaranteed)

    def get_available(worker_id: str) -> taskjobs.Resources:
        return taskjobs.add(
            state.get_soon_free(worker_id),
            state.victims.get_preemptible(worker_id, preemptor),
        )

    def get_cost(worker_id: str) -> float:
        soon_free = state.get_soon_free(worker_id)
        return state.victims.get_cost(
            worker_id, soon_free, step.need, preemptor
        )

    slots = freecapacity.list_slots(
        state.capacity,
        plansearch.make_query(
            state,
            entry,
            freecapacity.list_eligible(state.capacity, entry.job, step),
            get_available,
            allow_remote,
        ),
        get_cost,
    )
    if step.gang and sum(slots.values()) < len(entry.indexes):
        return []
    return victimsearch.choose_victims(
        state.victims,
        victimsearch.Request(
            step.need, len(entry.indexes), preemptor, step.data_rack
        ),
        {
            name: victimsearch.Candidate(
                slots[name],
                state.get_soon_free(name),
                state.capacity.workers[name].rack,
                state.capacity.workers[name].suspect,
                freecapacity.get_rank(state.capacity.workers[name], step) > 0,
            )
            for name in slots
        },
    )


def preempt_best_effort(
    state: planstate.PlanningState, entry: planstate.WaitingGroup
) -> None:
    """Stop best-effort tasks on workers where tasks of the group then fit.

    Workers with the fewest best-effort tasks come first.
    """
    step, missing_count = entry.job.steps[entry.group.step], len(entry.indexes)
    fills = {
        worker.id: [
            held
            for held in state.victims.by_worker.get(worker.id, ())
            if held.fills
        ]
        for worker in freecapacity.list_eligible(
            state.capacity, entry.job, step
        )
    }
    for worker_id in sorted(fills, key=lambda name: (len(fills[name]), name)):
        available = state.get_soon_free(worker_id)
        for held in fills[worker_id]:
            if not held.stopping and held.task not in state.victims.chosen:
                available = taskjobs.add(available, held.need)
        fitting = taskjobs.count_fitting(available, step.need)
        if not fills[worker_id] or not fitting:
            continue
        for held in fills[worker_id]:
            stops = state.victims.mark_for_stop(held)
            state.stops += [
                planstate.Stop(stop.task, entry.group) for stop in stops
            ]
        missing_count -= min(fitting, step.max_per_worker or fitting)
        if missing_count <= 0:
            return
