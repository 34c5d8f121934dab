"""Routing of short requests to backend servers."""

import random
import threading
import uuid

import urllib3

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import webserver

_DEFAULT_TIMEOUT_MS = 10_000
_MAX_TRIES = 3
_RETRY_AFTER_MS = 1_000


class Router:
    """Requests in flight by backend server."""

    def __init__(
        self,
        pool: urllib3.PoolManager,
        host_list: hostlist.HostList,
        clock: clocks.Clock,
    ) -> None:
        self.pool = pool
        self.host_list = host_list
        self.clock = clock
        self.lock = threading.Lock()
        self.in_flight: dict[str, int] = {}


def route_request(
    router: Router, account: str, service: str, request: webserver.Request
) -> webserver.Response:
    """Send a short request to a backend server and return its whole answer.

    Raises:
        errors.RequestRefusedError: No answer; `run` says what is certain.
    """
    request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
    tried: set[str] = set()
    for _ in range(_MAX_TRIES):
        backend = _choose_backend(router, service, tried)
        if backend is None:
            break
        tried.add(backend.id)
        result = _send(router, backend, request, request_id)
        if result is None:
            continue
        return webserver.Response(
            result.status,
            result.body,
            (("Content-Type", "application/octet-stream"),),
        )
    raise errors.BackendFailedError(
        f"no free backend server for {service[:80]}",
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _choose_backend(
    router: Router, service: str, tried: set[str]
) -> hostlist.Backend | None:
    """Return the less busy of two random candidates."""
    candidates = [
        backend
        for backend in router.host_list.hosts.backends.values()
        if backend.service == service
        and not backend.leaving
        and backend.id not in tried
    ]
    if not candidates:
        return None
    pair = random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda backend: router.in_flight.get(backend.id, 0))


def _send(
    router: Router,
    backend: hostlist.Backend,
    request: webserver.Request,
    request_id: str,
) -> httpclient.HttpResult | None:
    """Return the answer, or None where the request was certainly not run."""
    _count(router, backend.id, 1)
    try:
        result = httpclient.call(
            router.pool,
            "POST",
            backend.address + "/v1/run",
            body=request.body,
            headers={
                "X-Request-Id": request_id,
                "X-Deadline-Ms": str(_DEFAULT_TIMEOUT_MS),
            },
            timeout_ms=_DEFAULT_TIMEOUT_MS,
        )
    except httpclient.HttpFailureError as failure:
        if not failure.sent:
            return None
        raise errors.BackendFailedError(
            f"backend server {backend.id}: {failure}", run=errors.Run.UNKNOWN
        ) from failure
    finally:
        _count(router, backend.id, -1)
    if result.status == 503 and result.headers.get("X-Not-Run") == "1":
        return None
    return result


def _count(router: Router, backend_id: str, change: int) -> None:
    with router.lock:
        count = router.in_flight.get(backend_id, 0) + change
        router.in_flight[backend_id] = count
