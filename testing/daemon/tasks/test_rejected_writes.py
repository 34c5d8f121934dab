"""Rows that the store rejects for good among those that it accepts."""

import time

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import jobstates

COMPLETED = taskprogress.State.COMPLETED


class Rejection:
    """Rejects the progress of a job for good while it is active."""

    def __init__(self, cell, job_id):
        self.key = jobstates.make_progress_key(job_id)
        self.active = True
        self.count = 0
        cell.fake_store.before_commit = self.check

    def check(self, transaction):
        if self.active and self.key in transaction.puts:
            self.count += 1
            raise errors.WriteRejectedError("table", "status 400")


@pytest.fixture
def rejected(cell):
    """A job whose progress the store rejects, before an owner starts."""
    job_id = cell.submit(builders.make_step(2))
    return job_id, Rejection(cell, job_id)


def test_rejected_row_does_not_keep_other_jobs_from_starting(cell, rejected):
    # The batch was repeated until the tenure ended, and no job was started.
    job_id, rejection = rejected
    others = [cell.submit(builders.make_step(1)) for _ in range(3)]
    cell.start_owner()
    for other in others:
        cell.wait_for_runs(other, 1)
        cell.end_all(other)
        cell.wait_for_state(other, COMPLETED)
    conftest.wait_until(
        lambda: not any(worker.ended for worker in cell.workers),
        "the ends are acknowledged",
    )
    assert rejection.count
    assert not cell.list_runs(job_id)
    assert not cell.owners[0].ledger.by_job.get(job_id)


def test_rejected_job_starts_once_its_row_is_accepted(cell, rejected):
    job_id, rejection = rejected
    cell.start_owner()
    conftest.wait_until(lambda: rejection.count >= 2, "it is written again")
    rejection.active = False
    cell.wait_for_runs(job_id, 2)
    cell.end_all(job_id)
    cell.wait_for_state(job_id, COMPLETED)


def test_end_in_a_rejected_row_is_not_acknowledged(cell):
    # The next owner would start a task again that has succeeded.
    cell.start_owner()
    job_id = cell.submit(builders.make_step(1))
    cell.wait_for_runs(job_id, 1)
    cell.wait_for_state(job_id, taskprogress.State.RUNNING)
    worker = cell.find_worker(job_id)
    rejection = Rejection(cell, job_id)
    cell.end_all(job_id)
    conftest.wait_until(lambda: rejection.count, "the end is rejected")
    other = cell.submit(builders.make_step(16, 1))
    cell.wait_for_runs(other, 15)
    cell.end_all(other)
    time.sleep(0.5)
    assert [end.number for end in worker.ended][0] == 1
    cell.tenures[0].ended.set()
    rejection.active = False
    cell.start_owner()
    cell.wait_for_state(job_id, COMPLETED)
    cell.wait_for_runs(other, 16)
    cell.end_all(other)
    cell.wait_for_state(other, COMPLETED)
    assert len(cell.list_runs(job_id)) == 1
    conftest.wait_until(lambda: not worker.ended, "all is acknowledged")


def test_batch_is_halved_until_the_rejected_change_is_alone(cell, rejected):
    job_id, rejection = rejected
    others = [cell.submit(builders.make_step(1)) for _ in range(7)]
    cell.start_owner()
    for other in others:
        cell.wait_for_runs(other, 1)
    # Eight changes: one rejection on each level until one change is left.
    assert rejection.count <= 4


def test_rejected_removal_is_not_repeated_at_once(cell):
    # The owner and the store were busy with it all the time.
    cell.start_owner()
    job_id = cell.submit(builders.make_step(1))
    cell.wait_for_runs(job_id, 1)
    cell.end_all(job_id)
    cell.wait_for_state(job_id, COMPLETED)
    key, rejected = jobstates.make_progress_key(job_id), []

    def reject_removal(transaction):
        if key in transaction.deletes:
            rejected.append(time.monotonic())
            raise errors.WriteRejectedError("table", "status 400")

    cell.fake_store.before_commit = reject_removal
    entry = cell.owners[0].ledger.jobs[job_id]
    entry.progress.ended_ms = 1
    conftest.wait_until(lambda: len(rejected) == 2, "it is tried again")
    assert rejected[1] - rejected[0] >= 0.9
    cell.fake_store.before_commit = lambda transaction: None
    conftest.wait_until(
        lambda: key not in cell.fake_store.rows, "it is removed"
    )
