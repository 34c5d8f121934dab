"""Acceptance and cancellation of jobs on behalf of callers."""

from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_core import jobspec
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core import model
from cyclamenshelf_daemon import groupcommit
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import jobpoller
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import tableclient

MAX_KEY_LENGTH = 200
_MAX_JOURNAL_WRITES = 3
_RETRY_AFTER_MS = 2_000


class AcceptanceContext(NamedTuple):
    """Clients, state and callbacks that accepting jobs depends on.

    Attributes:
        get_queue_depth: Returns the number of queued jobs of an account, as
            last reported by the cell owner.
        on_job_changed: Called with the kind of change ("accepted" or "cancel")
            and the job id.
    """

    cell: str
    table: tableclient.TableClient
    committer: groupcommit.GroupCommitter
    objects: objectclient.ObjectClient
    host_list: hostlist.HostList
    clock: clocks.Clock
    get_lists: Callable[[], model.Lists]
    get_queue_depth: Callable[[str], int]
    on_job_changed: Callable[[str, str], None]


class AcceptedJob(NamedTuple):
    """An accepted job and the store that it was written to.

    Attributes:
        journaled: Whether the job was written to the journal in the object
            store because the table was unavailable.
    """

    job: model.Job
    journaled: bool


def accept_job(
    context: AcceptanceContext, account: str, key: str | None, body: Any
) -> AcceptedJob:
    """Store a job durably, at most once per idempotency key.

    A repeated request with the same key and body returns the existing job.

    Raises:
        errors.RequestRefusedError: The request was refused; `run` tells
            whether the job may have been accepted nevertheless.
    """
    if not key or len(key) > MAX_KEY_LENGTH:
        raise errors.InvalidFieldError(
            "Idempotency-Key", f"1 to {MAX_KEY_LENGTH} characters", key
        )
    job = make_job(context.cell, account, key, body, context.clock.wall_ms())
    try:
        check_shape_fits(
            context.get_lists(),
            context.host_list.hosts.workers,
            account,
            job.spec.shape,
        )
        _check_queue_depth(context, account)
    except (errors.NeverFitsError, errors.QueueFullError) as refusal:
        # An earlier request with this key may have been accepted when the
        # plan still allowed the job or the queue was not full.
        return AcceptedJob(
            _get_existing_job(context, job, refusal), journaled=False
        )
    accepted = _store_job(context, job)
    logs.log_event(
        "job_accepted",
        job=job.id,
        account=account,
        journaled=accepted.journaled,
    )
    context.on_job_changed("accepted", job.id)
    return accepted


def make_job(
    cell: str, account: str, key: str, body: Any, wall_ms: int
) -> model.Job:
    """Return a queued job built from the body of a caller's request.

    Raises:
        errors.InvalidFieldError: A field of the body is missing or invalid.
    """
    return model.Job(
        id=jobrows.make_job_id(account, key),
        account=account,
        cell=cell,
        digest=jobrows.compute_digest(body),
        spec=jobspec.parse_job_spec(body, wall_ms),
        state=model.JobState.QUEUED,
        accepted_ms=wall_ms,
    )


def cancel_job(context: AcceptanceContext, job: model.Job) -> None:
    """Store a request to cancel a job, for the cell owner to carry out.

    Raises:
        errors.StoreDownError: The store did not confirm the request.
    """
    key = f"cancel/{job.cell}/{job.id}"
    try:
        groupcommit.commit(
            context.committer, tableclient.Transaction({key: 0}, {key: {}})
        )
    except errors.WriteConflictError:
        pass  # A cancellation request for this job is already stored.
    except errors.StoreError as error:
        raise errors.StoreDownError(
            str(error),
            run=errors.Run.UNKNOWN,
            job_id=job.id,
            retry_after_ms=_RETRY_AFTER_MS,
        ) from error
    context.on_job_changed("cancel", job.id)


def _check_queue_depth(context: AcceptanceContext, account: str) -> None:
    """Check that the account may queue another job.

    The reported depth is about a second old, so the queue can exceed its
    limit by the number of jobs that all hosts accept in that time.

    Raises:
        errors.QueueFullError: The account's queue is full.
    """
    limit = model.get_plan(context.get_lists(), account).max_queued_jobs
    depth = context.get_queue_depth(account)
    if depth >= limit:
        raise errors.QueueFullError(
            f"{depth} jobs are queued; the plan allows at most {limit}",
            retry_after_ms=_RETRY_AFTER_MS,
        )


