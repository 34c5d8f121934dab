"""Cost of a cell owner by the number of its workers and running tasks.

The stand-ins run in this process and one daemon in another. Gangs that run
for hours are submitted; after a settling time the daemon's processor time,
resident memory, messages to workers and bytes are measured for a while.

Usage:
  owner_cost [options]

Options:
  --workers=LIST   Numbers of workers, with commas [default: 24,92,184,367].
  --tasks=N        Tasks on each worker [default: 22].
  --settle-s=N     Seconds before measuring [default: 20].
  --measure-s=N    Seconds of measuring [default: 20].
"""

import json
import os
import pathlib
import statistics
import sys
import tempfile
import time
from typing import NamedTuple

import docopt

from cyclamenshelf_daemon import httpclient
from cyclamenshelf_standin import platform as platforms
from cyclamenshelf_standin import processes

_ACCELERATORS = 32
_COLUMNS = (
    "workers",
    "tasks",
    "cpu_percent",
    "resident_mb",
    "threads",
    "loopback_B/s",
    "table_writes/s",
    "table_reads/s",
)
_ALLOWANCES = """\
plans:
  standard:
    weight: 1
    max_queued_jobs: 10000
    max_accelerators: 1000000
    request_rate_per_s: 1000
    guarantees: []
"""


class Sample(NamedTuple):
    """Counters of the daemon, of the loopback device and of the table.

    The loopback device counts the packets of all processes, headers included,
    so no other process may use it during a measurement.
    """

    cpu_s: float
    resident_mb: float
    threads: int
    wall_s: float
    loopback_bytes: int
    transactions: int
    reads: int


def main() -> None:
    arguments = docopt.docopt(__doc__)
    tasks = int(arguments["--tasks"])
    print(*_COLUMNS)
    rows = []
    for worker_count in map(int, arguments["--workers"].split(",")):
        row = measure(
            worker_count,
            tasks,
            float(arguments["--settle-s"]),
            float(arguments["--measure-s"]),
        )
        rows.append(row)
        print(" ".join(f"{value:.2f}" for value in row), flush=True)
    if len(rows) > 1:
        print_slopes(rows)


def print_slopes(rows: list[tuple[float, ...]]) -> None:
    """Print linear fits of CPU, memory and traffic over the worker count."""
    workers = [row[0] for row in rows]
    for index in (2, 3, 5):
        fit = statistics.linear_regression(
            workers, [row[index] for row in rows]
        )
        print(
            f"{_COLUMNS[index]} = {fit.intercept:.3f} + "
            f"{fit.slope:.5f} x workers"
        )


def measure(
    workers: int, tasks: int, settle_s: float, measure_s: float
) -> tuple[float, ...]:
    """Measure one cell owner; return a row of the table that `main` prints."""
    platform = platforms.start_platform(
        workers=workers,
        racks=max(1, workers // 8),
        accelerators=_ACCELERATORS,
        allowances=_ALLOWANCES,
    )
    with tempfile.TemporaryDirectory() as folder:
        daemon = processes.start_daemon(platform, pathlib.Path(folder), "h0")
        process = daemon.process
        try:
            if tasks:
                submit_jobs(daemon.caller_url, workers, tasks)
                wait_for_tasks(platform, workers * tasks)
            time.sleep(settle_s)
            before = take_sample(platform, process.pid)
            time.sleep(measure_s)
            after = take_sample(platform, process.pid)
        finally:
            process.kill()
            process.wait()
            platforms.stop_platform(platform)
    wall_s = after.wall_s - before.wall_s
    return (
        workers,
        workers * tasks,
        100 * (after.cpu_s - before.cpu_s) / wall_s,
        after.resident_mb,
        after.threads,
        (after.loopback_bytes - before.loopback_bytes) / wall_s,
        (after.transactions - before.transactions) / wall_s,
        (after.reads - before.reads) / wall_s,
    )


def submit_jobs(url: str, workers: int, tasks: int) -> None:
    """Submit one gang per worker, with as many parts as a worker has tasks."""
    pool = httpclient.make_pool()
    body = {
        "shape": {"parts": tasks, "accelerators": 1, "within": "rack"},
        "repeatable": True,
        "payload": {"run_ms": 10 * 3600 * 1000},
    }
    for index in range(workers):
        submit_job(pool, url, f"job-{index}", body)


def submit_job(pool, url: str, key: str, body: dict) -> None:
    while True:
        try:
            result = httpclient.call(
                pool,
                "POST",
                url + "/v1/jobs",
                body=json.dumps(body).encode(),
                headers={
                    "Authorization": f"Bearer {platforms.DEMO_TOKEN}",
                    "Idempotency-Key": key,
                },
                timeout_ms=10_000,
            )
        except httpclient.HttpFailureError:
            time.sleep(0.2)
            continue
        if result.status == 202:
            return
        print(result, file=sys.stderr)
        time.sleep(0.2)


def wait_for_tasks(platform: platforms.Platform, task_count: int) -> None:
    while True:
        running = sum(
            task.state == "running"
            for worker in platform.workers.values()
            for task in list(worker.tasks.values())
        )
        if running >= task_count:
            return
        time.sleep(0.5)


def take_sample(platform: platforms.Platform, pid: int) -> Sample:
    with open(f"/proc/{pid}/stat") as file:
        stat_fields = file.read().rsplit(")", 1)[1].split()
    ticks = int(stat_fields[11]) + int(stat_fields[12])
    with open(f"/proc/{pid}/status") as file:
        status_fields = dict(line.split(":", 1) for line in file)
    return Sample(
        cpu_s=ticks / os.sysconf("SC_CLK_TCK"),
        resident_mb=int(status_fields["VmRSS"].split()[0]) / 1024,
        threads=int(status_fields["Threads"]),
        wall_s=time.monotonic(),
        loopback_bytes=count_loopback_bytes(),
        transactions=platform.table.transactions,
        reads=platform.table.reads,
    )


def count_loopback_bytes() -> int:
    """Return the bytes received by the loopback device, headers included."""
    with open("/proc/net/dev") as file:
        line = next(line for line in file if line.strip().startswith("lo:"))
    return int(line.split(":", 1)[1].split()[0])


if __name__ == "__main__":
    main()
