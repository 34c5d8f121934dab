"""Search for workers with free or soon free capacity for a group."""

from collections.abc import Callable

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts
from cyclamenshelf_core import waitlimit
from cyclamenshelf_core.taskplacement import remotewait
from cyclamenshelf_core.workerprofiles import speeds

# Time after which a task that is stopped for another has released its worker.
_STOP_MS = 500


def is_remote_preferable(
    state: planstate.PlanningState, entry: planstate.WaitingGroup
) -> bool:
    """Return whether slow placement is preferable to waiting.

    This holds if the group has waited for long beside idle workers, if no rack
    could hold the gang even when empty, if no eligible worker is on the rack of
    its data, or if the group ends sooner elsewhere; if it is not known when
    its rack becomes free, once the group misses its objective. The time that it
    has waited counts too, as others may take what comes free again and again.
    """
    step = entry.job.steps[entry.group.step]
    one_rack = step.gang and step.same_rack
    if not step.data_rack and not one_rack:
        return False
    if waitlimit.is_reached(state, entry):
        return True
    if one_rack:
        slots = freecapacity.count_slots_of_largest_rack(
            state.capacity, entry.job, step
        )
        if slots < len(entry.indexes):
            return True
    if entry.job.priority == 0 and not step.data_rack:
        # Stops make room for it on some rack within the time of a search.
        return entry.slack_ms < 0
    racks = _list_preferred_racks(state, entry)
    if step.data_rack and not racks:
        return True
    wait_ms = _find_shortest_wait(state, entry, racks)
    if not wait_ms:
        # Where there is room but no start, something else than room is missing.
        return entry.slack_ms < 0
    return remotewait.is_sooner_elsewhere(
        entry.waited_ms + wait_ms,
        step.expected_run_ms,
        state.outlook.remote_penalty,
    )


def _find_shortest_wait(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    racks: dict[str, list[freecapacity.CandidateWorker]],
) -> int | None:
    """Return how long until a group fits on one of its racks, if known."""
    shortest_ms: int | None = None
    for rack, workers in racks.items():
        wait_ms = _estimate_wait_ms(state, entry, rack, workers)
        if wait_ms is not None and (
            shortest_ms is None or wait_ms < shortest_ms
        ):
            shortest_ms = wait_ms
        if shortest_ms == 0:
            break
    return shortest_ms


def _list_preferred_racks(
    state: planstate.PlanningState, entry: planstate.WaitingGroup
) -> dict[str, list[freecapacity.CandidateWorker]]:
    """Return the eligible workers of the racks where a group runs fast."""
    step = entry.job.steps[entry.group.step]
    racks: dict[str, list[freecapacity.CandidateWorker]] = {}
    for worker in freecapacity.list_eligible(state.capacity, entry.job, step):
        if step.data_rack in ("", worker.rack):
            racks.setdefault(worker.rack, []).append(worker)
    return racks


def _estimate_wait_ms(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    rack: str,
    workers: list[freecapacity.CandidateWorker],
) -> int | None:
    """Return how long until a group fits on a rack, or None if not known.

    Tasks outside a gang start one by one, as soon as one fits.
    """
    step = entry.job.steps[entry.group.step]
    tasks = len(entry.indexes) if step.gang else 1
    free = {
        worker.id: state.capacity.free[worker.id]
        for worker in workers
        if entry.allowed_workers is None or worker.id in entry.allowed_workers
    }
    wait_ms = remotewait.estimate_wait_ms(free, (), step.need, tasks)
    if wait_ms is not None:
        return wait_ms
    if entry.job.priority == 0:
        preemptor = victimcosts.Preemptor(0, entry.guaranteed)
        preemptible = {
            name: taskjobs.add(
                state.get_soon_free(name),
                state.victims.get_preemptible(name, preemptor),
            )
            for name in free
        }
        if remotewait.estimate_wait_ms(preemptible, (), step.need, tasks) == 0:
            return _STOP_MS
    return remotewait.estimate_wait_ms(
        free, _list_releases(state, rack), step.need, tasks
    )


def _list_releases(
    state: planstate.PlanningState, rack: str
) -> list[remotewait.Release]:
    """Return what the tasks that run on a rack are expected to release."""
    releases = state.releases.get(rack)
    if releases is None:
        releases = state.releases[rack] = []
        for worker in state.capacity.workers.values():
            if worker.rack != rack:
                continue
            for held in state.victims.by_worker.get(worker.id, ()):
                wait_ms = _estimate_release_ms(state, held)
                if wait_ms is not None:
                    releases.append(
                        remotewait.Release(wait_ms, worker.id, held.need)
                    )
    return releases


def _estimate_release_ms(
    state: planstate.PlanningState, held: victimcosts.Allocation
) -> int | None:
    if held.stopping or held.task in state.victims.chosen:
        return _STOP_MS
    return state.outlook.get_remaining_ms(held.task)


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


def find_expected_free(
    state: planstate.PlanningState,
    entry: planstate.WaitingGroup,
    allow_remote: bool,
    within_ms: int,
) -> list[str]:
    """Return a worker for each task that fits once other tasks have ended.

    Args:
        state: State of the decision.
        entry: The group.
        allow_remote: Whether slow placement is allowed.
        within_ms: Time from now until which ends are expected.
    """
    step = entry.job.steps[entry.group.step]
    return _search_workers(
        state,
        make_query(
            state,
            entry,
            freecapacity.list_eligible(state.capacity, entry.job, step),
            lambda worker_id: state.get_expected_free(worker_id, within_ms),
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
