"""Refusal of jobs that cannot end while they are of use."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.overload import admission
from cyclamenshelf_core.overload import backlog as backlogs
from cyclamenshelf_core.overload import callercost

Urgency = callercost.Urgency
NOW_MS = 1_000_000
# A job of 5 s with this capacity may wait 43 s and still be of use.
CAPACITY = taskjobs.Resources(1_000_000, 1_000_000, 100)


def make_work(seconds):
    """Return the work that keeps the whole service busy for a time."""
    return backlogs.multiply(CAPACITY, seconds * 1_000)


def make_backlog(*waiting, running=None, urgent=None, age_ms=0, **position):
    """Return a backlog; each entry of `waiting` is priority, account, s."""
    position = {"urgency": Urgency.IN_TIME, "last_key": 0.0} | position
    service = backlogs.ServiceBacklog(
        CAPACITY,
        taskjobs.NO_RESOURCES,
        taskjobs.NO_RESOURCES,
        {},
        {p: make_work(seconds) for p, seconds in (running or {}).items()},
        tuple(
            backlogs.QueuedWork(priority, work=make_work(seconds), **position)
            for priority, _, seconds in waiting
        ),
        tuple(
            backlogs.AccountWork(priority, account, seconds)
            for priority, account, seconds in waiting
        ),
        urgent or {},
    )
    return backlogs.Backlog(NOW_MS - age_ms, {"service": service})


def make_job(*steps, **values):
    return builders.make_job("j1", *steps, accepted_ms=NOW_MS, **values)


def make_large_step(**values):
    """Return a step that keeps the whole service busy for 250 s."""
    return builders.make_step(5_000, 1, **values)


def decide(backlog, job, guaranteed=0, returning=(), spread=0.0):
    return admission.decide(backlog, job, guaranteed, returning, spread, NOW_MS)


def test_job_behind_a_backlog_that_outlasts_its_use_is_refused():
    verdict = decide(
        make_backlog((1, "account", 100)), make_job(make_large_step())
    )
    assert verdict.refused
    assert verdict.retry_after_ms == 100_000


@pytest.mark.parametrize(
    ("seconds", "refused"), [(80, False), (90, True)], ids=["short", "long"]
)
def test_estimates_twice_too_long_refuse_no_job_that_would_end_in_use(
    seconds, refused
):
    backlog = make_backlog((1, "account", seconds))
    assert decide(backlog, make_job(make_large_step())).refused is refused


def test_account_within_its_share_is_refused_later_in_a_flood_by_another():
    backlog = make_backlog((1, "flooding", 100), (1, "account", 1))
    flooding = make_job(make_large_step(), account="flooding")
    assert decide(backlog, flooding).refused
    assert not decide(backlog, make_job(make_large_step())).refused
    longer = make_backlog((1, "flooding", 200), (1, "account", 1))
    assert decide(longer, make_job(make_large_step())).refused


def test_small_job_is_not_refused_for_larger_ones_that_are_late():
    backlog = make_backlog((1, "account", 40))
    service = backlog.services["service"]
    late = backlogs.QueuedWork(1, Urgency.LATE, 10.0**6, make_work(100))
    service = service._replace(queued=(*service.queued, late))
    backlog = backlog._replace(services={"service": service})
    large, small = make_large_step(), builders.make_step()
    assert decide(backlog, make_job(large)).refused
    assert not decide(backlog, make_job(small)).refused


def test_job_is_not_refused_for_those_in_time_that_may_start_later():
    later = make_backlog((1, "account", 100), last_key=NOW_MS + 600_000.0)
    assert not decide(later, make_job(make_large_step())).refused


@pytest.mark.parametrize(
    ("step", "values"),
    [
        (make_large_step(long_running=True), {}),
        (make_large_step(), {"repetitions": 3}),
        (builders.make_step(2, 4, run_ms=600_000), {"priority": 0}),
    ],
    ids=["long_running", "timed", "guaranteed"],
)
def test_flood_refuses_no_job_that_lasts_is_timed_or_guaranteed(step, values):
    backlog = make_backlog((0, "account", 10**6))
    job = make_job(step, **values)
    assert not decide(backlog, job, guaranteed=8).refused


def test_account_that_has_used_its_guarantee_up_is_refused():
    backlog = make_backlog((0, "account", 10**6), urgent={"account": 1})
    job = make_job(builders.make_step(2, 4), priority=0)
    assert decide(backlog, job, guaranteed=8).refused


def test_flood_of_low_priority_refuses_no_urgent_job():
    backlog = make_backlog((1, "account", 10**6), running={1: 10**6})
    assert not decide(backlog, make_job(priority=0)).refused


def test_job_that_needs_no_accelerator_is_not_refused_for_want_of_one():
    backlog = make_backlog((1, "account", 10**6))
    service = backlog.services["service"]
    (queued,) = service.queued
    queued = queued._replace(work=backlogs.Work(0, 0, 10**12))
    service = service._replace(queued=(queued,))
    backlog = backlog._replace(services={"service": service})
    assert decide(backlog, make_job()).refused
    assert not decide(backlog, make_job(builders.make_step(1, 0))).refused


def test_small_job_that_fits_beside_larger_ones_that_wait_is_not_refused():
    backlog = make_backlog((1, "account", 10**6))
    service = backlog.services["service"]._replace(
        free=taskjobs.Resources(30_000, 30_000, 6),
        largest_free=taskjobs.Resources(8_000, 8_000, 2),
    )
    backlog = backlog._replace(services={"service": service})
    assert not decide(backlog, make_job(builders.make_step(3, 2))).refused
    assert decide(backlog, make_job(builders.make_step(4, 2))).refused
    assert decide(backlog, make_job(builders.make_step(1, 3))).refused


def test_service_without_accelerators_refuses_jobs_that_need_none():
    backlog = make_backlog((1, "account", 10**6))
    service = backlog.services["service"]
    capacity = service.capacity._replace(accelerators=0)
    service = service._replace(capacity=capacity)
    backlog = backlog._replace(services={"service": service})
    assert decide(backlog, make_job(builders.make_step(1, 0))).refused


@pytest.mark.parametrize(
    "change",
    [{"capacity": taskjobs.NO_RESOURCES}, {"held": {1: CAPACITY}}],
    ids=["no_worker", "held"],
)
def test_service_without_any_room_has_no_known_wait_and_refuses_no_job(change):
    backlog = make_backlog((1, "account", 10**6))
    service = backlog.services["service"]._replace(**change)
    backlog = backlog._replace(services={"service": service})
    assert not decide(backlog, make_job()).refused


@pytest.mark.parametrize("age_ms", [3_000, -3_000])
def test_backlog_of_another_time_refuses_no_job(age_ms):
    backlog = make_backlog((1, "account", 10**6), age_ms=age_ms)
    assert not decide(backlog, make_job()).refused
    assert not decide(None, make_job()).refused


def test_callers_refused_together_return_one_after_another_by_priority():
    backlog = make_backlog((1, "account", 1_000))
    job = make_job(make_large_step())
    earlier = admission.Refusal(NOW_MS + 1_000_000, "service", 1, make_work(50))
    alone = decide(backlog, job).retry_after_ms
    behind = decide(backlog, job, returning=[earlier]).retry_after_ms
    assert behind == alone + 50_000
    lower = earlier._replace(priority=2)
    assert decide(backlog, job, returning=[lower]).retry_after_ms == alone
    assert decide(backlog, job, spread=0.5).retry_after_ms > alone


def test_row_of_a_backlog_of_many_jobs_and_accounts_stays_small():
    queued = [
        backlogs.QueuedWork(n % 3, Urgency(n % 2), float(n), make_work(1))
        for n in range(5_000)
    ]
    core_ms = {(n % 3, f"account-{n}"): 10.0**9 + n for n in range(5_000)}
    service = make_backlog(urgent={"account": 4}).services["service"]
    service = service._replace(
        queued=backlogs.merge_queued(queued),
        accounts=backlogs.list_largest(core_ms),
    )
    backlog = backlogs.Backlog(NOW_MS, {"service": service})
    value = backlogs.encode(backlog)
    assert len(value) < 20_000
    assert backlogs.decode(value) == backlog
    total = sum(entry.work.accelerators for entry in service.queued)
    assert total == 5_000 * make_work(1).accelerators


@pytest.mark.parametrize(
    "row",
    [
        b"{",
        b'{"services": 3}',
        b'{"wall_ms": 1, "services": {"s": {"capacity": [1, 1, 1], "free":'
        b' [0, 0, 0], "largest_free": [0, 0, 0], "held": {},'
        b' "running": {}, "queued": [[0, 9, 0, [1, 1, 1]]], "accounts": [],'
        b' "guarantee_use": {}}}}',
    ],
)
def test_odd_row_is_no_backlog(row):
    assert backlogs.decode(row) is None
