"""The owner: one thread that decides for the whole fleet.

All state is touched by this thread only; other threads hand it functions.
"""

from collections.abc import Callable
import concurrent.futures
import queue
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import links
from cyclamenshelf_daemon.tasks import orders
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues
from cyclamenshelf_daemon.tasks import reports
from cyclamenshelf_daemon.tasks import submission
from cyclamenshelf_daemon.tasks import writer

_POOL_THREADS = 32
_TICK_MS = 200
# Ends and jobs that arrive together are planned together.
_GATHER_MS = 5
_LIST_POLL_MS = 400
_LIST_TIMEOUT_MS = 900
_RETRY_GROUP_MS = 150
_RESEND_STOP_MS = 1_500
_LOAD_RETRY_MS = 150
# The end of a lease that an earlier owner may have given as it was lost.
_SLOW_CLOCK = 0.98
_HANDOVER_MARGIN_MS = 500


class OwnerContext(NamedTuple):
    """What owning needs.

    Attributes:
        list_workers: Returns the workers that the platform lists. Raises
            errors.StoreUnavailableError.
        get_lists: Returns the lists in force.
        lease_ms: Length of the leases of workers.
        keep_ended_ms: How long the rows of ended jobs are kept.
    """

    store: ports.Store
    workers: ports.Workers
    clock: clocks.Clock
    list_workers: Callable[[int], list[ports.WorkerInfo]]
    get_lists: Callable[[], queues.Lists]
    lease_ms: int
    keep_ended_ms: int


class Owner:
    """One tenure.

    Attributes:
        unheard: Workers that are stored with unfinished jobs and have not
            answered under this epoch.
        clear_ms: Monotonic time from which nothing of an earlier owner runs
            on a worker that has not answered.
        changed: Whether something has happened that a decision may turn on.
        decided_ms: Monotonic time of the last decision.
    """

    def __init__(self, context: OwnerContext, tenure: ownership.Tenure) -> None:
        self.context = context
        self.tenure = tenure
        self.ledger = ledgers.Ledger(tenure.epoch)
        self.workers: dict[str, fleet.Worker] = {}
        self.calls: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self.batches: queue.SimpleQueue = queue.SimpleQueue()
        self.writing = False
        self.changed = True
        self.decided_ms = 0
        self.unheard: set[str] = set()
        self.clear_ms = (
            context.clock.now_ms()
            + ownership.CARETAKER_MS
            + int(context.lease_ms / _SLOW_CLOCK)
            + _HANDOVER_MARGIN_MS
        )
        self.listed = False
        self.work = following.Copy(
            submission.WORK_TABLE,
            lambda rows: post(self, lambda: _note_work(self, rows)),
        )
        self.pool = concurrent.futures.ThreadPoolExecutor(_POOL_THREADS)
        self.link_context = links.LinkContext(
            context.workers,
            tenure,
            context.clock,
            context.lease_ms,
            on_look=lambda worker, sent_ms, look: post(
                self, lambda: _note_look(self, worker, sent_ms, look)
            ),
            on_fenced=lambda worker: _note_fenced(self, worker),
        )
        self.order_context = orders.OrderContext(
            context.workers,
            self.pool,
            tenure,
            context.clock,
            context.lease_ms,
            on_started=lambda run, refusal: post(
                self, lambda: _note_started(self, run, refusal)
            ),
            on_unanswered=lambda run: post(
                self, lambda: _note_unanswered(self, run)
            ),
            on_not_sent=lambda run: post(
                self, lambda: _note_not_sent(self, run)
            ),
            on_stopped=lambda run, answered: post(
                self, lambda: _note_stopped(self, run, answered)
            ),
            on_fenced=lambda worker: _note_fenced(self, worker),
        )


