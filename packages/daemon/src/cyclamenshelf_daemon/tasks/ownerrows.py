"""Rows that the owner writes: job progress and the removal of old jobs."""

from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import advice
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ownerruns
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import submission
from cyclamenshelf_daemon.tasks import writer

_QUEUED = taskprogress.State.QUEUED


def flush_rows(owner: ownerstate.Owner) -> None:
    """Pass changed progress to the writer, one batch at a time."""
    if owner.writing:
        return
    rows: dict[ports.RowKey, tuple[int, bytes | None]] = {}
    starts: list[ledgers.Run] = []
    size, complete = 0, True
    for entry in owner.ledger.jobs.values():
        if not entry.dirty:
            continue
        if len(rows) + 2 > writer.MAX_ROWS or size >= writer.MAX_BYTES:
            complete = False
            break
        _update_job_workers(owner, entry)
        starts += ledgers.list_planned_runs(owner.ledger, entry.job.id)
        value = taskprogress.encode_progress(entry.progress)
        key = jobstates.make_progress_key(entry.job.id)
        rows[key] = (entry.progress_version, value)
        size += len(value)
        entry.dirty = False
        if entry.has_queued_row and entry.progress.state is not _QUEUED:
            # Inserted in the same transaction as the job's row, so it has
            # the same version.
            queued = jobstates.make_queued_key(entry.job.queue, entry.job.id)
            rows[queued] = (entry.row_version, None)
            entry.has_queued_row = False
    marks = {}
    if complete:
        marks = {
            worker_id: (worker.info.started_ms, worker.applied_number)
            for worker_id, worker in owner.workers.items()
            if worker.applied_number > worker.stored_number
        }
        _add_removals(owner, rows)
    batch = writer.Batch(rows, marks, tuple(starts))
    if rows:
        owner.writing = True
        owner.batches.put(batch)
    elif marks:
        _mark_stored(owner, marks)


def _update_job_workers(
    owner: ownerstate.Owner, entry: ledgers.JobEntry
) -> None:
    """Update the workers that may run tasks of a job, and these runs."""
    unconfirmed = entry.progress.workers & owner.unconfirmed_workers
    entry.progress.workers = unconfirmed | ledgers.list_job_workers(
        owner.ledger, entry.job.id
    )
    assigned = {
        worker_id: runs
        for worker_id, runs in entry.progress.assigned_runs.items()
        if worker_id in unconfirmed
    }
    for run in ledgers.list_job_runs(owner.ledger, entry.job.id):
        task = taskprogress.get_representative(entry.job, run.task)
        assigned.setdefault(run.worker_id, {})[task] = run.number
    entry.progress.assigned_runs = assigned


def _add_removals(
    owner: ownerstate.Owner, rows: dict[ports.RowKey, tuple[int, bytes | None]]
) -> None:
    """Add the removal of jobs that ended before the retention period."""
    ended_before_ms = (
        owner.context.clock.wall_ms() - owner.context.keep_ended_ms
    )
    for entry in owner.ledger.jobs.values():
        ended_ms = entry.progress.ended_ms
        if (
            not 0 < ended_ms < ended_before_ms
            or len(rows) + 3 > writer.MAX_ROWS
        ):
            continue
        job_id = entry.job.id
        key = jobstates.make_progress_key(job_id)
        if key in rows or job_id in owner.ledger.by_job:
            continue
        rows[key] = (entry.progress_version, None)
        rows[submission.make_work_key(job_id)] = (entry.row_version, None)
        cancel = submission.make_cancel_key(job_id)
        cancel_row = owner.work.rows.get(cancel.key)
        if cancel_row is not None:
            rows[cancel] = (cancel_row.version, None)


def handle_written(
    owner: ownerstate.Owner,
    batch: writer.Batch,
    versions: dict[ports.RowKey, int],
) -> None:
    """Record a stored batch and send the starts that waited for it."""
    owner.writing = False
    for key, (_, value) in batch.rows.items():
        if key.table != jobstates.PROGRESS_TABLE:
            continue
        if value is None:
            owner.ledger.jobs.pop(key.key, None)
            advice.drop_job(owner.advice, key.key)
        elif key.key in owner.ledger.jobs:
            owner.ledger.jobs[key.key].progress_version = versions[key]
    _mark_stored(owner, batch.stored_ends)
    for run in batch.starts:
        ownerruns.send_start(owner, run)


def _mark_stored(
    owner: ownerstate.Owner, marks: dict[str, tuple[int, int]]
) -> None:
    for worker_id, (started_ms, number) in marks.items():
        worker = owner.workers.get(worker_id)
        if worker is not None and worker.info.started_ms == started_ms:
            worker.stored_number = max(worker.stored_number, number)
            worker.stored.set()
