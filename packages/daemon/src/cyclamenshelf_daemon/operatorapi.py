"""The HTTP interface to operators and health checks."""

import hashlib
import hmac
from typing import Any

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import configuration
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import operatorcommands
from cyclamenshelf_daemon import operatorconfig
from cyclamenshelf_daemon import operatorcontext
from cyclamenshelf_daemon import operatorjobs
from cyclamenshelf_daemon import operatorviews
from cyclamenshelf_daemon import refusals
from cyclamenshelf_daemon import webserver

OperatorContext = operatorcontext.OperatorContext
_BUSY_RETRY_AFTER_MS = 2_000


def make_handler(
    context: operatorcontext.OperatorContext,
) -> webserver.Handler:
    """Return the HTTP handler for operators.

    Health, readiness and metrics need no credential, as the platform's
    balancer and collectors have none.
    """

    def open_route(
        path: str, handle: operatorcontext.Handle
    ) -> webserver.Route:
        return ("GET", path, lambda request: handle(context, request))

    guarded = [
        (method, path, _guard(context, handle))
        for method, path, handle in (
            *operatorconfig.ROUTES,
            *operatorviews.ROUTES,
            *operatorjobs.ROUTES,
            *operatorcommands.ROUTES,
        )
    ]
    return webserver.make_router(
        [
            open_route("/healthz", _check_health),
            open_route("/readyz", _check_readiness),
            open_route("/metrics", _show_metrics),
            *guarded,
        ]
    )


def make_refusal(refusal: errors.RequestRefusedError) -> webserver.Response:
    """Return the HTTP answer for a refused request of an operator."""
    return refusals.make_refusal_response(refusal, _list_details(refusal))


def _list_details(refusal: errors.RequestRefusedError) -> dict[str, Any]:
    match refusal:
        case errors.ListsRefusedError():
            return {
                "problems": refusal.problems,
                "conflicts": refusal.conflicts,
            }
        case errors.ConfigurationConflictError():
            return {
                "base_version": refusal.base_version,
                "current_version": refusal.current_version,
                "author": refusal.author,
                "time_ms": refusal.time_ms,
                "diff": refusal.diff,
            }
        case errors.NotOwnerError():
            return {
                "owner_host": refusal.owner_host,
                "operator_url": refusal.operator_url,
            }
    return {}


def _guard(
    context: operatorcontext.OperatorContext, handle: operatorcontext.Handle
) -> webserver.Handler:
    """Add the check of the credential and the answers for refusals."""

    def handle_request(request: webserver.Request) -> webserver.Response:
        try:
            _check_credential(context, request)
            return _handle_with_thread(context, request, handle)
        except errors.RequestRefusedError as refusal:
            logs.log_event(
                "operator_request_refused",
                method=request.method,
                path=request.path,
                code=refusal.code,
            )
            return make_refusal(refusal)

    return handle_request


def _handle_with_thread(
    context: operatorcontext.OperatorContext,
    request: webserver.Request,
    handle: operatorcontext.Handle,
) -> webserver.Response:
    """Answer a request unless that would leave no thread to health checks.

    A write takes up to 20 s while the store is slow. If such writes held all
    threads, the balancer would take the host for dead.
    """
    if not context.free_threads.acquire(blocking=False):
        raise errors.HostBusyError(
            "too many requests of operators are in progress",
            retry_after_ms=_BUSY_RETRY_AFTER_MS,
        )
    try:
        return handle(context, request)
    finally:
        context.free_threads.release()


def _check_credential(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> None:
    """Raise unless the bearer token is the operators'.

    Hashing first makes both texts equally long, so that the comparison takes
    the same time for every token.
    """
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    matches = hmac.compare_digest(digest, context.token_sha256)
    if scheme.lower() != "bearer" or not matches:
        raise errors.UnauthenticatedError(
            "the credential is not the operators'"
        )


def _check_health(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    return webserver.make_json(200, {})


def _check_readiness(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    return webserver.make_json(503 if context.draining.is_set() else 200, {})


def _show_metrics(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    held = context.configuration
    owner = context.get_owner()
    values = {
        "configuration_version": held.lists.version,
        "configuration_confirmed": int(configuration.is_confirmed(held)),
        "configuration_rejected": int(held.rejected is not None),
        "draining": int(context.draining.is_set()),
        "listed_workers": len(context.host_list.hosts.workers),
        "owner_epoch": owner.tenure.epoch if owner else 0,
    }
    text = "".join(
        f"# TYPE cyclamenshelf_{name} gauge\ncyclamenshelf_{name} {value}\n"
        for name, value in values.items()
    )
    return webserver.Response(
        200, text.encode(), (("Content-Type", "text/plain; version=0.0.4"),)
    )