def start_owner(context: OwnerContext, tenure: ownership.Tenure) -> Owner:
    """Start the threads of a tenure; they end with it."""
    owner = Owner(context, tenure)
    threading.Thread(
        target=supervision.run_logged,
        args=("owner_failed", _run, owner),
        name="owner",
        daemon=True,
    ).start()
    return owner


def post(owner: Owner, call: Callable[[], None]) -> None:
    """Have a function called in the owner's thread."""
    owner.calls.put(call)


def _run(owner: Owner) -> None:
    try:
        _load(owner)
        _start_threads(owner)
        while not owner.tenure.ended.is_set():
            _run_calls(owner)
            _review(owner)
            if owner.changed and owner.listed:
                owner.changed = False
                owner.decided_ms = owner.context.clock.now_ms()
                _decide(owner)
            _send_stops(owner)
            _flush(owner)
    finally:
        owner.tenure.ended.set()
        owner.batches.put(None)
        for worker in owner.workers.values():
            worker.closing.set()
            worker.stored.set()
        owner.pool.shutdown(wait=False, cancel_futures=True)
        logs.log_event("owner_ended", epoch=owner.tenure.epoch)


def _start_threads(owner: Owner) -> None:
    context = owner.context
    following.start_following(
        owner.work, context.store, context.clock, owner.tenure.ended
    )
    writer.start_writer(
        writer.WriterContext(
            context.store,
            context.clock,
            owner.tenure,
            owner.batches,
            lambda batch, versions: post(
                owner, lambda: _note_written(owner, batch, versions)
            ),
        )
    )
    threading.Thread(
        target=supervision.run_logged,
        args=("worker_list_failed", _poll_list, owner),
        name="worker-list",
        daemon=True,
    ).start()


def _load(owner: Owner) -> None:
    """Read all jobs and their progress, until the store answers."""
    context = owner.context
    while not owner.tenure.ended.is_set():
        try:
            work = context.store.read(
                submission.WORK_TABLE, None, _LIST_TIMEOUT_MS
            )
            progress = context.store.read(
                jobstates.PROGRESS_TABLE, None, _LIST_TIMEOUT_MS
            )
        except errors.StoreError as error:
            logs.log_event("jobs_unread", "WARNING", detail=error)
            context.clock.sleep_ms(_LOAD_RETRY_MS)
            continue
        known = {row.key.key: row for row in progress.rows}
        for row in work.rows:
            _add_job(owner, row, known)
        _list_unheard(owner)
        owner.work.rows = {row.key.key: row for row in work.rows}
        owner.work.version = work.version
        _note_work(owner, [r for r in work.rows if _is_cancel(r)])
        logs.log_event(
            "jobs_loaded",
            epoch=owner.tenure.epoch,
            jobs=len(owner.ledger.jobs),
            version=work.version,
        )
        return


def _list_unheard(owner: Owner) -> None:
    """Note the workers that may run tasks of an earlier owner."""
    for entry in owner.ledger.jobs.values():
        if entry.progress.state not in taskprogress.ENDED:
            owner.unheard |= entry.progress.workers


def _is_cancel(row: ports.Row) -> bool:
    return row.key.key.startswith("cancel.")


def _add_job(owner: Owner, row: ports.Row, known: dict[str, ports.Row]) -> None:
    kind, _, job_id = row.key.key.partition(".")
    if kind != "job" or not row.value or job_id in owner.ledger.jobs:
        return
    job = taskjobs.decode_job(row.value)
    found = known.get(job_id)
    if found is not None and found.value:
        progress = taskprogress.decode_progress(job_id, found.value)
        version = found.version
    else:
        # The row was inserted with the job and is as new as it.
        progress = taskprogress.Progress(
            job.queue, job.account, job.repetitions > 0
        )
        version = row.version
    owner.ledger.jobs[job_id] = ledgers.Entry(
        job, row.version, progress, version
    )
    owner.changed = True


