"""The owner empties data centres on the operators' request."""

import time

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest
from testing.daemon.tasks import fakefleet
from testing.daemon.tasks import leasedworkers
from testing.daemon.tasks.evacuation import operators

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import suspension
from cyclamenshelf_daemon.tasks.evacuation import requests
from cyclamenshelf_daemon.tasks.failover import leaserows

LASTING_STEP = builders.make_step(2, 1, long_running=True, max_unavailable=1)


@pytest.fixture
def owned_cell(cell):
    """A cell whose owner knows its workers, w0 in dc-r0 and w1 in dc-r1."""
    cell.start_owner()
    leasedworkers.wait_for_workers(cell)
    return cell


def evacuate(cell, data_centre):
    """Ask to empty a data centre, and wait until the owner knows."""
    operators.evacuate(cell.fake_store, data_centre)
    conftest.wait_until(
        lambda: data_centre in cell.owners[-1].evacuations,
        f"{data_centre} is evacuated",
    )


def wait_for_requests(cell):
    """Wait until the host of the owner knows a request."""
    known = cell.owners[-1].context.evacuations
    conftest.wait_until(lambda: requests.list_data_centres(known), "a request")


def test_tasks_start_only_elsewhere_until_the_data_centre_is_back(owned_cell):
    cell, (worker, other) = owned_cell, owned_cell.workers
    evacuate(cell, "dc-r0")
    job_id = cell.submit(builders.make_step(16, 1, run_ms=60_000))
    cell.wait_for_runs(job_id, 8)
    time.sleep(0.5)
    assert (len(worker.started), len(other.started)) == (0, 8)
    operators.take_back(cell.fake_store, "dc-r0")
    cell.wait_for_runs(job_id, 16)
    assert len(worker.started) == 8


def test_work_that_only_an_evacuated_worker_can_run_waits(owned_cell):
    # It must neither fail nor be given up.
    cell = owned_cell
    evacuate(cell, "dc-r0")
    job_id = cell.submit(builders.make_step(1, 1, label="r0"))
    gauge = ("oldest_pending_job_ms", (("reason", "unusable"),))
    conftest.wait_until(lambda: gauge in cell.registry.gauges, "the reason")
    assert not cell.list_runs(job_id)
    assert cell.read(job_id).state is taskprogress.State.QUEUED
    operators.take_back(cell.fake_store, "dc-r0")
    cell.wait_for_runs(job_id, 1)


def test_planned_start_is_withdrawn(owned_cell):
    # It was sent as soon as its row was stored.
    cell, (worker, other) = owned_cell, owned_cell.workers

    def reject_writes_of_the_owner(transaction):
        if leaserows.EPOCH_KEY in transaction.checks:
            raise errors.StoreUnavailableError("table", "down")

    cell.fake_store.before_commit = reject_writes_of_the_owner
    cell.submit(builders.make_step(2, 8, run_ms=60_000))
    runs = cell.owners[0].ledger.runs
    conftest.wait_until(lambda: len(runs) == 2, "planned starts")
    evacuate(cell, "dc-r0")
    conftest.wait_until(lambda: len(runs) == 1, "a withdrawal")
    cell.fake_store.before_commit = lambda transaction: None
    conftest.wait_until(lambda: other.started, "the other task runs")
    assert not worker.started


def test_gang_is_not_started_in_part(owned_cell):
    # Its members were sent one by one, the last ones after the request.
    cell = owned_cell

    def evacuate_during_the_write(transaction):
        if leaserows.EPOCH_KEY in transaction.checks:
            operators.evacuate(cell.fake_store, "dc-r1")
            wait_for_requests(cell)

    cell.fake_store.before_commit = evacuate_during_the_write
    cell.submit(builders.make_step(2, 8, gang=True, run_ms=60_000))
    conftest.wait_until(lambda: cell.owners[0].evacuations, "the request")
    time.sleep(0.5)
    assert not any(worker.started for worker in cell.workers)


