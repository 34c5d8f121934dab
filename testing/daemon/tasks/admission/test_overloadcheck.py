"""Submission of jobs while the owner publishes more work than fits."""

import random

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import test_submission as submissions

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.overload import backlog as backlogs
from cyclamenshelf_core.overload import callercost
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import submission
from cyclamenshelf_daemon.tasks.admission import knownbacklog
from cyclamenshelf_daemon.tasks.admission import overloadcheck

CAPACITY = taskjobs.Resources(64_000, 64_000, 8)
LONG_S = 1_000

fake_store = submissions.fake_store


@pytest.fixture
def context(fake_store, manual_clock):
    """A host that refuses jobs, and knows of no backlog yet."""
    overload = overloadcheck.OverloadContext(
        knownbacklog.KnownBacklog(),
        manual_clock.clock,
        lambda: 3,
        metrics.Metrics(),
        random.Random(1),
    )
    make_context = submissions.context.__wrapped__
    return make_context(fake_store, manual_clock)._replace(overload=overload)


@pytest.fixture
def publish(fake_store, manual_clock):
    """Store a backlog that keeps the service busy for some seconds."""

    def publish(seconds=LONG_S):
        work = backlogs.multiply(CAPACITY, seconds * 1_000)
        service = backlogs.ServiceBacklog(
            CAPACITY,
            taskjobs.NO_RESOURCES,
            taskjobs.NO_RESOURCES,
            {},
            {},
            (backlogs.QueuedWork(1, callercost.Urgency.IN_TIME, 0.0, work),),
            (backlogs.AccountWork(1, "account", 1.0),),
            {},
        )
        backlog = backlogs.Backlog(
            manual_clock.clock.wall_ms(), {"service": service}
        )
        key = knownbacklog.BACKLOG_KEY
        fake_store.put(key.table, key.key, backlogs.encode(backlog))

    return publish


@pytest.fixture
def calls(context, fake_store):
    """The kinds of calls that are sent to the store, in order."""
    sent = []

    def record(kind, call):
        def recorded(*arguments):
            sent.append(kind)
            return call(*arguments)

        return recorded

    context.cached_lists.store = ports.Store(
        *(record(k, c) for k, c in fake_store.store._asdict().items())
    )
    return sent


def submit(context, job_id=submissions.JOB_ID, may_be_refused=True):
    return submission.submit_job(
        context._replace(store=context.cached_lists.store),
        submissions.CALLER,
        job_id,
        "payload",
        (builders.make_step(),),
        (0, 0, 0),
        context.clock.now_ms() + 2_000,
        may_be_refused,
    )


def is_stored(fake_store, job_id=submissions.JOB_ID):
    return submission.make_work_key(job_id) in fake_store.rows


def test_job_that_would_wait_beyond_its_use_is_refused_and_not_stored(
    context, fake_store, publish
):
    publish()
    with pytest.raises(errors.OverloadedError) as caught:
        submit(context)
    assert caught.value.retry_after_ms >= LONG_S * 1_000
    assert not is_stored(fake_store)
    counters = context.overload.registry.counters
    assert counters["refused_jobs", (("priority", "1"),)] == 1


def test_backlog_is_read_once_a_second_at_most(context, calls, manual_clock):
    for number in range(3):
        submit(context, f"{number:016x}")
    assert calls == ["read_row"] + ["commit"] * 3
    manual_clock.advance(1_000)
    submit(context, f"{3:016x}")
    assert calls[4:] == ["read_row", "commit"]


def test_flood_costs_one_read_a_second_and_one_a_refusal(
    context, calls, publish
):
    publish()
    for number in range(3):
        with pytest.raises(errors.OverloadedError):
            submit(context, f"{number:016x}")
    assert calls == ["read_row"] * 4


def test_conflict_returns_no_row_but_those_of_the_lists_and_the_job(
    context, fake_store, publish
):
    # A conflict returns every row that the insert checks. With one of the
    # backlog it returned the lists to each caller, 0.8 s on a slow link.
    publish()
    submit(context, may_be_refused=False)
    checks = [set(transaction.checks) for transaction in fake_store.commits]
    assert not any(knownbacklog.BACKLOG_KEY in keys for keys in checks)


def test_backlog_that_cannot_be_read_refuses_no_job(
    context, fake_store, publish
):
    publish()
    fake_store.unreadable_tables = {knownbacklog.BACKLOG_KEY.table}
    submit(context)
    assert is_stored(fake_store)


def test_job_that_is_stored_is_not_refused_when_it_is_sent_again(
    context, manual_clock, publish
):
    submit(context)
    publish()
    assert submit(context) is submission.SubmissionOutcome.ALREADY_STORED
    manual_clock.advance(100)
    assert submit(context) is submission.SubmissionOutcome.ALREADY_STORED


def test_job_whose_insert_is_unresolved_is_not_refused(
    context, fake_store, publish
):
    publish()
    with pytest.raises(errors.OverloadedError):
        submit(context)
    submit(context, may_be_refused=False)
    assert is_stored(fake_store)


def test_backlog_of_an_owner_that_is_gone_refuses_no_job(
    context, fake_store, manual_clock, publish
):
    publish()
    manual_clock.advance(3_000)
    submit(context)
    assert is_stored(fake_store)


def test_backlog_received_long_ago_refuses_no_job_if_the_clock_is_set_back(
    context, fake_store, manual_clock, publish
):
    publish()
    with pytest.raises(errors.OverloadedError):
        submit(context)
    wall_ms = manual_clock.clock.wall_ms()
    manual_clock.advance(3_000)
    clock = manual_clock.clock._replace(wall_ms=lambda: wall_ms)
    context = context._replace(overload=context.overload._replace(clock=clock))
    submit(context)
    assert is_stored(fake_store)


def test_backlog_that_changes_before_each_insert_does_not_keep_a_job_out(
    context, fake_store, publish
):
    fake_store.before_commit = lambda transaction: publish(1)
    submit(context)
    assert is_stored(fake_store)


def test_job_is_accepted_if_the_store_cannot_tell_whether_it_is_stored(
    context, fake_store, publish
):
    publish()
    with pytest.raises(errors.OverloadedError):
        submit(context)
    fake_store.unreadable_tables = {submission.WORK_TABLE}
    submit(context)
    assert is_stored(fake_store)


def test_unreadable_backlog_refuses_no_job(context, fake_store):
    key = knownbacklog.BACKLOG_KEY
    fake_store.put(key.table, key.key, b"[]")
    submit(context)
    assert is_stored(fake_store)


def test_callers_refused_one_after_another_are_sent_back_one_after_another(
    context, publish
):
    publish()
    waits = []
    for number in range(20):
        with pytest.raises(errors.OverloadedError) as caught:
            submit(context, f"{number:016x}")
        waits.append(caught.value.retry_after_ms)
    # Each of the three hosts is taken to refuse as much as this one.
    work_ms = 5_000 // 8
    assert waits[-1] - waits[0] >= 18 * 3 * work_ms
