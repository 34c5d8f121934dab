"""Fault injection for the stand-in services."""

import json
import threading
import time
from typing import Any

from cyclamenshelf_daemon import webserver


class Faults:
    """Faults that are injected into one stand-in service.

    Attributes:
        down: The connection of every request is closed before the request
            takes effect.
        delay_ms: Delay of each response, after the request has taken effect.
        hold_ms: Delay of each write before it takes effect. The client may
            have timed out by then.
        lose_answers: Number of next writes that take effect and whose
            connection is then closed without a response.
        drop_requests: Number of next writes whose connection is closed
            before they take effect.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.down = False
        self.delay_ms = 0
        self.hold_ms = 0
        self.lose_answers = 0
        self.drop_requests = 0

    def update(self, values: dict[str, Any]) -> None:
        """Set the given faults and leave the others unchanged."""
        with self.lock:
            for name, value in values.items():
                if name not in ("lock", "update") and hasattr(self, name):
                    setattr(self, name, value)

    def consume_fault(self, name: str) -> bool:
        """Return whether a counted fault is pending; decrement its count."""
        with self.lock:
            remaining = getattr(self, name)
            if remaining <= 0:
                return False
            setattr(self, name, remaining - 1)
            return True


def wrap_handler(
    handler: webserver.Handler, faults: Faults
) -> webserver.Handler:
    """Return a handler that injects the faults and serves `PUT /faults`."""

    def handle(request: webserver.Request) -> webserver.Response:
        if request.path == "/faults" and request.method == "PUT":
            faults.update(json.loads(request.body))
            return webserver.make_json(200, {})
        is_write = request.method != "GET" and not request.path.endswith(":get")
        if faults.down or (is_write and faults.consume_fault("drop_requests")):
            raise webserver.ConnectionDroppedError
        if is_write and faults.hold_ms:
            time.sleep(faults.hold_ms / 1000)
        response = handler(request)
        if faults.delay_ms:
            time.sleep(faults.delay_ms / 1000)
        if is_write and faults.consume_fault("lose_answers"):
            raise webserver.ConnectionDroppedError
        return response

    return handle
