"""Commands of callers: accepting and cancelling jobs."""

from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_core import jobspec
from cyclamenshelf_core import model
from cyclamenshelf_daemon import groupcommit
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import jobpoller
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import tableclient

MAX_KEY_LENGTH = 200
_JOURNAL_TRIES = 3
_RETRY_AFTER_MS = 2_000


class AcceptanceContext(NamedTuple):
    """What accepting jobs needs from the process.

    Attributes:
        get_queue_depth: Returns the jobs of an account that wait, as last
            heard from the cell owner.
        on_changed: Called with the kind of change and the job id.
    """

    cell: str
    table: tableclient.TableClient
    committer: groupcommit.GroupCommitter
    objects: objectclient.ObjectClient
    host_list: hostlist.HostList
    clock: clocks.Clock
    get_lists: Callable[[], model.Lists]
    get_queue_depth: Callable[[str], int]
    on_changed: Callable[[str, str], None]


class Accepted(NamedTuple):
    """An accepted job.

    Attributes:
        journaled: Whether the object store holds it instead of the table.
    """

    job: model.Job
    journaled: bool


def accept_job(
    context: AcceptanceContext, account: str, key: str | None, body: Any
) -> Accepted:
    """Accept a job durably, once for each idempotency key.

    Raises:
        errors.RequestRefusedError: `run` says whether the job was run.
    """
    if not key or len(key) > MAX_KEY_LENGTH:
        raise errors.InvalidFieldError(
            "Idempotency-Key", f"1 to {MAX_KEY_LENGTH} characters", key
        )
    job = make_job(context.cell, account, key, body, context.clock.wall_ms())
    try:
        check_fits(
            context.get_lists(),
            context.host_list.hosts.workers,
            account,
            job.spec.shape,
        )
        _check_queue(context, account)
    except (errors.NeverFitsError, errors.QueueFullError) as refusal:
        # The key may have been used while the job was still admitted.
        return Accepted(_find_first(context, job, refusal), journaled=False)
    accepted = _store_job(context, job)
    logs.log_event(
        "job_accepted",
        job=job.id,
        account=account,
        journaled=accepted.journaled,
    )
    context.on_changed("accepted", job.id)
    return accepted


def make_job(
    cell: str, account: str, key: str, body: Any, wall_ms: int
) -> model.Job:
    """Return the job that a caller's body describes.

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
    """Ask the cell owner to cancel a job.

    Raises:
        errors.StoreDownError: The wish could not be stored.
    """
    key = f"cancel/{job.cell}/{job.id}"
    try:
        groupcommit.commit(
            context.committer, tableclient.Transaction({key: 0}, {key: {}})
        )
    except errors.WriteConflictError:
        pass  # The same wish is stored already.
    except errors.StoreError as error:
        raise errors.StoreDownError(
            str(error),
            run=errors.Run.UNKNOWN,
            job_id=job.id,
            retry_after_ms=_RETRY_AFTER_MS,
        ) from error
    context.on_changed("cancel", job.id)


def _check_queue(context: AcceptanceContext, account: str) -> None:
    """Refuse jobs beyond the account's queue.

    The depth is about a second old, so that the queue can exceed its bound
    by what the hosts accept in that time.

    Raises:
        errors.QueueFullError: The account's queue is full.
    """
    limit = model.get_plan(context.get_lists(), account).max_queued_jobs
    depth = context.get_queue_depth(account)
    if depth >= limit:
        raise errors.QueueFullError(
            f"{depth} jobs wait; the plan allows {limit}",
            retry_after_ms=_RETRY_AFTER_MS,
        )


def check_fits(
    lists: model.Lists,
    workers: dict[str, model.Worker],
    account: str,
    shape: model.Shape,
) -> None:
    """Check a shape against the account's plan and the listed workers.

    Raises:
        errors.NeverFitsError: The job could never start.
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


def _store_job(context: AcceptanceContext, job: model.Job) -> Accepted:
    row = jobrows.encode_job(job)
    try:
        groupcommit.commit(
            context.committer, jobpoller.make_insert(job.id, job.cell, row)
        )
    except errors.WriteConflictError as conflict:
        unread = errors.StoreDownError(
            str(conflict), run=errors.Run.UNKNOWN, job_id=job.id
        )
        return Accepted(_find_first(context, job, unread), journaled=False)
    except errors.StoreError as error:
        return _journal_job(context, job, row, error)
    return Accepted(job, journaled=False)


def _read_first(context: AcceptanceContext, job: model.Job) -> model.Job | None:
    """Return the job that the key was first used for, if there is one."""
    try:
        row = tableclient.read_rows(context.table, [f"job/{job.id}"]).get(
            f"job/{job.id}"
        )
    except errors.StoreUnavailableError as error:
        raise _make_store_down(job, error, errors.Run.UNKNOWN) from error
    if row is None:
        return None
    first = jobrows.decode_job(row.value)
    _check_same_body(first, job)
    return first


def _find_first(
    context: AcceptanceContext,
    job: model.Job,
    refusal: errors.RequestRefusedError,
) -> model.Job:
    """Return the job of an earlier use of the key; else raise the refusal."""
    first = _read_first(context, job)
    if first is None:
        raise refusal
    return first


def _check_same_body(first: model.Job, job: model.Job) -> None:
    if first.digest != job.digest:
        raise errors.KeyReusedError(
            "the idempotency key was used with another body", job_id=job.id
        )


def _journal_job(
    context: AcceptanceContext,
    job: model.Job,
    row: dict[str, Any],
    error: errors.StoreError,
) -> Accepted:
    """Accept into the object store, as the table does not take the job."""
    content = json.dumps(row).encode()
    unsent = isinstance(error, errors.StoreUnavailableError)
    last: errors.StoreError = error
    for _ in range(_JOURNAL_TRIES):
        try:
            if _put_journaled(context, job, content):
                return Accepted(job, journaled=True)
            unsent = False  # The key was journaled before, and imported now.
        except errors.OutcomeUnknownError as unknown:
            unsent, last = False, unknown
        except errors.StoreUnavailableError as unavailable:
            last = unavailable
            break
    run = errors.Run.NOT_RUN if unsent else errors.Run.UNKNOWN
    raise _make_store_down(job, last, run) from last


def _put_journaled(
    context: AcceptanceContext, job: model.Job, content: bytes
) -> bool:
    """Return whether the journal holds the job.

    Raises:
        errors.OutcomeUnknownError: It may or may not hold it.
        errors.StoreUnavailableError: Nothing was sent.
    """
    key = f"accept/{job.cell}/{job.id}"
    if objectclient.put_object_if_absent(context.objects, key, content):
        return True
    try:
        found = objectclient.get_object(context.objects, key)
    except errors.StoreUnavailableError as error:
        # The key is journaled already: the job may well run.
        raise errors.OutcomeUnknownError("objects", str(error)) from error
    if found is None:
        return False
    _check_same_body(jobrows.decode_job(json.loads(found)), job)
    return True


def _make_store_down(
    job: model.Job, error: errors.StoreError, run: errors.Run
) -> errors.StoreDownError:
    return errors.StoreDownError(
        str(error), run=run, job_id=job.id, retry_after_ms=_RETRY_AFTER_MS
    )
