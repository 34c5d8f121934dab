"""Stand-in for the platform's backend servers, served by one HTTP server.

The address of a backend server is `http://<server>/<backend id>`. The body
of a request sets its run time and the content of the response:
`{"run_ms": 5, "answer": "text"}`. With `"repeat": n`, the content is the
text repeated n times.
"""

from collections.abc import Iterator
import contextlib
import json
import re
import socket
import threading
import time
from typing import Any

from cyclamenshelf_daemon import webserver


class Backend:
    """State of one backend server.

    Attributes:
        slots: Maximum number of requests that run at the same time.
        active_requests: Number of requests that are running.
        records: One entry for each request that was started.
        leaving: Responses carry the header `X-Leaving: 1`.
        refusing: Every request is rejected without being run.
        lose_answers: Number of next requests that run and whose connection
            is then closed without a response.
        failing: Every request runs and then returns status 500.
        slow_ms: Added to the run time of every request.
        break_off: The connection is closed after half of the content of
            every response.
        retry_after_s: Value of the Retry-After header of rejections; 0
            leaves the header out.
    """

    def __init__(self, backend_id: str, slots: int) -> None:
        self.id = backend_id
        self.slots = slots
        self.lock = threading.Lock()
        self.active_requests = 0
        self.records: list[dict[str, Any]] = []
        self.leaving = False
        self.refusing = False
        self.failing = False
        self.lose_answers = 0
        self.slow_ms = 0
        self.break_off = False
        self.retry_after_s = 0


def start_backend(backend: Backend, threads: int = 16) -> webserver.Server:
    """Start one backend server on a port of its own.

    Connections are refused once the returned server is stopped.
    """
    return webserver.start_server(
        "127.0.0.1",
        0,
        make_handler({backend.id: backend}),
        threads=threads,
        stop_timeout_s=0.5,
    )


@contextlib.contextmanager
def serve_raw_response(response: bytes) -> Iterator[str]:
    """Send the given bytes in response to each request; yield the address.

    Serves responses that a correct HTTP server would not send.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            with contextlib.suppress(OSError):
                while True:
                    connection, _ = listener.accept()
                    with connection:
                        while _read_request(connection):
                            connection.sendall(response)

        threading.Thread(target=serve, daemon=True).start()
        yield f"http://127.0.0.1:{listener.getsockname()[1]}/raw"


def _read_request(connection: socket.socket) -> bool:
    """Read one request, which may arrive in several packets.

    Returns:
        Whether a whole request was read before the peer closed the connection.
    """
    data = b""
    while True:
        head, separator, body = data.partition(b"\r\n\r\n")
        length_match = re.search(
            rb"content-length: *(\d+)", head, re.IGNORECASE
        )
        if separator and len(body) >= (
            int(length_match[1]) if length_match else 0
        ):
            return True
        chunk = connection.recv(65_536)
        if not chunk:
            return False
        data += chunk


def make_handler(backends: dict[str, Backend]) -> webserver.Handler:
    """Return an HTTP handler that serves the given backend servers by id."""

    def run(request: webserver.Request) -> webserver.Response:
        backend = backends[request.args[0]]
        with backend.lock:
            if backend.refusing or backend.active_requests >= backend.slots:
                return _reject_request(backend)
            backend.active_requests += 1
            backend.records.append(
                {
                    "backend": backend.id,
                    "request": request.headers.get("x-request-id"),
                    "deadline_ms": request.headers.get("x-deadline-ms"),
                    "started_ms": time.monotonic_ns() // 1_000_000,
                }
            )
        try:
            return _run_request(backend, request)
        finally:
            with backend.lock:
                backend.active_requests -= 1

    def set_faults(request: webserver.Request) -> webserver.Response:
        backend = backends[request.args[0]]
        for name, value in json.loads(request.body).items():
            setattr(backend, name, value)
        return webserver.make_json(200, {})

    def get_records(request: webserver.Request) -> webserver.Response:
        records = []
        for backend in backends.values():
            with backend.lock:
                records += backend.records
        return webserver.make_json(200, {"records": records})

    return webserver.make_router(
        [
            ("POST", "/([^/]+)/v1/run", run),
            ("PUT", "/([^/]+)/faults", set_faults),
            ("GET", "/records", get_records),
        ]
    )


def _reject_request(backend: Backend) -> webserver.Response:
    headers = [("X-Not-Run", "1")]
    if backend.leaving:
        headers.append(("X-Leaving", "1"))
    if backend.retry_after_s:
        headers.append(("Retry-After", str(backend.retry_after_s)))
    return webserver.make_json(503, {"code": "no_slot"}, tuple(headers))


def _run_request(
    backend: Backend, request: webserver.Request
) -> webserver.Response:
    body = json.loads(request.body or b"{}")
    time.sleep((body.get("run_ms", 1) + backend.slow_ms) / 1000)
    with backend.lock:
        drop_response = backend.lose_answers > 0
        backend.lose_answers -= drop_response
        free_slots = backend.slots - backend.active_requests + 1
    if drop_response:
        raise webserver.ConnectionDroppedError
    if backend.failing:
        return webserver.make_json(500, {"code": "failed"})
    headers = [
        ("X-Slots-Free", str(free_slots)),
        ("X-Request-Id", request.headers.get("x-request-id", "")),
    ]
    if backend.leaving:
        headers.append(("X-Leaving", "1"))
    content = str(body.get("answer", "")).encode() * body.get("repeat", 1)
    if backend.break_off:
        headers.append(("Content-Length", str(len(content))))
        return webserver.Response(200, _send_half(content), tuple(headers))
    return webserver.Response(200, content, tuple(headers))


def _send_half(content: bytes) -> Iterator[bytes]:
    yield content[: len(content) // 2]
    raise webserver.ConnectionDroppedError
