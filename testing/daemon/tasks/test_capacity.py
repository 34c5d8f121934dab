"""Workers whose capacity shrinks and grows again while they run."""

import threading
import time

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest
from testing.daemon.tasks import fakefleet

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks.failover import leaserows

SHRUNK = taskjobs.Resources(32_000, 64_000, 2)
# Longer than an owner needs to decide again after any change.
SETTLED_S = 0.5
# Nothing may be started by an older list of workers.
MAX_LIST_AGE_S = 2.5


def set_capacity(cell, capacity):
    """Change the capacity of all workers; wait until the owner knows it."""
    for worker in cell.workers:
        worker.info = worker.info._replace(capacity=capacity)
        cell.list_worker(worker)
    owner = cell.owners[-1]
    conftest.wait_until(
        lambda: (
            owner.workers
            and all(
                worker.info.capacity == capacity
                for worker in owner.workers.values()
            )
        ),
        "the owner knows the capacity",
    )


@pytest.fixture
def held_writes(cell):
    """Let writes of the owner wait until the returned event is set."""
    released = threading.Event()

    def hold(transaction):
        if leaserows.EPOCH_KEY in transaction.checks:
            released.wait(conftest.TIMEOUT_S)

    cell.fake_store.before_commit = hold
    yield released
    released.set()


def test_start_is_withdrawn_if_the_capacity_shrinks_before_it_is_sent(
    cell, held_writes
):
    # Each start waits until its worker is stored, on a slow store for seconds;
    # meanwhile the worker may have shrunk.
    cell.start_owner()
    owner = cell.owners[0]
    conftest.wait_until(
        lambda: all(w.epoch == 1 for w in cell.workers), "workers respond"
    )
    job_id = cell.submit(builders.make_step(1, 4))
    conftest.wait_until(lambda: owner.ledger.runs, "the start is planned")
    set_capacity(cell, SHRUNK)
    held_writes.set()
    time.sleep(SETTLED_S)
    assert cell.list_runs(job_id) == []
    set_capacity(cell, fakefleet.CAPACITY)
    cell.wait_for_runs(job_id, 1)
    cell.end_all(job_id)
    cell.wait_for_state(job_id, taskprogress.State.COMPLETED)


def test_only_starts_that_no_longer_fit_are_withdrawn(cell, held_writes):
    cell.start_owner()
    owner = cell.owners[0]
    conftest.wait_until(
        lambda: all(w.epoch == 1 for w in cell.workers), "workers respond"
    )
    job_id = cell.submit(builders.make_step(16, 1))
    conftest.wait_until(
        lambda: len(owner.ledger.runs) == 16, "the starts are planned"
    )
    set_capacity(cell, SHRUNK)
    held_writes.set()
    cell.wait_for_runs(job_id, 4)
    time.sleep(SETTLED_S)
    assert [len(worker.running) for worker in cell.workers] == [2, 2]


def test_task_being_stopped_uses_capacity_until_its_end_is_listed(cell):
    # A worker that shrinks must not get a task for the room of one that it has
    # not ended yet.
    cell.start_owner()
    running = cell.submit(builders.make_step(2, 8))
    cell.wait_for_runs(running, 2)
    cell.wait_for_state(running, taskprogress.State.RUNNING)
    for worker in cell.workers:
        worker.ignore_stops = True
    ledger = cell.owners[0].ledger
    waiting = cell.submit(builders.make_step(1, 1))
    set_capacity(cell, SHRUNK)
    cell.cancel(running)
    conftest.wait_until(
        lambda: all(run.stop_acked_ms for run in ledger.runs.values()),
        "the stops are acknowledged",
    )
    time.sleep(SETTLED_S)
    assert cell.list_runs(waiting) == []
    for worker in cell.workers:
        worker.ignore_stops = False
    cell.end_all(running)
    cell.wait_for_runs(waiting, 1)


def test_worker_that_shrank_below_its_tasks_gets_no_others(cell):
    cell.start_owner()
    running = cell.submit(builders.make_step(6, 1))
    cell.wait_for_runs(running, 6)
    set_capacity(cell, SHRUNK)
    full = {w for w in cell.workers if len(w.running) >= SHRUNK.accelerators}
    assert full
    job_id = cell.submit(builders.make_step(4, 1))
    time.sleep(SETTLED_S)
    for worker in full:
        assert not any(name.startswith(job_id) for name in worker.running)
    cell.end_all(running)
    cell.wait_for_runs(job_id, 4)


def test_nothing_is_started_by_an_outdated_list_of_workers(cell):
    # The owner renewed its lease, could not read the list, and went on with
    # capacities that workers no longer had.
    cell.start_owner()
    conftest.wait_until(
        lambda: all(w.epoch == 1 for w in cell.workers), "workers respond"
    )
    cell.fake_store.unreadable_tables = {conftest.WORKERS_TABLE}
    time.sleep(MAX_LIST_AGE_S + 0.5)
    job_id = cell.submit(builders.make_step(1, 4))
    time.sleep(SETTLED_S)
    assert cell.list_runs(job_id) == []
    cell.fake_store.unreadable_tables = set()
    cell.wait_for_runs(job_id, 1)
