"""Jobs of the owner: loaded at a takeover, then added as they arrive."""

from cyclamenshelf_core import errors
from cyclamenshelf_core import progresspages
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import submission
from cyclamenshelf_daemon.tasks.endings import stops

_LIST_TIMEOUT_MS = 900
_LOAD_RETRY_MS = 150

# Rows of progress by job and page.
_Pages = dict[str, dict[int, ports.Row]]


def load_jobs(owner: ownerstate.Owner) -> None:
    """Read all jobs and their progress; retry until the store responds."""
    context = owner.context
    while not owner.tenure.ended.is_set():
        try:
            work = context.store.read(submission.WORK_TABLE, _LIST_TIMEOUT_MS)
            progress = context.store.read(
                jobstates.PROGRESS_TABLE, _LIST_TIMEOUT_MS
            )
        except errors.StoreError as error:
            logs.log_event("jobs_unread", "WARNING", detail=error)
            context.clock.sleep_ms(_LOAD_RETRY_MS)
            continue
        pages = _group_pages(progress.rows)
        for row in work.rows:
            _add_readable_job(owner, row, pages)
        _record_unconfirmed_workers(owner)
        owner.work.rows = {row.key.key: row for row in work.rows}
        owner.work.version = work.version
        apply_work_rows(owner, [r for r in work.rows if _is_cancel(r)])
        logs.log_event(
            "jobs_loaded",
            epoch=owner.tenure.epoch,
            jobs=len(owner.ledger.jobs),
            version=work.version,
        )
        return


def _group_pages(rows: list[ports.Row]) -> _Pages:
    """Return the rows of progress by job and page."""
    pages: _Pages = {}
    for row in rows:
        try:
            job_id, page = jobstates.parse_page_key(row.key.key)
        except ValueError:
            continue  # The row of another program.
        pages.setdefault(job_id, {})[page] = row
    return pages


def _record_unconfirmed_workers(owner: ownerstate.Owner) -> None:
    """Record the workers that may run tasks of an earlier owner."""
    for entry in owner.ledger.jobs.values():
        if entry.progress.state not in taskprogress.ENDED:
            owner.unconfirmed_workers |= entry.progress.workers


def _is_cancel(row: ports.Row) -> bool:
    return row.key.key.startswith("cancel.")


def _add_readable_job(
    owner: ownerstate.Owner, row: ports.Row, pages: _Pages
) -> None:
    """Add the job of a row, and leave out one that cannot be decoded."""
    try:
        _add_job(owner, row, pages)
    except (
        AttributeError,
        IndexError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        logs.log_event(
            "job_unreadable", "ERROR", key=row.key.key, detail=repr(error)
        )


def _add_job(owner: ownerstate.Owner, row: ports.Row, pages: _Pages) -> None:
    kind, _, job_id = row.key.key.partition(".")
    if kind != "job" or not row.value or job_id in owner.ledger.jobs:
        return
    job = taskjobs.decode_job(row.value)
    # Page 0 was inserted in the same transaction as the job, so without later
    # pages both have the same version.
    versions = {0: row.version}
    progress = taskprogress.Progress(
        job.queue, job.account, job.repetitions > 0
    )
    for page, page_row in sorted(pages.get(job_id, {}).items()):
        versions[page] = page_row.version
        if page == 0:
            progress = taskprogress.decode_progress(job_id, page_row.value)
        else:
            taskprogress.add_records(progress, job_id, page_row.value)
    entry = ledgers.JobEntry(
        job, row.version, progress, versions[0], owner.context.max_row_bytes
    )
    entry.page_versions = versions
    _complete_gangs(entry)
    if not progress.page_tasks and progresspages.count_pages(entry.layout) > 1:
        # Earlier versions stored the whole progress in one row.
        recorded = progresspages.list_recorded_pages(progress, entry.layout)
        entry.changed_pages = dict.fromkeys(sorted(recorded))
    owner.ledger.jobs[job_id] = entry
    owner.changed = True


def _complete_gangs(entry: ledgers.JobEntry) -> None:
    """Mark all members of each gang of which a member is done.

    That a gang is done is only certain to be stored on the page of its task 0.
    """
    for group, done in entry.progress.done.items():
        step = entry.job.steps[group.step]
        if step.gang and done:
            done.update(range(step.tasks))


def apply_work_rows(owner: ownerstate.Owner, rows: list[ports.Row]) -> None:
    """Apply new jobs and cancellations, in whichever order they come."""
    for row in rows:
        if not _is_cancel(row):
            _add_readable_job(owner, row, {})
    for row in rows:
        job_id = row.key.key.partition(".")[2]
        if _is_cancel(row):
            _update_lone_cancellation(owner, job_id, row)
        entry = owner.ledger.jobs.get(job_id)
        if entry is None or row.value is None:
            continue
        cancel_key = submission.make_cancel_key(job_id).key
        if (
            _is_cancel(row) or cancel_key in owner.work.rows
        ) and entry.progress.state not in taskprogress.ENDED:
            stops.end_job(
                owner.ledger,
                entry,
                taskprogress.State.CANCELLED,
                owner.context.clock.wall_ms(),
                "cancelled by its caller",
            )
            owner.changed = True


def _update_lone_cancellation(
    owner: ownerstate.Owner, job_id: str, row: ports.Row
) -> None:
    """Record a cancellation whose job is not stored, or forget one.

    A clock that is ahead must not keep its row for long.
    """
    owner.lone_cancellations.pop(job_id, None)
    work_key = submission.make_work_key(job_id).key
    if row.value is None or work_key in owner.work.rows:
        return
    requested_ms = min(
        submission.decode_cancellation(row.value),
        owner.context.clock.wall_ms(),
    )
    owner.lone_cancellations[job_id] = (row.version, requested_ms)
