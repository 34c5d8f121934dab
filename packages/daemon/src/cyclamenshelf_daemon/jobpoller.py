"""Polls the stores for the jobs and cancellations of a cell.

The poller also imports jobs that were accepted into the object store while
the table service was unavailable.
"""

from collections.abc import Callable
import concurrent.futures
import json
import threading
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core import model
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import groupcommit
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon import tableclient

_POLL_INTERVAL_MS = 1_000
_IMPORT_BATCH = 100


class PollResult(NamedTuple):
    """Result of one poll.

    Attributes:
        jobs: Jobs that were not delivered before, with their row versions.
        cancels: Ids of jobs to cancel.
        quarantined: Ids of workers that operators exclude from new work.
    """

    jobs: list[tuple[model.Job, int]]
    cancels: set[str]
    quarantined: set[str]


class JobPoller:
    """State of the poller of one tenure.

    Attributes:
        check_job: Returns why a journaled job may not run, or an empty text if
            it may; None while that cannot be decided.
        delivered: Ids of active jobs that were passed to the owner.
    """

    def __init__(
        self,
        table: tableclient.TableClient,
        objects: objectclient.ObjectClient,
        committer: groupcommit.GroupCommitter,
        tenure: celllease.Tenure,
        check_job: Callable[[model.Job], str | None],
    ) -> None:
        self.table = table
        self.objects = objects
        self.committer = committer
        self.tenure = tenure
        self.check_job = check_job
        self.lock = threading.Lock()
        self.delivered: set[str] = set()
        self.wake = threading.Event()
        self.stopped = threading.Event()


def start_polling(
    poller: JobPoller, on_result: Callable[[PollResult], None]
) -> None:
    """Start the poller's thread."""
    threading.Thread(
        target=_run_poller,
        args=(poller, on_result),
        name="job-poller",
        daemon=True,
    ).start()


def stop_polling(poller: JobPoller) -> None:
    """End the poller's thread."""
    poller.stopped.set()
    poller.wake.set()


def wake(poller: JobPoller) -> None:
    """Poll without waiting for the interval to end."""
    poller.wake.set()


def forget_job(poller: JobPoller, job_id: str) -> None:
    """Let the next poll deliver the job again if it is still active."""
    with poller.lock:
        poller.delivered.discard(job_id)


def _run_poller(
    poller: JobPoller, on_result: Callable[[PollResult], None]
) -> None:
    while not poller.stopped.is_set():
        poller.wake.clear()
        supervision.run_logged("job_poll_failed", _poll_once, poller, on_result)
        poller.wake.wait(_POLL_INTERVAL_MS / 1000)


def _poll_once(
    poller: JobPoller, on_result: Callable[[PollResult], None]
) -> None:
    try:
        on_result(poll_table(poller))
        import_journal(poller)
    except errors.StoreError as error:
        logs.log_event("job_poll_failed", "WARNING", detail=error)


def poll_table(poller: JobPoller) -> PollResult:
    """Return the jobs that were not delivered before, and the cancellations.

    Raises:
        errors.StoreError: The table service did not respond.
    """
    cell = poller.tenure.cell
    # Cancellations are read first: if a job ends between the two scans, it is
    # not among the active jobs, so its cancellation is recognised as stale.
    cancels = _scan(poller, f"cancel/{cell}/")
    active = _scan(poller, f"active/{cell}/")
    with poller.lock:
        new = [job_id for job_id in active if job_id not in poller.delivered]
    rows = tableclient.read_rows(
        poller.table, [f"job/{job_id}" for job_id in new]
    )
    with poller.lock:
        poller.delivered = (poller.delivered & active.keys()) | set(new)
    _delete_stale_cancels(
        poller, {key: cancels[key] for key in cancels.keys() - active.keys()}
    )
    jobs = [_decode_row(row) for row in rows.values()]
    return PollResult(
        [job for job in jobs if job is not None],
        cancels.keys() & active.keys(),
        set(_scan(poller, f"quarantine/{cell}/")),
    )


def _scan(poller: JobPoller, prefix: str) -> dict[str, int]:
    """Return the row versions under a prefix, by the key without the prefix."""
    return {
        row.key.removeprefix(prefix): row.version
        for row in tableclient.scan_rows(poller.table, prefix)
    }


def _decode_row(row: tableclient.Row) -> tuple[model.Job, int] | None:
    try:
        return jobrows.decode_job(row.value), row.version
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        logs.log_event(
            "job_row_malformed", "ERROR", key=row.key, detail=repr(error)
        )
        return None


