"""Look-up of jobs, their states and their answers for callers."""

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
_MAX_LISTED_JOBS = 1_000


class LookupContext(NamedTuple):
    """Clients and state that look-ups depend on."""

    cell: str
    table: tableclient.TableClient
    objects: objectclient.ObjectClient
    clock: clocks.Clock
    waiters: job_waiters.Waiters


def find_job(context: LookupContext, account: str, job_id: str) -> model.Job:
    """Return a job of the account.

    Raises:
        errors.NotFoundError: The account has no such job.
        errors.StoreDownError: The table service is unavailable.
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
    """Return the job as soon as it has ended, or its state after `wait_ms`.

    The wait is limited to `MAX_WAIT_MS`. When the maximum number of threads is
    already waiting, the current state is returned immediately.

    Raises:
        errors.NotFoundError: The account has no such job.
        errors.StoreDownError: The table service is unavailable.
    """
    wait_until_ms = context.clock.now_ms() + min(wait_ms, MAX_WAIT_MS)
    with job_waiters.register_waiter(context.waiters, job_id) as notification:
        while True:
            # Cleared before the read, so that a notification that arrives
            # during the read causes another read.
            if notification is not None:
                notification.clear()
            job = find_job(context, account, job_id)
            remaining_ms = wait_until_ms - context.clock.now_ms()
            if (
                job.state in model.ENDED_STATES
                or remaining_ms <= 0
                or notification is None
            ):
                return job
            notification.wait(min(_POLL_INTERVAL_MS, remaining_ms) / 1000)


def list_jobs(context: LookupContext, account: str) -> list[model.Job]:
    """Return the active jobs of an account, oldest first.

    Raises:
        errors.StoreDownError: The table service is unavailable.
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
    account_jobs = [job for job in jobs if job.account == account]
    return sorted(account_jobs, key=lambda job: job.accepted_ms)[
        :_MAX_LISTED_JOBS
    ]


def read_answer(
    context: LookupContext, job: model.Job
) -> tuple[int, Iterator[bytes]]:
    """Return the size of a job's answer in bytes and its parts in order.

    The checksum of each part is verified before the part is returned.

    Raises:
        errors.NotFoundError: The job has no answer.
        errors.StoreDownError: The object store is unavailable, or a part is
            missing or damaged.
    """
    if job.state is not model.JobState.SUCCEEDED:
        raise errors.NotFoundError(
            f"job has no answer; its state is {job.state}",
            run=errors.Run(job.run),
            job_id=job.id,
        )
    total_bytes = sum(part.size_bytes for part in job.manifest)
    parts = [_read_part(context, job, part) for part in job.manifest]
    return total_bytes, iter(parts)


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
            f"answer part {part.key} is missing or damaged",
            run=errors.Run.RAN,
            job_id=job.id,
        )
    return content


def describe_job(job: model.Job) -> dict[str, Any]:
    """Return the JSON representation of a job for its caller."""
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
