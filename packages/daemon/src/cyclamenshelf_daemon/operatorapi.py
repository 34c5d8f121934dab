"""HTTP interface for operators, health checks and metrics."""

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
from cyclamenshelf_daemon.decisions import operatorpreviews

OperatorContext = operatorcontext.OperatorContext
_BUSY_RETRY_AFTER_MS = 2_000


def make_handler(
    context: operatorcontext.OperatorContext,
) -> webserver.Handler:
    """Return the handler of the operator interface.

    Health, readiness and metrics need no credential, because the platform's
    load balancer and metrics collectors have none.
    """

    def make_public_route(
        path: str, handler: operatorcontext.OperatorHandler
    ) -> webserver.Route:
        return ("GET", path, lambda request: handler(context, request))

    authenticated_routes = [
        (method, path, _require_credential(context, handler))
        for method, path, handler in (
            *operatorconfig.ROUTES,
            *operatorviews.ROUTES,
            *operatorjobs.ROUTES,
            *operatorcommands.ROUTES,
            *operatorpreviews.ROUTES,
        )
    ]
    return webserver.make_router(
        [
            make_public_route("/healthz", _check_health),
            make_public_route("/readyz", _check_readiness),
            make_public_route("/metrics", _show_metrics),
            *authenticated_routes,
        ]
    )


def make_refusal(refusal: errors.RequestRefusedError) -> webserver.Response:
    """Return the error response for a refused operator request."""
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


def _require_credential(
    context: operatorcontext.OperatorContext,
    handler: operatorcontext.OperatorHandler,
) -> webserver.Handler:
    """Wrap a handler with the credential check and error responses."""

    def handle_request(request: webserver.Request) -> webserver.Response:
        try:
            _check_credential(context, request)
            return _handle_within_limit(context, request, handler)
        except errors.RequestRefusedError as refusal:
            logs.log_event(
                "operator_request_refused",
                method=request.method,
                path=request.path,
                code=refusal.code,
            )
            return make_refusal(refusal)

    return handle_request


def _handle_within_limit(
    context: operatorcontext.OperatorContext,
    request: webserver.Request,
    handler: operatorcontext.OperatorHandler,
) -> webserver.Response:
    """Handle a request, unless it would take the last free thread.

    A write takes up to 20 s while the store is slow. If such writes occupied
    all threads, health checks would time out and the load balancer would
    treat the host as dead.
    """
    if not context.request_slots.acquire(blocking=False):
        raise errors.HostBusyError(
            "too many operator requests are in progress",
            retry_after_ms=_BUSY_RETRY_AFTER_MS,
        )
    try:
        return handler(context, request)
    finally:
        context.request_slots.release()


def _check_credential(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> None:
    """Raise unless the request has the operators' bearer token.

    The digests that are compared always have the same length, so that the
    comparison takes the same time for every token.
    """
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    matches = hmac.compare_digest(digest, context.token_sha256)
    if scheme.lower() != "bearer" or not matches:
        raise errors.UnauthenticatedError(
            "the operators' bearer token is missing or wrong"
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
