"""Starting, stopping and finishing all parts of an attempt together."""

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
_RETRY_MS = 100
# A start may wait in the network for as long as its reservation lasts.
_LONGEST_START_MS = renewal.RESERVATION_LEASE_MS + renewal.START_LEASE_MS


class GangTools(NamedTuple):
    """What the operations on an attempt need.

    Attributes:
        calls: Threads for the calls to the parts of gangs.
        links: Links to the workers by id, of this tenure.
    """

    tenure: celllease.Tenure
    table: tableclient.TableClient
    committer: groupcommit.GroupCommitter
    objects: objectclient.ObjectClient
    workers: workerclient.WorkerClient
    calls: concurrent.futures.ThreadPoolExecutor
    links: dict[str, workerlink.WorkerLink]
    clock: clocks.Clock


class Started(enum.Enum):
    """How the start of a gang ended."""

    RUNNING = enum.auto()
    NOT_COMMITTED = enum.auto()
    UNSETTLED = enum.auto()
    NOT_WHOLE = enum.auto()


class StartResult(NamedTuple):
    """The end of a start.

    Attributes:
        job: The job as committed; unchanged where nothing was committed.
        version: Version of the job row.
        failed_workers: Workers that refused or did not answer.
    """

    outcome: Started
    job: model.Job
    version: int
    failed_workers: tuple[str, ...] = ()
    reason: str = ""


class _CallResult(NamedTuple):
    """The outcome of a command to one part."""

    part: int
    worker_id: str
    value: Any
    error: errors.CyclamenshelfError | None


def start_gang(
    tools: GangTools,
    job: model.Job,
    version: int,
    placement: model.Placement,
) -> StartResult:
    """Reserve every part, commit the attempt, then start every part."""
    attempt = job._replace(attempt=job.attempt + 1, placement=placement)
    reserved = _call_parts(
        tools,
        attempt,
        lambda link, part: _reserve_part(tools, link, attempt, part),
    )
    failed = _list_failed(reserved, ("reserved",))
    if failed:
        drop_gang(tools, attempt)
        return StartResult(
            Started.NOT_COMMITTED, job, version, failed, "reservation_failed"
        )
    committed = attempt._replace(
        state=model.JobState.STARTED,
        started_ms=tools.clock.wall_ms(),
        run=errors.Run.UNKNOWN,
    )
    try:
        version = commit_job(tools, committed, version)
    except (errors.LeaseLostError, errors.StoreUnavailableError) as error:
        drop_gang(tools, attempt)
        return StartResult(Started.NOT_COMMITTED, job, version, (), error.code)
    except (errors.WriteConflictError, errors.OutcomeUnknownError) as error:
        return StartResult(Started.UNSETTLED, job, version, (), error.code)
    return _start_parts(tools, committed, version)


def _start_parts(tools: GangTools, job: model.Job, version: int) -> StartResult:
    give_up_ms = tools.clock.now_ms() + _CONFIRM_WINDOW_MS
    started = _call_parts(
        tools,
        job,
        lambda link, part: _start_part(tools, link, job, part, give_up_ms),
    )
    failed = _list_failed(started, ("running", "finished", "failed"))
    late = tools.clock.now_ms() > give_up_ms
    if failed or late:
        stop_gang(tools, job)
        return StartResult(
            Started.NOT_WHOLE, job, version, failed, "start_not_confirmed"
        )
    return StartResult(Started.RUNNING, job, version)


def stop_gang(
    tools: GangTools, job: model.Job, mode: str = "stop"
) -> dict[int, workerclient.TaskReport]:
    """Stop every part that can be reached; return their reports by part."""
    results = _call_parts(
        tools,
        job,
        lambda link, part: workerclient.stop_task(
            tools.workers, link.worker, _get_task_id(job, part), mode
        ),
    )
    return {
        result.part: result.value for result in results if result.error is None
    }


def store_answers(
    tools: GangTools, job: model.Job
) -> tuple[model.AnswerPart, ...]:
    """Copy the answer of every part to the object store.

    Raises:
        errors.WorkerError: An answer could not be fetched.
        errors.StoreError: The object store did not confirm a write.
    """
    results = _call_parts(
        tools, job, lambda link, part: _store_answer(tools, link, job, part)
    )
    for result in results:
        if result.error is not None:
            raise result.error
    return tuple(result.value for result in results)


def drop_gang(tools: GangTools, job: model.Job) -> None:
    """Give reservations back; the next try may use the same task ids."""
    stop_gang(tools, job)
    forget_gang(tools, job)


