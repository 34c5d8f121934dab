"""Workers that restart under their ids, or whose leases are not known."""

import threading
import time

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest
from testing.daemon.tasks import fakefleet

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core.workerprofiles import speeds
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import links
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ports

HOUR_MS = 3_600_000
LEASE_MS = 3_000
# Longer than an owner needs to decide again after any change.
SETTLED_S = 0.5


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    monkeypatch.setattr(fleet, "_UNRESPONSIVE_MS", 300)


@pytest.fixture
def worker(cell):
    """A worker that has been up for an hour, beside an idle one."""
    cell.workers[0].uptime_ms = HOUR_MS
    return cell.workers[0]


def find_record(cell, worker):
    return cell.owners[-1].workers.get(worker.info.id)


def wait_for_response(cell, worker):
    def has_responded():
        record = find_record(cell, worker)
        return (
            record is not None
            and record.info.started_ms == worker.info.started_ms
            and record.last_response_ms is not None
            and not fleet.is_unresponsive(record, cell.clock.now_ms())
        )

    conftest.wait_until(has_responded, "a response of the incarnation")


def restart_with_entry_first(cell, worker):
    """Restart a worker whose new entry is read before its first response."""
    worker.unresponsive = True
    # A renewal that the worker has received is answered within this time.
    time.sleep(SETTLED_S)
    worker.restart()
    cell.list_worker(worker)
    conftest.wait_until(
        lambda: (
            find_record(cell, worker).info.started_ms == worker.info.started_ms
        ),
        "the new entry is read",
    )
    worker.unresponsive = False
    wait_for_response(cell, worker)


def restart_with_response_first(cell, worker):
    """Restart a worker that responds before its new entry is read."""
    worker.restart()
    wait_for_response(cell, worker)
    cell.list_worker(worker)


def measure_wait_for_second_run(cell, job_id):
    started_at = time.monotonic()
    cell.wait_for_runs(job_id, 2)
    return time.monotonic() - started_at


@pytest.mark.parametrize(
    "restart", [restart_with_entry_first, restart_with_response_first]
)
def test_tasks_of_a_worker_lost_after_a_restart_run_elsewhere(
    cell, worker, restart
):
    # The clock of the earlier incarnation gave the new one a lease of an hour.
    cell.start_owner(LEASE_MS)
    wait_for_response(cell, worker)
    restart(cell, worker)
    job_id = cell.submit(builders.make_step(1, 8, data_rack="r0"))
    cell.wait_for_state(job_id, taskprogress.State.RUNNING)
    assert cell.find_worker(job_id) is worker
    worker.unresponsive = True
    cell.unlist_worker(worker)
    cell.wait_for_runs(job_id, 2)


def test_task_that_a_restarted_worker_has_started_runs_once(cell, worker):
    # The start was meant for the earlier incarnation, so its task was taken for
    # one that the restart had ended, and was started elsewhere.
    other = cell.workers[1]
    cell.unlist_worker(other)
    renew, answering = worker.renew, threading.Event()

    def renew_if_answering(make_renewal):
        if not answering.wait(0.02):
            raise ports.WorkerSilentError("response lost")
        return renew(make_renewal)

    worker.renew = renew_if_answering
    answering.set()
    cell.start_owner(LEASE_MS)
    wait_for_response(cell, worker)
    answering.clear()
    # A renewal that the worker has received is answered within this time.
    time.sleep(0.1)
    worker.restart()
    job_id = cell.submit(builders.make_step(1, 8))
    cell.wait_for_state(job_id, taskprogress.State.RUNNING)
    cell.list_worker(other)
    wait_for_response(cell, other)
    cell.list_worker(worker)
    conftest.wait_until(
        lambda: (
            find_record(cell, worker).info.started_ms == worker.info.started_ms
        ),
        "the new entry is read",
    )
    time.sleep(SETTLED_S)
    answering.set()
    wait_for_response(cell, worker)
    time.sleep(SETTLED_S)
    assert len(cell.list_runs(job_id)) == 1


def test_restarted_worker_gets_no_tasks_until_its_entry_is_read(cell, worker):
    # Its capacity and labels were taken for those of the earlier incarnation.
    cell.unlist_worker(cell.workers[1])
    cell.start_owner(LEASE_MS)
    wait_for_response(cell, worker)
    worker.restart()
    wait_for_response(cell, worker)
    job_id = cell.submit(builders.make_step(1, 8))
    time.sleep(SETTLED_S)
    assert cell.list_runs(job_id) == []
    cell.list_worker(worker)
    cell.wait_for_runs(job_id, 1)


