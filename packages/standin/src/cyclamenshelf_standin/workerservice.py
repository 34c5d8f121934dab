"""Stand-in for the platform's workers, all behind one HTTP server.

A worker's address is `http://<server>/<worker id>`. The payload of a task
tells the stand-in what to do: `{"run_ms": 50, "answer": "text",
"fail": false, "kill": false}`; the answer may contain `{part}`, and a task
that kills makes its worker unreachable as it starts.
"""

import json
import threading
import time
from typing import Any

from cyclamenshelf_daemon import webserver

_ENDED = ("finished", "failed", "stopped", "lapsed")


class Task:
    """One reserved or started part of an attempt."""

    def __init__(self, task_id: str, body: dict[str, Any]) -> None:
        self.id = task_id
        self.cell: str = body["cell"]
        self.accelerators: int = body["accelerators"]
        self.state = "reserved"
        self.lease_until = _now_ms() + body["lease_ms"]
        self.run_until: int | None = None
        self.payload: Any = None
        self.record: dict[str, Any] | None = None


class Worker:
    """State of one worker.

    Attributes:
        unreachable: Does not answer, but its tasks go on.
        failing: Every task fails as soon as it starts.
        lose_starts: This many next starts are closed without effect.
        lose_start_answers: This many next starts take effect unanswered.
        delay_starts_ms: Each start takes effect this much later, whatever
            other commands arrive meanwhile.
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
    """Return the HTTP handler of a set of workers."""

    def with_worker(handle: Any) -> webserver.Handler:
        def handle_request(request: webserver.Request) -> webserver.Response:
            worker = workers.get(request.args[0])
            if worker is None:
                return webserver.make_json(404, {"code": "no_such_worker"})
            if worker.unreachable:
                raise webserver.ConnectionDroppedError
            body = json.loads(request.body or b"{}")
            if handle is _start and worker.delay_starts_ms:
                time.sleep(worker.delay_starts_ms / 1000)
            with worker.lock:
                _advance(worker)
                return handle(worker, body, *request.args[1:])

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
                _advance(worker)
                records += worker.records
        return webserver.make_json(200, {"records": records})

    task = "/([^/]+)/v1/tasks/([^/]+)"
    return webserver.make_router(
        [
            ("PUT", task, with_worker(_reserve)),
            ("POST", task + "/start", with_worker(_start)),
            ("POST", task + "/stop", with_worker(_stop)),
            ("GET", task + "/answer", with_worker(_get_answer)),
            ("DELETE", task, with_worker(_forget)),
            ("POST", "/([^/]+)/v1/renewals", with_worker(_renew)),
            ("PUT", "/([^/]+)/faults", set_faults),
            ("GET", "/records", get_records),
        ]
    )


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _advance(worker: Worker) -> None:
    now = _now_ms()
    for task in worker.tasks.values():
        if task.state == "reserved" and now >= task.lease_until:
            _end(task, "lapsed", task.lease_until)
        elif task.state == "running":
            assert task.run_until is not None
            if now >= task.run_until and task.run_until <= task.lease_until:
                failed = worker.failing or task.payload.get("fail")
                _end(task, "failed" if failed else "finished", task.run_until)
            elif now >= task.lease_until:
                _end(task, "lapsed", task.lease_until)


def _end(task: Task, state: str, at_ms: int) -> None:
    task.state = state
    if task.record is not None:
        task.record |= {"ended_ms": at_ms, "outcome": state}


def _refuse(code: str) -> webserver.Response:
    return webserver.make_json(409, {"code": code})


def _is_fenced(worker: Worker, body: dict[str, Any]) -> bool:
    cell, epoch = body["cell"], body["epoch"]
    if epoch < worker.epochs.get(cell, 0):
        return True
    worker.epochs[cell] = epoch
    return False


def _describe(task: Task) -> dict[str, Any]:
    return {
        "id": task.id,
        "state": task.state,
        "ran": task.record is not None,
    }


def _reserve(worker: Worker, body: dict, task_id: str) -> webserver.Response:
    if _is_fenced(worker, body):
        return _refuse("fenced")
    if task_id in worker.tasks:
        return webserver.make_json(200, _describe(worker.tasks[task_id]))
    used = sum(
        task.accelerators
        for task in worker.tasks.values()
        if task.state not in _ENDED
    )
    if used + body["accelerators"] > worker.accelerators:
        return _refuse("no_capacity")
    worker.tasks[task_id] = Task(task_id, body)
    return webserver.make_json(200, _describe(worker.tasks[task_id]))


def _start(worker: Worker, body: dict, task_id: str) -> webserver.Response:
    if worker.lose_starts > 0:
        worker.lose_starts -= 1
        raise webserver.ConnectionDroppedError
    if _is_fenced(worker, body):
        return _refuse("fenced")
    task = worker.tasks.get(task_id)
    if task is None:
        return _refuse("not_reserved")
    if task.state != "reserved":
        return webserver.make_json(200, _describe(task))
    now = _now_ms()
    task.payload = body["payload"] or {}
    task.state = "running"
    task.lease_until = now + body["lease_ms"]
    run_ms = 0 if worker.failing else task.payload.get("run_ms", 10)
    task.run_until = now + run_ms
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
    return webserver.make_json(200, _describe(task))


def _stop(worker: Worker, body: dict, task_id: str) -> webserver.Response:
    if _is_fenced(worker, body):
        return _refuse("fenced")
    task = worker.tasks.get(task_id)
    if task is None:
        return webserver.make_json(
            200, {"id": task_id, "state": "absent", "ran": True}
        )
    if task.state not in _ENDED:
        _end(task, "stopped", _now_ms())
    return webserver.make_json(200, _describe(task))


def _renew(worker: Worker, body: dict) -> webserver.Response:
    if _is_fenced(worker, body):
        return _refuse("fenced")
    for task_id in body["tasks"]:
        task = worker.tasks.get(task_id)
        if task is not None and task.state == "running":
            task.lease_until = _now_ms() + body["lease_ms"]
    tasks = [
        _describe(task)
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


def _forget(worker: Worker, body: dict, task_id: str) -> webserver.Response:
    if _is_fenced(worker, body):
        return _refuse("fenced")
    task = worker.tasks.get(task_id)
    if task is not None and task.state in _ENDED:
        del worker.tasks[task_id]
    return webserver.make_json(200, {})