def check_shape_fits(
    lists: model.Lists,
    workers: dict[str, model.Worker],
    account: str,
    shape: model.Shape,
) -> None:
    """Check that the plan and the listed workers can ever fit a shape.

    Raises:
        errors.NeverFitsError: The job could never start, because it exceeds
            the accelerators of the plan or a part exceeds the largest worker.
    """
    plan = model.get_plan(lists, account)
    total = shape.parts * shape.accelerators
    if total > plan.max_accelerators:
        raise errors.NeverFitsError(
            f"{total} accelerators; plan {plan.name} allows "
            f"{plan.max_accelerators}"
        )
    largest = max(
        (worker.accelerators for worker in workers.values()), default=0
    )
    if workers and shape.accelerators > largest:
        raise errors.NeverFitsError(
            f"{shape.accelerators} accelerators in a part; the largest "
            f"worker has {largest}"
        )


def _store_job(context: AcceptanceContext, job: model.Job) -> AcceptedJob:
    row = jobrows.encode_job(job)
    try:
        groupcommit.commit(
            context.committer, jobpoller.make_insert(job.id, job.cell, row)
        )
    except errors.WriteConflictError as conflict:
        not_found_error = errors.StoreDownError(
            str(conflict), run=errors.Run.UNKNOWN, job_id=job.id
        )
        return AcceptedJob(
            _get_existing_job(context, job, not_found_error), journaled=False
        )
    except errors.StoreError as error:
        return _journal_job(context, job, row, error)
    return AcceptedJob(job, journaled=False)


def _read_existing_job(
    context: AcceptanceContext, job: model.Job
) -> model.Job | None:
    """Return the stored job with the same idempotency key, or None."""
    try:
        row = tableclient.read_rows(context.table, [f"job/{job.id}"]).get(
            f"job/{job.id}"
        )
    except errors.StoreUnavailableError as error:
        raise _make_store_down_error(job, error, errors.Run.UNKNOWN) from error
    if row is None:
        return None
    existing = jobrows.decode_job(row.value)
    _check_same_body(existing, job)
    return existing


def _get_existing_job(
    context: AcceptanceContext,
    job: model.Job,
    refusal: errors.RequestRefusedError,
) -> model.Job:
    """Return the stored job with the same key, or raise the refusal."""
    existing = _read_existing_job(context, job)
    if existing is None:
        raise refusal
    return existing


def _check_same_body(existing: model.Job, job: model.Job) -> None:
    if existing.digest != job.digest:
        raise errors.KeyReusedError(
            "the idempotency key was already used with a different body",
            job_id=job.id,
        )


def _journal_job(
    context: AcceptanceContext,
    job: model.Job,
    row: dict[str, Any],
    error: errors.StoreError,
) -> AcceptedJob:
    """Write the job to the journal after the insert into the table failed."""
    content = json.dumps(row).encode()
    nothing_sent = isinstance(error, errors.StoreUnavailableError)
    last_error: errors.StoreError = error
    for _ in range(_MAX_JOURNAL_WRITES):
        try:
            if _write_journal_entry(context, job, content):
                return AcceptedJob(job, journaled=True)
            # The journal already had an entry for this key, which was
            # imported and deleted before it could be read.
            nothing_sent = False
        except errors.OutcomeUnknownError as unknown:
            nothing_sent, last_error = False, unknown
        except errors.StoreUnavailableError as unavailable:
            last_error = unavailable
            break
    run = errors.Run.NOT_RUN if nothing_sent else errors.Run.UNKNOWN
    raise _make_store_down_error(job, last_error, run) from last_error


def _write_journal_entry(
    context: AcceptanceContext, job: model.Job, content: bytes
) -> bool:
    """Return whether the journal has the job after an attempt to add it.

    False means that an entry with the same key existed but was deleted before
    it could be read.

    Raises:
        errors.KeyReusedError: The entry has a different body.
        errors.OutcomeUnknownError: The journal may or may not have the job.
        errors.StoreUnavailableError: Nothing was sent.
    """
    key = f"accept/{job.cell}/{job.id}"
    if objectclient.put_object_if_absent(context.objects, key, content):
        return True
    try:
        entry = objectclient.get_object(context.objects, key)
    except errors.StoreUnavailableError as error:
        # An entry with this key exists, so the job may run.
        raise errors.OutcomeUnknownError("objects", str(error)) from error
    if entry is None:
        return False
    _check_same_body(jobrows.decode_job(jsontexts.decode(entry)), job)
    return True


def _make_store_down_error(
    job: model.Job, error: errors.StoreError, run: errors.Run
) -> errors.StoreDownError:
    return errors.StoreDownError(
        str(error), run=run, job_id=job.id, retry_after_ms=_RETRY_AFTER_MS
    )
