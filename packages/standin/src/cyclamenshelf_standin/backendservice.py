"""Stand-in for backend servers, all behind one HTTP server.

A backend server's address is `http://<server>/<backend id>`. The request
body tells the stand-in what to do: `{"run_ms": 5, "answer": "text"}`, with
`"repeat": n` for an answer of n times the text.
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
        slots: Requests it runs at the same time.
        leaving: Answers carry `X-Leaving: 1`.
        refusing: Every request is refused unrun.
        lose_answers: This many next requests run, then their connection is
            closed without an answer.
        failing: Every request ends with 500 after it ran.
        slow_ms: Every request runs for this much longer.
        break_off: Every answer's connection is closed after half of it.
        retry_after_s: Refusals carry this Retry-After, unless it is 0.
    """

    def __init__(self, backend_id: str, slots: int) -> None:
        self.id = backend_id
        self.slots = slots
        self.lock = threading.Lock()
        self.busy = 0
        self.records: list[dict[str, Any]] = []
        self.leaving = False
        self.refusing = False
        self.failing = False
        self.lose_answers = 0
        self.slow_ms = 0
        self.break_off = False
        self.retry_after_s = 0


def start_backend(backend: Backend, threads: int = 16) -> webserver.Server:
    """Start one backend server alone; a stop makes it refuse connections."""
    return webserver.start_server(
        "127.0.0.1",
        0,
        make_handler({backend.id: backend}),
        threads=threads,
        stop_timeout_s=0.5,
    )


@contextlib.contextmanager
def serve_raw(answer: bytes) -> Iterator[str]:
    """Serve these literal bytes to each request; give the address.

    For answers that a correct HTTP server does not send.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            with contextlib.suppress(OSError):
                while True:
                    connection, _ = listener.accept()
                    with connection:
                        while _read_request(connection):
                            connection.sendall(answer)

        threading.Thread(target=serve, daemon=True).start()
        yield f"http://127.0.0.1:{listener.getsockname()[1]}/raw"


def _read_request(connection: socket.socket) -> bool:
    """Read one request, which may come in several packets."""
    data = b""
    while True:
        head, end, body = data.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
        if end and len(body) >= (int(length[1]) if length else 0):
            return True
        chunk = connection.recv(65_536)
        if not chunk:
            return False
        data += chunk


def make_handler(backends: dict[str, Backend]) -> webserver.Handler:
    """Return the HTTP handler of a set of backend servers."""

    def run(request: webserver.Request) -> webserver.Response:
        backend = backends[request.args[0]]
        with backend.lock:
            if backend.refusing or backend.busy >= backend.slots:
                return _refuse(backend)
            backend.busy += 1
            backend.records.append(
                {
                    "backend": backend.id,
                    "request": request.headers.get("x-request-id"),
                    "deadline_ms": request.headers.get("x-deadline-ms"),
                    "started_ms": time.monotonic_ns() // 1_000_000,
                }
            )
        try:
            return _answer(backend, request)
        finally:
            with backend.lock:
                backend.busy -= 1

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


def _refuse(backend: Backend) -> webserver.Response:
    headers = [("X-Not-Run", "1")]
    if backend.leaving:
        headers.append(("X-Leaving", "1"))
    if backend.retry_after_s:
        headers.append(("Retry-After", str(backend.retry_after_s)))
    return webserver.make_json(503, {"code": "no_slot"}, tuple(headers))


def _answer(backend: Backend, request: webserver.Request) -> webserver.Response:
    body = json.loads(request.body or b"{}")
    time.sleep((body.get("run_ms", 1) + backend.slow_ms) / 1000)
    with backend.lock:
        lose = backend.lose_answers > 0
        backend.lose_answers -= lose
        free = backend.slots - backend.busy + 1
    if lose:
        raise webserver.ConnectionDroppedError
    if backend.failing:
        return webserver.make_json(500, {"code": "failed"})
    headers = [
        ("X-Slots-Free", str(free)),
        ("X-Request-Id", request.headers.get("x-request-id", "")),
    ]
    if backend.leaving:
        headers.append(("X-Leaving", "1"))
    answer = str(body.get("answer", "")).encode() * body.get("repeat", 1)
    if backend.break_off:
        headers.append(("Content-Length", str(len(answer))))
        return webserver.Response(200, _send_half(answer), tuple(headers))
    return webserver.Response(200, answer, tuple(headers))


def _send_half(answer: bytes) -> Iterator[bytes]:
    yield answer[: len(answer) // 2]
    raise webserver.ConnectionDroppedError
