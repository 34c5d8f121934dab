"""Job states and queue lengths, read from the owner's rows."""

import pytest
from testing.core import taskbuilders
from testing.daemon.tasks import conftest

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import jobstates

State = taskprogress.State


@pytest.fixture
def cache():
    return jobstates.JobStateCache()


def count_queued(cell):
    return jobstates.count_queued(cell.fake_store.store, "queue")


def test_job_counts_as_queued_until_a_task_has_started(cell):
    job_id = cell.submit()
    cell.submit(taskbuilders.make_step(accelerators=9))
    assert count_queued(cell) == 2
    cell.start_owner()
    cell.wait_for_runs(job_id, 1)
    conftest.wait_until(lambda: count_queued(cell) == 1, "one job is queued")


def test_job_cancelled_before_its_start_does_not_count_as_queued(cell):
    job_id = cell.submit(taskbuilders.make_step(accelerators=9))
    cell.start_owner()
    cell.fake_store.put("work", f"cancel.{job_id}", b"{}")
    cell.wait_for_state(job_id, State.CANCELLED)
    assert count_queued(cell) == 0


def test_scheduled_jobs_and_jobs_of_other_queues_do_not_count_as_queued(cell):
    cell.submit(repetitions=2, start_at_ms=cell.clock.wall_ms() + 60_000)
    cell.submit(queue="queue2")
    cell.submit(queue="queue.2")
    assert count_queued(cell) == 0


def test_state_is_read_from_the_store(cell, cache):
    store = cell.fake_store.store
    assert jobstates.read_state(cache, store, "unknown") is None
    job_id = cell.submit()
    assert jobstates.read_state(cache, store, job_id) is State.QUEUED
    cell.start_owner()
    cell.wait_for_state(job_id, State.RUNNING)
    assert jobstates.read_state(cache, store, job_id) is State.RUNNING


def test_unavailable_store_leaves_the_cached_states(cell, cache):
    store = cell.fake_store.store
    job_id, other = cell.submit(), cell.submit()
    jobstates.read_state(cache, store, job_id)
    cell.fake_store.down = True
    assert jobstates.read_state(cache, store, job_id) is State.QUEUED
    with pytest.raises(errors.StoreUnavailableError):
        jobstates.read_state(cache, store, other)


def test_final_state_is_cached(cell, cache):
    cell.start_owner()
    job_id = cell.submit()
    cell.wait_for_runs(job_id, 1)
    cell.end_all(job_id)
    cell.wait_for_state(job_id, State.COMPLETED)
    store = cell.fake_store.store
    assert jobstates.read_state(cache, store, job_id) is State.COMPLETED
    cell.fake_store.rows.clear()
    assert jobstates.read_state(cache, store, job_id) is State.COMPLETED


def test_lost_response_to_the_first_start_does_not_leave_the_job_queued(cell):
    # Guards against a retry that fails because it expects the old version of
    # the queued row, which the first attempt has already deleted.
    lost = []

    def lose_once(transaction):
        if transaction.deletes and not lost:
            lost.append(transaction)
            cell.fake_store.commit_faults.append("lost")

    cell.fake_store.before_commit = lose_once
    cell.start_owner()
    job_id = cell.submit()
    cell.wait_for_runs(job_id, 1)
    cell.end_all(job_id)
    cell.wait_for_state(job_id, State.COMPLETED)
    assert lost
    assert count_queued(cell) == 0
