"""Submission of jobs while answers of the store are lost and lists change."""

import json

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest
from testing.daemon.tasks import fakestore

from cyclamenshelf_core import errors
from cyclamenshelf_daemon.tasks import adaptivetimeout
from cyclamenshelf_daemon.tasks import cachedlists
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import submission

JOB_ID = "0000000000000001"
COMMIT_MS = 10
LISTS_KEY = ports.RowKey("op", "config")
CALLER = submission.Caller("h", "/q/", "key")
Outcome = submission.SubmissionOutcome


def decode_lists(row):
    """Return the lists of a row that names what they lack."""
    lists = conftest.LISTS._replace(row_version=row.version)
    missing = json.loads(row.value)
    if missing == "key":
        return lists._replace(accounts=())
    return lists._replace(queues=()) if missing == "queue" else lists


@pytest.fixture
def fake_store():
    store = fakestore.FakeStore()
    store.put(*LISTS_KEY[:2], b"null")
    return store


@pytest.fixture
def context(fake_store, manual_clock):
    """A host that follows the lists; its clock advances with each pause."""
    cached_lists = cachedlists.CachedLists(
        LISTS_KEY, decode_lists, fake_store.store, manual_clock.clock
    )
    cachedlists.confirm(cached_lists, 0)
    return submission.SubmissionContext(
        fake_store.store,
        cached_lists,
        manual_clock.clock,
        adaptivetimeout.AdaptiveTimeout(),
    )


def submit(context, timeout_ms=2_000):
    return submission.submit_job(
        context,
        CALLER,
        JOB_ID,
        "payload",
        (builders.make_step(),),
        (0, 0, 0),
        context.clock.now_ms() + timeout_ms,
    )


def change_lists_after_first_insert(context, fake_store, clock, missing):
    """Change the lists, and let the host know, before the second insert."""
    sent = []

    def commit(transaction, timeout_ms):
        sent.append(transaction)
        clock.advance(COMMIT_MS)
        try:
            return fake_store.commit(transaction, timeout_ms)
        finally:
            if len(sent) == 1:
                fake_store.put(*LISTS_KEY[:2], json.dumps(missing).encode())
                cachedlists.confirm(context.cached_lists, 0)

    store = fake_store.store._replace(commit=commit)
    return context._replace(store=store), sent


def is_stored(fake_store):
    return submission.make_work_key(JOB_ID) in fake_store.rows


@pytest.mark.parametrize("missing", ["key", "queue"])
def test_job_that_may_be_stored_is_not_rejected_by_newer_lists(
    context, fake_store, manual_clock, missing
):
    # The caller got 401 or 404 as its only answer, and the job ran.
    fake_store.commit_faults = ["lost"]
    context, _ = change_lists_after_first_insert(
        context, fake_store, manual_clock, missing
    )
    assert submit(context) is Outcome.ALREADY_STORED
    assert is_stored(fake_store)


@pytest.mark.parametrize(
    ("missing", "outcome"),
    [("key", Outcome.UNKNOWN_KEY), ("queue", Outcome.NO_QUEUE)],
)
def test_job_rejected_by_newer_lists_is_not_stored_by_a_late_write(
    context, fake_store, manual_clock, missing, outcome
):
    fake_store.commit_faults = ["dropped"]
    context, sent = change_lists_after_first_insert(
        context, fake_store, manual_clock, missing
    )
    assert submit(context) is outcome
    with pytest.raises(errors.WriteConflictError):
        fake_store.commit(sent[0], 1_000)
    assert not is_stored(fake_store)


@pytest.mark.parametrize("later_faults", [["down"] * 9, ["dropped"] * 9])
def test_unanswered_insert_is_reported_as_unknown(
    context, fake_store, manual_clock, later_faults
):
    # A refusal would say that the job is not stored.
    fake_store.commit_faults = ["lost", *later_faults]
    context, _ = change_lists_after_first_insert(
        context, fake_store, manual_clock, "key"
    )
    with pytest.raises(errors.OutcomeUnknownError):
        submit(context)
    assert is_stored(fake_store)


def test_unanswered_insert_is_reported_as_unknown_when_time_runs_out(
    context, fake_store, manual_clock
):
    fake_store.commit_faults = ["lost"]
    context, _ = change_lists_after_first_insert(
        context, fake_store, manual_clock, "key"
    )
    refreshing = context.store.commit

    def commit_slowly(transaction, timeout_ms):
        manual_clock.advance(3_000)
        return refreshing(transaction, timeout_ms)

    context = context._replace(
        store=context.store._replace(commit=commit_slowly)
    )
    with pytest.raises(errors.OutcomeUnknownError):
        submit(context)


def test_job_is_refused_if_the_store_rejects_every_insert(context, fake_store):
    fake_store.commit_faults = ["down"] * 9
    with pytest.raises(errors.StoreUnavailableError):
        submit(context)
    assert not is_stored(fake_store)


def test_job_is_stored_under_newer_lists_that_still_allow_it(
    context, fake_store, manual_clock
):
    fake_store.commit_faults = ["dropped"]
    context, _ = change_lists_after_first_insert(
        context, fake_store, manual_clock, None
    )
    assert submit(context) is Outcome.STORED
    assert is_stored(fake_store)
