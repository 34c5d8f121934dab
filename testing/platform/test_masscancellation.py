"""Cancellations of thousands of running tasks, with real processes."""

import json
import signal
import subprocess
import sys
import time

import pytest
from testing.platform import clusters
from testing.platform import standin

from cyclamenshelf_daemon.tasks import ports

WORKERS = 8
# The platform's bounds `cancel_ms` and `stop_timeout_ms`, from the answer on.
ALLOWED_S = 3.0 + 0.9
# 10,000 of these leave none of the workers idle.
SMALL_TASK = {"cpu": 25, "memory_request_mb": 1}


class WorkerProcess:
    """A worker in a process of its own."""

    def __init__(self, worker_id):
        self.id = worker_id
        self.process = subprocess.Popen(
            [sys.executable, "-m", "testing.platform.workerprogram", worker_id],
            cwd=clusters.ROOT,
            stdout=subprocess.PIPE,
        )
        port, born_ms = self.process.stdout.readline().split()
        self.address = f"127.0.0.1:{int(port)}"
        self.entry = standin.make_worker_entry(self.address, born=int(born_ms))

    def read_ends(self, pool):
        """Return the number of running tasks, and the times of all ends."""
        response = pool.request(
            "POST", f"http://{self.address}/ends", body=b"{}"
        )
        value = json.loads(response.data)
        return value["running"], value["ended_s"]


@pytest.fixture
def workers(cluster):
    """Worker processes in place of the worker of the cluster."""
    store = cluster.store_server.fake_store
    store.commit(
        ports.Transaction({}, {}, (ports.RowKey("servers", "i-1"),)), 0
    )
    created = [WorkerProcess(f"i-{number + 10}") for number in range(WORKERS)]
    for worker in created:
        store.put("servers", worker.id, worker.entry)
    yield created
    for worker in created:
        worker.process.kill()
        worker.process.wait()


def count_running(cluster, workers):
    return sum(worker.read_ends(cluster.pool)[0] for worker in workers)


def submit(cluster, job_count, steps, tasks):
    """Submit jobs; return their paths."""
    paths = [f"/q/{0xB000 + number:016x}" for number in range(job_count)]
    body = {"steps": [SMALL_TASK | {"count": tasks}] * steps}
    for path in paths:
        assert cluster.call("a", "POST", path, body)[0] == 200
    return paths


@pytest.mark.parametrize(
    ("job_count", "steps", "tasks", "silent"),
    [
        pytest.param(1, 1, 10_000, 0, id="one_job"),
        pytest.param(20, 2, 250, 1, id="many_jobs_and_a_silent_worker"),
    ],
)
def test_all_tasks_of_cancelled_jobs_are_stopped_in_time(
    cluster, workers, job_count, steps, tasks, silent
):
    # The owner sent 200 to 2,000 stops a second: tasks of a cancelled job of
    # 10,000 ran on for up to 20 s.
    cluster.start_host("a")
    paths = submit(cluster, job_count, steps, tasks)
    clusters.wait_until(
        lambda: count_running(cluster, workers) == job_count * steps * tasks,
        "all tasks run",
        clusters.LONG_TIMEOUT_S,
    )
    responsive = workers[silent:]
    for worker in workers[:silent]:
        worker.process.send_signal(signal.SIGSTOP)
    for path in paths:
        assert cluster.call("a", "DELETE", path)[0] == 200
    answered_s = time.time()
    clusters.wait_until(
        lambda: count_running(cluster, responsive) == 0, "all are stopped"
    )
    for worker in responsive:
        _, ended_s = worker.read_ends(cluster.pool)
        assert max(ended_s) - answered_s <= ALLOWED_S
