"""Stand-in for the platform's workers, served by one HTTP server.

The address of a worker is `http://<server>/<worker id>`. The payload of a
task sets its run time, answer and outcome: `{"run_ms": 50, "answer": "text",
"fail": false, "kill": false}`. `{part}` in the answer is replaced by the
number of the part. A task with `"kill": true` makes its worker unreachable
when it starts.
"""

import json
import threading
import time
from typing import Any

from cyclamenshelf_daemon import webserver

_ENDED_STATES = ("finished", "failed", "stopped", "lapsed")


class Task:
    """State of one part of an attempt that was reserved on a worker.

    Attributes:
        lease_until_ms: Expiry of the lease, at which the task ends as lapsed.
        run_until_ms: End of the run time; None before the start.
        record: Entry of this task in the worker's records; None before the
            start.
    """

    def __init__(self, task_id: str, body: dict[str, Any]) -> None:
        self.id = task_id
        self.cell: str = body["cell"]
        self.accelerators: int = body["accelerators"]
        self.state = "reserved"
        self.lease_until_ms = _now_ms() + body["lease_ms"]
        self.run_until_ms: int | None = None
        self.payload: Any = None
        self.record: dict[str, Any] | None = None


class Worker:
    """State of one worker.

    Attributes:
        epochs: Highest epoch received from each cell.
        records: One entry for each task that was started.
        unreachable: Requests get no response, but running tasks continue.
        failing: Every task fails as soon as it starts.
        lose_starts: Number of next start commands whose connection is closed
            before they take effect.
        lose_start_answers: Number of next start commands that take effect
            and whose connection is then closed without a response.
        delay_starts_ms: Delay before each start command takes effect. Other
            commands are processed in the meantime.
    """

    def __init__(self, worker_id: str, accelerators: int) -> None:
        self.id = worker_id
        self.accelerators = accelerators
        self.lock = threading.Lock()
        self.epochs: dict[str, int] = {}
        self.tasks: dict[str, Task] = {}
        self.records: list[dict[str, Any]] = []
        self.unreachable = False
        self.failing = False
        self.lose_starts = 0
        self.lose_start_answers = 0
        self.delay_starts_ms = 0


def make_handler(workers: dict[str, Worker]) -> webserver.Handler:
    """Return an HTTP handler that serves the given workers by id."""

    def make_command_handler(command: Any) -> webserver.Handler:
        def handle_request(request: webserver.Request) -> webserver.Response:
            worker = workers.get(request.args[0])
            if worker is None:
                return webserver.make_json(404, {"code": "no_such_worker"})
            if worker.unreachable:
                raise webserver.ConnectionDroppedError
            body = json.loads(request.body or b"{}")
            if command is _start_task and worker.delay_starts_ms:
                time.sleep(worker.delay_starts_ms / 1000)
            with worker.lock:
                _end_due_tasks(worker)
                return command(worker, body, *request.args[1:])

        return handle_request

    def set_faults(request: webserver.Request) -> webserver.Response:
        worker = workers[request.args[0]]
        for name, value in json.loads(request.body).items():
            setattr(worker, name, value)
        return webserver.make_json(200, {})

    def get_records(request: webserver.Request) -> webserver.Response:
        records = []
        for worker in workers.values():
            with worker.lock:
                _end_due_tasks(worker)
                records += worker.records
        return webserver.make_json(200, {"records": records})

    task_path = "/([^/]+)/v1/tasks/([^/]+)"
    return webserver.make_router(
        [
            ("PUT", task_path, make_command_handler(_reserve_task)),
            ("POST", task_path + "/start", make_command_handler(_start_task)),
            ("POST", task_path + "/stop", make_command_handler(_stop_task)),
            ("GET", task_path + "/answer", make_command_handler(_get_answer)),
            ("DELETE", task_path, make_command_handler(_delete_task)),
            (
                "POST",
                "/([^/]+)/v1/renewals",
                make_command_handler(_renew_leases),
            ),
            ("PUT", "/([^/]+)/faults", set_faults),
            ("GET", "/records", get_records),
        ]
    )


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _end_due_tasks(worker: Worker) -> None:
    """End the tasks whose run time is over or whose lease has expired."""
    now = _now_ms()
    for task in worker.tasks.values():
        if task.state == "reserved" and now >= task.lease_until_ms:
            _end_task(task, "lapsed", task.lease_until_ms)
        elif task.state == "running":
            assert task.run_until_ms is not None
            if (
                now >= task.run_until_ms
                and task.run_until_ms <= task.lease_until_ms
            ):
                failed = worker.failing or task.payload.get("fail")
                _end_task(
                    task, "failed" if failed else "finished", task.run_until_ms
                )
            elif now >= task.lease_until_ms:
                _end_task(task, "lapsed", task.lease_until_ms)


