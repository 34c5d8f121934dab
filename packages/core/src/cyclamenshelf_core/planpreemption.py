"""Preemption of tasks for a group that found no free capacity."""

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import plansearch
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts
from cyclamenshelf_core import victimsearch


def preempt_and_reserve(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    allow_remote: bool,
) -> None:
    """Reserve capacity for a group, preempting other tasks if necessary."""
    placed = plansearch.find_soon_free(state, entry, allow_remote)
    if len(placed) < len(entry.indexes):
        _choose_victims(state, entry, allow_remote)
        placed = plansearch.find_soon_free(state, entry, allow_remote)
    planstate.reserve(state, entry, placed)


def _choose_victims(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    allow_remote: bool,
) -> None:
    """Choose the tasks to stop for a group.

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
        return
    stops = victimsearch.choose_victims(
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
    state.stops += [planstate.Stop(held.task, entry.group) for held in stops]


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
