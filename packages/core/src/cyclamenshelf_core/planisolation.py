"""Placement of tasks that are suspected of crashing their workers."""

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import plansearch
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import waitlimit

# At most one of this many workers is kept from other tasks until it is empty.
_WORKERS_PER_KEPT = 8
# At most one of this many workers runs isolated tasks. Empty workers are rare
# on a busy fleet; on others, isolated tasks must not wait beside them.
_WORKERS_PER_ISOLATED = 2


def schedule_isolated_group(
    state: planstate.PlanningState, entry: planstate.WaitingGroup
) -> None:
    """Start a group on workers that run nothing else, or keep some for it.

    Workers that are kept get no other tasks in this decision. As those with
    the least allocated are taken, the next decisions keep the same ones, until
    their tasks have ended. At the limit on waiting the group starts beside
    other tasks, as workers with tasks that last never become empty.
    """
    chosen = _choose_workers(state, entry)
    empty = all(_is_empty(state, worker_id) for worker_id in chosen)
    share = _WORKERS_PER_ISOLATED if empty else _WORKERS_PER_KEPT
    if chosen and not _may_isolate(state, len(chosen), share):
        chosen = {}
    if chosen and empty:
        placed = [name for name, count in chosen.items() for _ in range(count)]
        planstate.start_tasks(state, entry, placed)
    elif waitlimit.is_reached(state, entry) and _start_beside_others(
        state, entry
    ):
        return
    else:
        state.blocked.append(entry.group)
    state.isolated += len(chosen)
    for worker_id in chosen:
        state.capacity.free[worker_id] = taskjobs.NO_RESOURCES


def _start_beside_others(
    state: planstate.PlanningState, entry: planstate.WaitingGroup
) -> bool:
    """Start a group where a crash would stop the fewest tasks, if it fits.

    Its workers get no further tasks, least of all other suspected ones, unless
    too many workers run isolated tasks already.
    """
    step = entry.job.steps[entry.group.step]
    slots = freecapacity.list_slots(
        state.capacity,
        plansearch.make_query(
            state,
            entry,
            freecapacity.list_fitting(state.capacity, entry.job, step),
            state.capacity.free.__getitem__,
            allow_remote=True,
        ),
    )
    placed: list[str] = []
    for worker_id in sorted(
        slots,
        key=lambda name: (len(state.victims.by_worker.get(name, ())), name),
    ):
        placed += [worker_id] * slots[worker_id]
    del placed[len(entry.indexes) :]
    if len(placed) < len(entry.indexes):
        return False
    workers = set(placed)
    isolated = _may_isolate(state, len(workers), _WORKERS_PER_ISOLATED)
    planstate.start_tasks(state, entry._replace(isolated=isolated), placed)
    if isolated:
        state.isolated += len(workers)
    for worker_id in workers:
        state.capacity.free[worker_id] = taskjobs.NO_RESOURCES
    return True


def _choose_workers(
    state: planstate.PlanningState, entry: planstate.WaitingGroup
) -> dict[str, int]:
    """Return how many tasks to place on which workers; empty if too few fit.

    Workers that have run for long come first: one that has just started may be
    one that crashes whatever it runs.
    """
    step = entry.job.steps[entry.group.step]
    candidates = [
        worker
        for worker in freecapacity.list_eligible(
            state.capacity, entry.job, step
        )
        if entry.allowed_workers is None or worker.id in entry.allowed_workers
    ]
    candidates.sort(
        key=lambda worker: (
            _rank_by_allocated(state, worker),
            worker.suspect,
            worker.started_ms,
            worker.id,
        )
    )
    chosen: dict[str, int] = {}
    missing = len(entry.indexes)
    for worker in candidates:
        count = taskjobs.count_fitting(worker.total, step.need)
        count = min(count, step.max_per_worker or count, missing)
        if count > 0:
            chosen[worker.id] = count
            missing -= count
        if not missing:
            return chosen
    return {}


def _may_isolate(
    state: planstate.PlanningState, workers: int, share: int
) -> bool:
    """Return whether more workers may be taken; one group always may."""
    limit = len(state.capacity.workers) // share
    return state.isolated == 0 or state.isolated + workers <= limit


def _is_empty(state: planstate.PlanningState, worker_id: str) -> bool:
    worker = state.capacity.workers[worker_id]
    return state.capacity.free[worker_id] == worker.total


def _rank_by_allocated(
    state: planstate.PlanningState, worker: freecapacity.CandidateWorker
) -> tuple[int, int, int]:
    """Return a sort key that is lowest for an empty worker."""
    used = taskjobs.subtract(worker.total, state.capacity.free[worker.id])
    return (used.accelerators, used.cpu_millis, used.memory_mb)