def _delete_stale_cancels(poller: JobPoller, cancels: dict[str, int]) -> None:
    """Delete cancellations that were stored as their jobs ended."""
    rows = tableclient.read_rows(
        poller.table, [f"job/{job_id}" for job_id in cancels]
    )
    for job_id, version in cancels.items():
        row = rows.get(f"job/{job_id}")
        if row is None or row.value.get("state") in model.ENDED_STATES:
            key = f"cancel/{poller.tenure.cell}/{job_id}"
            groupcommit.submit_transaction(
                poller.committer,
                tableclient.Transaction({key: version}, {}, (key,)),
            )


def import_journal(poller: JobPoller) -> None:
    """Insert journaled jobs into the table, then delete their objects.

    Raises:
        errors.StoreError: A store did not respond; the remaining jobs stay in
            the journal.
    """
    prefix = f"accept/{poller.tenure.cell}/"
    after = ""
    while not poller.stopped.is_set():
        keys = objectclient.list_objects(
            poller.objects, prefix, _IMPORT_BATCH, after
        )
        _import_batch(poller, prefix, keys)
        if len(keys) < _IMPORT_BATCH:
            return
        after = keys[-1]


def _import_batch(poller: JobPoller, prefix: str, keys: list[str]) -> None:
    inserts: dict[str, tuple[model.Job, concurrent.futures.Future[int]]] = {}
    for key in keys:
        job = _read_journaled(poller, key, key.removeprefix(prefix))
        reason = None if job is None else poller.check_job(job)
        if job is not None and reason is not None:
            inserts[key] = job, _submit_insert(poller, job, reason)
    for key, (job, future) in inserts.items():
        try:
            groupcommit.wait_for_commit(future)
            logs.log_event("journal_imported", job=job.id)
        except errors.WriteConflictError:
            _resolve_duplicate(poller, job)
        objectclient.delete_object(poller.objects, key)
        poller.wake.set()


def _read_journaled(
    poller: JobPoller, key: str, job_id: str
) -> model.Job | None:
    """Return a journaled job; move a malformed object to `malformed/`."""
    content = objectclient.get_object(poller.objects, key)
    if content is None:
        return None
    try:
        job = jobrows.decode_job(jsontexts.decode(content))
        if (job.id, job.cell) == (job_id, poller.tenure.cell):
            return job
        detail = f"job {job.id} of cell {job.cell}"
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        detail = repr(error)
    logs.log_event("journal_malformed", "ERROR", key=key, detail=detail)
    objectclient.put_object(poller.objects, f"malformed/{key}", content)
    objectclient.delete_object(poller.objects, key)
    return None


def _submit_insert(
    poller: JobPoller, job: model.Job, reason: str
) -> concurrent.futures.Future[int]:
    transaction = make_insert(job.id, job.cell, jobrows.encode_job(job))
    if reason:
        logs.log_event("journal_rejected", job=job.id, reason=reason)
        transaction = tableclient.Transaction(
            {f"job/{job.id}": 0}, {f"job/{job.id}": _make_rejected(job, reason)}
        )
    return groupcommit.submit_transaction(poller.committer, transaction)


def _make_rejected(job: model.Job, reason: str) -> dict[str, Any]:
    return jobrows.encode_job(
        job._replace(
            state=model.JobState.REJECTED,
            run=errors.Run.NOT_RUN,
            reason=reason,
        )
    )


def _resolve_duplicate(poller: JobPoller, job: model.Job) -> None:
    """Record the rejection of a job whose key was used with another body.

    The job row belongs to the first body, so the rejection is stored as an
    object.
    """
    key = f"job/{job.id}"
    row = tableclient.read_rows(poller.table, [key]).get(key)
    if row is None:
        raise errors.StoreUnavailableError(
            "table", f"row {key} not found after an insert conflict"
        )
    if row.value["digest"] == job.digest:
        logs.log_event("journal_duplicate", job=job.id)
        return
    reason = errors.KeyReusedError.code
    logs.log_event("journal_rejected", "WARNING", job=job.id, reason=reason)
    objectclient.put_object(
        poller.objects,
        f"rejected/{job.cell}/{job.id}/{job.digest}",
        json.dumps(_make_rejected(job, reason)).encode(),
    )


def make_insert(job_id: str, cell: str, value: dict) -> tableclient.Transaction:
    """Return a transaction that inserts a job unless its row exists."""
    return tableclient.Transaction(
        {f"job/{job_id}": 0},
        {f"job/{job_id}": value, f"active/{cell}/{job_id}": {}},
    )
