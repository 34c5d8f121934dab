"""Moves running tasks out of data centres that are being emptied."""

from collections.abc import Callable

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.evacuation import moves
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import owneradvice
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import suspension
from cyclamenshelf_daemon.tasks.endings import stops

_INTERVAL_MS = 500


def move_if_due(owner: ownerstate.Owner) -> None:
    """Stop tasks that can start in other data centres, a few at a time."""
    now_ms = owner.context.clock.now_ms()
    if not owner.evacuations or now_ms < owner.moves_due_ms:
        return
    owner.moves_due_ms = now_ms + _INTERVAL_MS
    if suspension.find_suspension(owner, now_ms) is not None:
        return
    occupants = list_occupants(owner, now_ms)
    if not any(map(moves.should_move, occupants)):
        return
    reserve_room = _make_room_reserver(owner, now_ms)
    for occupant in moves.choose_moves(occupants, reserve_room):
        for task in occupant.tasks:
            run = owner.ledger.runs.get(task)
            if run is not None:
                stops.stop_run(owner.ledger, run, "data_centre_evacuated")


def list_occupants(
    owner: ownerstate.Owner, now_ms: int
) -> list[moves.Occupant]:
    """Return what may be moved out of data centres that are being emptied."""
    ledger = owner.ledger
    occupants: dict[tuple[taskjobs.Task, ...], moves.Occupant] = {}
    members: dict[taskjobs.Group, list[ledgers.Run]] = {}
    unavailable: dict[taskjobs.Group, int] = {}
    for run in _list_evacuated_runs(owner):
        group = run.task.group
        step = ledger.jobs[group.job_id].job.steps[group.step]
        if not (step.long_running or step.checkpointable):
            continue
        if group not in members:
            members[group] = ledgers.list_group_runs(ledger, group)
            at_work = sum(map(_is_at_work, members[group]))
            unavailable[group] = step.tasks - at_work
        tasks = (run.task,)
        if step.gang:
            tasks = tuple(sorted(member.task for member in members[group]))
        # The members of a gang make one occupant.
        if tasks not in occupants:
            occupants[tasks] = moves.Occupant(
                group,
                tasks,
                step,
                now_ms - run.since_ms,
                unavailable[group],
            )
    return list(occupants.values())


def _list_evacuated_runs(owner: ownerstate.Owner) -> list[ledgers.Run]:
    return [
        run
        for worker in owner.workers.values()
        if worker.evacuated
        for run in ledgers.list_worker_runs(owner.ledger, worker.info.id)
        if run.phase is ledgers.Phase.RUNNING and not run.isolated
    ]


def _is_at_work(run: ledgers.Run) -> bool:
    return run.phase is ledgers.Phase.RUNNING and run.at_work


def _make_room_reserver(
    owner: ownerstate.Owner, now_ms: int
) -> Callable[[moves.Occupant], bool]:
    """Return a function that reserves room for the tasks of an occupant."""
    ledger, lists = owner.ledger, owner.context.get_lists()
    capacity = planstate.PlanningState(
        planning.list_free_capacity(ledger, owner.workers.values(), now_ms),
        planning.list_allocations(ledger, lists, now_ms),
        ledger.step_counts,
    ).capacity
    # Room there goes to the tasks that already wait for it.
    full_services = {
        ledger.jobs[group.job_id].job.service
        for group in owner.decision.blocked
        if group.job_id in ledger.jobs
    }

    def reserve(occupant: moves.Occupant) -> bool:
        entry = ledger.jobs[occupant.group.job_id]
        if entry.job.service in full_services:
            return False
        if owneradvice.get_advice_terms(owner, entry) is not None:
            # Which other workers may run it is not known before it waits.
            return False
        placed = _find_workers(capacity, entry.job, occupant)
        if len(placed) < len(occupant.tasks):
            return False
        freecapacity.record_placed(capacity, occupant.step, placed)
        for worker_id in placed:
            freecapacity.allocate(
                capacity,
                worker_id,
                occupant.step.need,
                (entry.job.id, occupant.group.step),
            )
        return True

    return reserve


def _find_workers(
    capacity: freecapacity.FreeCapacity,
    job: taskjobs.TaskJob,
    occupant: moves.Occupant,
) -> list[str]:
    """Return a worker for each task of an occupant that can be placed."""
    step = occupant.step
    return freecapacity.find_workers(
        capacity,
        freecapacity.Query(
            job,
            occupant.group.step,
            len(occupant.tasks),
            freecapacity.list_fitting(capacity, job, step),
            capacity.free.__getitem__,
            # Off the rack of its data, a finite task would take longer than
            # where it is.
            allow_remote=step.long_running,
        ),
    )
