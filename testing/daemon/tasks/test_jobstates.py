"""Look-ups of jobs, which read the owner's rows."""

import pytest
from testing.core import taskbuilders
from testing.daemon.tasks import conftest

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import jobstates

State = taskprogress.State


@pytest.fixture
def known():
    return jobstates.JobStates()


def count(cell):
    return jobstates.count_queued(cell.fake.store, "queue")


def test_job_counts_as_queued_until_a_task_has_started(cell):
    job_id = cell.submit()
    cell.submit(taskbuilders.make_step(accelerators=9))
    assert count(cell) == 2
    cell.take_over()
    cell.wait_for_runs(job_id, 1)
    conftest.wait_until(lambda: count(cell) == 1, "one job is queued")


def test_job_that_ends_before_its_start_is_not_queued(cell):
    job_id = cell.submit(taskbuilders.make_step(accelerators=9))
    cell.take_over()
    cell.fake.put("work", f"cancel.{job_id}", b"{}")
    cell.wait_for_state(job_id, State.CANCELLED)
    assert count(cell) == 0


def test_timed_jobs_and_jobs_of_other_queues_do_not_count(cell):
    cell.submit(repetitions=2, start_at_ms=cell.clock.wall_ms() + 60_000)
    cell.submit(queue="queue2")
    cell.submit(queue="queue.2")
    assert count(cell) == 0


def test_state_is_read_from_the_store(cell, known):
    store = cell.fake.store
    assert jobstates.read_state(known, store, "unknown") is None
    job_id = cell.submit()
    assert jobstates.read_state(known, store, job_id) is State.QUEUED
    cell.take_over()
    cell.wait_for_state(job_id, State.RUNNING)
    assert jobstates.read_state(known, store, job_id) is State.RUNNING


def test_silent_store_leaves_the_states_read_before(cell, known):
    store = cell.fake.store
    job_id, other = cell.submit(), cell.submit()
    jobstates.read_state(known, store, job_id)
    cell.fake.down = True
    assert jobstates.read_state(known, store, job_id) is State.QUEUED
    with pytest.raises(errors.StoreUnavailableError):
        jobstates.read_state(known, store, other)


def test_job_that_has_ended_is_not_read_again(cell, known):
    cell.take_over()
    job_id = cell.submit()
    cell.wait_for_runs(job_id, 1)
    cell.end_all(job_id)
    cell.wait_for_state(job_id, State.COMPLETED)
    store = cell.fake.store
    assert jobstates.read_state(known, store, job_id) is State.COMPLETED
    cell.fake.rows.clear()
    assert jobstates.read_state(known, store, job_id) is State.COMPLETED


def test_lost_answer_to_the_first_start_does_not_keep_the_job_queued(cell):
    # The row is gone when the write is made again under its old version.
    lost = []

    def lose_once(transaction):
        if transaction.deletes and not lost:
            lost.append(transaction)
            cell.fake.script.append("lost")

    cell.fake.before_commit = lose_once
    cell.take_over()
    job_id = cell.submit()
    cell.wait_for_runs(job_id, 1)
    cell.end_all(job_id)
    cell.wait_for_state(job_id, State.COMPLETED)
    assert lost
    assert count(cell) == 0
