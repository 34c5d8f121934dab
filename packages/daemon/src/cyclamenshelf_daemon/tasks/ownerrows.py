"""Rows that the owner writes: job progress and the removal of old jobs."""

from cyclamenshelf_core import progresspages
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
from cyclamenshelf_daemon.tasks.workerprofiles import profilestore

_QUEUED = taskprogress.State.QUEUED
# Delays before rejected progress is written again; they double up to the
# longest.
_MIN_REJECTED_DELAY_MS = 1_000
_MAX_REJECTED_DELAY_MS = 30_000
# A cancellation of a job that is not stored outlasts the inserts that are still
# on their way, and submissions that are repeated some seconds later.
_KEEP_LONE_CANCELLATION_MS = 60_000


def flush_rows(owner: ownerstate.Owner) -> None:
    """Pass changed progress to the writer, one batch at a time."""
    if owner.writing:
        return
    now_ms = owner.context.clock.now_ms()
    changes: list[writer.JobChange] = []
    rows = size = 0
    due = [
        entry
        for entry in owner.ledger.jobs.values()
        if entry.dirty and entry.rejected_until_ms <= now_ms
    ]
    # A large job that changes all the time must not keep others waiting.
    due.sort(key=lambda entry: entry.written_ms)
    for entry in due:
        if rows + 2 > writer.MAX_ROWS or size >= writer.MAX_BYTES:
            break
        entry.written_ms = now_ms
        change = _make_change(
            owner, entry, writer.MAX_ROWS - rows, writer.MAX_BYTES - size
        )
        changes.append(change)
        rows += len(change.rows)
        size += sum(len(value or b"") for _, value in change.rows.values())
    changes += _list_removals(owner, {c.job_id for c in changes}, rows, now_ms)
    rows = sum(len(change.rows) for change in changes)
    changes += _list_cancellation_removals(owner, writer.MAX_ROWS - rows)
    rows = sum(len(change.rows) for change in changes)
    changes += profilestore.list_changes(owner, writer.MAX_ROWS - rows)
    marks = _list_stored_ends(owner)
    if changes:
        owner.writing = True
        owner.batches.put(writer.Batch(tuple(changes), marks))
    elif marks:
        _mark_stored(owner, marks)


def _make_change(
    owner: ownerstate.Owner,
    entry: ledgers.JobEntry,
    max_rows: int,
    max_bytes: int,
) -> writer.JobChange:
    """Return rows of a changed job, and mark their pages as written.

    Pages beyond the limits are left for the next batch.

    Args:
        owner: The owner.
        entry: The job.
        max_rows: Number of rows that there is room for, at least 2.
        max_bytes: Bytes after which no page is added.
    """
    job_id = entry.job.id
    rows: dict[ports.RowKey, tuple[int, bytes | None]] = {}
    if entry.has_queued_row and entry.progress.state is not _QUEUED:
        # Inserted in the same transaction as the job's row, so it has
        # the same version.
        queued = jobstates.make_queued_key(entry.job.queue, job_id)
        rows[queued] = (entry.row_version, None)
        entry.has_queued_row = False
    entry.changed_pages.pop(0, None)
    pages = {0}
    rows[jobstates.make_page_key(job_id, 0)] = _encode_page(owner, entry, 0)
    size = 0
    for page in list(entry.changed_pages):
        if len(rows) >= max_rows or size >= max_bytes:
            break
        version, value = _encode_page(owner, entry, page)
        if value is not None or version:
            key = jobstates.make_page_key(job_id, page)
            rows[key] = (version, value)
            size += len(value or b"")
        pages.add(page)
        del entry.changed_pages[page]
    starts = tuple(
        run
        for run in ledgers.list_planned_runs(owner.ledger, job_id)
        if progresspages.get_page(entry.layout, run.task) in pages
    )
    ends = {
        page: entry.unstored_ends.pop(page)
        for page in pages
        if page in entry.unstored_ends
    }
    entry.dirty = bool(entry.changed_pages)
    return writer.JobChange(job_id, rows, starts, ends)


def _encode_page(
    owner: ownerstate.Owner, entry: ledgers.JobEntry, page: int
) -> tuple[int, bytes | None]:
    """Return the stored version of a page and its new value."""
    progress, unconfirmed = entry.progress, owner.unconfirmed_workers
    assigned: progresspages.Assignments = {}
    for worker_id in unconfirmed & progress.assigned_runs.keys():
        for task, number in progress.assigned_runs[worker_id].items():
            if progresspages.get_page(entry.layout, task) == page:
                assigned.setdefault(worker_id, {})[task] = number
    for task in progresspages.list_tasks(entry.layout, page):
        run = owner.ledger.runs.get(task)
        if run is not None:
            assigned.setdefault(run.worker_id, {})[task] = run.number
    # Rows of earlier versions name workers without their runs.
    others = (progress.workers & unconfirmed) - progress.assigned_runs.keys()
    value = progresspages.encode_page(
        progress, entry.layout, page, assigned, others
    )
    return entry.page_versions.get(page, 0), value


