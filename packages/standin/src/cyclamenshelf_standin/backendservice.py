"""Stand-in for backend servers, all behind one HTTP server.

A backend server's address is `http://<server>/<backend id>`. The request
body tells the stand-in what to do: `{"run_ms": 5, "answer": "text"}`.
"""

import json
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


def make_handler(backends: dict[str, Backend]) -> webserver.Handler:
    """Return the HTTP handler of a set of backend servers."""

    def run(request: webserver.Request) -> webserver.Response:
        backend = backends[request.args[0]]
        with backend.lock:
            if backend.refusing or backend.busy >= backend.slots:
                return webserver.make_json(
                    503, {"code": "no_slot"}, (("X-Not-Run", "1"),)
                )
            backend.busy += 1
            backend.records.append(
                {
                    "backend": backend.id,
                    "request": request.headers.get("x-request-id"),
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


def _answer(backend: Backend, request: webserver.Request) -> webserver.Response:
    body = json.loads(request.body or b"{}")
    time.sleep(body.get("run_ms", 1) / 1000)
    with backend.lock:
        lose = backend.lose_answers > 0
        backend.lose_answers -= lose
        free = backend.slots - backend.busy + 1
    if lose:
        raise webserver.ConnectionDroppedError
    if backend.failing:
        return webserver.make_json(500, {"code": "failed"})
    headers = [("X-Slots-Free", str(free))]
    if backend.leaving:
        headers.append(("X-Leaving", "1"))
    answer = str(body.get("answer", "")).encode()
    return webserver.Response(200, answer, tuple(headers))
