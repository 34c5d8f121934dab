"""A burst of small jobs: writes to the table and time to finish.

Usage:
  burst [options]

Options:
  --jobs=N       Jobs in the burst [default: 10000].
  --daemons=N    Entry hosts [default: 9].
  --callers=N    Callers that submit at the same time [default: 36].
  --workers=N    Workers of 8 accelerators [default: 24].
  --run-ms=N     Run time of a job [default: 20].
"""

import collections
import concurrent.futures
import json
import pathlib
import tempfile
import threading
import time

import docopt

from cyclamenshelf_daemon import httpclient
from cyclamenshelf_standin import platform as platforms
from cyclamenshelf_standin import processes

_ALLOWANCES = """\
plans:
  standard:
    weight: 1
    max_queued_jobs: 100000
    max_accelerators: 1000
    request_rate_per_s: 100000
    guarantees: []
"""


def main() -> None:
    arguments = docopt.docopt(__doc__)
    jobs = int(arguments["--jobs"])
    platform = platforms.start_platform(
        workers=int(arguments["--workers"]),
        racks=3,
        backends=0,
        allowances=_ALLOWANCES,
    )
    with tempfile.TemporaryDirectory() as folder:
        daemons = [
            processes.start_daemon(platform, pathlib.Path(folder), f"h{index}")
            for index in range(int(arguments["--daemons"]))
        ]
        try:
            run_burst(platform, daemons, jobs, arguments)
        finally:
            for daemon in daemons:
                daemon.process.kill()
                daemon.process.wait()
            platforms.stop_platform(platform)


def run_burst(platform, daemons, jobs: int, arguments: dict) -> None:
    """Submit the jobs, wait until all have ended and print the figures."""
    body = json.dumps(
        {
            "shape": {"parts": 1, "accelerators": 1},
            "repeatable": True,
            "payload": {"run_ms": int(arguments["--run-ms"]), "answer": "x"},
        }
    ).encode()
    stopped = threading.Event()
    rates: list[tuple[int, int, int]] = []
    sampler = threading.Thread(
        target=sample_rates, args=(platform.table, stopped, rates)
    )
    sampler.start()
    started = time.monotonic()
    callers = int(arguments["--callers"])
    pool = httpclient.make_pool(callers)
    with concurrent.futures.ThreadPoolExecutor(callers) as executor:
        statuses = collections.Counter(
            executor.map(
                lambda index: submit_job(
                    pool, daemons[index % len(daemons)], index, body
                ),
                range(jobs),
            )
        )
    accepted_s = time.monotonic() - started
    while count_active_jobs(platform.table):
        time.sleep(0.2)
    ended_s = time.monotonic() - started
    stopped.set()
    sampler.join()
    run_counts = collections.Counter(
        record["task"].split(".")[0]
        for worker in platform.workers.values()
        for record in worker.records
        if record["outcome"] == "finished"
    )
    print(f"jobs={jobs} daemons={len(daemons)} statuses={dict(statuses)}")
    print(f"accepted_s={accepted_s:.1f} ended_s={ended_s:.1f}")
    print(
        f"run_once={sum(count == 1 for count in run_counts.values())} "
        f"run_more={sum(count > 1 for count in run_counts.values())}"
    )
    for index, name in enumerate(("writes", "rows_written", "reads")):
        values = [rate[index] for rate in rates]
        print(
            f"{name}_per_s: highest={max(values)} "
            f"mean={sum(values) / len(values):.0f}"
        )


def submit_job(pool, daemon, index: int, body: bytes) -> int:
    """Submit a job, retrying until a response arrives; return its status."""
    while True:
        try:
            return httpclient.call(
                pool,
                "POST",
                daemon.caller_url + "/v1/jobs",
                body=body,
                headers={
                    "Authorization": f"Bearer {platforms.DEMO_TOKEN}",
                    "Idempotency-Key": f"burst-{index}",
                },
                timeout_ms=30_000,
            ).status
        except httpclient.HttpFailureError:
            time.sleep(0.1)


def sample_rates(table, stopped: threading.Event, rates: list) -> None:
    """Append the table's writes, rows written and reads of each second.

    The last sample may cover less than a second.
    """
    previous = (table.transactions, table.rows_written, table.reads)
    running = True
    while running:
        running = not stopped.wait(1.0)
        current = (table.transactions, table.rows_written, table.reads)
        rates.append(
            tuple(b - a for a, b in zip(previous, current, strict=True))
        )
        previous = current


def count_active_jobs(table) -> int:
    with table.lock:
        return sum(key.startswith("active/") for key in table.keys)


if __name__ == "__main__":
    main()
