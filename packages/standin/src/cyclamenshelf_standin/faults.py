"""Faults that a test switches on in a stand-in."""

import json
import threading
import time
from typing import Any

from cyclamenshelf_daemon import webserver


class Faults:
    """Faults in force on one stand-in service.

    Attributes:
        down: Connections are closed before the request takes effect.
        delay_ms: Each answer is delayed, after the effect.
        hold_ms: Each write is delayed before it takes effect; its sender may
            have given up by then.
        lose_answers: This many next writes take effect, then their
            connection is closed without an answer.
        drop_requests: This many next writes are closed without effect.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.down = False
        self.delay_ms = 0
        self.hold_ms = 0
        self.lose_answers = 0
        self.drop_requests = 0

    def update(self, values: dict[str, Any]) -> None:
        """Set the given faults and keep the others."""
        with self.lock:
            for name, value in values.items():
                if name not in ("lock", "update") and hasattr(self, name):
                    setattr(self, name, value)

    def take_one(self, name: str) -> bool:
        """Return whether a counted fault applies, and count it down."""
        with self.lock:
            left = getattr(self, name)
            if left <= 0:
                return False
            setattr(self, name, left - 1)
            return True


def wrap_handler(
    handler: webserver.Handler, faults: Faults
) -> webserver.Handler:
    """Return the handler with the faults, and `PUT /faults` to set them."""

    def handle(request: webserver.Request) -> webserver.Response:
        if request.path == "/faults" and request.method == "PUT":
            faults.update(json.loads(request.body))
            return webserver.make_json(200, {})
        write = request.method != "GET" and not request.path.endswith(":get")
        if faults.down or (write and faults.take_one("drop_requests")):
            raise webserver.ConnectionDroppedError
        if write and faults.hold_ms:
            time.sleep(faults.hold_ms / 1000)
        response = handler(request)
        if faults.delay_ms:
            time.sleep(faults.delay_ms / 1000)
        if write and faults.take_one("lose_answers"):
            raise webserver.ConnectionDroppedError
        return response

    return handle
