"""Cancellations of jobs whose insert is not done yet, or never was."""

import time

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest
from testing.daemon.tasks import test_submission as submissions

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import ownerrows
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import submission
from cyclamenshelf_daemon.tasks import unresolvedjobs

JOB_ID = submissions.JOB_ID
CANCEL_KEY = submission.make_cancel_key(JOB_ID)
WORK_KEY = submission.make_work_key(JOB_ID)
CANCELLED = taskprogress.State.CANCELLED

fake_store = submissions.fake_store
context = submissions.context


def cancel(context, timeout_ms=2_000):
    return submission.cancel_job(
        context, JOB_ID, context.clock.now_ms() + timeout_ms
    )


def drop_inserts(context, fake_store):
    """Submit a job whose inserts have no answer; return the first insert."""
    sent = []

    def commit(transaction, timeout_ms):
        sent.append(transaction)
        raise errors.OutcomeUnknownError("table", "no answer")

    dropping = context._replace(store=context.store._replace(commit=commit))
    with pytest.raises(errors.OutcomeUnknownError):
        submissions.submit(dropping)
    return sent[0]


def test_late_insert_of_a_cancelled_job_is_not_accepted(context, fake_store):
    # The cancellation was answered with "no such job", and the job ran.
    insert = drop_inserts(context, fake_store)
    assert not cancel(context)
    with pytest.raises(errors.WriteConflictError):
        fake_store.commit(insert, 1_000)
    assert WORK_KEY not in fake_store.rows


def test_job_that_is_stored_while_it_is_cancelled_is_cancelled(
    context, fake_store
):
    insert = drop_inserts(context, fake_store)
    late = [insert]

    def carry_out_late(transaction):
        if late and CANCEL_KEY in transaction.puts:
            fake_store.commit(late.pop(), 1_000)

    fake_store.before_commit = carry_out_late
    assert cancel(context)
    assert CANCEL_KEY in fake_store.rows


@pytest.mark.parametrize("fault", ["ok", "lost", "dropped", "down"])
def test_job_is_not_stored_after_its_cancellation(context, fake_store, fault):
    # A repeated submission may arrive after the cancellation.
    fake_store.commit_faults = [fault]
    assert not cancel(context)
    assert submissions.submit(context) is submissions.Outcome.CANCELLED
    assert WORK_KEY not in fake_store.rows
    assert not cancel(context)


@pytest.mark.parametrize("fault", ["ok", "lost", "dropped", "down"])
def test_stored_job_is_cancelled_once(context, fake_store, fault):
    assert submissions.submit(context) is submissions.Outcome.STORED
    fake_store.commit_faults = [fault]
    assert cancel(context)
    version = fake_store.rows[CANCEL_KEY].version
    assert cancel(context)
    assert fake_store.rows[CANCEL_KEY].version == version
    again = submissions.submit(context)
    assert again is submissions.Outcome.ALREADY_STORED


def test_late_cancellation_does_not_take_the_place_of_a_stored_job(
    context, fake_store, manual_clock
):
    # The outcome is reported as unknown, and a submission may come first.
    sent = []

    def commit(transaction, timeout_ms):
        sent.append(transaction)
        manual_clock.advance(1_000)
        raise errors.OutcomeUnknownError("table", "no answer")

    silent = context._replace(store=context.store._replace(commit=commit))
    with pytest.raises(errors.OutcomeUnknownError):
        cancel(silent)
    assert submissions.submit(context) is submissions.Outcome.STORED
    with pytest.raises(errors.WriteConflictError):
        fake_store.commit(sent[0], 1_000)
    assert CANCEL_KEY not in fake_store.rows


def put_cancellation(cell, job_id):
    cell.fake_store.put(
        submission.WORK_TABLE,
        f"cancel.{job_id}",
        submission._encode_cancellation(cell.clock.wall_ms()),
    )


def submit_as_earlier_version(cell, job_id):
    """Store a job without a look at its cancellation."""
    job = builders.make_job(job_id)
    insert = submission._make_insert(
        job, submissions.LISTS_KEY, conftest.LISTS._replace(row_version=0)
    )
    cell.fake_store.commit(insert._replace(checks={}), 1_000)


