"""Stand-in of a runner, by PROTOCOL.md; run as a process.

The `specification` of a job says how its tasks behave, as JSON: `work_ms` is
how long a task works, `how` is how it ends (`done`). Each event is written to
standard output as a line of JSON.
"""

import argparse
import json
import sys
import threading
import time
from typing import Any
import urllib.request

import servers

_HEARTBEAT_S = 1.5
_STOP_S = 0.1
_MAX_LISTED = 500


class Run:
    """A run of a task."""

    def __init__(self, name: str, number: int, work_s: float, how: str) -> None:
        self.name = name
        self.number = number
        self.end_at = time.monotonic() + work_s
        self.how = how


class Worker:
    """One life of a runner.

    Attributes:
        calls: Calls that it has received.
        lose_starts: How many of the next starts are carried out, but not
            answered.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.started_at = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.token = 0
        self.lease_until_ms = 0
        self.runs: dict[str, Run] = {}
        self.closed: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.end_count = 0
        self.changed = threading.Condition()
        self.calls = 0
        self.lose_starts = 0

    def read_clock_ms(self) -> int:
        """Return the runner's own steady clock, which begins at its start."""
        return int((time.monotonic() - self.started_at) * 1000)


def _log(worker: Worker, event: str, **values: object) -> None:
    line = {
        "at": round(time.monotonic(), 3),
        "event": event,
        "runner": worker.arguments.id,
        "born": worker.born_ms,
    } | values
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


def _end(worker: Worker, run: Run, how: str) -> None:
    """End a run; the caller holds the lock."""
    del worker.runs[run.name]
    worker.closed[run.name] = max(worker.closed.get(run.name, 0), run.number)
    worker.end_count += 1
    worker.ends.append([worker.end_count, run.name, run.number, how, ""])
    worker.changed.notify_all()
    _log(worker, "end", task=run.name, run=run.number, how=how)


def _work(worker: Worker) -> None:
    while True:
        time.sleep(0.01)
        with worker.changed:
            lapsed = worker.read_clock_ms() >= worker.lease_until_ms
            for run in list(worker.runs.values()):
                if lapsed:
                    _end(worker, run, "lapsed")
                elif time.monotonic() >= run.end_at:
                    _end(worker, run, run.how)


def _extend_lease(worker: Worker, deadline_ms: int | None) -> None:
    if deadline_ms is not None:
        latest_ms = worker.read_clock_ms() + worker.arguments.max_hold_ms
        worker.lease_until_ms = max(
            worker.lease_until_ms, min(deadline_ms, latest_ms)
        )


def _is_fenced(worker: Worker, body: dict[str, Any]) -> bool:
    token = body.get("fencing_token", 0)
    if token < worker.token:
        return True
    worker.token = token
    return False


def _start(worker: Worker, body: dict[str, Any]) -> str | None:
    name, number = body["task"], body["run"]
    if _is_fenced(worker, body):
        return "fence"
    run = worker.runs.get(name)
    if run is not None and run.number == number:
        return None
    _extend_lease(worker, body["deadline_ms"])
    if number <= max(worker.closed.get(name, 0), run.number if run else 0):
        return "old"
    if body["deadline_ms"] <= worker.read_clock_ms():
        return "late"
    work = json.loads(body["specification"])
    worker.runs[name] = Run(
        name, number, work["work_ms"] / 1000, work.get("how", "done")
    )
    _log(
        worker,
        "start",
        task=name,
        run=number,
        token=worker.token,
        calls=worker.calls,
    )
    return None


def _stop(worker: Worker, body: dict[str, Any]) -> str | None:
    name, number = body["task"], body["run"]
    if _is_fenced(worker, body):
        return "fence"
    _log(worker, "stop", task=name, run=number)
    worker.closed[name] = max(worker.closed.get(name, 0), number)
    run = worker.runs.get(name)
    if run is not None and run.number <= number:
        run.end_at, run.how = time.monotonic() + _STOP_S, "stopped"
    return None


