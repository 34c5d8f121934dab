"""Admission of callers, and submission and cancellation of jobs."""

from collections.abc import Iterator
import enum
import functools
import json
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import joblimits
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core import progresspages
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import adaptivetimeout
from cyclamenshelf_daemon.tasks import cachedlists
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues
from cyclamenshelf_daemon.tasks.admission import overloadcheck

WORK_TABLE = "work"
_READ_TIMEOUT_MS = 800
_RETRY_PAUSE_MS = 40
_MAX_WRITE_ATTEMPTS = 6
# After this many failed attempts the store is considered unavailable. The call
# then fails at once, so that another host may handle it.
_MAX_STORE_FAILURES = 3


class SubmissionOutcome(enum.Enum):
    """Result of a job submission."""

    STORED = enum.auto()
    ALREADY_STORED = enum.auto()
    # Cancelled before it was stored; it never will be.
    CANCELLED = enum.auto()
    NO_QUEUE = enum.auto()
    UNKNOWN_KEY = enum.auto()


class SubmissionContext(NamedTuple):
    """What submission and cancellation need.

    Attributes:
        write_timeout: Timeout of writes; after a lost response, the next
            attempt finds out whether the write took effect.
        max_row_bytes: Size of the largest row that the store accepts.
        overload: Refuses jobs under overload; None to accept all.
    """

    store: ports.Store
    cached_lists: cachedlists.CachedLists
    clock: clocks.Clock
    write_timeout: adaptivetimeout.AdaptiveTimeout
    max_row_bytes: int = progresspages.DEFAULT_MAX_ROW_BYTES
    overload: overloadcheck.OverloadContext | None = None


class Caller(NamedTuple):
    """The destination and the credentials of a request.

    Attributes:
        key: The API key that the request carries; empty if it has none.
    """

    host: str
    path: str
    key: str


class Admission(NamedTuple):
    """The queue and account of a request; public queues have no account."""

    queue: queues.Queue
    account: queues.ClientAccount | None


def make_work_key(job_id: str) -> ports.RowKey:
    """Return the key of a job's row."""
    return ports.RowKey(WORK_TABLE, f"job.{job_id}")


def make_cancel_key(job_id: str) -> ports.RowKey:
    """Return the key of the row of a job's cancellation."""
    return ports.RowKey(WORK_TABLE, f"cancel.{job_id}")


def admit(lists: queues.Lists, caller: Caller) -> Admission | SubmissionOutcome:
    """Return the queue and account of a request, or why there is none."""
    queue = queues.find_queue(lists, caller.host, caller.path)
    if queue is None:
        return SubmissionOutcome.NO_QUEUE
    if queue.public:
        return Admission(queue, None)
    account = queues.find_account(lists, caller.key)
    return (
        SubmissionOutcome.UNKNOWN_KEY
        if account is None
        else Admission(queue, account)
    )


def make_job(
    admission: Admission,
    job_id: str,
    payload: str,
    steps: tuple[taskjobs.Step, ...],
    schedule: tuple[int, int, int],
    wall_ms: int,
) -> taskjobs.TaskJob:
    """Return the job of a request.

    Args:
        admission: Queue and account of the request.
        job_id: Id that the caller chose.
        payload: Payload that is passed to its tasks.
        steps: Steps of the job.
        schedule: Number of repetitions, Unix time of the first in ms, and
            interval in ms.
        wall_ms: Unix time at which the job was accepted.
    """
    queue, account = admission
    return taskjobs.TaskJob(
        job_id,
        queue.name,
        account.name if account else "",
        queue.service,
        payload,
        steps,
        queue.priority,
        queue.max_attempts,
        queue.slowdown_factor,
        queue.target_latency_ms,
        *schedule,
        wall_ms,
    )


