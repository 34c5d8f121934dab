"""Start, stop and finish all parts of an attempt together."""

from collections.abc import Callable
import concurrent.futures
import enum
import hashlib
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_core import model
from cyclamenshelf_core import renewal
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import endedjobs
from cyclamenshelf_daemon import groupcommit
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import tableclient
from cyclamenshelf_daemon import workerclient
from cyclamenshelf_daemon import workerlink

_CONFIRM_WINDOW_MS = 1_500
_START_RETRY_MS = 100
# A start command that is delayed in the network can take effect until its
# reservation expires; the task then has a start lease.
_MAX_START_GRANT_MS = renewal.RESERVATION_LEASE_MS + renewal.START_LEASE_MS


class GangContext(NamedTuple):
    """Dependencies of the operations on an attempt.

    Attributes:
        call_executor: Threads for the calls to the parts of gangs.
        links: Links to the workers by id, of this tenure.
    """

    tenure: celllease.Tenure
    table: tableclient.TableClient
    committer: groupcommit.GroupCommitter
    objects: objectclient.ObjectClient
    workers: workerclient.WorkerClient
    call_executor: concurrent.futures.ThreadPoolExecutor
    links: dict[str, workerlink.WorkerLink]
    clock: clocks.Clock


class StartOutcome(enum.Enum):
    """Outcome of starting a gang.

    NOT_COMMITTED: The start record was not written; no part was started.
    UNSETTLED: It is not known whether the start record was committed; no part
    was started.
    NOT_WHOLE: Not every part was confirmed in time; the gang was stopped.

    The member names are written to the log in lower case.
    """

    RUNNING = enum.auto()
    NOT_COMMITTED = enum.auto()
    UNSETTLED = enum.auto()
    NOT_WHOLE = enum.auto()


class StartResult(NamedTuple):
    """Result of starting a gang.

    Attributes:
        job: The job as committed; unchanged if nothing was committed.
        version: Version of the job row.
        failed_workers: Workers that refused or did not respond.
    """

    outcome: StartOutcome
    job: model.Job
    version: int
    failed_workers: tuple[str, ...] = ()
    reason: str = ""


class _CallResult(NamedTuple):
    """Result of a command to one part."""

    part: int
    worker_id: str
    value: Any
    error: errors.CyclamenshelfError | None


def start_gang(
    context: GangContext,
    job: model.Job,
    version: int,
    placement: model.Placement,
) -> StartResult:
    """Reserve every part, commit the attempt, then start every part."""
    attempt = job._replace(attempt=job.attempt + 1, placement=placement)
    reserved = _call_parts(
        context,
        attempt,
        lambda link, part: _reserve_part(context, link, attempt, part),
    )
    failed = _list_failed(reserved, ("reserved",))
    if failed:
        release_reservations(context, attempt)
        return StartResult(
            StartOutcome.NOT_COMMITTED,
            job,
            version,
            failed,
            "reservation_failed",
        )
    committed = attempt._replace(
        state=model.JobState.STARTED,
        started_ms=context.clock.wall_ms(),
        run=errors.Run.UNKNOWN,
    )
    try:
        version = commit_job(context, committed, version)
    except (errors.LeaseLostError, errors.StoreUnavailableError) as error:
        release_reservations(context, attempt)
        return StartResult(
            StartOutcome.NOT_COMMITTED, job, version, (), error.code
        )
    except (errors.WriteConflictError, errors.OutcomeUnknownError) as error:
        return StartResult(StartOutcome.UNSETTLED, job, version, (), error.code)
    return _start_parts(context, committed, version)


def _start_parts(
    context: GangContext, job: model.Job, version: int
) -> StartResult:
    confirm_deadline_ms = context.clock.now_ms() + _CONFIRM_WINDOW_MS
    started = _call_parts(
        context,
        job,
        lambda link, part: _start_part(
            context, link, job, part, confirm_deadline_ms
        ),
    )
    failed = _list_failed(started, ("running", "finished", "failed"))
    late = context.clock.now_ms() > confirm_deadline_ms
    if failed or late:
        stop_gang(context, job)
        return StartResult(
            StartOutcome.NOT_WHOLE, job, version, failed, "start_not_confirmed"
        )
    return StartResult(StartOutcome.RUNNING, job, version)


def stop_gang(
    context: GangContext, job: model.Job, mode: str = "stop"
) -> dict[int, workerclient.TaskReport]:
    """Stop every reachable part; return the task reports by part."""
    results = _call_parts(
        context,
        job,
        lambda link, part: workerclient.stop_task(
            context.workers, link.worker, _get_task_id(job, part), mode
        ),
    )
    return {
        result.part: result.value for result in results if result.error is None
    }


def store_answers(
    context: GangContext, job: model.Job
) -> tuple[model.AnswerPart, ...]:
    """Copy the answer of every part to the object store.

    Raises:
        errors.WorkerError: An answer could not be fetched from its worker.
        errors.StoreError: The object store did not confirm a write.
    """
    results = _call_parts(
        context, job, lambda link, part: _store_answer(context, link, job, part)
    )
    for result in results:
        if result.error is not None:
            raise result.error
    return tuple(result.value for result in results)


def release_reservations(context: GangContext, job: model.Job) -> None:
    """Release reservations; the next start may use the same task ids."""
    stop_gang(context, job)
    delete_gang_tasks(context, job)


