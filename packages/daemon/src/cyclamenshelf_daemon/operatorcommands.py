"""Operator commands: cancel a job, quarantine a worker, drain the host."""

import re

from cyclamenshelf_core import errors
from cyclamenshelf_core import model
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import operatorcontext
from cyclamenshelf_daemon import operatorjobs
from cyclamenshelf_daemon import quarantinerows
from cyclamenshelf_daemon import webserver

_RETRY_AFTER_MS = 5_000
_WORKER_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")


def cancel_job(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Request the cell owner to cancel a job of any account."""
    author = _read_author(request)
    job = operatorjobs.find_job(context, request.args[0])
    is_active = job.state not in model.ENDED_STATES
    if is_active:
        try:
            context.cancel_job(job)
        except TimeoutError as error:
            raise _make_unknown_outcome("the cancellation", job.id) from error
        logs.log_event("job_cancel_asked", job=job.id, author=author)
    return webserver.make_json(
        202 if is_active else 200,
        operatorjobs.describe_job(job) | {"cancel_asked": is_active},
    )


def add_quarantine(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Quarantine a worker, so that it gets no new work."""
    worker_id = _read_worker_id(request)
    body = operatorcontext.read_body(request, {"reason": str, "author": str})
    quarantine = quarantinerows.Quarantine(
        operatorcontext.check_text("reason", body["reason"]),
        operatorcontext.check_text("author", body["author"]),
        context.clock.wall_ms(),
    )
    try:
        changed = quarantinerows.add_quarantine(
            context.table, context.clock, context.cell, worker_id, quarantine
        )
    except (errors.StoreError, errors.WriteConflictError) as error:
        raise _make_quarantine_error(error) from error
    if changed:
        logs.log_event(
            "quarantine_added",
            worker=worker_id,
            author=quarantine.author,
            reason=quarantine.reason,
        )
    return _make_quarantine_response(context, worker_id, changed)


def remove_quarantine(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Remove the quarantine of a worker."""
    worker_id = _read_worker_id(request)
    author = _read_author(request)
    try:
        changed = quarantinerows.remove_quarantine(
            context.table, context.clock, context.cell, worker_id
        )
    except (errors.StoreError, errors.WriteConflictError) as error:
        raise _make_quarantine_error(error) from error
    if changed:
        logs.log_event("quarantine_removed", worker=worker_id, author=author)
    return _make_quarantine_response(context, worker_id, changed)


def drain_host(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Make this host drain and exit; repeated requests have no effect."""
    author = _read_author(request)
    logs.log_event("drain_asked", author=author)
    context.request_drain()
    return webserver.make_json(
        202, {"host": context.host_id, "state": "draining"}
    )


def _read_author(request: webserver.Request) -> str:
    body = operatorcontext.read_body(request, {"author": str})
    return operatorcontext.check_text("author", body["author"])


def _read_worker_id(request: webserver.Request) -> str:
    worker_id = request.args[0]
    if not _WORKER_ID.fullmatch(worker_id):
        raise errors.InvalidFieldError("worker", "a worker id", worker_id)
    return worker_id


def _make_quarantine_response(
    context: operatorcontext.OperatorContext, worker_id: str, changed: bool
) -> webserver.Response:
    listed = worker_id in context.host_list.hosts.workers
    return webserver.make_json(
        200, {"worker": worker_id, "changed": changed, "listed": listed}
    )


def _make_quarantine_error(error: Exception) -> errors.RequestRefusedError:
    if isinstance(error, errors.StoreUnavailableError):
        return errors.StoreDownError(str(error), retry_after_ms=_RETRY_AFTER_MS)
    return _make_unknown_outcome("the quarantine", None)


def _make_unknown_outcome(
    operation: str, job_id: str | None
) -> errors.CommandOutcomeUnknownError:
    return errors.CommandOutcomeUnknownError(
        f"{operation} may or may not be stored; it is safe to retry",
        run=errors.Run.UNKNOWN,
        job_id=job_id,
        retry_after_ms=_RETRY_AFTER_MS,
    )


ROUTES: list[operatorcontext.Route] = [
    ("POST", "/v1/jobs/([^/]+)/cancel", cancel_job),
    ("POST", "/v1/workers/([^/]+)/quarantine", add_quarantine),
    ("DELETE", "/v1/workers/([^/]+)/quarantine", remove_quarantine),
    ("POST", "/v1/drain", drain_host),
]