def _end_task(task: Task, state: str, end_ms: int) -> None:
    task.state = state
    if task.record is not None:
        task.record |= {"ended_ms": end_ms, "outcome": state}


def _reject_command(code: str) -> webserver.Response:
    return webserver.make_json(409, {"code": code})


def _is_fenced(worker: Worker, body: dict[str, Any]) -> bool:
    """Return whether the epoch of a command is stale; else record it."""
    cell, epoch = body["cell"], body["epoch"]
    if epoch < worker.epochs.get(cell, 0):
        return True
    worker.epochs[cell] = epoch
    return False


def _describe_task(task: Task) -> dict[str, Any]:
    return {
        "id": task.id,
        "state": task.state,
        "ran": task.record is not None,
    }


def _reserve_task(
    worker: Worker, body: dict, task_id: str
) -> webserver.Response:
    if _is_fenced(worker, body):
        return _reject_command("fenced")
    if task_id in worker.tasks:
        return webserver.make_json(200, _describe_task(worker.tasks[task_id]))
    allocated = sum(
        task.accelerators
        for task in worker.tasks.values()
        if task.state not in _ENDED_STATES
    )
    if allocated + body["accelerators"] > worker.accelerators:
        return _reject_command("no_capacity")
    worker.tasks[task_id] = Task(task_id, body)
    return webserver.make_json(200, _describe_task(worker.tasks[task_id]))


def _start_task(worker: Worker, body: dict, task_id: str) -> webserver.Response:
    if worker.lose_starts > 0:
        worker.lose_starts -= 1
        raise webserver.ConnectionDroppedError
    if _is_fenced(worker, body):
        return _reject_command("fenced")
    task = worker.tasks.get(task_id)
    if task is None:
        return _reject_command("not_reserved")
    if task.state != "reserved":
        return webserver.make_json(200, _describe_task(task))
    now = _now_ms()
    task.payload = body["payload"] or {}
    task.state = "running"
    task.lease_until_ms = now + body["lease_ms"]
    run_ms = 0 if worker.failing else task.payload.get("run_ms", 10)
    task.run_until_ms = now + run_ms
    task.record = {
        "task": task_id,
        "worker": worker.id,
        "epoch": body["epoch"],
        "started_ms": now,
        "ended_ms": None,
        "outcome": "running",
    }
    worker.records.append(task.record)
    worker.unreachable |= bool(task.payload.get("kill"))
    if worker.unreachable or worker.lose_start_answers > 0:
        worker.lose_start_answers -= worker.lose_start_answers > 0
        raise webserver.ConnectionDroppedError
    return webserver.make_json(200, _describe_task(task))


def _stop_task(worker: Worker, body: dict, task_id: str) -> webserver.Response:
    if _is_fenced(worker, body):
        return _reject_command("fenced")
    task = worker.tasks.get(task_id)
    if task is None:
        return webserver.make_json(
            200, {"id": task_id, "state": "absent", "ran": True}
        )
    if task.state not in _ENDED_STATES:
        _end_task(task, "stopped", _now_ms())
    return webserver.make_json(200, _describe_task(task))


def _renew_leases(worker: Worker, body: dict) -> webserver.Response:
    if _is_fenced(worker, body):
        return _reject_command("fenced")
    for task_id in body["tasks"]:
        task = worker.tasks.get(task_id)
        if task is not None and task.state == "running":
            task.lease_until_ms = _now_ms() + body["lease_ms"]
    tasks = [
        _describe_task(task)
        for task in worker.tasks.values()
        if task.cell == body["cell"]
    ]
    return webserver.make_json(200, {"tasks": tasks})


def _get_answer(worker: Worker, body: dict, task_id: str) -> webserver.Response:
    task = worker.tasks.get(task_id)
    if task is None or task.state != "finished":
        return webserver.make_json(404, {"code": "no_answer"})
    part = task_id.rsplit(".", 1)[1]
    answer = str(task.payload.get("answer", "")).replace("{part}", part)
    return webserver.Response(200, answer.encode())


def _delete_task(
    worker: Worker, body: dict, task_id: str
) -> webserver.Response:
    if _is_fenced(worker, body):
        return _reject_command("fenced")
    task = worker.tasks.get(task_id)
    if task is not None and task.state in _ENDED_STATES:
        del worker.tasks[task_id]
    return webserver.make_json(200, {})