def submit_job(
    context: SubmissionContext,
    caller: Caller,
    job_id: str,
    payload: str,
    steps: tuple[taskjobs.Step, ...],
    schedule: tuple[int, int, int],
    deadline_ms: int,
    may_be_refused: bool = False,
) -> SubmissionOutcome:
    """Store a job on condition that the cached lists are current.

    The condition fails on a host whose lists are outdated, which then reads the
    new ones. No job is accepted under lists that are no longer in force. That a
    job is refused under overload is decided before an insert.

    Raises:
        errors.InvalidFieldError: The job is too large to be stored.
        errors.OverloadedError: The job would end too late, and is not stored.
        errors.StoreUnavailableError: The job is not stored, and will not be.
        errors.OutcomeUnknownError: The job may or may not be stored.
    """
    attempts = iter(range(_MAX_WRITE_ATTEMPTS))
    overload = context.overload if may_be_refused else None
    if overload:
        overloadcheck.refresh(overload, context.store)
    may_be_stored = functools.partial(_may_be_stored, context, job_id)
    while True:
        lists = context.cached_lists.lists
        admission = admit(lists, caller)
        if isinstance(admission, SubmissionOutcome):
            return admission
        job = make_job(
            admission, job_id, payload, steps, schedule, context.clock.wall_ms()
        )
        joblimits.check_row(job, context.max_row_bytes)
        if overload:
            account = admission.account
            guaranteed = account.guaranteed if account else 0
            overloadcheck.check_job(overload, job, guaranteed, may_be_stored)
        outcome = _insert(context, job, lists, deadline_ms, attempts)
        if outcome is not None:
            return outcome
        # The conflict has shown that the job is absent.
        may_be_stored = bool
        cachedlists.confirm(context.cached_lists, 0)


def _may_be_stored(context: SubmissionContext, job_id: str) -> bool:
    """Return whether a job is stored, or that cannot be found out."""
    try:
        result = context.store.read_row(make_work_key(job_id), _READ_TIMEOUT_MS)
        return bool(result.rows)
    except errors.StoreUnavailableError:
        return True


def _insert(
    context: SubmissionContext,
    job: taskjobs.TaskJob,
    lists: queues.Lists,
    deadline_ms: int,
    attempts: Iterator[int],
) -> SubmissionOutcome | None:
    """Insert a job under one version of the lists, unless it was cancelled.

    The same transaction is repeated until its outcome is known. A response that
    was lost can therefore not be followed by a decision under newer lists.

    Args:
        context: What submission needs.
        job: The job.
        lists: The lists that admit it; an insert fails if they have changed.
        deadline_ms: Monotonic time after which no attempt is made.
        attempts: Numbers of the attempts that may be made.

    Returns:
        The outcome, or None if the lists have changed: the job is not stored,
        and none of the attempts can still succeed.

    Raises:
        errors.StoreUnavailableError: The job is not stored, and will not be.
        errors.OutcomeUnknownError: The job may or may not be stored.
    """
    transaction = _make_insert(job, context.cached_lists.key, lists)
    unanswered = 0
    for attempt in attempts:
        remaining_ms = deadline_ms - context.clock.now_ms()
        if remaining_ms <= 0:
            break
        try:
            version = _commit(context, transaction, remaining_ms)
        except errors.WriteConflictError as conflict:
            version = conflict.versions.get(make_work_key(job.id), 0)
            _log_insert(job, lists, version, attempt, unanswered)
            if version:
                return SubmissionOutcome.ALREADY_STORED
            if conflict.versions.get(make_cancel_key(job.id)):
                return SubmissionOutcome.CANCELLED
            return None
        except errors.OutcomeUnknownError:
            unanswered += 1
            continue
        except errors.StoreUnavailableError:
            if not unanswered and attempt + 1 >= _MAX_STORE_FAILURES:
                break
            context.clock.sleep_ms(_RETRY_PAUSE_MS << attempt)
            continue
        _log_insert(job, lists, version, attempt, unanswered)
        return SubmissionOutcome.STORED
    if unanswered:
        raise errors.OutcomeUnknownError(
            "table", "no response to the insert of the job"
        )
    raise errors.StoreUnavailableError("table", "the job was not inserted")


