"""Workers of the owner: listed, heard, leaving, forgotten."""

from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import links
from cyclamenshelf_daemon.tasks import orders
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import reports

# Workers that are not listed any more are looked at this often.
_REVIEW_MS = 400
_SETTLE_MS = 300


def follow_list(owner: ownerstate.Owner, wait_ms: int) -> None:
    """Start the thread that follows the list of workers."""
    context = owner.context
    following.start_following(
        following.TableCopy(
            context.workers_table,
            lambda rows: ownerstate.post(
                owner, lambda: _note_rows(owner, rows)
            ),
        ),
        context.store,
        context.clock,
        owner.tenure.ended,
        wait_ms,
    )


def _note_rows(owner: ownerstate.Owner, rows: list[ports.Row]) -> None:
    """Take over changed entries of the list of workers."""
    if owner.listed is None:
        owner.listed = {}
        owner.settled_ms = owner.context.clock.now_ms() + _SETTLE_MS
    for row in rows:
        info = None if row.value is None else owner.context.decode_worker(row)
        if info is None:
            owner.listed.pop(row.key.key, None)
        else:
            owner.listed[info.id] = info
    _go_through_list(owner)


def review_workers(owner: ownerstate.Owner) -> None:
    """Do what falls due by time alone."""
    due_ms = owner.listed_ms + _REVIEW_MS
    if owner.listed is not None and owner.context.clock.now_ms() >= due_ms:
        _go_through_list(owner)


def _go_through_list(owner: ownerstate.Owner) -> None:
    """Bring the owner's workers in line with the list."""
    now_ms = owner.context.clock.now_ms()
    owner.listed_ms = now_ms
    for info in owner.listed.values():
        worker = owner.workers.get(info.id)
        if worker is None:
            _add_worker(owner, info)
        else:
            _update_worker(owner, worker, info, now_ms)
    for worker_id, worker in list(owner.workers.items()):
        if worker_id in owner.listed:
            continue
        if worker.unlisted_ms is None:
            worker.unlisted_ms = now_ms
            logs.log_event("worker_unlisted", worker=worker_id)
        _forget_worker(owner, worker, now_ms)
    owner.unheard -= _list_heard(owner)
    _set_pauses(owner)


def _set_pauses(owner: ownerstate.Owner) -> None:
    for worker_id, worker in owner.workers.items():
        worker.pause_ms = fleet.choose_pause(
            len(owner.workers), worker_id in owner.ledger.by_worker
        )


def _list_heard(owner: ownerstate.Owner) -> set[str]:
    """Return workers that have answered under this epoch."""
    return {
        worker_id
        for worker_id, worker in owner.workers.items()
        if worker.heard_ms is not None
    }


def _add_worker(owner: ownerstate.Owner, info: ports.WorkerInfo) -> None:
    worker = fleet.Worker(info)
    owner.workers[info.id] = worker
    links.start_link(owner.links, worker)
    logs.log_event(
        "worker_listed",
        worker=info.id,
        rack=info.rack,
        service=info.service,
        born_ms=info.born_ms,
    )


def _update_worker(
    owner: ownerstate.Owner,
    worker: fleet.Worker,
    info: ports.WorkerInfo,
    now_ms: int,
) -> None:
    worker.unlisted_ms = None
    if info.born_ms < worker.info.born_ms:
        return  # An entry of an earlier life.
    if info.born_ms > worker.info.born_ms:
        reports.lose_life(owner.ledger, worker, info.born_ms, now_ms)
        owner.changed = True
    if info.address != worker.info.address:
        worker.closing.set()
        worker.wake.set()
        fresh = fleet.Worker(info)
        owner.workers[info.id] = fresh
        links.start_link(owner.links, fresh)
        return
    drains = info.draining_ms is not None and worker.info.draining_ms is None
    worker.info = info
    if drains:
        owner.changed = True
        logs.log_event(
            "worker_draining", worker=info.id, left_ms=info.draining_ms
        )
        _empty_worker(owner, worker)


def _empty_worker(owner: ownerstate.Owner, worker: fleet.Worker) -> None:
    """Stop tasks that a leaving worker would end before they are done."""
    left_ms = worker.info.draining_ms or 0
    now_ms = owner.context.clock.now_ms()
    for run in ledgers.list_worker(owner.ledger, worker.info.id):
        entry = owner.ledger.jobs[run.task.group.job_id]
        step = entry.job.steps[run.task.group.step]
        rest_ms = step.expected_run_ms - (now_ms - run.since_ms)
        ends = not step.long_running and rest_ms <= left_ms
        if step.checkpointable or not ends:
            ledgers.stop_run(owner.ledger, run, "worker_draining")


def _forget_worker(
    owner: ownerstate.Owner, worker: fleet.Worker, now_ms: int
) -> None:
    """Drop a worker that is not listed, silent, and holds no lease."""
    if not fleet.is_silent(worker, now_ms):
        return
    if now_ms < fleet.get_lapse_ms(worker):
        return
    if worker.heard_ms is None and now_ms < owner.clear_ms:
        return
    reports.lapse(owner.ledger, worker, now_ms)
    worker.closing.set()
    worker.wake.set()
    worker.stored.set()
    del owner.workers[worker.info.id]
    owner.unheard.discard(worker.info.id)
    owner.changed = True
    logs.log_event("worker_forgotten", worker=worker.info.id)


def note_look(
    owner: ownerstate.Owner,
    worker: fleet.Worker,
    sent_ms: int,
    look: ports.RenewalResponse,
) -> None:
    """Take over what a worker lists."""
    if owner.workers.get(worker.info.id) is not worker:
        return
    now_ms = owner.context.clock.now_ms()
    if look.born_ms < worker.info.born_ms:
        return
    if look.born_ms > worker.info.born_ms:
        reports.lose_life(owner.ledger, worker, look.born_ms, now_ms)
        owner.changed = True
    changed = reports.take_over(
        owner.ledger,
        worker,
        sent_ms,
        look,
        planning.Times(now_ms, owner.context.clock.wall_ms()),
        lambda worker, name, number: orders.send_foreign_stop(
            owner.orders, worker, name, number
        ),
    )
    if worker.info.id in owner.unheard:
        owner.unheard.discard(worker.info.id)
        owner.changed = True
    owner.changed = owner.changed or changed


def note_fenced(owner: ownerstate.Owner, worker: fleet.Worker) -> None:
    """End the tenure: a worker has seen a newer owner."""
    if not owner.tenure.ended.is_set():
        logs.log_event(
            "fenced_by_worker",
            "WARNING",
            worker=worker.info.id,
            epoch=owner.tenure.epoch,
        )
        owner.tenure.ended.set()
