"""Tests of an owner whose threads meet outages and unexpected errors."""

import time

from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import links
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks.failover import leaserows

# Urgent work starts within this time.
START_BOUND_S = 4.9


def let_grace_period_pass(cell):
    """Take the store away until all workers seem unresponsive."""
    tenure = cell.tenures[-1]
    cell.fake_store.down = True
    conftest.wait_until(
        lambda: not ownership.may_renew_worker_leases(tenure, cell.clock),
        "the grace period passes",
    )
    time.sleep(fleet._UNRESPONSIVE_MS / 1000 + 0.3)


def test_owner_outlasts_the_loss_of_a_worker_with_a_planned_gang(
    cell, monkeypatch
):
    # Requeueing one member removed the other, and the owner's thread ended when
    # it requeued that one as well.
    monkeypatch.setattr(fleet, "_UNRESPONSIVE_MS", 300)
    worker, other = cell.workers
    cell.unlist_worker(other)

    def reject_writes_of_the_owner(transaction):
        if leaserows.EPOCH_KEY in transaction.checks:
            raise errors.StoreUnavailableError("table", "down")

    cell.fake_store.before_commit = reject_writes_of_the_owner
    cell.start_owner(lease_ms=1_000)
    job_id = cell.submit(builders.make_step(2, gang=True))
    owner = cell.owners[0]
    conftest.wait_until(lambda: len(owner.ledger.runs) == 2, "a planned gang")
    worker.unresponsive = True
    conftest.wait_until(lambda: not owner.ledger.runs, "the gang is requeued")
    cell.fake_store.before_commit = lambda transaction: None
    cell.list_worker(other)
    cell.wait_for_runs(job_id, 2)


def test_owner_uses_its_workers_after_an_outage_beyond_the_grace_period(
    cell, monkeypatch
):
    # The threads that renew the leases of workers ended with the grace period,
    # and the owner, still holding its lease, started nothing until a restart.
    monkeypatch.setattr(ownership, "GRACE_MS", 300)
    cell.start_host()
    conftest.wait_until(
        lambda: all(worker.epoch == 1 for worker in cell.workers),
        "the workers know the owner",
    )
    let_grace_period_pass(cell)
    cell.fake_store.down = False
    job_id = cell.submit(builders.make_step(1))
    submitted_s = time.monotonic()
    cell.wait_for_runs(job_id, 1)
    assert time.monotonic() - submitted_s < START_BOUND_S
    cell.end_all(job_id)
    cell.wait_for_state(job_id, taskprogress.State.COMPLETED)
    assert len(cell.list_runs(job_id)) == 1


def test_worker_is_called_again_after_an_unexpected_error(cell, monkeypatch):
    # The worker's thread ended, and the worker counted as unresponsive until
    # the owner was replaced.
    monkeypatch.setattr(links, "_FAILURE_PAUSE_MS", 10)
    worker = cell.workers[0]
    renew, failures = worker.renew, [RecursionError("odd response")]

    def renew_or_fail(make_renewal):
        if failures:
            raise failures.pop()
        return renew(make_renewal)

    worker.renew = renew_or_fail
    cell.start_owner()
    conftest.wait_until(lambda: worker.epoch == 1, "the worker is called")


def test_owner_ends_its_tenure_when_progress_cannot_be_written(cell):
    # The writer's thread ended, and the owner waited for its batch for good:
    # it started nothing, and no other host could take over.
    cell.start_owner()
    job_id = cell.submit(builders.make_step(1))
    cell.wait_for_runs(job_id, 1)

    def fail(transaction):
        if any(
            key.table == jobstates.PROGRESS_TABLE for key in transaction.puts
        ):
            raise RecursionError("odd response")

    cell.fake_store.before_commit = fail
    cell.end_all(job_id)
    assert cell.tenures[0].ended.wait(conftest.TIMEOUT_S)


def test_lease_is_acquired_after_an_unexpected_error(cell, monkeypatch):
    # The lease's thread ended, and the host could never become the owner.
    monkeypatch.setattr(supervision, "_FAILURE_PAUSE_MS", 10)
    read_row, failures = cell.fake_store.read_row, [RecursionError("odd row")]

    def read_or_fail(key, timeout_ms):
        if failures:
            raise failures.pop()
        return read_row(key, timeout_ms)

    cell.fake_store.store = cell.fake_store.store._replace(
        read_row=read_or_fail
    )
    cell.start_host()
    conftest.wait_until(lambda: cell.owners, "the host is the owner")


def test_task_is_started_again_after_an_unexpected_error_of_its_start(cell):
    # The run kept its capacity for good, and the job never started.
    cell.start_owner()
    for worker in cell.workers:
        worker.start_errors = [RecursionError("odd response")]
    job_id = cell.submit(builders.make_step(1))
    cell.wait_for_runs(job_id, 1)