def _log_insert(
    job: taskjobs.TaskJob,
    lists: queues.Lists,
    version: int,
    attempt: int,
    unanswered: int,
) -> None:
    """Log the known outcome of an insert; version 0 means not stored."""
    logs.log_event(
        "job_stored" if version else "job_not_inserted",
        job=job.id,
        queue=job.queue,
        account=job.account,
        lists_version=lists.version,
        row_version=version,
        tries=attempt + 1,
        unanswered=unanswered,
    )


def _make_insert(
    job: taskjobs.TaskJob, lists_key: ports.RowKey, lists: queues.Lists
) -> ports.Transaction:
    timed = job.repetitions > 0
    progress = taskprogress.Progress(job.queue, job.account, timed)
    puts = {
        make_work_key(job.id): taskjobs.encode_job(job),
        jobstates.make_progress_key(job.id): taskprogress.encode_progress(
            progress
        ),
    }
    if not timed:
        puts[jobstates.make_queued_key(job.queue, job.id)] = b"{}"
    checks = {
        make_work_key(job.id): 0,
        make_cancel_key(job.id): 0,
        lists_key: lists.row_version,
    }
    return ports.Transaction(checks, puts)


def _commit(
    context: SubmissionContext,
    transaction: ports.Transaction,
    remaining_ms: int,
) -> int:
    """Make a single attempt at a write within the remaining time."""
    sent_ms = context.clock.now_ms()
    timeout_ms = min(context.write_timeout.timeout_ms, remaining_ms)
    try:
        version = context.store.commit(transaction, timeout_ms)
    except errors.OutcomeUnknownError:
        adaptivetimeout.record_timeout(context.write_timeout)
        raise
    adaptivetimeout.record_response(
        context.write_timeout, context.clock.now_ms() - sent_ms
    )
    return version


def cancel_job(
    context: SubmissionContext, job_id: str, deadline_ms: int
) -> bool:
    """Store the request to cancel a job; return whether the job exists.

    The request is stored for a job that is not there as well. An insert whose
    answer was lost may still be on its way, and is then no longer accepted.

    Raises:
        errors.StoreError: The request may not have been stored.
    """
    key = make_cancel_key(job_id)
    while True:
        remaining_ms = deadline_ms - context.clock.now_ms()
        if remaining_ms <= 0:
            raise errors.OutcomeUnknownError(
                "table", "no time left to store the cancellation"
            )
        job_version = 0
        try:
            result = context.store.read_row(
                make_work_key(job_id), min(_READ_TIMEOUT_MS, remaining_ms)
            )
            if result.rows:
                job_version = result.rows[0].version
            checks = {make_work_key(job_id): job_version, key: 0}
            value = _encode_cancellation(context.clock.wall_ms())
            transaction = ports.Transaction(checks, {key: value})
            _commit(context, transaction, remaining_ms)
        except errors.WriteConflictError as conflict:
            stored_version = conflict.versions.get(
                make_work_key(job_id), job_version
            )
            if not conflict.versions.get(key) and stored_version:
                continue  # The job was stored after it was looked for.
            # It was cancelled earlier, or removed after its end.
            return stored_version > 0
        except errors.OutcomeUnknownError:
            continue
        except errors.StoreUnavailableError:
            context.clock.sleep_ms(_RETRY_PAUSE_MS)
            continue
        logs.log_event("cancel_stored", job=job_id, job_found=job_version > 0)
        return job_version > 0


def _encode_cancellation(wall_ms: int) -> bytes:
    return json.dumps({"requested_ms": wall_ms}).encode()


def decode_cancellation(value: bytes) -> int:
    """Return the Unix time in ms of a request to cancel a job.

    It is 0 for a row of an earlier version, or of another program.
    """
    try:
        row = jsontexts.decode(value)
        requested_ms = row.get("requested_ms", 0)
    except (AttributeError, ValueError):
        return 0
    return requested_ms if type(requested_ms) is int else 0