def test_start_is_not_repeated(owned_cell):
    # The second call of a start whose response was lost came after the request.
    cell, worker = owned_cell, owned_cell.workers[0]
    calls = []

    def lose_start(order, timeout_ms):
        calls.append(order)
        operators.evacuate(cell.fake_store, "dc-r0")
        wait_for_requests(cell)
        raise ports.WorkerSilentError("lost")

    worker.start = lose_start
    cell.submit(builders.make_step(1, 1, label="r0"))
    conftest.wait_until(lambda: calls, "a start")
    time.sleep(1)
    assert len(calls) == 1


def test_owner_starts_nothing_while_requests_may_be_unknown(owned_cell):
    # The rest of the store may respond while this table does not.
    cell = owned_cell
    cell.fake_store.unreadable_tables.add(operators.TABLE)
    owner = cell.owners[0]
    conftest.wait_until(
        lambda: (
            suspension.find_obstacle(owner)
            is suspension.Suspension.EVACUATIONS_UNCONFIRMED
        ),
        "decisions are suspended",
    )
    job_id = cell.submit(builders.make_step(1))
    time.sleep(0.5)
    assert not cell.list_runs(job_id)
    cell.fake_store.unreadable_tables.clear()
    cell.wait_for_runs(job_id, 1)


@pytest.mark.parametrize(
    ("bound_ms", "age_ms", "current"),
    [(5_000, 2_500, True), (5_000, 2_501, False), (None, 60_000, True)],
)
def test_requests_are_current_for_half_of_the_bound(
    manual_clock, bound_ms, age_ms, current
):
    copy, clock = following.TableCopy("op"), manual_clock.clock
    known = operators.make_requests(copy, clock, bound_ms)
    assert not requests.are_current(known)
    copy.confirmed_ms = clock.now_ms() - age_ms
    assert requests.are_current(known) is current


def test_worker_in_an_unknown_data_centre_may_be_evacuated():
    info = fakefleet.FakeWorker("w").info._replace(data_centre="")
    assert requests.is_evacuated(info, frozenset({"a"}))
    assert not requests.is_evacuated(info, frozenset())


def test_finite_tasks_end_there(owned_cell):
    # Stopping them would lose their work.
    cell, worker = owned_cell, owned_cell.workers[0]
    job_id = cell.submit(builders.make_step(1, 1, label="r0", run_ms=60_000))
    cell.wait_for_state(job_id, taskprogress.State.RUNNING)
    evacuate(cell, "dc-r0")
    gauge = ("evacuated_tasks_left", (("data_centre", "dc-r0"),))
    conftest.wait_until(
        lambda: cell.registry.gauges.get(gauge) == 1, "the gauge"
    )
    time.sleep(1)
    assert not worker.stop_count
    cell.end_all(job_id)
    cell.wait_for_state(job_id, taskprogress.State.COMPLETED)
    conftest.wait_until(
        lambda: "dc-r0" in cell.owners[0].emptied_data_centres, "it is empty"
    )
    assert 'evacuated_workers{data_centre="dc-r0"} 1' in (
        metrics.format_metrics(cell.registry)
    )


def test_lasting_tasks_are_moved_one_by_one_where_there_is_room(owned_cell):
    cell, (worker, other) = owned_cell, owned_cell.workers
    other.refuse = ports.Refusal.NO_ROOM
    job_id = cell.submit(LASTING_STEP)
    conftest.wait_until(lambda: len(worker.running) == 2, "both tasks run")
    other.refuse = None
    blocker = cell.submit(builders.make_step(1, 8, label="r1", run_ms=60_000))
    cell.wait_for_runs(blocker, 1)
    most_missing = 0
    evacuate(cell, "dc-r0")
    time.sleep(1)
    assert len(worker.running) == 2
    cell.end_all(blocker)
    deadline = time.monotonic() + conftest.TIMEOUT_S
    while worker.running and time.monotonic() < deadline:
        running = [*worker.running, *other.running]
        names = [name for name in running if name.startswith(job_id)]
        most_missing = max(most_missing, 2 - len(names))
        time.sleep(0.002)
    conftest.wait_until(lambda: len(other.running) == 2, "both have moved")
    assert most_missing <= 1
