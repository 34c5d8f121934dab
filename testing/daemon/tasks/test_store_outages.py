"""Tests of an owner that stays the owner over an outage of the store."""

import time

from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest

from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ownership

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
