"""Rows that the owner writes: job progress and the removal of old jobs."""

from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import advice
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ownerruns
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import submission
from cyclamenshelf_daemon.tasks import writer

_QUEUED = taskprogress.State.QUEUED
# Delays before rejected progress is written again; they double up to the
# longest.
_MIN_REJECTED_DELAY_MS = 1_000
_MAX_REJECTED_DELAY_MS = 30_000


def flush_rows(owner: ownerstate.Owner) -> None:
    """Pass changed progress to the writer, one batch at a time."""
    if owner.writing:
        return
    now_ms = owner.context.clock.now_ms()
    changes: list[writer.JobChange] = []
    rows = size = 0
    for entry in owner.ledger.jobs.values():
        if not entry.dirty or entry.rejected_until_ms > now_ms:
            continue
        if rows + 2 > writer.MAX_ROWS or size >= writer.MAX_BYTES:
            break
        change = _make_change(owner, entry)
        changes.append(change)
        rows += len(change.rows)
        size += sum(len(value or b"") for _, value in change.rows.values())
    changes += _list_removals(owner, {c.job_id for c in changes}, rows)
    marks = _list_stored_ends(owner)
    if changes:
        owner.writing = True
        owner.batches.put(writer.Batch(tuple(changes), marks))
    elif marks:
        _mark_stored(owner, marks)


def _make_change(
    owner: ownerstate.Owner, entry: ledgers.JobEntry
) -> writer.JobChange:
    """Return the rows of a changed job, and mark it as written."""
    _update_job_workers(owner, entry)
    job_id = entry.job.id
    rows: dict[ports.RowKey, tuple[int, bytes | None]] = {
        jobstates.make_progress_key(job_id): (
            entry.progress_version,
            taskprogress.encode_progress(entry.progress),
        )
    }
    if entry.has_queued_row and entry.progress.state is not _QUEUED:
        # Inserted in the same transaction as the job's row, so it has
        # the same version.
        queued = jobstates.make_queued_key(entry.job.queue, job_id)
        rows[queued] = (entry.row_version, None)
        entry.has_queued_row = False
    starts = tuple(ledgers.list_planned_runs(owner.ledger, job_id))
    ends, entry.unstored_ends = entry.unstored_ends, {}
    entry.dirty = False
    return writer.JobChange(job_id, rows, starts, ends)


def _list_stored_ends(
    owner: ownerstate.Owner,
) -> dict[str, writer.EndNumber]:
    """Return the last end of each worker that all written rows contain.

    The ends of a job whose rows are left out have to be listed again to the
    next owner, and so have all later ends of the same worker.
    """
    unstored: dict[tuple[str, int], int] = {}
    for entry in owner.ledger.jobs.values():
        for worker_id, (started_ms, number) in entry.unstored_ends.items():
            key = (worker_id, started_ms)
            unstored[key] = min(number, unstored.get(key, number))
    stored: dict[str, writer.EndNumber] = {}
    for worker_id, worker in owner.workers.items():
        started_ms, number = worker.info.started_ms, worker.applied_number
        first_unstored = unstored.get((worker_id, started_ms))
        if first_unstored is not None:
            number = min(number, first_unstored - 1)
        if number > worker.stored_number:
            stored[worker_id] = (started_ms, number)
    return stored


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


def _list_removals(
    owner: ownerstate.Owner, changed_jobs: set[str], rows: int
) -> list[writer.JobChange]:
    """Return the removal of jobs that ended before the retention period.

    Args:
        owner: The owner.
        changed_jobs: Jobs of which the batch contains rows.
        rows: Number of rows in the batch.
    """
    ended_before_ms = (
        owner.context.clock.wall_ms() - owner.context.keep_ended_ms
    )
    removals: list[writer.JobChange] = []
    for entry in owner.ledger.jobs.values():
        if not 0 < entry.progress.ended_ms < ended_before_ms:
            continue
        job_id = entry.job.id
        if job_id in changed_jobs or job_id in owner.ledger.by_job:
            continue
        if rows + 3 > writer.MAX_ROWS:
            break
        removal = _make_removal(owner, entry)
        removals.append(removal)
        rows += len(removal.rows)
    return removals


def _make_removal(
    owner: ownerstate.Owner, entry: ledgers.JobEntry
) -> writer.JobChange:
    job_id = entry.job.id
    rows: dict[ports.RowKey, tuple[int, bytes | None]] = {
        jobstates.make_progress_key(job_id): (entry.progress_version, None),
        submission.make_work_key(job_id): (entry.row_version, None),
    }
    cancel = submission.make_cancel_key(job_id)
    cancel_row = owner.work.rows.get(cancel.key)
    if cancel_row is not None:
        rows[cancel] = (cancel_row.version, None)
    return writer.JobChange(job_id, rows, (), {})


def handle_written(
    owner: ownerstate.Owner, batch: writer.Batch, result: writer.Result
) -> None:
    """Record a written batch and send the starts that waited for it."""
    owner.writing = False
    rejected = {change.job_id for change in result.rejected}
    for change in result.rejected:
        _handle_rejection(owner, change)
    written = [c for c in batch.changes if c.job_id not in rejected]
    for change in written:
        _record_versions(owner, change, result.versions)
    # After a rejection, the next flush finds out which ends are stored.
    if not rejected:
        _mark_stored(owner, batch.stored_ends)
    for change in written:
        for run in change.starts:
            ownerruns.send_start(owner, run)


def _record_versions(
    owner: ownerstate.Owner,
    change: writer.JobChange,
    versions: dict[ports.RowKey, int],
) -> None:
    key = jobstates.make_progress_key(change.job_id)
    if change.rows[key][1] is None:
        owner.ledger.jobs.pop(change.job_id, None)
        advice.drop_job(owner.advice, change.job_id)
        return
    entry = owner.ledger.jobs.get(change.job_id)
    if entry is not None:
        entry.progress_version = versions[key]
        entry.rejections = 0


def _handle_rejection(
    owner: ownerstate.Owner, change: writer.JobChange
) -> None:
    """Withdraw the starts of a job whose rows the store rejects for good.

    Its running tasks go on. Its rows are written again after a delay, as its
    progress may have changed by then.
    """
    entry = owner.ledger.jobs.get(change.job_id)
    if entry is None:
        return
    now_ms = owner.context.clock.now_ms()
    delay_ms = min(
        _MAX_REJECTED_DELAY_MS,
        _MIN_REJECTED_DELAY_MS << min(entry.rejections, 16),
    )
    entry.rejections += 1
    entry.rejected_until_ms = now_ms + delay_ms
    entry.dirty = True
    for worker_id, (started_ms, number) in change.ends.items():
        ledgers.add_unstored_end(entry, worker_id, started_ms, number)
    if jobstates.make_queued_key(entry.job.queue, entry.job.id) in change.rows:
        entry.has_queued_row = True
    for run in change.starts:
        if ownerstate.is_live(owner, run):
            ownerstate.withdraw_run(owner, run, now_ms)
    logs.log_event(
        "progress_rejected",
        "ERROR",
        job=change.job_id,
        starts=len(change.starts),
        rejections=entry.rejections,
        retry_ms=delay_ms,
    )


def _mark_stored(
    owner: ownerstate.Owner, marks: dict[str, writer.EndNumber]
) -> None:
    for worker_id, (started_ms, number) in marks.items():
        worker = owner.workers.get(worker_id)
        if worker is not None and worker.info.started_ms == started_ms:
            worker.stored_number = max(worker.stored_number, number)
            worker.stored.set()
