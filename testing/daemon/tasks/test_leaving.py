"""Workers that drain or restart while tasks are planned or lost there."""

import threading
import time

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest
from testing.daemon.tasks import leasedworkers

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.failover import leaserows


def drain(cell, worker, left_ms=1_000):
    worker.info = worker.info._replace(draining_ms=left_ms)
    cell.list_worker(worker)


def restart(cell, worker):
    worker.restart()
    cell.list_worker(worker)


@pytest.mark.parametrize("event", [drain, restart])
def test_planned_gang_that_loses_a_member_is_not_started_in_part(cell, event):
    cell.start_owner()
    leasedworkers.wait_for_workers(cell)

    def reject_writes_of_the_owner(transaction):
        if leaserows.EPOCH_KEY in transaction.checks:
            raise errors.StoreUnavailableError("table", "down")

    cell.fake_store.before_commit = reject_writes_of_the_owner
    cell.submit(builders.make_step(2, 8, gang=True, run_ms=60_000))
    owner = cell.owners[0]
    conftest.wait_until(lambda: len(owner.ledger.runs) == 2, "a planned gang")
    event(cell, cell.workers[0])
    conftest.wait_until(lambda: len(owner.ledger.runs) < 2, "a member lost")
    cell.fake_store.before_commit = lambda transaction: None
    time.sleep(3)
    running = [name for w in cell.workers for name in w.running]
    assert len(running) != 1


def test_new_owner_evacuates_a_worker_that_already_drains(cell):
    # Only an owner that sees the drain begin stopped the tasks there.
    cell.start_owner()
    leasedworkers.wait_for_workers(cell)
    job_id = cell.submit(builders.make_step(1, 4, long_running=True))
    cell.wait_for_state(job_id, taskprogress.State.RUNNING)
    worker = cell.find_worker(job_id)
    cell.tenures[0].ended.set()
    worker.info = worker.info._replace(draining_ms=10_000)
    cell.list_worker(worker)
    cell.start_owner()
    deadline = time.monotonic() + 8
    while len(cell.list_runs(job_id)) < 2 and time.monotonic() < deadline:
        time.sleep(0.05)
    assert len(cell.list_runs(job_id)) == 2


def test_members_of_a_gang_on_a_draining_worker_are_stopped_together(cell):
    # The others were stopped only once the first had ended, and broke.
    cell.start_owner()
    leasedworkers.wait_for_workers(cell)
    worker, other = cell.workers
    step = builders.make_step(2, 8, gang=True, checkpointable=True)
    job_id = cell.submit(step._replace(expected_run_ms=60_000))
    cell.wait_for_runs(job_id, 2)
    conftest.wait_until(
        lambda: all(
            run.phase is ledgers.Phase.RUNNING
            for run in list(cell.owners[0].ledger.runs.values())
        ),
        "both members run",
    )
    worker.ignore_stops = True
    drain(cell, worker)
    conftest.wait_until(lambda: not other.running, "a stop of the other member")
    assert worker.running


def test_checkpointable_task_that_ends_before_its_worker_leaves_goes_on(cell):
    cell.start_owner()
    leasedworkers.wait_for_workers(cell)
    job_id = cell.submit(
        builders.make_step(1, 8, checkpointable=True, run_ms=4_000),
        builders.make_step(1, 8, checkpointable=True, run_ms=60_000),
    )
    cell.wait_for_runs(job_id, 2)
    for worker in cell.workers:
        drain(cell, worker, 5_000)
    conftest.wait_until(
        lambda: sum(len(worker.running) for worker in cell.workers) == 1,
        "a stop",
    )
    (name,) = [name for worker in cell.workers for name in worker.running]
    assert name == f"{job_id}.0.0.0"


def test_time_until_a_draining_worker_leaves_runs_out(cell):
    # The same entry was applied again and again, so the worker seemed to stay,
    # and the task was lost with it.
    cell.start_owner()
    leasedworkers.wait_for_workers(cell)
    step = builders.make_step(1, 8, checkpointable=True, run_ms=2_500)
    job_id = cell.submit(step)
    cell.wait_for_runs(job_id, 1)
    worker = cell.find_worker(job_id)
    drain(cell, worker, 2_600)
    drained_at = time.monotonic()
    conftest.wait_until(lambda: not worker.running, "a stop")
    assert time.monotonic() - drained_at < 2.2


def test_stop_of_an_earlier_incarnation_rules_out_no_late_start(cell):
    # The stop was acknowledged by an incarnation that has forgotten it since.
    worker, other = cell.workers
    cell.unlist_worker(other)
    cell.start_owner()
    conftest.wait_until(
        lambda: (
            cell.owners
            and "w0" in cell.owners[0].workers
            and cell.owners[0].workers["w0"].last_response_ms is not None
        ),
        "a response",
    )
    worker.delay_starts = 2
    responds = threading.Event()
    renew = worker.renew

    def renew_if_responding(make_renewal):
        if not responds.is_set():
            time.sleep(0.02)
            raise ports.WorkerSilentError("no response")
        return renew(make_renewal)

    job_id = cell.submit(builders.make_step(1, 4, run_ms=60_000))
    conftest.wait_until(lambda: worker.delayed_starts, "a start")
    worker.renew = renew_if_responding
    conftest.wait_until(
        lambda: any(
            run.stop_acked_ms is not None
            for run in list(cell.owners[0].ledger.runs.values())
        ),
        "an acknowledged stop",
    )
    worker.restart()
    cell.list_worker(other)
    time.sleep(0.3)
    responds.set()
    conftest.wait_until(
        lambda: len(cell.list_runs(job_id)) == 1, "a second run"
    )
    worker.deliver_delayed_starts()
    at_once = [name for w in cell.workers for name in w.running]
    assert len(at_once) == 1
