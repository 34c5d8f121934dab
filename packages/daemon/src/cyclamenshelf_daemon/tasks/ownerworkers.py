"""Workers of the owner: added, updated, drained and removed."""

import threading

from cyclamenshelf_core.stopping import losses
from cyclamenshelf_core.workerprofiles import speeds
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import links
from cyclamenshelf_daemon.tasks import lostworkers
from cyclamenshelf_daemon.tasks import orders
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import reports
from cyclamenshelf_daemon.tasks.endings import stops
from cyclamenshelf_daemon.tasks.pacing import pacer

# How often workers that are no longer listed are checked for removal.
_SYNC_INTERVAL_MS = 400
_SETTLE_MS = 300


def follow_worker_list(owner: ownerstate.Owner, wait_ms: int) -> None:
    """Start the thread that follows the list of workers."""
    context = owner.context
    owner.workers_copy.changed = lambda rows: ownerstate.post(
        owner, lambda: _apply_list_rows(owner, rows)
    )
    following.start_following(
        owner.workers_copy,
        context.store,
        context.clock,
        owner.tenure.ended,
        wait_ms,
    )


def _apply_list_rows(owner: ownerstate.Owner, rows: list[ports.Row]) -> None:
    """Apply changed entries of the list of workers."""
    if owner.listed_workers is None:
        owner.listed_workers = {}
        owner.settle_until_ms = owner.context.clock.now_ms() + _SETTLE_MS
    for row in rows:
        _apply_list_row(owner, owner.listed_workers, row)
    _sync_workers(owner)


def _apply_list_row(
    owner: ownerstate.Owner,
    listed: dict[str, ports.WorkerInfo],
    row: ports.Row,
) -> None:
    """Apply a changed entry; the worker of an unreadable one keeps its tasks.

    Another program may have written the entry, and the worker's next write
    replaces it.
    """
    worker_id = row.key.key
    owner.unreadable_workers.discard(worker_id)
    if row.value is None:
        listed.pop(worker_id, None)
        return
    info = owner.context.decode_worker(row)
    if info is not None:
        listed[worker_id] = info
        return
    owner.unreadable_workers.add(worker_id)
    logs.log_limited(
        owner.log_limiter,
        owner.context.clock.now_ms(),
        "worker_entry_unreadable",
        "WARNING",
        worker=worker_id,
        known=worker_id in listed,
    )


def check_worker_timeouts(owner: ownerstate.Owner) -> None:
    """Synchronise with the list again if that is due."""
    _expire_unconfirmed_workers(owner)
    for worker in owner.workers.values():
        if worker.info.draining_ms is not None:
            _stop_tasks_of_draining_worker(owner, worker)
    due_ms = owner.synced_ms + _SYNC_INTERVAL_MS
    if (
        owner.listed_workers is not None
        and owner.context.clock.now_ms() >= due_ms
    ):
        _sync_workers(owner)


def _expire_unconfirmed_workers(owner: ownerstate.Owner) -> None:
    """Stop waiting for workers on which no earlier task can run any more."""
    times = ownerstate.read_times(owner)
    if times.now_ms < owner.unconfirmed_until_ms:
        return
    for worker_id in owner.unconfirmed_workers:
        lostworkers.give_up(
            owner.ledger,
            lostworkers.record_unconfirmed_worker(owner.ledger, worker_id),
            times.wall_ms,
        )
        owner.changed = True
    owner.unconfirmed_workers.clear()


def _sync_workers(owner: ownerstate.Owner) -> None:
    """Synchronise the owner's workers with the list."""
    now_ms = owner.context.clock.now_ms()
    owner.synced_ms = now_ms
    gate = links.make_gate()
    try:
        for info in owner.listed_workers.values():
            worker = owner.workers.get(info.id)
            if worker is None:
                _add_worker(owner, info, gate)
            else:
                _update_worker(owner, worker, info)
    finally:
        gate.set()
    for worker_id, worker in list(owner.workers.items()):
        if worker_id in owner.listed_workers:
            continue
        if worker.unlisted_ms is None:
            worker.unlisted_ms = now_ms
            logs.log_event("worker_unlisted", worker=worker_id)
        _remove_worker_if_expired(owner, worker, now_ms)
    for worker_id, worker in owner.workers.items():
        worker.readable = worker_id not in owner.unreadable_workers
    owner.unconfirmed_workers -= _list_confirmed_workers(owner)
    planning.update_fleet(owner.ledger, owner.workers.values())
    _set_pauses(owner)


