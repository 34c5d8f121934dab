"""Each benchmark runs once, at a small size.

They are used seldom; without this, a change of an interface breaks them
unnoticed.
"""

import subprocess
import sys

import pytest
from testing import cells

_TIMEOUT_S = 120


@pytest.mark.parametrize(
    "command",
    [
        "burst --jobs=20 --daemons=1 --callers=2 --workers=4",
        "control_cost --hosts=1 --seconds=1 --settle=0",
        "owner_cost --workers=2 --tasks=1 --settle-s=1 --measure-s=1",
        "placement --sizes=70",
        "replay benchmarks/traces/shelfline.jsonl --policy=firstfit",
        "short_requests --seconds=1 --run-ms=20 --factor=2 --backends=1",
        "large_jobs --tasks=200 --repeats=1",
        "task_decisions --repeats=1 --sizes=24",
        "taskreplay --seeds=1 --load=small-overload",
    ],
)
def test_benchmark_runs(command):
    run_benchmark(command)


def test_two_runs_of_control_cost_at_once():
    # Guards against fixed ports: the daemon of one of two runs ended.
    command = "control_cost --hosts=2 --seconds=1 --settle=0"
    with cells.concurrent_calls(2) as calls:
        list(calls.map(run_benchmark, [command] * 2))


def run_benchmark(command):
    name, *arguments = command.split()
    result = subprocess.run(
        [sys.executable, "-m", f"benchmarks.{name}", *arguments],
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    assert result.stdout
