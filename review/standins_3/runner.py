"""Stand-in of a runner: one process, which runs tasks under a lease.

It follows PROTOCOL.md. The specification of a job is a JSON object whose
`work_ms` says how long each task runs; without it, a task lasts. The runner
appends a line to its record for each start and each end.
"""

import argparse
import json
import sys
import threading
import time
from typing import Any
from typing import NamedTuple
import urllib.request

import jsonserver

_HEARTBEAT_S = 1.5
_STOP_S = 0.1
_MAX_LISTED_ENDS = 500


class Run(NamedTuple):
    """A run that is in progress."""

    task: str
    number: int
    started_ms: int
    work_ms: int | None


class Runner:
    """One life of a runner; all fields are guarded by `changed`."""

    def __init__(self, runner_id: str, max_hold_ms: int, record: str) -> None:
        self.id = runner_id
        self.max_hold_ms = max_hold_ms
        self.record = record
        self.start_s = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.runs: dict[tuple[str, int], Run] = {}
        self.finished: list[tuple[int, str, int, str, str]] = []
        self.last_run: dict[str, int] = {}
        self.end_count = 0
        self.fence = 0
        self.deadline_ms = 0
        self.changed = threading.Condition()

    def get_clock_ms(self) -> int:
        """Return the runner's own clock."""
        return int((time.monotonic() - self.start_s) * 1000)

    def write(self, event: str, **fields: Any) -> None:
        """Append a line to the record."""
        line = {"at": round(time.time(), 3), "runner": self.id, "event": event}
        with open(self.record, "a", encoding="utf-8") as file:
            file.write(json.dumps(line | fields) + "\n")

    def extend_lease(self, deadline_ms: int | None) -> None:
        """Extend the lease; it never becomes shorter."""
        if deadline_ms is not None:
            latest_ms = self.get_clock_ms() + self.max_hold_ms
            self.deadline_ms = max(
                self.deadline_ms, min(deadline_ms, latest_ms)
            )

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        del self.runs[run.task, run.number]
        self.last_run[run.task] = max(
            run.number, self.last_run.get(run.task, 0)
        )
        self.end_count += 1
        self.finished.append((self.end_count, run.task, run.number, how, ""))
        self.write("end", task=run.task, run=run.number, how=how)
        self.changed.notify_all()


def _refuse(runner: Runner, reason: str) -> jsonserver.Response:
    body = {"clock_ms": runner.get_clock_ms(), "reason": reason}
    return jsonserver.Response(409, body)


def _accept(runner: Runner) -> jsonserver.Response:
    return jsonserver.Response(200, {"clock_ms": runner.get_clock_ms()})


def _start(runner: Runner, body: dict[str, Any]) -> jsonserver.Response:
    task, number = body["task"], body["run"]
    if body["deadline_ms"] <= runner.get_clock_ms():
        return _refuse(runner, "late")
    runner.extend_lease(body["deadline_ms"])
    if (task, number) in runner.runs:
        return _accept(runner)
    if number <= runner.last_run.get(task, 0):
        return _refuse(runner, "old")
    work_ms = json.loads(body["specification"]).get("work_ms")
    run = Run(task, number, runner.get_clock_ms(), work_ms)
    runner.runs[task, number] = run
    runner.write(
        "start", task=task, run=number, fencing_token=body["fencing_token"]
    )
    runner.changed.notify_all()
    return _accept(runner)


def _stop(runner: Runner, body: dict[str, Any]) -> jsonserver.Response:
    task, number = body["task"], body["run"]
    run = runner.runs.get((task, number))
    if run is None:
        runner.last_run[task] = max(number, runner.last_run.get(task, 0))
        return _accept(runner)

    def end_run() -> None:
        with runner.changed:
            if runner.runs.get((task, number)) is run:
                runner.end(run, "stopped")

    timer = threading.Timer(_STOP_S, end_run)
    timer.daemon = True
    timer.start()
    return _accept(runner)


def _hold(runner: Runner, body: dict[str, Any]) -> jsonserver.Response:
    runner.extend_lease(body.get("deadline_ms"))
    last_seen = body["last_seen"]
    runner.finished = [end for end in runner.finished if end[0] > last_seen]
    until_s = time.monotonic() + body.get("wait_ms", 0) / 1000
    while not runner.finished and (left_s := until_s - time.monotonic()) > 0:
        runner.changed.wait(left_s)
    clock_ms = runner.get_clock_ms()
    return jsonserver.Response(
        200,
        {
            "clock_ms": clock_ms,
            "born": runner.born_ms,
            "running": [
                [run.task, run.number, "", _get_percent(run, clock_ms), 0]
                for run in runner.runs.values()
            ],
            "finished": runner.finished[:_MAX_LISTED_ENDS],
        },
    )


def _get_percent(run: Run, clock_ms: int) -> int:
    if run.work_ms is None:
        return 100
    return min(99, 100 * (clock_ms - run.started_ms) // max(1, run.work_ms))


_CALLS = {
    "/api/run-start": _start,
    "/api/run-stop": _stop,
    "/api/hold": _hold,
}


def _handle(runner: Runner, request: jsonserver.Request) -> jsonserver.Response:
    if request.path not in _CALLS:
        return jsonserver.Response(200, {})
    expected = request.headers.get("Cyclamenshelf-Expected-Instance")
    if expected and expected != runner.id:
        return jsonserver.Response(421, {"clock_ms": runner.get_clock_ms()})
    with runner.changed:
        token = request.body.get("fencing_token", 0)
        if token < runner.fence:
            return _refuse(runner, "fence")
        runner.fence = token
        return _CALLS[request.path](runner, request.body)


def _end_runs(runner: Runner) -> None:
    """End the runs that are done, and all when the lease has expired."""
    while True:
        time.sleep(0.02)
        with runner.changed:
            clock_ms = runner.get_clock_ms()
            for run in list(runner.runs.values()):
                if clock_ms >= runner.deadline_ms:
                    runner.end(run, "lapsed")
                elif run.work_ms is not None and (
                    clock_ms - run.started_ms >= run.work_ms
                ):
                    runner.end(run, "done")


def _register(store_port: int, runner_id: str, entry: dict[str, Any]) -> None:
    body = {"table": "servers", "key": runner_id, "content": entry}
    request = urllib.request.Request(
        f"http://127.0.0.1:{store_port}/standin/put",
        json.dumps(body).encode(),
        {"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=2) as response:
        response.read()


def main() -> None:
    """Run until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--rack", required=True)
    parser.add_argument("--store-port", type=int, required=True)
    parser.add_argument("--max-hold-ms", type=int, required=True)
    parser.add_argument("--record", required=True)
    arguments = parser.parse_args()
    runner = Runner(arguments.id, arguments.max_hold_ms, arguments.record)
    port = jsonserver.start_server(
        ("127.0.0.1", 0), lambda request: _handle(runner, request)
    )
    threading.Thread(target=_end_runs, args=(runner,), daemon=True).start()
    entry = {
        "service": "svc",
        "address": f"127.0.0.1:{port}",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 32000, "memory_request_mb": 64000, "gpu": 8},
        "labels": ["a", arguments.rack],
        "born": runner.born_ms,
    }
    sequence = 0
    while True:
        sequence += 1
        entry |= {"sequence": sequence, "clock_ms": runner.get_clock_ms()}
        try:
            _register(arguments.store_port, arguments.id, entry)
        except OSError as error:
            print(f"not registered: {error}", file=sys.stderr)
        time.sleep(_HEARTBEAT_S)


if __name__ == "__main__":
    main()