def _note_work(owner: Owner, rows: list[ports.Row]) -> None:
    """Take over new jobs and cancellations."""
    for row in rows:
        if not _is_cancel(row):
            _add_job(owner, row, {})
    for row in rows:
        entry = owner.ledger.jobs.get(row.key.key.partition(".")[2])
        if not _is_cancel(row) or entry is None or row.value is None:
            continue
        if entry.progress.state not in taskprogress.ENDED:
            ledgers.end_job(
                owner.ledger,
                entry,
                taskprogress.State.CANCELLED,
                owner.context.clock.wall_ms(),
                "cancelled by its caller",
            )
            owner.changed = True


def _poll_list(owner: Owner) -> None:
    while not owner.tenure.ended.is_set():
        try:
            infos = owner.context.list_workers(_LIST_TIMEOUT_MS)
        except errors.StoreError as error:
            logs.log_event("workers_unread", "WARNING", detail=error)
        else:
            post(owner, lambda infos=infos: _note_list(owner, infos))
        owner.tenure.ended.wait(_LIST_POLL_MS / 1000)


def _note_list(owner: Owner, infos: list[ports.WorkerInfo]) -> None:
    now_ms = owner.context.clock.now_ms()
    listed = {info.id: info for info in infos}
    for info in infos:
        worker = owner.workers.get(info.id)
        if worker is None:
            _add_worker(owner, info)
        else:
            _update_worker(owner, worker, info, now_ms)
    for worker_id, worker in list(owner.workers.items()):
        if worker_id in listed:
            continue
        if worker.unlisted_ms is None:
            worker.unlisted_ms = now_ms
            logs.log_event("worker_unlisted", worker=worker_id)
        _forget_worker(owner, worker, now_ms)
    owner.unheard -= _list_heard(owner)
    owner.listed = True


def _list_heard(owner: Owner) -> set[str]:
    """Return workers that have answered under this epoch."""
    return {
        worker_id
        for worker_id, worker in owner.workers.items()
        if worker.heard_ms is not None
    }


def _add_worker(owner: Owner, info: ports.WorkerInfo) -> None:
    worker = fleet.Worker(info)
    owner.workers[info.id] = worker
    links.start_link(owner.link_context, worker)
    logs.log_event(
        "worker_listed",
        worker=info.id,
        rack=info.rack,
        service=info.service,
        born_ms=info.born_ms,
    )


def _update_worker(
    owner: Owner, worker: fleet.Worker, info: ports.WorkerInfo, now_ms: int
) -> None:
    worker.unlisted_ms = None
    if info.born_ms < worker.info.born_ms:
        return  # An entry of an earlier life.
    if info.born_ms > worker.info.born_ms:
        reports.lose_life(owner.ledger, worker, info.born_ms, now_ms)
        owner.changed = True
    if info.address != worker.info.address:
        worker.closing.set()
        fresh = fleet.Worker(info)
        owner.workers[info.id] = fresh
        links.start_link(owner.link_context, fresh)
        return
    drains = info.draining_ms is not None and worker.info.draining_ms is None
    worker.info = info
    if drains:
        owner.changed = True
        logs.log_event(
            "worker_draining", worker=info.id, left_ms=info.draining_ms
        )
        _empty_worker(owner, worker)


def _empty_worker(owner: Owner, worker: fleet.Worker) -> None:
    """Stop tasks that a leaving worker would end before they are done."""
    left_ms = worker.info.draining_ms or 0
    now_ms = owner.context.clock.now_ms()
    for run in ledgers.list_worker(owner.ledger, worker.info.id):
        entry = owner.ledger.jobs[run.task.group.job_id]
        step = entry.job.steps[run.task.group.step]
        rest_ms = step.expected_run_ms - (now_ms - run.since_ms)
        if step.checkpointable or rest_ms > left_ms:
            ledgers.stop_run(owner.ledger, run, "worker_draining")


