"""Tests of the lines that say why accepted jobs have not started."""

from testing.core import taskbuilders as builders
from testing.daemon.tasks import fakefleet

from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import waitreports

TIMES = planning.Times(100_000, 50_000)


def make_worker(worker_id, last_response_ms):
    worker = fleet.Worker(fakefleet.FakeWorker(worker_id).info, 6_000)
    worker.last_response_ms = last_response_ms
    return worker


def make_waiting_group(job_id, age_ms, priority=0):
    job = builders.make_job(
        job_id, accepted_ms=TIMES.wall_ms - age_ms, priority=priority
    )
    return builders.make_waiting_group(job)


def test_line_tells_workers_that_do_not_respond_from_full_ones():
    # Guards against an owner that starts nothing and gives no reason.
    draining = make_worker("w2", TIMES.now_ms)
    draining.info = draining.info._replace(draining_ms=1_000)
    fields = waitreports.describe_waiting_groups(
        [
            make_waiting_group("new", 100),
            make_waiting_group("old", 9_000),
            make_waiting_group("other", 3_000, priority=2),
        ],
        {taskjobs.Group("other", 0, 0)},
        [
            make_worker("w0", TIMES.now_ms),
            make_worker("w1", TIMES.now_ms - 60_000),
            draining,
            make_worker("w3", None),
        ],
        TIMES,
    )
    assert fields == {
        "groups": 2,
        "urgent": 1,
        "impossible": 1,
        "oldest_job": "old",
        "oldest_ms": 9_000,
        "workers": 4,
        "usable": 1,
        "draining": 1,
        "unresponsive": 2,
    }


def test_no_line_for_groups_that_have_just_arrived():
    waiting = [make_waiting_group("new", 100)]
    assert not waitreports.describe_waiting_groups(waiting, set(), [], TIMES)


def test_lines_are_limited():
    # An owner without usable workers decides several times a second.
    limiter = logs.EventLimiter()
    waiting = [make_waiting_group("old", 9_000)]
    for now_ms in (100_000, 100_200, 104_900):
        times = TIMES._replace(now_ms=now_ms)
        waitreports.report_waiting_groups(limiter, waiting, set(), [], times)
    assert limiter.logged_ms == {"groups_waiting": 100_000}
    times = TIMES._replace(now_ms=105_000)
    waitreports.report_waiting_groups(limiter, waiting, set(), [], times)
    assert limiter.logged_ms == {"groups_waiting": 105_000}
