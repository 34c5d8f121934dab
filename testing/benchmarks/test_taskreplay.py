"""What callers get when a load of jobs of steps is played.

Clock, workers and draws are simulated, so each run gives the same outcome.
"""

from benchmarks import taskloads
from benchmarks import taskreplay
import loguru
import pytest

# Share of the urgent jobs that may be late on a fleet with enough room.
_MAX_LATE_SHARE = 0.02


@pytest.fixture
def quiet_logs():
    """Disable the log of the owner's events, which slows the replay down."""
    loguru.logger.disable("cyclamenshelf_daemon")
    yield
    loguru.logger.enable("cyclamenshelf_daemon")


def test_urgent_jobs_of_a_calm_fleet_are_in_time(quiet_logs):
    # Without headroom for them, one in fifteen was late, because tasks had to
    # be stopped for it first.
    load = taskloads.LOADS["calm"]
    results = [taskreplay.replay(load, seed).kinds["urgent"] for seed in (1, 2)]
    jobs = sum(result.jobs for result in results)
    in_time = sum(result.in_time for result in results)
    assert jobs - in_time <= _MAX_LATE_SHARE * jobs