def _forget_worker(owner: Owner, worker: fleet.Worker, now_ms: int) -> None:
    """Drop a worker that is not listed, silent, and holds no lease."""
    if not fleet.is_silent(worker, now_ms):
        return
    if now_ms < fleet.get_lapse_ms(worker):
        return
    if worker.heard_ms is None and now_ms < owner.clear_ms:
        return
    reports.lapse(owner.ledger, worker, now_ms)
    worker.closing.set()
    worker.stored.set()
    del owner.workers[worker.info.id]
    owner.unheard.discard(worker.info.id)
    owner.changed = True
    logs.log_event("worker_forgotten", worker=worker.info.id)


def _note_look(
    owner: Owner, worker: fleet.Worker, sent_ms: int, look: ports.Look
) -> None:
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
            owner.order_context, worker, name, number
        ),
    )
    if worker.info.id in owner.unheard:
        owner.unheard.discard(worker.info.id)
        owner.changed = True
    owner.changed = owner.changed or changed


def _note_fenced(owner: Owner, worker: fleet.Worker) -> None:
    """End the tenure: a worker has seen a newer owner."""
    if not owner.tenure.ended.is_set():
        logs.log_event(
            "fenced_by_worker",
            "WARNING",
            worker=worker.info.id,
            epoch=owner.tenure.epoch,
        )
        owner.tenure.ended.set()


def _is_live(owner: Owner, run: ledgers.Run) -> bool:
    return owner.ledger.runs.get(run.task) is run


def _note_started(
    owner: Owner, run: ledgers.Run, refusal: ports.Refusal | None
) -> None:
    if not _is_live(owner, run):
        return
    now_ms = owner.context.clock.now_ms()
    if refusal is None:
        if run.phase is ledgers.Phase.STARTING:
            run.phase = ledgers.Phase.RUNNING
        if run.acked_ms is None:
            run.acked_ms = now_ms
        _note_begun(owner, run)
        return
    logs.log_event(
        "start_refused",
        "WARNING",
        task=taskjobs.format_task(run.task),
        run=run.number,
        worker=run.worker_id,
        reason=refusal,
    )
    _withdraw(owner, run, now_ms)
    worker = owner.workers.get(run.worker_id)
    if worker is not None and refusal is ports.Refusal.NO_ROOM:
        worker.refused_ms = now_ms


def _withdraw(owner: Owner, run: ledgers.Run, now_ms: int) -> None:
    """Take out a run that surely never began."""
    ledgers.remove_run(owner.ledger, run)
    ledgers.stop_others(owner.ledger, run, "member_not_started")
    ledgers.delay_group(owner.ledger, run.task.group, now_ms, _RETRY_GROUP_MS)
    owner.changed = True


def _note_not_sent(owner: Owner, run: ledgers.Run) -> None:
    if _is_live(owner, run):
        _withdraw(owner, run, owner.context.clock.now_ms())


def _note_unanswered(owner: Owner, run: ledgers.Run) -> None:
    if _is_live(owner, run):
        logs.log_event(
            "start_unanswered",
            "WARNING",
            task=taskjobs.format_task(run.task),
            run=run.number,
            worker=run.worker_id,
        )
        ledgers.lose_start(owner.ledger, run)


def _note_stopped(owner: Owner, run: ledgers.Run, answered: bool) -> None:
    if answered and run.stop_acked_ms is None:
        run.stop_acked_ms = owner.context.clock.now_ms()
    if not answered:
        run.stop_sent_ms = owner.context.clock.now_ms()


def _note_begun(owner: Owner, run: ledgers.Run) -> None:
    entry = owner.ledger.jobs[run.task.group.job_id]
    if entry.progress.state is taskprogress.State.QUEUED:
        entry.progress.state = taskprogress.State.RUNNING
        entry.dirty = True