def _set_pauses(owner: ownerstate.Owner) -> None:
    for worker_id, worker in owner.workers.items():
        worker.pause_ms = fleet.choose_pause(
            len(owner.workers), worker_id in owner.ledger.by_worker
        )


def _list_confirmed_workers(owner: ownerstate.Owner) -> set[str]:
    """Return workers that have listed all their runs in this epoch."""
    return {
        worker_id
        for worker_id, worker in owner.workers.items()
        if worker.has_listed_all
    }


def _add_worker(
    owner: ownerstate.Owner, info: ports.WorkerInfo, gate: threading.Event
) -> None:
    worker = fleet.Worker(
        info, owner.context.max_lease_ms, owner.unconfirmed_until_ms
    )
    fleet.record_cold_time(worker, owner.context.clock.now_ms())
    _use_record(owner, worker, gate)
    logs.log_event(
        "worker_listed",
        worker=info.id,
        rack=info.rack,
        service=info.service,
        born_ms=info.started_ms,
        data_centre=info.data_centre,
        cold_ms=info.cold_ms,
    )


def _update_worker(
    owner: ownerstate.Owner,
    worker: fleet.Worker,
    info: ports.WorkerInfo,
) -> None:
    worker.unlisted_ms = None
    if info.started_ms < worker.info.started_ms:
        return  # An entry of an earlier incarnation.
    if info.started_ms > worker.info.started_ms:
        _record_restart(owner, worker, info)
        return
    if info.address != worker.info.address:
        _replace_record(owner, worker, info)
        return
    if not worker.described:
        worker.described = True
        owner.changed = True
    starts_draining = (
        info.draining_ms is not None and worker.info.draining_ms is None
    )
    # The same entry is applied again with each synchronisation.
    arrived = info is not worker.info
    reports_drain = info.draining_ms != worker.info.draining_ms
    worker.info = info
    if arrived:
        fleet.record_cold_time(worker, owner.context.clock.now_ms())
    if reports_drain:
        _record_drain(worker, owner.context.clock.now_ms())
    if starts_draining:
        owner.changed = True
        logs.log_event(
            "worker_draining", worker=info.id, left_ms=info.draining_ms
        )
        _stop_tasks_of_draining_worker(owner, worker)


def _record_drain(worker: fleet.Worker, now_ms: int) -> None:
    """Record until when a worker that drains is certain to stay."""
    if worker.info.draining_ms is not None:
        worker.leaves_ms = now_ms + worker.info.draining_ms


def _use_record(
    owner: ownerstate.Owner,
    worker: fleet.Worker,
    gate: threading.Event | None = None,
) -> None:
    """Use a new record of a worker, and start to renew its lease."""
    owner.workers[worker.info.id] = worker
    _record_drain(worker, owner.context.clock.now_ms())
    links.start_link(owner.links, worker, gate)


def _replace_record(
    owner: ownerstate.Owner, worker: fleet.Worker, info: ports.WorkerInfo
) -> fleet.Worker:
    """Replace the record of a worker whose clock is no longer valid."""
    now_ms = owner.context.clock.now_ms()
    successor = fleet.make_successor(worker, info, now_ms)
    _use_record(owner, successor)
    owner.changed = True
    return successor


def _record_restart(
    owner: ownerstate.Owner, worker: fleet.Worker, info: ports.WorkerInfo
) -> fleet.Worker:
    """Record a restart; return the record of the new incarnation."""
    reports.record_restart(
        owner.ledger,
        worker,
        owner.workers.values(),
        info.started_ms,
        ownerstate.read_times(owner),
    )
    return _replace_record(owner, worker, info)


