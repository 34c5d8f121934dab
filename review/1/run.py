"""Restart two runners under their ids, then lose them with their tasks.

With RESTART=0 the runners are only lost.
"""

import os
import pathlib
import subprocess
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import case as cases  # noqa: E402 - needs the path above

_RUNNERS = 16
# One of eight crashes, starts again, and is later lost for good.
_CRASHED = ("i-1", "i-2")
_WORK_MS = 8_000
_UPTIME_S = 40.0
_DOWN_S = 2.0
_FINISH_S = 14.0
_IDLE_S = 3.0


def _play(case: cases.Case) -> bool:
    cases.start_store(case)
    ports = {
        f"i-{n}": cases.find_free_ports(1)[0] for n in range(1, _RUNNERS + 1)
    }
    lives = {
        worker_id: cases.start_worker(case, worker_id, port)
        for worker_id, port in ports.items()
    }
    host = cases.start_host(case, "frontend-1")
    time.sleep(_UPTIME_S)
    if case.trouble and os.environ.get("RESTART") != "0":
        for worker_id in _CRASHED:
            cases.kill(case, lives[worker_id], f"{worker_id}, which restarts")
        time.sleep(_DOWN_S)
        for worker_id in _CRASHED:
            lives[worker_id] = cases.start_worker(
                case, worker_id, ports[worker_id]
            )
        time.sleep(_DOWN_S)
    jobs = [f"5c0e7a21d94b36{n:02x}" for n in range(len(ports))]
    body = {
        "specification": f'{{"work_ms":{_WORK_MS}}}',
        "steps": [
            {
                "count": 1,
                "cpu": 26_000,
                "memory_request_mb": 110_000,
                "gpu": 8,
                "estimated_duration_ms": _WORK_MS,
            }
        ],
    }
    for job_id in jobs:
        if cases.call(case, host, "POST", job_id, body).status != 200:
            raise RuntimeError("a job was not accepted")
    traffic_ended_at = cases.get_seconds(case)
    cases.wait_until(
        lambda: len(cases.find_events(case, "start")) == len(jobs),
        10,
        "all starts",
    )
    time.sleep(1)
    if case.trouble:
        for worker_id in _CRASHED:
            cases.kill(case, lives[worker_id], f"{worker_id}, lost for good")
    time.sleep(_FINISH_S - (cases.get_seconds(case) - traffic_ended_at))
    idle: dict[str, float] = {}
    held = True
    while cases.get_seconds(case) < traffic_ended_at + _FINISH_S + 10:
        time.sleep(0.5)
        now = cases.get_seconds(case)
        for job_id in jobs:
            state = cases.call(case, host, "GET", job_id).body or {}
            if state.get("state") not in ("queued", "running") or _is_running(
                case, job_id, lives
            ):
                idle.pop(job_id, None)
                continue
            idle.setdefault(job_id, now)
            if now - idle[job_id] > _IDLE_S:
                held = False
    cases.note(case, "nothing running since", jobs=idle)
    return held


def _is_running(
    case: cases.Case, job_id: str, lives: dict[str, subprocess.Popen]
) -> bool:
    """Return whether a task of a job runs on a runner that is up."""
    ended = {
        (end["task"], end["run"])
        for end in cases.find_events(case, "end", job_id)
    }
    return any(
        (start["task"], start["run"]) not in ended
        and lives[start["runner"]].poll() is None
        for start in cases.find_events(case, "start", job_id)
    )


if __name__ == "__main__":
    sys.exit(cases.run(_play, pathlib.Path(sys.argv[1])))