def _review(owner: Owner) -> None:
    """Do what falls due by time alone."""
    now_ms = owner.context.clock.now_ms()
    if now_ms - owner.decided_ms >= _TICK_MS:
        # Groups that were delayed, and occurrences, fall due by time.
        owner.changed = True
    for worker in list(owner.workers.values()):
        if reports.lapse(owner.ledger, worker, now_ms):
            owner.changed = True
    for run in owner.ledger.runs.values():
        if (
            run.phase in (ledgers.Phase.STOPPING, ledgers.Phase.LOST)
            and run.stop_acked_ms is None
            and run.stop_sent_ms is not None
            and now_ms - run.stop_sent_ms > _RESEND_STOP_MS
            and run not in owner.ledger.stops
        ):
            owner.ledger.stops.append(run)


def _run_calls(owner: Owner) -> None:
    """Wait for the next call, then run all that have come."""
    try:
        call = owner.calls.get(timeout=_TICK_MS / 1000)
    except queue.Empty:
        return
    call()
    owner.context.clock.sleep_ms(_GATHER_MS)
    while not owner.calls.empty():
        owner.calls.get()()


def _list_blocked(owner: Owner, now_ms: int) -> set[str]:
    """Return the jobs that may have tasks running unseen."""
    if now_ms >= owner.clear_ms:
        owner.unheard.clear()
    if not owner.unheard:
        return set()
    return {
        job_id
        for job_id, entry in owner.ledger.jobs.items()
        if entry.progress.workers & owner.unheard
    }


def _decide(owner: Owner) -> None:
    clock = owner.context.clock
    if not ownership.is_proved(owner.tenure, clock):
        owner.changed = True
        return
    times = planning.Times(clock.now_ms(), clock.wall_ms())
    lists = owner.context.get_lists()
    waiting = planning.list_waiting(
        owner.ledger,
        lists,
        times,
        _list_blocked(owner, times.now_ms),
    )
    if not waiting:
        return
    made = taskplan.plan(
        waiting,
        planning.list_held(owner.ledger, lists, times.now_ms),
        planning.list_rooms(owner.ledger, owner.workers.values(), times.now_ms),
        planning.count_spread(owner.ledger),
    )
    for stop in made.stops:
        run = owner.ledger.runs.get(stop.task)
        if run is not None:
            ledgers.stop_run(
                owner.ledger, run, f"room_for_{stop.beneficiary.job_id}"
            )
    spare = {entry.group: entry.spare_ms for entry in waiting}
    for start in made.starts:
        _start(owner, start, spare[start.group], times.now_ms)


def _start(
    owner: Owner, start: taskplan.Start, spare_ms: int, now_ms: int
) -> None:
    entry = owner.ledger.jobs[start.group.job_id]
    number = ledgers.next_number(owner.ledger)
    logs.log_event(
        "group_started",
        job=entry.job.id,
        occurrence=start.group.occurrence,
        step=start.group.step,
        tasks=len(start.placements),
        run=number,
        spare_ms=spare_ms,
        age_ms=owner.context.clock.wall_ms() - entry.job.accepted_ms,
    )
    for index, worker_id in start.placements:
        task = taskjobs.Task(start.group, index)
        ledgers.add_run(
            owner.ledger, ledgers.Run(task, number, worker_id, now_ms)
        )
    entry.dirty = True


def _send_start(owner: Owner, run: ledgers.Run) -> None:
    """Send a run whose worker has been stored, unless it is over."""
    worker = owner.workers.get(run.worker_id)
    if not _is_live(owner, run) or run.phase is not ledgers.Phase.PLANNED:
        return
    if worker is None:
        _withdraw(owner, run, owner.context.clock.now_ms())
        return
    entry = owner.ledger.jobs[run.task.group.job_id]
    keeper = taskprogress.get_keeper(entry.job, run.task)
    run.phase = ledgers.Phase.STARTING
    run.since_ms = run.checkpoint_ms = owner.context.clock.now_ms()
    orders.send_start(
        owner.order_context,
        worker,
        run,
        entry.job.payload,
        entry.progress.checkpoints.get(keeper, ""),
    )