def _record_restart_before_entry(
    owner: ownerstate.Owner, worker: fleet.Worker, started_ms: int
) -> fleet.Worker:
    """Record a restart of which the new entry has not been read yet."""
    info = worker.info._replace(started_ms=started_ms, draining_ms=None)
    successor = _record_restart(owner, worker, info)
    successor.described = False
    return successor


def _stop_tasks_of_draining_worker(
    owner: ownerstate.Owner, worker: fleet.Worker
) -> None:
    """Stop the tasks on a draining worker that lose less by being moved.

    The members of a gang are stopped together: each that is still at work when
    another has ended loses what it did since.
    """
    now_ms = owner.context.clock.now_ms()
    left_ms = max(0, worker.leaves_ms - now_ms)
    for run in ledgers.list_worker_runs(owner.ledger, worker.info.id):
        if run.phase in (ledgers.Phase.STOPPING, ledgers.Phase.LOST):
            continue
        entry = owner.ledger.jobs[run.task.group.job_id]
        step = entry.job.steps[run.task.group.step]
        work_ms = ledgers.compute_work_ms(owner.ledger, run, now_ms)
        if losses.is_stopped_for_drain(
            step, work_ms, left_ms, owner.ledger.stop_terms
        ):
            stops.stop_run(owner.ledger, run, "worker_draining")
            stops.stop_other_members(owner.ledger, run, "worker_draining")


def _remove_worker_if_expired(
    owner: ownerstate.Owner, worker: fleet.Worker, now_ms: int
) -> None:
    """Remove an unlisted worker if it is unresponsive and has no lease."""
    if not fleet.is_unresponsive(worker, now_ms):
        return
    if now_ms < fleet.get_lease_expiry_ms(worker):
        return
    reports.requeue_expired(
        owner.ledger,
        worker,
        owner.workers.values(),
        ownerstate.read_times(owner),
    )
    fleet.close_worker(worker)
    speeds.forget_worker(owner.ledger.speeds, worker.info.id)
    owner.paces.pop(worker.info.id, None)
    if owner.ledger.best_effort_room is not None:
        owner.ledger.best_effort_room.discard(worker.info.id)
    del owner.workers[worker.info.id]
    owner.unconfirmed_workers.discard(worker.info.id)
    owner.changed = True
    logs.log_event("worker_forgotten", worker=worker.info.id)


def handle_response(
    owner: ownerstate.Owner,
    worker: fleet.Worker,
    sent_ms: int,
    response: ports.RenewalResponse,
) -> None:
    """Apply the running and ended tasks that a worker lists."""
    if owner.workers.get(worker.info.id) is not worker:
        return
    if response.started_ms < worker.info.started_ms:
        return
    if response.started_ms > worker.info.started_ms:
        worker = _record_restart_before_entry(
            owner, worker, response.started_ms
        )
    changed = reports.apply_response(
        owner.ledger,
        worker,
        sent_ms,
        response,
        ownerstate.read_times(owner),
        lambda worker, runs: orders.send_orphan_stops(
            owner.orders, worker, runs
        ),
    )
    pacer.apply_report(owner, worker, response.running)
    worker.has_listed_all = worker.has_listed_all or response.complete
    if worker.has_listed_all and worker.info.id in owner.unconfirmed_workers:
        owner.unconfirmed_workers.discard(worker.info.id)
        owner.changed = True
    owner.changed = owner.changed or changed


def handle_fencing(owner: ownerstate.Owner, worker: fleet.Worker) -> None:
    """End the tenure: a worker has accepted a newer owner."""
    if not owner.tenure.ended.is_set():
        logs.log_event(
            "fenced_by_worker",
            "WARNING",
            worker=worker.info.id,
            epoch=owner.tenure.epoch,
        )
        owner.tenure.ended.set()
