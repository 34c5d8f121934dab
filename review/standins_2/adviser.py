"""The recommendation service: answers which runners may run a step.

It follows `POST /api/advise` of PROTOCOL.md, and approves every runner that is
named. A ticket names the step, the runner and the time at which it expires.
"""

import json
import sys
import threading
import time
from typing import Any

import wire

DECISION_MS = 20
PERIOD_MS = 1
VALIDITY_MS = 3_000

turn = threading.Lock()


def handle(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, Any]:
    """Answer a call; one at a time."""
    call = json.loads(body)
    with turn:
        time.sleep((DECISION_MS + PERIOD_MS * len(call["workers"])) / 1_000)
    until_ms = int(time.time() * 1_000) + VALIDITY_MS
    wire.record(
        "adviser", "advised", step=call["step"], runners=len(call["workers"])
    )
    approved = [
        [name, f"{call['step']}/{name}/{until_ms}"] for name in call["workers"]
    ]
    return 200, {"approved": approved, "validity_ms": VALIDITY_MS}


if __name__ == "__main__":
    wire.serve(sys.argv[1], handle)
    threading.Event().wait()
