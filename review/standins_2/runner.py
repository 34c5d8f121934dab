"""A runner: carries out tasks under leases, and registers in the store.

It follows the section "Running tasks" of PROTOCOL.md for tasks that are no
members of a gang. The `specification` of a task says how long it works.
"""

import argparse
import base64
import json
import threading
import time
from typing import Any

import wire

HEARTBEAT_S = 1.5

parser = argparse.ArgumentParser()
parser.add_argument("--id", required=True)
parser.add_argument("--address", required=True)
parser.add_argument("--store", required=True)
parser.add_argument("--rack", default="r1-1")
parser.add_argument("--kind", default="a")
parser.add_argument("--max-hold-ms", type=int, default=6_000)
parser.add_argument("--cpu", type=int, default=64_000)
parser.add_argument("--advised", action="store_true")
args = parser.parse_args()

BORN_MS = int(time.time() * 1_000)
STARTED_S = time.monotonic()

changed = threading.Condition()
running: dict[str, dict[str, Any]] = {}
finished: list[list[Any]] = []
closed: dict[str, int] = {}
ends = 0
fence = 0
lease_ms = 0


def read_clock_ms() -> int:
    """Return the runner's own steady clock."""
    return int((time.monotonic() - STARTED_S) * 1_000) + 1_000


def end(task: str, how: str) -> None:
    """End a run; the caller holds the lock."""
    global ends
    run = running.pop(task)
    ends += 1
    finished.append([ends, task, run["run"], how, ""])
    closed[task] = max(closed.get(task, 0), run["run"])
    wire.record(args.id, "ended", task=task, run=run["run"], how=how)
    changed.notify_all()


def extend(body: dict[str, Any]) -> None:
    """Take a lease from a call; the caller holds the lock."""
    global lease_ms
    if "deadline_ms" in body:
        longest_ms = read_clock_ms() + args.max_hold_ms
        lease_ms = max(lease_ms, min(body["deadline_ms"], longest_ms))


def answer(status: int, reason: str = "") -> tuple[int, Any]:
    """Return an answer with the clock."""
    value: dict[str, Any] = {"clock_ms": read_clock_ms(), "born": BORN_MS}
    if reason:
        value["reason"] = reason
    return status, value


def has_ticket(body: dict[str, Any]) -> bool:
    """Return whether a start carries a valid ticket for its step."""
    step, _, rest = body.get("ticket", "").partition("/")
    name, _, until_ms = rest.partition("/")
    return (
        step == body["task"].rpartition(".")[0]
        and name == args.id
        and time.time() * 1_000 < int(until_ms)
    )


def start(body: dict[str, Any]) -> tuple[int, Any]:
    """Answer `run-start`."""
    task, run = body["task"], body["run"]
    here = running.get(task)
    if here and here["run"] == run:
        extend(body)
        return answer(200)
    if run <= closed.get(task, 0) or here:
        extend(body)
        return answer(409, "old")
    if body["deadline_ms"] <= read_clock_ms():
        return answer(409, "late")
    if args.advised and not has_ticket(body):
        wire.record(args.id, "refused", task=task, run=run, reason="ticket")
        return answer(409, "ticket")
    extend(body)
    work_ms = json.loads(body["specification"])["work_ms"]
    running[task] = {"run": run, "until_ms": read_clock_ms() + work_ms}
    wire.record(args.id, "started", task=task, run=run)
    return answer(200)


def stop(body: dict[str, Any]) -> tuple[int, Any]:
    """Answer `run-stop`."""
    task, run = body["task"], body["run"]
    here = running.get(task)
    if here and here["run"] <= run:
        end(task, "stopped")
    closed[task] = max(closed.get(task, 0), run)
    return answer(200)


def hold(body: dict[str, Any]) -> tuple[int, Any]:
    """Answer `hold`, which waits for an end."""
    extend(body)
    finished[:] = [row for row in finished if row[0] > body["last_seen"]]
    wait_ms = min(2_000, body.get("wait_ms", 0))
    if not finished:
        changed.wait_for(lambda: bool(finished), wait_ms / 1_000)
    status, value = answer(200)
    now_ms = read_clock_ms()
    value["running"] = [
        [task, run["run"], "", 100 if now_ms < run["until_ms"] else 99]
        for task, run in running.items()
    ]
    value["finished"] = finished[:500]
    return status, value


def handle(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, Any]:
    """Answer a call of the system."""
    global fence
    if method == "GET":
        return 200, {}
    call = json.loads(body)
    with changed:
        if headers.get("cyclamenshelf-expected-instance", args.id) != args.id:
            return 421, {}
        if call.get("fencing_token", 0) < fence:
            return answer(409, "fence")
        fence = call.get("fencing_token", 0)
        calls = {
            "/api/run-start": start,
            "/api/run-stop": stop,
            "/api/hold": hold,
        }
        return calls[path](call)


def work() -> None:
    """End runs that are done, and all when the lease expires."""
    while True:
        time.sleep(0.02)
        with changed:
            now_ms = read_clock_ms()
            for task, run in list(running.items()):
                if now_ms >= lease_ms:
                    end(task, "lapsed")
                elif now_ms >= run["until_ms"]:
                    end(task, "done")


def main() -> None:
    """Serve, work and send heartbeats until the process ends."""
    wire.serve(args.address, handle)
    threading.Thread(target=work, daemon=True).start()
    sequence = 0
    while True:
        sequence += 1
        entry = {
            "service": "appraisal-desk",
            "address": args.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": sequence,
            "capacity": {
                "cpu": args.cpu,
                "memory_request_mb": 262_144,
                "gpu": 8,
            },
            "labels": [args.kind, args.rack],
            "born": BORN_MS,
            "clock_ms": read_clock_ms(),
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        row = {"table": "servers", "part": "", "key": args.id, "value": value}
        try:
            wire.call(
                args.store,
                "POST",
                "/api/rows-tx",
                {"expected_revision": [], "writes": [row], "remove": []},
                {"X-Writer": "platform"},
            )
        except OSError as error:
            wire.record(args.id, "heartbeat_failed", detail=repr(error))
        time.sleep(HEARTBEAT_S)


if __name__ == "__main__":
    main()