def forget_gang(tools: GangTools, job: model.Job) -> None:
    """Let the workers drop the tasks of an ended attempt."""
    _call_parts(
        tools,
        job,
        lambda link, part: workerclient.forget_task(
            tools.workers, link.worker, _get_task_id(job, part)
        ),
    )


def commit_job(tools: GangTools, job: model.Job, version: int) -> int:
    """Write the job row under the fence of the tenure; return its version.

    The pointer among the active jobs goes when the job has ended.

    Raises:
        errors.LeaseLostError: The tenure cannot be proved, or a newer epoch
            is in the table; not written.
        errors.WriteConflictError: The row is at another version; not written.
        errors.StoreError: Not taken, or the outcome is unknown.
    """
    fence = celllease.check_tenure(tools.tenure, tools.table)
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
        return groupcommit.commit(tools.committer, transaction)
    except errors.WriteConflictError as conflict:
        if fence.keys() & conflict.versions.keys():
            tools.tenure.valid_until_ms = 0
            raise errors.LeaseLostError(
                tools.tenure.cell, tools.tenure.epoch
            ) from conflict
        raise


def commit_or_read(
    tools: GangTools, job: model.Job, version: int
) -> tuple[model.Job, int]:
    """Write the job row, or return what it holds where it has moved on.

    Each write that a tenure sends to a row expects the version that it last
    knew, so at most one of them is applied. A write that is sent again after
    an unknown outcome, with the same version, is therefore answered definitely:
    it is applied, or the row shows the earlier one.

    Raises:
        errors.LeaseLostError: The tenure cannot be proved.
        errors.StoreError: Not known; to be called again with this version.
    """
    try:
        return job, commit_job(tools, job, version)
    except errors.WriteConflictError:
        key = f"job/{job.id}"
        row = tableclient.read_rows(tools.table, [key])[key]
        return jobrows.decode_job(row.value), row.version


def _get_task_id(job: model.Job, part: int) -> str:
    return jobrows.make_task_id(job.id, job.attempt, part)


def _call_parts(
    tools: GangTools,
    job: model.Job,
    command: Callable[[workerlink.WorkerLink, int], Any],
) -> list[_CallResult]:
    """Send a command to every part at the same time."""

    def call_part(part: int) -> _CallResult:
        worker_id = job.placement[part].worker_id
        link = tools.links.get(worker_id)
        if link is None:
            gone = errors.WorkerError(worker_id, "not listed", sent=False)
            return _CallResult(part, worker_id, None, gone)
        try:
            return _CallResult(part, worker_id, command(link, part), None)
        except errors.CyclamenshelfError as error:
            return _CallResult(part, worker_id, None, error)

    return list(tools.calls.map(call_part, range(len(job.placement))))


def _reserve_part(
    tools: GangTools, link: workerlink.WorkerLink, job: model.Job, part: int
) -> workerclient.TaskReport:
    return workerclient.reserve_task(
        tools.workers,
        link.worker,
        _get_task_id(job, part),
        job.placement[part].accelerators,
        renewal.RESERVATION_LEASE_MS,
    )


def _start_part(
    tools: GangTools,
    link: workerlink.WorkerLink,
    job: model.Job,
    part: int,
    give_up_ms: int,
) -> workerclient.TaskReport:
    """Start a part; send again while its whole gang can still be confirmed."""
    while True:
        celllease.check_tenure(tools.tenure, tools.table)
        workerlink.note_grant(link, _LONGEST_START_MS)
        left_ms = max(1, give_up_ms - tools.clock.now_ms())
        try:
            return workerclient.start_task(
                tools.workers,
                link.worker,
                _get_task_id(job, part),
                job.spec.payload,
                renewal.START_LEASE_MS,
                min(workerclient.COMMAND_TIMEOUT_MS, left_ms),
            )
        except errors.WorkerRefusedError:
            raise
        except errors.WorkerError:
            if tools.clock.now_ms() + _RETRY_MS >= give_up_ms:
                raise
            tools.clock.sleep_ms(_RETRY_MS)


def _list_failed(
    results: list[_CallResult], wanted: tuple[str, ...]
) -> tuple[str, ...]:
    return tuple(
        result.worker_id
        for result in results
        if result.error is not None or result.value.state not in wanted
    )


def _store_answer(
    tools: GangTools, link: workerlink.WorkerLink, job: model.Job, part: int
) -> model.AnswerPart:
    content = workerclient.fetch_answer(
        tools.workers, link.worker, _get_task_id(job, part)
    )
    key = f"answer/{job.id}/{job.attempt}/{part}"
    objectclient.put_object(tools.objects, key, content)
    return model.AnswerPart(
        key, len(content), hashlib.sha256(content).hexdigest()
    )