@pytest.mark.parametrize("takeover", [False, True])
def test_job_that_comes_after_its_cancellation_never_runs(cell, takeover):
    # A host of the version before does not look for the cancellation.
    cell.start_owner()
    job_id = f"{1:016x}"
    put_cancellation(cell, job_id)
    conftest.wait_until(
        lambda: job_id in cell.owners[0].lone_cancellations, "it is read"
    )
    if takeover:
        cell.tenures[0].ended.set()
    submit_as_earlier_version(cell, job_id)
    if takeover:
        cell.start_owner()
    cell.wait_for_state(job_id, CANCELLED)
    assert not cell.list_runs(job_id)


def test_cancelled_job_starts_no_later_occurrence(cell):
    cell.start_owner()
    job_id = cell.submit(
        builders.make_step(1),
        repetitions=3,
        start_at_ms=cell.clock.wall_ms(),
        interval_ms=700,
    )
    cell.wait_for_runs(job_id, 1)
    cell.cancel(job_id)
    cell.wait_for_state(job_id, CANCELLED)
    time.sleep(1.5)
    assert len(cell.list_runs(job_id)) == 1


@pytest.mark.parametrize("takeover", [False, True])
def test_cancellation_of_a_job_that_never_comes_is_removed(
    cell, monkeypatch, takeover
):
    # Calls with made-up ids would fill the table and the owner's memory.
    monkeypatch.setattr(ownerrows, "_KEEP_LONE_CANCELLATION_MS", 1_000)
    cell.start_owner()
    job_id = cell.submit(builders.make_step(1))
    put_cancellation(cell, job_id)
    cell.wait_for_state(job_id, CANCELLED)
    strangers = [f"{0xFF00 + number:016x}" for number in range(100)]
    for stranger in strangers:
        put_cancellation(cell, stranger)
    written_s = time.monotonic()
    if takeover:
        cell.tenures[0].ended.set()
        cell.start_owner()

    def count_cancellations():
        work = cell.fake_store.read(submission.WORK_TABLE, 1_000).rows
        return sum(row.key.key.startswith("cancel.") for row in work)

    conftest.wait_until(lambda: count_cancellations() == 1, "they are removed")
    assert time.monotonic() - written_s > 0.9
    assert submission.make_cancel_key(job_id) in cell.fake_store.rows
    conftest.wait_until(
        lambda: not cell.owners[-1].lone_cancellations, "they are forgotten"
    )


def test_cancellation_of_a_job_that_cannot_be_read_is_kept(cell):
    # A host that can read it would start it.
    job_id = f"{7:016x}"
    cell.fake_store.put(submission.WORK_TABLE, f"job.{job_id}", b"odd")
    cell.cancel(job_id)
    cell.start_owner()
    other = cell.submit(builders.make_step(1))
    cell.wait_for_runs(other, 1)
    time.sleep(0.3)
    assert submission.make_cancel_key(job_id) in cell.fake_store.rows


@pytest.mark.parametrize(
    ("value", "requested_ms"),
    [
        (b"{}", 0),
        (b"7", 0),
        (b"\xff", 0),
        (b'{"requested_ms":"x"}', 0),
        (b'{"requested_ms":5}', 5),
    ],
)
def test_request_time_of_a_cancellation_is_decoded(value, requested_ms):
    assert submission.decode_cancellation(value) == requested_ms


def test_insert_without_an_answer_is_unresolved_for_a_time():
    # A state request was answered with "no such job" while it was on its way.
    jobs = unresolvedjobs.UnresolvedJobs()
    unresolvedjobs.add_job(jobs, "a", 1_000)
    unresolvedjobs.add_job(jobs, "b", 2_000)
    assert unresolvedjobs.has_job(jobs, "a", 10_999)
    assert not unresolvedjobs.has_job(jobs, "a", 11_000)
    assert not unresolvedjobs.has_job(jobs, "c", 2_000)
    unresolvedjobs.add_job(jobs, "c", 11_500)
    assert list(jobs.until_ms) == ["b", "c"]
    unresolvedjobs.remove_job(jobs, "b")
    assert not unresolvedjobs.has_job(jobs, "b", 11_500)


def test_removal_of_a_cancellation_follows_its_version(cell, monkeypatch):
    monkeypatch.setattr(ownerrows, "_KEEP_LONE_CANCELLATION_MS", 0)
    key = ports.RowKey(submission.WORK_TABLE, f"cancel.{9:016x}")
    cell.fake_store.put(key.table, key.key, b"{}")
    cell.start_owner()
    conftest.wait_until(
        lambda: key not in cell.fake_store.rows, "it is removed"
    )
