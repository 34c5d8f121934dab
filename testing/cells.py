"""Entry hosts in the process of the test, without their web servers.

The calls of a host go through a pool that can simulate a network partition.
"""

from collections.abc import Callable
import concurrent.futures
import threading
import time
from typing import Any
from typing import NamedTuple

import urllib3

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import jobrows
from cyclamenshelf_core import lists as list_files
from cyclamenshelf_core import model
from cyclamenshelf_daemon import acceptance
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import cellowner
from cyclamenshelf_daemon import groupcommit
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import tableclient
from cyclamenshelf_standin import platform as platforms

CELL = "demo"
ACCOUNT = "demo"
LIMIT_S = 30


class PartitionablePool:
    """A connection pool; calls to the URLs in `cut` fail."""

    def __init__(self) -> None:
        self.pool = httpclient.make_pool()
        self.cut: tuple[str, ...] = ()

    def request(self, method: str, url: str, **options: Any) -> Any:
        if url.startswith(self.cut or ("-",)):
            time.sleep(0.05)
            raise urllib3.exceptions.ProtocolError("blocked by the test")
        return self.pool.request(method, url, **options)


class Host(NamedTuple):
    pool: PartitionablePool
    acceptance: acceptance.AcceptanceContext
    owners: list[cellowner.CellOwner]
    lease_thread: threading.Thread
    stopping: threading.Event

    @property
    def owner(self) -> cellowner.CellOwner:
        return self.owners[-1]


def start_host(
    platform: platforms.Platform,
    name: str,
    has_left: Callable[[str, int], bool] = lambda holder, epoch: True,
) -> Host:
    """Start a host that accepts jobs and competes for the cell."""
    pool, clock = PartitionablePool(), clocks.make_system_clock()
    table = tableclient.TableClient(pool, platform.table_url, clock)
    objects = objectclient.ObjectClient(pool, platform.objects_url)
    committer = groupcommit.GroupCommitter(table)
    groupcommit.start_committing(committer)
    host_list = hostlist.HostList(pool, platform.hosts_url, clock)
    hostlist.refresh_hosts(host_list)
    lists = list_files.parse_lists(
        platforms.DEFAULT_PLANS, platforms.DEFAULT_ALLOWANCES, 1
    )
    context = cellowner.OwnerContext(
        table,
        committer,
        objects,
        pool,
        host_list,
        clock,
        get_lists=lambda: lists,
        has_left=has_left,
        on_ended=lambda job_id: None,
    )
    owners: list[cellowner.CellOwner] = []
    stopping = threading.Event()

    def stop_owners() -> None:
        for owner in owners:
            cellowner.stop_owner(owner)

    def acquire(tenure: celllease.Tenure) -> None:
        stop_owners()
        owners.append(cellowner.start_owner(context, tenure))

    lease = celllease.CellLease(
        table, CELL, f"{name}/1", acquire, stop_owners, stopping
    )
    return Host(
        pool,
        acceptance.AcceptanceContext(
            CELL,
            table,
            committer,
            objects,
            host_list,
            clock,
            get_lists=lambda: lists,
            get_queue_depth=lambda account: 0,
            on_job_changed=lambda kind, job_id: (
                cellowner.wake_poller(owners[-1]) if owners else None
            ),
        ),
        owners,
        celllease.start_lease_thread(lease),
        stopping,
    )


def disconnect_host(host: Host) -> None:
    """Block all calls of a host, as if it had crashed."""
    host.pool.cut = ("http://",)


def stop_host(host: Host) -> None:
    host.stopping.set()
    host.lease_thread.join(LIMIT_S)
    for owner in host.owners:
        cellowner.stop_owner(owner)


def wait_until(
    condition: Callable[[], Any], description: str, limit_s: float = LIMIT_S
) -> Any:
    """Poll until a condition holds; return its value."""
    deadline = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < deadline, (
            f"not within {limit_s} s: {description}"
        )
        time.sleep(0.02)


def make_body(parts: int = 1, repeatable: bool = True, **payload: Any) -> dict:
    return {
        "shape": {"parts": parts, "accelerators": 8, "within": "cell"},
        "repeatable": repeatable,
        "payload": {"run_ms": 50, "answer": "part {part};"} | payload,
    }


def submit(host: Host, key: str, body: dict | None = None) -> str:
    return acceptance.accept_job(
        host.acceptance, ACCOUNT, key, body or make_body()
    ).job.id


def read_job(platform: platforms.Platform, job_id: str) -> model.Job | None:
    """Read a job from the memory of the stand-in, regardless of its faults."""
    row = platform.table.rows.get(f"job/{job_id}")
    return row and jobrows.decode_job(row["value"])


def wait_for_state(
    platform: platforms.Platform,
    job_id: str,
    *states: str,
    limit_s: float = LIMIT_S,
) -> model.Job:
    def find() -> model.Job | None:
        job = read_job(platform, job_id)
        return job if job is not None and job.state in states else None

    return wait_until(find, f"{job_id} in {states}", limit_s)


def list_runs(
    platform: platforms.Platform, job_id: str
) -> dict[int, list[dict[str, Any]]]:
    """Return the run records of the workers for a job, by attempt."""
    records = httpclient.call_json(
        httpclient.make_pool(),
        "GET",
        platform.workers_url + "/records",
        timeout_ms=5_000,
    )[1]["records"]
    return group_runs(records).get(job_id, {})


def group_runs(
    records: list[dict[str, Any]],
) -> dict[str, dict[int, list[dict[str, Any]]]]:
    runs: dict[str, dict[int, list[dict[str, Any]]]] = {}
    for record in records:
        job_id, attempt, _ = record["task"].rsplit(".", 2)
        runs.setdefault(job_id, {}).setdefault(int(attempt), []).append(record)
    return runs


def count_complete_attempts(
    runs: dict[int, list[dict[str, Any]]], parts: int
) -> int:
    """Count the attempts of which every part finished exactly once."""
    for records in runs.values():
        assert len({record["task"] for record in records}) == len(records)
    return sum(
        sum(record["outcome"] == "finished" for record in records) == parts
        for records in runs.values()
    )


def check_no_overlap(runs: dict[int, list[dict[str, Any]]]) -> None:
    """Check that each attempt starts only after the earlier ones have ended."""
    ended_ms = 0
    for _, records in sorted(runs.items()):
        assert min(record["started_ms"] for record in records) >= ended_ms
        ends = [record["ended_ms"] for record in records]
        ended_ms = max(
            ended_ms, *(float("inf") if end is None else end for end in ends)
        )


def concurrent_calls(threads: int) -> concurrent.futures.ThreadPoolExecutor:
    return concurrent.futures.ThreadPoolExecutor(threads)


def set_faults(target: Any, **values: Any) -> None:
    for name, value in values.items():
        assert hasattr(target, name)
        setattr(target, name, value)