def test_restart_ends_the_quarantine_of_a_worker(cell, worker):
    cell.start_owner(LEASE_MS)
    wait_for_response(cell, worker)
    for job_id in ("a", "b", "c"):
        fleet.record_failure(find_record(cell, worker), job_id, 10**15)
    restart_with_entry_first(cell, worker)
    assert find_record(cell, worker).quarantined_until_ms == 0


def test_tasks_adopted_at_a_takeover_keep_the_lease_of_the_earlier_owner(
    cell, worker, monkeypatch
):
    # A worker that responded only once to the new owner had no recorded lease,
    # so its tasks were started elsewhere while they ran on.
    monkeypatch.setattr(ownership, "GRACE_MS", 0)
    cell.start_owner(LEASE_MS)
    job_id = cell.submit(builders.make_step(1, 8, data_rack="r0"))
    cell.wait_for_state(job_id, taskprogress.State.RUNNING)
    renew = worker.renew

    def respond_once_to_the_new_owner(make_renewal):
        response = renew(make_renewal)
        worker.unresponsive = worker.epoch == 2
        return response

    worker.renew = respond_once_to_the_new_owner
    cell.start_owner(LEASE_MS)
    conftest.wait_until(lambda: worker.unresponsive, "the only response")
    assert measure_wait_for_second_run(cell, job_id) >= LEASE_MS / 1_000


def test_tasks_of_a_worker_whose_address_changes_keep_their_lease(cell, worker):
    # The record of the new address had no lease, so the tasks were started
    # elsewhere at once.
    cell.start_owner(LEASE_MS)
    job_id = cell.submit(builders.make_step(1, 8, data_rack="r0"))
    cell.wait_for_state(job_id, taskprogress.State.RUNNING)
    worker.unresponsive = True
    worker.info = worker.info._replace(address="w0:2")
    cell.list_worker(worker)
    assert measure_wait_for_second_run(cell, job_id) >= LEASE_MS / 1_000


def test_ends_are_not_acknowledged_to_a_restarted_worker_by_old_numbers(cell):
    # The next renewal on the same connection was sent before the owner had
    # noted the restart, and the worker forgot ends that nobody had read.
    cell.start_owner(LEASE_MS)
    restarted = fakefleet.FakeWorker("w9")
    record = fleet.Worker(restarted.info, LEASE_MS)
    fleet.record_response(record, 1_000, cell.clock.now_ms())
    record.stored_number = 5
    restarted.restart()
    renewals, answered = [], threading.Event()

    def renew(make_renewal):
        renewals.append(make_renewal(False))
        return ports.RenewalResponse(
            restarted.info.started_ms, 0, (), (), complete=True
        )

    links.start_link(
        links.LinkContext(
            ports.WorkerClient(
                lambda info: ports.WorkerConnection(renew, lambda: None),
                restarted.start,
                restarted.stop,
                restarted.pace,
            ),
            cell.tenures[-1],
            clocks.make_system_clock(),
            LEASE_MS,
            on_renewed=lambda *arguments: answered.set(),
            on_fenced=lambda worker: None,
        ),
        record,
    )
    assert answered.wait(conftest.TIMEOUT_S)
    time.sleep(SETTLED_S)
    record.closing.set()
    assert len(renewals) == 1


def test_closed_record_of_a_worker_grants_no_lease():
    # An order to the earlier incarnation would be granted by its clock.
    record = fleet.Worker(fakefleet.FakeWorker("w0").info, LEASE_MS)
    clock = clocks.make_system_clock()
    fleet.record_response(record, HOUR_MS, clock.now_ms())
    assert fleet.grant_lease(record, clock, LEASE_MS) is not None
    record.closing.set()
    assert fleet.grant_lease(record, clock, LEASE_MS) is None


@pytest.mark.parametrize("restart", [True, False])
def test_speed_of_a_worker_is_forgotten_with_its_incarnation(
    cell, worker, restart
):
    cell.start_owner(LEASE_MS)
    wait_for_response(cell, worker)
    estimates = cell.owners[0].ledger.speeds.past
    estimates[worker.info.id] = speeds.Belief()
    if restart:
        restart_with_entry_first(cell, worker)
    else:
        worker.unresponsive = True
        cell.unlist_worker(worker)
    conftest.wait_until(
        lambda: worker.info.id not in estimates, "the estimate is dropped"
    )
