"""Commands to workers; each contains the cell and the epoch of its sender."""

import json
from typing import Any
from typing import NamedTuple

import urllib3

from cyclamenshelf_core import errors
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core import model
from cyclamenshelf_daemon import httpclient

COMMAND_TIMEOUT_MS = 1_200
_ANSWER_TIMEOUT_MS = 10_000
MAX_ANSWER_BYTES = 1024 * 1024


class WorkerClient(NamedTuple):
    """Sends commands to workers as the owner of a cell at an epoch."""

    pool: urllib3.PoolManager
    cell: str
    epoch: int


class TaskReport(NamedTuple):
    """State of a task as reported by its worker.

    Attributes:
        state: reserved, running, finished, failed, stopped, lapsed or absent.
        ran: Whether the task was ever started.
    """

    id: str
    state: str
    ran: bool


def reserve_task(
    client: WorkerClient,
    worker: model.Worker,
    task_id: str,
    accelerators: int,
    lease_ms: int,
) -> TaskReport:
    """Reserve accelerators for a task; the command is idempotent."""
    return _send_task(
        client,
        worker,
        "PUT",
        task_id,
        {"accelerators": accelerators, "lease_ms": lease_ms},
    )


def start_task(
    client: WorkerClient,
    worker: model.Worker,
    task_id: str,
    payload: Any,
    lease_ms: int,
    timeout_ms: int = COMMAND_TIMEOUT_MS,
) -> TaskReport:
    """Start a reserved task; the command is idempotent."""
    return _send_task(
        client,
        worker,
        "POST",
        task_id + "/start",
        {"payload": payload, "lease_ms": lease_ms},
        timeout_ms,
    )


def stop_task(
    client: WorkerClient, worker: model.Worker, task_id: str, mode: str
) -> TaskReport:
    """Stop a task; `mode` is stop or checkpoint."""
    return _send_task(client, worker, "POST", task_id + "/stop", {"mode": mode})


def delete_task(
    client: WorkerClient, worker: model.Worker, task_id: str
) -> None:
    """Delete an ended task and its answer on the worker."""
    _send(client, worker, "DELETE", f"/v1/tasks/{task_id}", {})


def renew_leases(
    client: WorkerClient,
    worker: model.Worker,
    task_ids: tuple[str, ...],
    lease_ms: int,
) -> dict[str, TaskReport]:
    """Renew task leases and return all tasks of the cell on the worker."""
    response = _send(
        client,
        worker,
        "POST",
        "/v1/renewals",
        {"tasks": task_ids, "lease_ms": lease_ms},
    )
    try:
        reports = map(_decode_report, response["tasks"])
        return {report.id: report for report in reports}
    except (KeyError, TypeError) as error:
        raise errors.WorkerError(
            worker.id, f"malformed response: {error}", True
        ) from error


def fetch_answer(
    client: WorkerClient, worker: model.Worker, task_id: str
) -> bytes:
    """Return the answer of a finished task, at most `MAX_ANSWER_BYTES`.

    Raises:
        errors.WorkerError: No complete response was received.
        errors.WorkerRefusedError: `reason` is `no_answer` if the worker does
            not have the answer (any more), or `answer_too_large`.
    """
    try:
        response = client.pool.request(
            "GET",
            f"{worker.address}/v1/tasks/{task_id}/answer",
            timeout=_ANSWER_TIMEOUT_MS / 1000,
            preload_content=False,
        )
        content = response.read(MAX_ANSWER_BYTES + 1)
    except urllib3.exceptions.HTTPError as error:
        raise errors.WorkerError(
            worker.id, type(error).__name__, True
        ) from error
    if len(content) > MAX_ANSWER_BYTES:
        response.close()
        raise errors.WorkerRefusedError(worker.id, "answer_too_large")
    response.release_conn()
    if response.status == 404:
        raise errors.WorkerRefusedError(worker.id, "no_answer")
    if response.status != 200:
        raise errors.WorkerError(worker.id, f"status {response.status}", True)
    return content


def _send_task(
    client: WorkerClient,
    worker: model.Worker,
    method: str,
    task_path: str,
    body: dict[str, Any],
    timeout_ms: int = COMMAND_TIMEOUT_MS,
) -> TaskReport:
    response = _send(
        client, worker, method, f"/v1/tasks/{task_path}", body, timeout_ms
    )
    try:
        return _decode_report(response)
    except (KeyError, TypeError) as error:
        raise errors.WorkerError(
            worker.id, f"malformed response: {error}", True
        ) from error


def _decode_report(response: dict[str, Any]) -> TaskReport:
    return TaskReport(response["id"], response["state"], bool(response["ran"]))


def _send(
    client: WorkerClient,
    worker: model.Worker,
    method: str,
    path: str,
    body: dict[str, Any],
    timeout_ms: int = COMMAND_TIMEOUT_MS,
) -> dict[str, Any]:
    """Send a command.

    Raises:
        errors.WorkerError: No valid response was received.
        errors.WorkerRefusedError: The worker refused the command.
        errors.FencedError: The worker has received a newer epoch.
    """
    envelope = body | {"cell": client.cell, "epoch": client.epoch}
    try:
        result = httpclient.call(
            client.pool,
            method,
            worker.address + path,
            body=json.dumps(envelope, separators=(",", ":")).encode(),
            headers={"Content-Type": "application/json"},
            timeout_ms=timeout_ms,
        )
        response = jsontexts.decode(result.body)
    except httpclient.HttpFailureError as failure:
        raise errors.WorkerError(
            worker.id, str(failure), failure.sent
        ) from failure
    except ValueError as error:
        raise errors.WorkerError(
            worker.id, "response is not JSON", True
        ) from error
    if not isinstance(response, dict):
        raise errors.WorkerError(
            worker.id, "response is not a JSON object", True
        )
    if result.status == 409 and response.get("code") == "fenced":
        raise errors.FencedError(worker.id, "fenced")
    if result.status != 200:
        raise errors.WorkerRefusedError(worker.id, str(response.get("code")))
    return response