def _list_stored_ends(
    owner: ownerstate.Owner,
) -> dict[str, writer.EndNumber]:
    """Return the last end of each worker that all written rows contain.

    The ends of a job whose rows are left out have to be listed again to the
    next owner, and so have all later ends of the same worker.
    """
    unstored: dict[tuple[str, int], int] = {}
    for entry in owner.ledger.jobs.values():
        for ends in entry.unstored_ends.values():
            for worker_id, (started_ms, number) in ends.items():
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


def _list_removals(
    owner: ownerstate.Owner, changed_jobs: set[str], rows: int, now_ms: int
) -> list[writer.JobChange]:
    """Return the removal of jobs that ended before the retention period.

    Args:
        owner: The owner.
        changed_jobs: Jobs of which the batch contains rows.
        rows: Number of rows in the batch.
        now_ms: The monotonic time.
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
        if entry.rejected_until_ms > now_ms:
            continue
        if rows + 3 > writer.MAX_ROWS:
            break
        removal = _make_removal(owner, entry, writer.MAX_ROWS - rows)
        removals.append(removal)
        rows += len(removal.rows)
    return removals


def _make_removal(
    owner: ownerstate.Owner, entry: ledgers.JobEntry, max_rows: int
) -> writer.JobChange:
    """Return the removal of a job, or of some of its pages if it has many.

    The other pages of a job are removed before page 0, which says that it has
    ended.
    """
    job_id = entry.job.id
    later_pages = entry.page_versions.keys() - {0}
    rows: dict[ports.RowKey, tuple[int, bytes | None]] = {
        jobstates.make_page_key(job_id, page): (
            entry.page_versions[page],
            None,
        )
        for page in sorted(later_pages)[:max_rows]
    }
    if len(rows) < len(later_pages) or len(rows) + 3 > max_rows:
        return writer.JobChange(job_id, rows, (), {})
    key = jobstates.make_page_key(job_id, 0)
    rows[key] = (entry.page_versions[0], None)
    rows[submission.make_work_key(job_id)] = (entry.row_version, None)
    cancel = submission.make_cancel_key(job_id)
    cancel_row = owner.work.rows.get(cancel.key)
    if cancel_row is not None:
        rows[cancel] = (cancel_row.version, None)
    return writer.JobChange(job_id, rows, (), {})


def _list_cancellation_removals(
    owner: ownerstate.Owner, max_rows: int
) -> list[writer.JobChange]:
    """Return the removal of old cancellations of jobs that never came."""
    before_ms = owner.context.clock.wall_ms() - _KEEP_LONE_CANCELLATION_MS
    removals: list[writer.JobChange] = []
    for job_id, (version, requested_ms) in owner.lone_cancellations.items():
        # Nearly in the order of their times, so later ones can wait.
        if requested_ms >= before_ms or len(removals) >= max_rows:
            break
        rows: dict[ports.RowKey, tuple[int, bytes | None]] = {
            submission.make_cancel_key(job_id): (version, None)
        }
        removals.append(writer.JobChange(job_id, rows, (), {}))
    for removal in removals:
        del owner.lone_cancellations[removal.job_id]
    return removals


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
        profilestore.record_written(owner, change, result.versions)
    # After a rejection, the next flush finds out which ends are stored.
    if not rejected:
        _mark_stored(owner, batch.stored_ends)
    for change in written:
        ownerruns.send_stored_starts(owner, change.starts)


def _record_versions(
    owner: ownerstate.Owner,
    change: writer.JobChange,
    versions: dict[ports.RowKey, int],
) -> None:
    entry = owner.ledger.jobs.get(change.job_id)
    if entry is None:
        return
    entry.rejections = 0
    for page, value in _list_pages(change):
        if value is not None:
            key = jobstates.make_page_key(change.job_id, page)
            entry.page_versions[page] = versions[key]
            continue
        entry.page_versions.pop(page, None)
        if page == 0:
            del owner.ledger.jobs[change.job_id]
            advice.drop_job(owner.advice, change.job_id)


def _list_pages(
    change: writer.JobChange,
) -> list[tuple[int, bytes | None]]:
    """Return the pages of a change with their values."""
    return [
        (jobstates.parse_page_key(key.key)[1], value)
        for key, (_, value) in change.rows.items()
        if key.table == jobstates.PROGRESS_TABLE
    ]


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
    entry.changed_pages |= dict.fromkeys(
        page for page, _ in _list_pages(change)
    )
    for page, ends in change.ends.items():
        for worker_id, end in ends.items():
            ledgers.add_unstored_end(entry, page, worker_id, end)
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