def _hold(worker: Worker, body: dict[str, Any]) -> str | None:
    if _is_fenced(worker, body):
        return "fence"
    _extend_lease(worker, body.get("deadline_ms"))
    worker.ends = [end for end in worker.ends if end[0] > body["last_seen"]]
    deadline = time.monotonic() + min(2_000, body.get("wait_ms", 0)) / 1000
    while not worker.ends and (left := deadline - time.monotonic()) > 0:
        worker.changed.wait(left)
    return None


def _control(worker: Worker, body: dict[str, Any]) -> None:
    """Switch a disruption on, or end a member of a gang that is broken."""
    with worker.changed:
        if "lose_starts" in body:
            worker.lose_starts = body["lose_starts"]
        for run in list(worker.runs.values()):
            if run.name in body.get("broken", ()):
                _end(worker, run, "broken")


def _handle(
    worker: Worker,
    path: str,
    query: dict[str, str],
    body: Any,
    headers: dict[str, str],
) -> tuple | None:
    if path == "/control":
        _control(worker, body)
        return 200, {}
    expected = headers.get("cyclamenshelf-expected-instance")
    if expected not in (None, worker.arguments.id):
        return 421, {}
    calls = {
        "/api/run-start": _start,
        "/api/run-stop": _stop,
        "/api/hold": _hold,
    }
    with worker.changed:
        worker.calls += 1
        reason = calls[path](worker, body)
        answer: dict[str, Any] = {"clock_ms": worker.read_clock_ms()}
        if path == "/api/run-start" and worker.lose_starts > 0:
            worker.lose_starts -= 1
            _log(
                worker,
                "answer_lost",
                task=body["task"],
                run=body["run"],
                calls=worker.calls,
            )
            return None
        if reason is not None:
            return 409, answer | {"reason": reason}
        if path == "/api/hold":
            answer |= {
                "born": worker.born_ms,
                "running": [
                    [run.name, run.number, "", 100]
                    for run in worker.runs.values()
                ],
                "finished": worker.ends[:_MAX_LISTED],
            }
        return 200, answer


def _register(worker: Worker) -> None:
    """Write the runner's entry and its heartbeats to the store."""
    arguments = worker.arguments
    entry = {
        "service": arguments.service,
        "address": arguments.address or f"127.0.0.1:{arguments.port}",
        "zone": "llanelli-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {
            "cpu": 64_000,
            "memory_request_mb": 262_144,
            "gpu": arguments.gpu,
        },
        "labels": [arguments.kind, arguments.rack],
        "sequence": 1,
        "born": worker.born_ms,
    }
    time.sleep(arguments.register_after_s)
    put = {
        "table": "servers",
        "key": arguments.id,
        "value": json.dumps(entry),
    }
    _call_store(arguments.store, "/control/put", put)
    while True:
        time.sleep(_HEARTBEAT_S)
        beat = {"key": arguments.id}
        if not _call_store(arguments.store, "/control/beat", beat):
            _call_store(arguments.store, "/control/put", put)


def _call_store(store: str, path: str, body: dict[str, Any]) -> bool:
    """Call the store; return whether it answered with success."""
    request = urllib.request.Request(
        f"http://{store}{path}", json.dumps(body).encode(), method="POST"
    )
    try:
        urllib.request.urlopen(request, timeout=5).close()
    except OSError:
        return False
    return True


def main() -> None:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--address", default="")
    parser.add_argument("--store", required=True)
    parser.add_argument("--service", default="appraisal-desk")
    parser.add_argument("--kind", default="a")
    parser.add_argument("--rack", default="r1-1")
    parser.add_argument("--gpu", type=int, default=8)
    parser.add_argument("--max-hold-ms", type=int, default=6_000)
    parser.add_argument("--register-after-s", type=float, default=0.0)
    worker = Worker(parser.parse_args())

    def handle(*arguments: Any) -> tuple | None:
        return _handle(worker, *arguments)

    server = servers.start(worker.arguments.port, handle)
    _log(worker, "born", gpu=worker.arguments.gpu)
    for target in (_work, _register):
        threading.Thread(target=target, args=(worker,), daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    sys.exit(main())
