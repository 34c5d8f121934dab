"""HTTP API for callers: jobs and requests to services."""

from collections.abc import Callable
import hashlib
import hmac
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import errors
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core import model
from cyclamenshelf_daemon import acceptance
from cyclamenshelf_daemon import lookup
from cyclamenshelf_daemon import refusallog
from cyclamenshelf_daemon import refusals
from cyclamenshelf_daemon import routing
from cyclamenshelf_daemon import webserver


class CallerContext(NamedTuple):
    """Components that the callers' API delegates to."""

    acceptance: acceptance.AcceptanceContext
    lookup: lookup.LookupContext
    router: routing.Router
    get_lists: Callable[[], model.Lists]


def make_handler(context: CallerContext) -> webserver.Handler:
    """Return the HTTP handler that serves the callers' API."""
    log = refusallog.RefusalLog()

    def make_route(
        method: str, pattern: str, handle: Callable
    ) -> webserver.Route:
        return (method, pattern, _wrap_handler(context, log, handle))

    job_path = "/v1/jobs/([^/]+)"
    return webserver.make_router(
        [
            make_route("POST", "/v1/jobs", _submit_job),
            make_route("GET", "/v1/jobs", _list_jobs),
            make_route("GET", job_path, _get_job),
            make_route("GET", job_path + "/answer", _get_answer),
            make_route("POST", job_path + "/cancel", _cancel_job),
            make_route(
                "POST", "/v1/services/([^/]+)/requests", _route_service_request
            ),
        ]
    )


def _wrap_handler(
    context: CallerContext, log: refusallog.RefusalLog, handle: Callable
) -> webserver.Handler:
    """Return a handler that authenticates the caller and reports refusals."""

    def handle_request(request: webserver.Request) -> webserver.Response:
        try:
            account = _authenticate(context.get_lists(), request)
            return handle(context, account, request)
        except errors.RequestRefusedError as refusal:
            now_ms = context.router.clock.now_ms()
            refusallog.log_refusal(log, request.path, refusal, now_ms)
            return refusals.make_refusal_response(refusal)

    return handle_request


def _authenticate(lists: model.Lists, request: webserver.Request) -> str:
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(token.encode()).hexdigest()
    if scheme.lower() == "bearer" and token:
        for account in lists.accounts.values():
            for token_digest in account.token_sha256:
                if hmac.compare_digest(token_digest, digest):
                    return account.name
    raise errors.UnauthenticatedError(
        "the bearer token is missing or belongs to no client account"
    )


def _parse_json_body(request: webserver.Request) -> Any:
    try:
        return jsontexts.decode(request.body)
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
        _parse_json_body(request),
    )
    body = lookup.describe_job(accepted.job)
    return webserver.make_json(
        202,
        body | {"journaled": accepted.journaled},
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
    wait_ms = _parse_wait_ms(request)
    job = lookup.wait_for_end(context.lookup, account, request.args[0], wait_ms)
    status = 200
    if wait_ms and job.state not in model.ENDED_STATES:
        status = 202
    return webserver.make_json(status, lookup.describe_job(job))


def _parse_wait_ms(request: webserver.Request) -> int:
    text = request.query.get("wait_ms", "0")
    if not text.isdecimal() or len(text) > 9:
        raise errors.InvalidFieldError("wait_ms", "milliseconds", text)
    return int(text)


def _get_answer(
    context: CallerContext, account: str, request: webserver.Request
) -> webserver.Response:
    job = lookup.find_job(context.lookup, account, request.args[0])
    total_bytes, parts = lookup.read_answer(context.lookup, job)
    return webserver.Response(
        200,
        parts,
        (
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(total_bytes)),
        ),
    )


def _cancel_job(
    context: CallerContext, account: str, request: webserver.Request
) -> webserver.Response:
    job = lookup.find_job(context.lookup, account, request.args[0])
    if job.state not in model.ENDED_STATES:
        acceptance.cancel_job(context.acceptance, job)
    return webserver.make_json(202, lookup.describe_job(job))


def _route_service_request(
    context: CallerContext, account: str, request: webserver.Request
) -> webserver.Response:
    return routing.route_request(
        context.router, account, request.args[0], request
    )
