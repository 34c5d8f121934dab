"""An HTTP server on top of cheroot, with routing of requests to handlers."""

from collections.abc import Callable
from collections.abc import Iterable
import http
import json
import re
import threading
from typing import Any
from typing import NamedTuple
import urllib.parse

import cheroot.errors

from cyclamenshelf_daemon import slowclients

MAX_BODY_BYTES = 2 * 1024 * 1024
_ACCEPT_BACKLOG = 1024


class Request(NamedTuple):
    """An HTTP request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    args: tuple[str, ...] = ()


class Response(NamedTuple):
    """An HTTP response; `body` is bytes or chunks of a known total length."""

    status: int
    body: bytes | Iterable[bytes] = b""
    headers: tuple[tuple[str, str], ...] = ()


class Server(NamedTuple):
    """A listening server.

    Attributes:
        port: The TCP port it listens on.
        stop: Stops accepting connections and waits for open requests.
    """

    port: int
    stop: Callable[[], None]


Handler = Callable[[Request], Response]
Route = tuple[str, str, Handler]


class ConnectionDroppedError(cheroot.errors.FatalSSLAlert):
    """Raised by a handler to close the connection without a response.

    This base class is the only error on which cheroot closes a connection
    without logging or sending a response.
    """


def make_json(
    status: int, value: Any, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Return a response with a JSON body."""
    return Response(
        status,
        json.dumps(value, separators=(",", ":")).encode(),
        (("Content-Type", "application/json"), *headers),
    )


def make_router(routes: list[Route]) -> Handler:
    """Return a handler that calls the first route that matches.

    A pattern is a regular expression that must match the whole path; its groups
    become `Request.args`.
    """
    compiled_routes = [
        (method, re.compile(pattern), handler)
        for method, pattern, handler in routes
    ]

    def handle(request: Request) -> Response:
        path_matched = False
        for method, pattern, handler in compiled_routes:
            match = pattern.fullmatch(request.path)
            if match is None:
                continue
            if method == request.method:
                args = tuple(map(urllib.parse.unquote, match.groups()))
                return handler(request._replace(args=args))
            path_matched = True
        status, code = (
            (405, "method_not_allowed")
            if path_matched
            else (404, "no_such_path")
        )
        return make_json(
            status,
            {"code": code, "message": request.path[:200], "run": "not_run"},
        )

    return handle


def start_server(
    host: str,
    port: int,
    handler: Handler,
    *,
    threads: int,
    max_body_bytes: int = MAX_BODY_BYTES,
    stop_timeout_s: float | None = None,
) -> Server:
    """Start a server in background threads.

    Args:
        host: Address to listen on.
        port: TCP port; 0 selects a free one.
        handler: Called for each request, in a pool of `threads` threads.
        threads: Maximum number of requests handled at the same time.
        max_body_bytes: Larger request bodies are rejected with status 413.
        stop_timeout_s: How long `stop` waits for open requests; None waits
            until all are complete.
    """
    server = slowclients.SlowClientServer(
        (host, port),
        _make_wsgi_app(handler),
        numthreads=threads,
        request_queue_size=_ACCEPT_BACKLOG,
        timeout=slowclients.TIMEOUT_S,
        shutdown_timeout=stop_timeout_s,
    )
    server.max_request_body_size = max_body_bytes
    server.prepare()
    thread = threading.Thread(
        target=server.serve, name=f"serve-{port}", daemon=True
    )
    thread.start()

    def stop() -> None:
        server.stop()
        thread.join()

    return Server(port=server.bind_addr[1], stop=stop)


def _make_wsgi_app(handler: Handler) -> Callable:
    def serve_request(
        environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        response = handler(_read_request(environ))
        headers = list(response.headers)
        body: Iterable[bytes] = response.body
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
            body = [response.body]
        start_response(_format_status(response.status), headers)
        return body

    return serve_request


def _read_request(environ: dict[str, Any]) -> Request:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if "CONTENT_TYPE" in environ:
        headers["content-type"] = environ["CONTENT_TYPE"]
    body = environ["wsgi.input"].read(length) if length else b""
    if len(body) < length:
        # A truncated request must not be run as if it were complete.
        raise ConnectionDroppedError(
            "the request body is shorter than its Content-Length"
        )
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(urllib.parse.parse_qsl(environ["QUERY_STRING"])),
        headers=headers,
        body=body,
    )


def _format_status(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
