"""Operators' questions about jobs of any client account."""

from typing import Any

from cyclamenshelf_core import editimpact
from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_core import model
from cyclamenshelf_daemon import cellowner
from cyclamenshelf_daemon import lookup
from cyclamenshelf_daemon import operatorcontext
from cyclamenshelf_daemon import tableclient
from cyclamenshelf_daemon import webserver

_LISTED = 200
_MAX_LISTED = 1_000
_RETRY_AFTER_MS = 5_000


def list_jobs(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return active jobs, oldest first, of one account or of all."""
    account = request.query.get("account")
    state = request.query.get("state")
    if state is not None and state not in set(model.JobState):
        raise errors.InvalidFieldError(
            "state", f"one of {[str(one) for one in model.JobState]}", state
        )
    limit = operatorcontext.read_number(request, "limit", _LISTED, _MAX_LISTED)
    jobs = [
        job
        for job in _read_active(context)
        if account in (None, job.account) and state in (None, job.state)
    ]
    jobs.sort(key=lambda job: (job.accepted_ms, job.id))
    return webserver.make_json(
        200,
        {
            "jobs": [describe_job(job) for job in jobs[: limit or _LISTED]],
            "total": len(jobs),
        },
    )


def show_job(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return a job, active or ended."""
    return webserver.make_json(
        200, describe_job(find_job(context, request.args[0]))
    )


def explain_job(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return why a job is not running, or what it waits for."""
    job = find_job(context, request.args[0])
    reasons = _explain_from_row(context, job)
    if job.state is model.JobState.QUEUED:
        owner = _find_deciding_owner(context)
        if owner is None:
            raise _make_not_owner(context)
        blocked = owner.blocked.get(job.id)
        if blocked is not None:
            reasons.append(str(blocked))
        elif not reasons:
            reasons.append("not considered yet; ask again in a second")
    return webserver.make_json(
        200,
        {
            "job_id": job.id,
            "account": job.account,
            "state": job.state,
            "reasons": reasons,
            "host": context.host_id,
        },
    )


def find_job(
    context: operatorcontext.OperatorContext, job_id: str
) -> model.Job:
    """Return a job of any account.

    Raises:
        errors.NotFoundError: There is no such job.
        errors.StoreDownError: The table service does not answer.
    """
    key = f"job/{job_id}"
    try:
        row = tableclient.read_rows(context.table, [key]).get(key)
    except errors.StoreUnavailableError as error:
        raise errors.StoreDownError(
            str(error), job_id=job_id, retry_after_ms=_RETRY_AFTER_MS
        ) from error
    if row is None:
        raise errors.NotFoundError(f"no job {job_id[:80]}")
    return jobrows.decode_job(row.value)


def try_read_active(
    context: operatorcontext.OperatorContext,
) -> list[model.Job] | None:
    """Return all active jobs, or None if the table does not answer."""
    try:
        return _read_active(context)
    except errors.StoreDownError:
        return None


def describe_job(job: model.Job) -> dict[str, Any]:
    """Return what an operator is shown of a job; its payload is not."""
    return lookup.describe_job(job) | {
        "account": job.account,
        "cell": job.cell,
        "shape": job.spec.shape._asdict(),
        "urgency": job.spec.urgency,
        "expected_run_ms": job.spec.expected_run_ms,
        "repeatable": job.spec.repeatable,
        "checkpointable": job.spec.checkpointable,
        "placement": [part._asdict() for part in job.placement],
        "answer_bytes": sum(part.size_bytes for part in job.manifest),
    }


def _read_active(
    context: operatorcontext.OperatorContext,
) -> list[model.Job]:
    prefix = f"active/{context.cell}/"
    try:
        keys = [
            "job/" + row.key.removeprefix(prefix)
            for row in tableclient.scan_rows(context.table, prefix)
        ]
        jobs: list[model.Job] = []
        for start in range(0, len(keys), tableclient.MAX_ROWS):
            chunk = keys[start : start + tableclient.MAX_ROWS]
            rows = tableclient.read_rows(context.table, chunk)
            jobs += [_decode_without_payload(row) for row in rows.values()]
    except errors.StoreUnavailableError as error:
        raise errors.StoreDownError(
            str(error), retry_after_ms=_RETRY_AFTER_MS
        ) from error
    return jobs


def _decode_without_payload(row: tableclient.Row) -> model.Job:
    """Return a job whose payload is dropped.

    The payloads of a full queue would not fit into the memory of an entry
    host, and operators are not shown them.
    """
    job = jobrows.decode_job(row.value)
    return job._replace(spec=job.spec._replace(payload=None))


def _explain_from_row(
    context: operatorcontext.OperatorContext, job: model.Job
) -> list[str]:
    """Return the reasons that the job row and the lists give."""
    if job.state is model.JobState.QUEUED:
        return _find_impossible(context, job)
    workers = ", ".join(sorted({part.worker_id for part in job.placement}))
    if job.state is model.JobState.STARTED:
        return [f"attempt {job.attempt} runs on workers {workers}"]
    if job.state is model.JobState.UNKNOWN:
        return [f"attempt {job.attempt} awaits an answer of workers {workers}"]
    return [job.reason or f"ended as {job.state}", *job.history]


def _find_impossible(
    context: operatorcontext.OperatorContext, job: model.Job
) -> list[str]:
    """Return why a queued job can never run under the present lists."""
    lists = context.configuration.lists
    if job.account not in lists.accounts:
        return [f"account {job.account} is no longer listed"]
    wanted = editimpact.count_accelerators(job)
    reasons = []
    allowed = model.get_plan(lists, job.account).max_accelerators
    if wanted > allowed:
        reasons.append(
            f"wants {wanted} accelerators, its plan allows {allowed}"
        )
    fleet = operatorcontext.get_fleet(context)
    if fleet is not None:
        each = job.spec.shape.accelerators
        places = sum(worker.accelerators // each for worker in fleet.values())
        if places < job.spec.shape.parts:
            reasons.append(
                f"wants {job.spec.shape.parts} parts of {each} accelerators, "
                f"the listed fleet has room for {places}"
            )
    return reasons


def _find_deciding_owner(
    context: operatorcontext.OperatorContext,
) -> cellowner.CellOwner | None:
    owner = context.get_owner()
    if owner is None or not owner.loaded:
        return None
    if context.clock.now_ms() >= owner.tenure.valid_until_ms:
        return None
    return owner


def _make_not_owner(
    context: operatorcontext.OperatorContext,
) -> errors.NotOwnerError:
    """Return the refusal that names the owner, as far as it is known."""
    key = f"lease/{context.cell}"
    try:
        row = tableclient.read_rows(context.table, [key]).get(key)
    except errors.StoreUnavailableError:
        return errors.NotOwnerError(None, None)
    if row is None or row.value.get("released"):
        return errors.NotOwnerError(None, None)
    host_id = row.value.get("holder", "").partition("/")[0]
    entry = context.host_list.hosts.entries.get(host_id)
    if entry is None or not context.operator_port:
        return errors.NotOwnerError(host_id or None, None)
    address = entry.address.partition("://")[2] or entry.address
    name = address.rpartition(":")[0] or address
    return errors.NotOwnerError(
        host_id, f"http://{name}:{context.operator_port}"
    )


ROUTES: list[operatorcontext.Route] = [
    ("GET", "/v1/jobs", list_jobs),
    ("GET", "/v1/jobs/([^/]+)", show_job),
    ("GET", "/v1/jobs/([^/]+)/explain", explain_job),
]
