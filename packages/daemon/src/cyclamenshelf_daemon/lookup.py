"""Queries of callers: jobs, their states and their answers."""

from collections.abc import Iterator
import hashlib
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_core import model
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import tableclient
from cyclamenshelf_daemon import waiters as job_waiters

MAX_WAIT_MS = 20_000
_POLL_INTERVAL_MS = 1_000
_MAX_LISTED = 1_000


class LookupContext(NamedTuple):
    """What look-ups need from the process."""

    cell: str
    table: tableclient.TableClient
    objects: objectclient.ObjectClient
    clock: clocks.Clock
    waiters: job_waiters.Waiters


def find_job(context: LookupContext, account: str, job_id: str) -> model.Job:
    """Return a job of the account.

    Raises:
        errors.NotFoundError: The account has no such job.
        errors.StoreDownError: The table service does not answer.
    """
    try:
        row = tableclient.read_rows(context.table, [f"job/{job_id}"]).get(
            f"job/{job_id}"
        )
    except errors.StoreUnavailableError as error:
        raise errors.StoreDownError(
            str(error), run=errors.Run.UNKNOWN, job_id=job_id
        ) from error
    if row is not None:
        job = jobrows.decode_job(row.value)
        if job.account == account:
            return job
    raise errors.NotFoundError(f"no job {job_id[:80]}", run=errors.Run.UNKNOWN)


def wait_for_end(
    context: LookupContext, account: str, job_id: str, wait_ms: int
) -> model.Job:
    """Return the job once it has ended, or as it is after `wait_ms`.

    Returns at once when too many threads wait already.
    """
    give_up_ms = context.clock.now_ms() + min(wait_ms, MAX_WAIT_MS)
    with job_waiters.register_waiter(context.waiters, job_id) as hint:
        while True:
            # A hint that comes during the read must lead to another read.
            if hint is not None:
                hint.clear()
            job = find_job(context, account, job_id)
            left_ms = give_up_ms - context.clock.now_ms()
            if job.state in model.ENDED_STATES or left_ms <= 0 or hint is None:
                return job
            hint.wait(min(_POLL_INTERVAL_MS, left_ms) / 1000)


def list_jobs(context: LookupContext, account: str) -> list[model.Job]:
    """Return the active jobs of an account, oldest first.

    Raises:
        errors.StoreDownError: The table service does not answer.
    """
    prefix = f"active/{context.cell}/"
    try:
        keys = [
            "job/" + row.key.removeprefix(prefix)
            for row in tableclient.scan_rows(context.table, prefix)
        ]
        rows = tableclient.read_rows(context.table, keys)
    except errors.StoreUnavailableError as error:
        raise errors.StoreDownError(
            str(error), run=errors.Run.UNKNOWN
        ) from error
    jobs = [jobrows.decode_job(row.value) for row in rows.values()]
    own = [job for job in jobs if job.account == account]
    return sorted(own, key=lambda job: job.accepted_ms)[:_MAX_LISTED]


def read_answer(
    context: LookupContext, job: model.Job
) -> tuple[int, Iterator[bytes]]:
    """Return the length of a job's whole answer and its parts in order.

    Each part is checked before it is passed on.

    Raises:
        errors.NotFoundError: The job has no answer.
        errors.StoreDownError: The object store does not answer, or a part is
            damaged.
    """
    if job.state is not model.JobState.SUCCEEDED:
        raise errors.NotFoundError(
            f"job is {job.state}", run=errors.Run(job.run), job_id=job.id
        )
    length = sum(part.size_bytes for part in job.manifest)
    parts = [_read_part(context, job, part) for part in job.manifest]
    return length, iter(parts)


def _read_part(
    context: LookupContext, job: model.Job, part: model.AnswerPart
) -> bytes:
    try:
        content = objectclient.get_object(context.objects, part.key)
    except errors.StoreUnavailableError as error:
        raise errors.StoreDownError(
            str(error), run=errors.Run.RAN, job_id=job.id
        ) from error
    if content is None or hashlib.sha256(content).hexdigest() != part.sha256:
        raise errors.StoreDownError(
            f"part {part.key} is missing or damaged",
            run=errors.Run.RAN,
            job_id=job.id,
        )
    return content


def describe_job(job: model.Job) -> dict[str, Any]:
    """Return what a caller is shown of a job."""
    return {
        "job_id": job.id,
        "state": job.state,
        "run": job.run,
        "attempt": job.attempt,
        "reason": job.reason,
        "accepted_ms": job.accepted_ms,
        "started_ms": job.started_ms,
        "ended_ms": job.ended_ms,
        "deadline_ms": job.spec.deadline_ms,
        "history": job.history,
    }