def delete_gang_tasks(context: GangContext, job: model.Job) -> None:
    """Delete the tasks of an ended attempt on their workers."""
    _call_parts(
        context,
        job,
        lambda link, part: workerclient.delete_task(
            context.workers, link.worker, _get_task_id(job, part)
        ),
    )


def commit_job(context: GangContext, job: model.Job, version: int) -> int:
    """Write the job row, conditional on the epoch; return its version.

    For an ended job, also deletes its entry in the index of active jobs and its
    cancellation.

    Raises:
        errors.LeaseLostError: The cell lease may have expired, or the table
            has a newer epoch; not written.
        errors.WriteConflictError: The row is at another version; not written.
        errors.StoreError: Not written, or the outcome is unknown.
    """
    fence = celllease.check_tenure(context.tenure, context.table)
    puts = {f"job/{job.id}": jobrows.encode_job(job)}
    deletes: tuple[str, ...] = ()
    if job.state in model.ENDED_STATES:
        puts[endedjobs.make_ended_key(job)] = endedjobs.make_ended_row(job)
        deletes = (
            f"active/{job.cell}/{job.id}",
            f"cancel/{job.cell}/{job.id}",
        )
    transaction = tableclient.Transaction(
        fence | {f"job/{job.id}": version}, puts, deletes
    )
    try:
        return groupcommit.commit(context.committer, transaction)
    except errors.WriteConflictError as conflict:
        if fence.keys() & conflict.versions.keys():
            context.tenure.valid_until_ms = 0
            raise errors.LeaseLostError(
                context.tenure.cell, context.tenure.epoch
            ) from conflict
        raise


def commit_or_read(
    context: GangContext, job: model.Job, version: int
) -> tuple[model.Job, int]:
    """Write the job row, or read it if it is at another version.

    Every write of a tenure to a row expects the last recorded version, so at
    most one of several writes with the same version is applied. Repeating a
    write of unknown outcome with the same version therefore gives a definite
    result: the write is applied, or the row shows that an earlier one was.

    Raises:
        errors.LeaseLostError: The cell lease may have expired.
        errors.StoreError: The outcome is unknown; call again with the same
            version.
    """
    try:
        return job, commit_job(context, job, version)
    except errors.WriteConflictError:
        key = f"job/{job.id}"
        row = tableclient.read_rows(context.table, [key])[key]
        return jobrows.decode_job(row.value), row.version


def _get_task_id(job: model.Job, part: int) -> str:
    return jobrows.make_task_id(job.id, job.attempt, part)


def _call_parts(
    context: GangContext,
    job: model.Job,
    command: Callable[[workerlink.WorkerLink, int], Any],
) -> list[_CallResult]:
    """Send a command to every part concurrently."""

    def call_part(part: int) -> _CallResult:
        worker_id = job.placement[part].worker_id
        link = context.links.get(worker_id)
        if link is None:
            unlisted = errors.WorkerError(worker_id, "not listed", sent=False)
            return _CallResult(part, worker_id, None, unlisted)
        try:
            return _CallResult(part, worker_id, command(link, part), None)
        except errors.CyclamenshelfError as error:
            return _CallResult(part, worker_id, None, error)

    return list(context.call_executor.map(call_part, range(len(job.placement))))


def _reserve_part(
    context: GangContext, link: workerlink.WorkerLink, job: model.Job, part: int
) -> workerclient.TaskReport:
    return workerclient.reserve_task(
        context.workers,
        link.worker,
        _get_task_id(job, part),
        job.placement[part].accelerators,
        renewal.RESERVATION_LEASE_MS,
    )


def _start_part(
    context: GangContext,
    link: workerlink.WorkerLink,
    job: model.Job,
    part: int,
    confirm_deadline_ms: int,
) -> workerclient.TaskReport:
    """Start a part; retry until the deadline for confirming the gang."""
    while True:
        celllease.check_tenure(context.tenure, context.table)
        workerlink.record_grant(link, _MAX_START_GRANT_MS)
        left_ms = max(1, confirm_deadline_ms - context.clock.now_ms())
        try:
            return workerclient.start_task(
                context.workers,
                link.worker,
                _get_task_id(job, part),
                job.spec.payload,
                renewal.START_LEASE_MS,
                min(workerclient.COMMAND_TIMEOUT_MS, left_ms),
            )
        except errors.WorkerRefusedError:
            raise
        except errors.WorkerError:
            if context.clock.now_ms() + _START_RETRY_MS >= confirm_deadline_ms:
                raise
            context.clock.sleep_ms(_START_RETRY_MS)


def _list_failed(
    results: list[_CallResult], expected_states: tuple[str, ...]
) -> tuple[str, ...]:
    return tuple(
        result.worker_id
        for result in results
        if result.error is not None or result.value.state not in expected_states
    )


def _store_answer(
    context: GangContext, link: workerlink.WorkerLink, job: model.Job, part: int
) -> model.AnswerPart:
    content = workerclient.fetch_answer(
        context.workers, link.worker, _get_task_id(job, part)
    )
    key = f"answer/{job.id}/{job.attempt}/{part}"
    objectclient.put_object(context.objects, key, content)
    return model.AnswerPart(
        key, len(content), hashlib.sha256(content).hexdigest()
    )
