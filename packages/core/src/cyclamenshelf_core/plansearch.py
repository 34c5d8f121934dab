"""Search for workers with free or soon free capacity for a group."""

from collections.abc import Callable

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import waitlimit
from cyclamenshelf_core.workerprofiles import speeds


def is_remote_preferable(
    state: planstate.PlanningState, entry: planstate.WaitingGroup
) -> bool:
    """Return whether slow placement is preferable to waiting.

    This holds if the group already misses its objective, if it has waited for
    long beside idle workers, if no rack could hold the gang even when empty,
    or if no eligible worker is on the rack of its data.
    """
    step = entry.job.steps[entry.group.step]
    if entry.slack_ms < 0 or waitlimit.is_reached(state, entry):
        return True
    if step.gang and step.same_rack:
        slots = freecapacity.count_slots_of_largest_rack(
            state.capacity, entry.job, step
        )
        if slots < len(entry.indexes):
            return True
    if not step.data_rack:
        return False
    return not any(
        step.data_rack == worker.rack
        and freecapacity.is_eligible(worker, entry.job, step)
        for worker in state.capacity.workers.values()
    )


def find_free(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    allow_remote: bool,
) -> list[str]:
    """Return a worker with free capacity for each task that fits."""
    step, tasks = entry.job.steps[entry.group.step], len(entry.indexes)
    shape = planstate.Shape(
        entry.job.service,
        step.label,
        step.data_rack,
        step.need,
        step.gang,
        step.same_rack,
        allow_remote,
        entry.allowed_workers,
        step.fills,
        step.tail_target_ms > 0,
    )
    # Tasks outside a gang are placed one by one, so a search for them only
    # fails if not even one fits.
    required_count = tasks if step.gang else 1
    if required_count >= state.unplaceable.get(shape, required_count + 1):
        return []
    found = _search_workers(
        state,
        make_query(
            state,
            entry,
            freecapacity.list_fitting(state.capacity, entry.job, step),
            state.capacity.free.__getitem__,
        ),
        allow_remote,
    )
    if not found and not step.max_per_worker:
        state.unplaceable[shape] = required_count
    return found


def find_soon_free(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    allow_remote: bool,
) -> list[str]:
    """Return a worker for each task that fits into free and released capacity.

    Released capacity is what stopping tasks are about to release.
    """
    capacity, step = state.capacity, entry.job.steps[entry.group.step]
    candidates = {
        worker.id: worker
        for worker in freecapacity.list_fitting(capacity, entry.job, step)
    }
    for worker_id in state.victims.releasing:
        worker = capacity.workers.get(worker_id)
        if worker and freecapacity.is_eligible(worker, entry.job, step):
            candidates[worker_id] = worker
    return _search_workers(
        state,
        make_query(
            state, entry, list(candidates.values()), state.get_soon_free
        ),
        allow_remote,
    )


def make_query(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    candidates: list[freecapacity.CandidateWorker],
    get_available: Callable[[str], taskjobs.Resources],
    allow_remote: bool = False,
) -> freecapacity.Query:
    """Return the search for workers for the tasks of a group."""
    return freecapacity.Query(
        entry.job,
        entry.group.step,
        len(entry.indexes),
        candidates,
        get_available,
        allow_remote,
        entry.allowed_workers,
        _needs_fast_workers(state, entry),
    )


def _needs_fast_workers(
    state: planstate.PlanningState, entry: planstate.WaitingGroup
) -> bool:
    """Return whether a group is urgent, or late if it runs on a slow worker."""
    if entry.job.priority == 0:
        return True
    run_ms = entry.job.steps[entry.group.step].expected_run_ms
    added_ms = run_ms * (speeds.get_run_factor(state.slowest_rank) - 1)
    return 0 <= entry.slack_ms < added_ms


def _search_workers(
    state: planstate.PlanningState,
    query: freecapacity.Query,
    allow_remote: bool,
) -> list[str]:
    """Return a worker for each task, off the rack of the data if necessary."""
    found = freecapacity.find_workers(state.capacity, query)
    if len(found) < query.tasks and allow_remote:
        remote = freecapacity.find_workers(
            state.capacity, query._replace(allow_remote=True)
        )
        found = max(found, remote, key=len)
    return found
