"""The HTTP interface to callers."""

from collections.abc import Callable
import hashlib
import hmac
import json
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import errors
from cyclamenshelf_core import model
from cyclamenshelf_daemon import acceptance
from cyclamenshelf_daemon import lookup
from cyclamenshelf_daemon import refusallog
from cyclamenshelf_daemon import refusals
from cyclamenshelf_daemon import routing
from cyclamenshelf_daemon import webserver


class CallerContext(NamedTuple):
    """What the interface to callers is built on."""

    acceptance: acceptance.AcceptanceContext
    lookup: lookup.LookupContext
    router: routing.Router
    get_lists: Callable[[], model.Lists]


def make_handler(context: CallerContext) -> webserver.Handler:
    """Return the HTTP handler for callers."""
    log = refusallog.RefusalLog()

    def route(method: str, pattern: str, handle: Callable) -> webserver.Route:
        return (method, pattern, _wrap(context, log, handle))

    job = "/v1/jobs/([^/]+)"
    return webserver.make_router(
        [
            route("POST", "/v1/jobs", _submit_job),
            route("GET", "/v1/jobs", _list_jobs),
            route("GET", job, _get_job),
            route("GET", job + "/answer", _get_answer),
            route("POST", job + "/cancel", _cancel_job),
            route("POST", "/v1/services/([^/]+)/requests", _run_request),
        ]
    )


def _wrap(
    context: CallerContext, log: refusallog.RefusalLog, handle: Callable
) -> webserver.Handler:
    """Add authentication and the answers for refusals to a handler."""

    def handle_request(request: webserver.Request) -> webserver.Response:
        try:
            account = _authenticate(context.get_lists(), request)
            return handle(context, account, request)
        except errors.RequestRefusedError as refusal:
            now_ms = context.router.clock.now_ms()
            refusallog.note_refusal(log, request.path, refusal, now_ms)
            return refusals.make_refusal(refusal)

    return handle_request


def _authenticate(lists: model.Lists, request: webserver.Request) -> str:
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(token.encode()).hexdigest()
    if scheme.lower() == "bearer" and token:
        for account in lists.accounts.values():
            for known in account.token_sha256:
                if hmac.compare_digest(known, digest):
                    return account.name
    raise errors.UnauthenticatedError("no client account has this token")


def _read_json(request: webserver.Request) -> Any:
    try:
        return json.loads(request.body)
    except ValueError:
        raise errors.InvalidFieldError(
            "body", "JSON", request.body[:40]
        ) from None


def _submit_job(
    context: CallerContext, account: str, request: webserver.Request
) -> webserver.Response:
    accepted = acceptance.accept_job(
        context.acceptance,
        account,
        request.headers.get("idempotency-key"),
        _read_json(request),
    )
    answer = lookup.describe_job(accepted.job)
    return webserver.make_json(
        202,
        answer | {"journaled": accepted.journaled},
        (("Location", f"/v1/jobs/{accepted.job.id}"),),
    )


def _list_jobs(
    context: CallerContext, account: str, request: webserver.Request
) -> webserver.Response:
    jobs = lookup.list_jobs(context.lookup, account)
    return webserver.make_json(
        200, {"jobs": [lookup.describe_job(job) for job in jobs]}
    )


def _get_job(
    context: CallerContext, account: str, request: webserver.Request
) -> webserver.Response:
    wait_ms = _read_wait(request)
    job = lookup.wait_for_end(context.lookup, account, request.args[0], wait_ms)
    status = 200
    if wait_ms and job.state not in model.ENDED_STATES:
        status = 202
    return webserver.make_json(status, lookup.describe_job(job))


def _read_wait(request: webserver.Request) -> int:
    text = request.query.get("wait_ms", "0")
    if not text.isdecimal() or len(text) > 9:
        raise errors.InvalidFieldError("wait_ms", "milliseconds", text)
    return int(text)


def _get_answer(
    context: CallerContext, account: str, request: webserver.Request
) -> webserver.Response:
    job = lookup.find_job(context.lookup, account, request.args[0])
    length, parts = lookup.read_answer(context.lookup, job)
    return webserver.Response(
        200,
        parts,
        (
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(length)),
        ),
    )


def _cancel_job(
    context: CallerContext, account: str, request: webserver.Request
) -> webserver.Response:
    job = lookup.find_job(context.lookup, account, request.args[0])
    if job.state not in model.ENDED_STATES:
        acceptance.cancel_job(context.acceptance, job)
    return webserver.make_json(202, lookup.describe_job(job))


def _run_request(
    context: CallerContext, account: str, request: webserver.Request
) -> webserver.Response:
    return routing.route_request(
        context.router, account, request.args[0], request
    )