def _send_stops(owner: Owner) -> None:
    stops, owner.ledger.stops = owner.ledger.stops, []
    now_ms = owner.context.clock.now_ms()
    for run in stops:
        worker = owner.workers.get(run.worker_id)
        run.stop_sent_ms = now_ms
        if worker is not None and _is_live(owner, run):
            orders.send_stop(owner.order_context, worker, run)


def _flush(owner: Owner) -> None:
    """Hand changed progress to the writer, one batch at a time."""
    if owner.writing:
        return
    rows: dict[ports.RowKey, tuple[int, bytes | None]] = {}
    starts: list[ledgers.Run] = []
    size, complete = 0, True
    for entry in owner.ledger.jobs.values():
        if not entry.dirty:
            continue
        if len(rows) >= writer.MAX_ROWS or size >= writer.MAX_BYTES:
            complete = False
            break
        _refresh_workers(owner, entry)
        starts += ledgers.list_planned(owner.ledger, entry.job.id)
        value = taskprogress.encode_progress(entry.progress)
        key = submission.make_progress_key(entry.job.id)
        rows[key] = (entry.progress_version, value)
        size += len(value)
        entry.dirty = False
    marks = {}
    if complete:
        marks = {
            worker_id: (worker.info.born_ms, worker.processed)
            for worker_id, worker in owner.workers.items()
            if worker.processed > worker.seen
        }
        _add_removals(owner, rows)
    batch = writer.Batch(rows, marks, tuple(starts))
    if rows:
        owner.writing = True
        owner.batches.put(batch)
    elif marks:
        _mark_stored(owner, marks)


def _refresh_workers(owner: Owner, entry: ledgers.Entry) -> None:
    """Bring the workers that may run tasks of a job up to date."""
    unseen = entry.progress.workers & owner.unheard
    entry.progress.workers = unseen | ledgers.list_job_workers(
        owner.ledger, entry.job.id
    )


def _add_removals(
    owner: Owner, rows: dict[ports.RowKey, tuple[int, bytes | None]]
) -> None:
    """Remove the rows of jobs that ended long ago."""
    before_ms = owner.context.clock.wall_ms() - owner.context.keep_ended_ms
    for entry in owner.ledger.jobs.values():
        ended_ms = entry.progress.ended_ms
        if not 0 < ended_ms < before_ms or len(rows) + 3 > writer.MAX_ROWS:
            continue
        job_id = entry.job.id
        key = submission.make_progress_key(job_id)
        if key in rows or _has_runs(owner, job_id):
            continue
        rows[key] = (entry.progress_version, None)
        rows[submission.make_work_key(job_id)] = (entry.row_version, None)
        cancel = submission.make_cancel_key(job_id)
        found = owner.work.rows.get(cancel.key)
        if found is not None:
            rows[cancel] = (found.version, None)


def _has_runs(owner: Owner, job_id: str) -> bool:
    return any(group.job_id == job_id for group in owner.ledger.by_group)


def _note_written(
    owner: Owner, batch: writer.Batch, versions: dict[ports.RowKey, int]
) -> None:
    owner.writing = False
    for key, (_, value) in batch.rows.items():
        if key.table != jobstates.PROGRESS_TABLE:
            continue
        if value is None:
            owner.ledger.jobs.pop(key.key, None)
        elif key.key in owner.ledger.jobs:
            owner.ledger.jobs[key.key].progress_version = versions[key]
    _mark_stored(owner, batch.marks)
    for run in batch.starts:
        _send_start(owner, run)


def _mark_stored(owner: Owner, marks: dict[str, tuple[int, int]]) -> None:
    for worker_id, (born_ms, number) in marks.items():
        worker = owner.workers.get(worker_id)
        if worker is not None and worker.info.born_ms == born_ms:
            worker.seen = max(worker.seen, number)
            worker.stored.set()
