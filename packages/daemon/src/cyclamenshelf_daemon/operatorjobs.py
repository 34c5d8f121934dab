"""Operator requests that read the jobs of any client account."""

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

_DEFAULT_LIMIT = 200
_MAX_LIMIT = 1_000
_RETRY_AFTER_MS = 5_000


def list_jobs(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return active jobs, oldest first, filtered by account and state."""
    account = request.query.get("account")
    state = request.query.get("state")
    if state is not None and state not in set(model.JobState):
        raise errors.InvalidFieldError(
            "state",
            f"one of {[str(job_state) for job_state in model.JobState]}",
            state,
        )
    limit = operatorcontext.read_query_number(
        request, "limit", _DEFAULT_LIMIT, _MAX_LIMIT
    )
    jobs = [
        job
        for job in _read_active_jobs(context)
        if account in (None, job.account) and state in (None, job.state)
    ]
    jobs.sort(key=lambda job: (job.accepted_ms, job.id))
    return webserver.make_json(
        200,
        {
            "jobs": [
                describe_job(job) for job in jobs[: limit or _DEFAULT_LIMIT]
            ],
            "total": len(jobs),
        },
    )


def show_job(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return an active or ended job."""
    return webserver.make_json(
        200, describe_job(find_job(context, request.args[0]))
    )


def explain_job(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return why a job is in its state, or what it waits for.

    Only the cell owner can tell why a queued job is not started.
    """
    job = find_job(context, request.args[0])
    reasons = _list_row_reasons(context, job)
    if job.state is model.JobState.QUEUED:
        owner = get_leaseholding_owner(context)
        if owner is None:
            raise make_not_owner_error(context)
        blocked = owner.blocked.get(job.id)
        if blocked is not None:
            reasons.append(str(blocked))
        elif not reasons:
            reasons.append(
                "not considered for placement yet; retry in a second"
            )
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
    """Return a job of any account by its id.

    Raises:
        errors.NotFoundError: The job does not exist.
        errors.StoreDownError: The table service does not respond.
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


def try_read_active_jobs(
    context: operatorcontext.OperatorContext,
) -> list[model.Job] | None:
    """Return all active jobs, or None if the store is unavailable."""
    try:
        return _read_active_jobs(context)
    except errors.StoreDownError:
        return None


def describe_job(job: model.Job) -> dict[str, Any]:
    """Return the fields of a job that operators see; not the payload."""
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


def _read_active_jobs(
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
    """Decode a job without its payload.

    The payloads of a full queue would not fit into the memory of an entry
    host, and operators do not see them.
    """
    job = jobrows.decode_job(row.value)
    return job._replace(spec=job.spec._replace(payload=None))


def _list_row_reasons(
    context: operatorcontext.OperatorContext, job: model.Job
) -> list[str]:
    """Return the reasons that follow from the job row and the lists."""
    if job.state is model.JobState.QUEUED:
        return _list_permanent_reasons(context, job)
    workers = ", ".join(sorted({part.worker_id for part in job.placement}))
    if job.state is model.JobState.STARTED:
        return [f"attempt {job.attempt} runs on workers {workers}"]
    if job.state is model.JobState.UNKNOWN:
        return [
            f"attempt {job.attempt} is waiting for a response "
            f"from workers {workers}"
        ]
    return [job.reason or f"ended as {job.state}", *job.history]


def _list_permanent_reasons(
    context: operatorcontext.OperatorContext, job: model.Job
) -> list[str]:
    """Return why a queued job can never run with the lists in force."""
    lists = context.configuration.lists
    if job.account not in lists.accounts:
        return [f"account {job.account} is no longer in the configuration"]
    requested = editimpact.count_accelerators(job)
    reasons = []
    allowed = model.get_plan(lists, job.account).max_accelerators
    if requested > allowed:
        reasons.append(
            f"requests {requested} accelerators, but its plan allows {allowed}"
        )
    fleet = operatorcontext.get_fleet(context)
    if fleet is not None:
        accelerators_per_part = job.spec.shape.accelerators
        max_parts = sum(
            worker.accelerators // accelerators_per_part
            for worker in fleet.values()
        )
        if max_parts < job.spec.shape.parts:
            reasons.append(
                f"requests {job.spec.shape.parts} parts of "
                f"{accelerators_per_part} accelerators, but the listed workers "
                f"have capacity for {max_parts}"
            )
    return reasons


def get_leaseholding_owner(
    context: operatorcontext.OperatorContext,
) -> cellowner.CellOwner | None:
    """Return the cell owner if it runs in this process and may decide."""
    owner = context.get_owner()
    if owner is None or not owner.loaded:
        return None
    if context.clock.now_ms() >= owner.tenure.valid_until_ms:
        return None
    return owner


def make_not_owner_error(
    context: operatorcontext.OperatorContext,
) -> errors.NotOwnerError:
    """Return an error with the host and URL of the owner, if known."""
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
