"""Tests of what an owner learns and leaves to the next one."""

import pytest
from testing.daemon.tasks import conftest
from testing.daemon.tasks import fakefleet

from cyclamenshelf_core.workerprofiles import profilerows
from cyclamenshelf_core.workerprofiles import speeds
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks.workerprofiles import profilestore

HALF = {"w0": 500, "w1": 1_000, "w2": 1_000, "w3": 1_000}


@pytest.fixture
def cell(cell):
    """Return a cell with a worker for each of the run times."""
    for worker_id in list(HALF)[len(cell.workers) :]:
        cell.workers.append(fakefleet.FakeWorker(worker_id))
        cell.list_worker(cell.workers[-1])
    return cell


def teach(owner):
    """Record gangs of which one worker is twice as fast as the others."""
    for run in range(1, 5):
        for worker_id, run_ms in HALF.items():
            key = speeds.GroupKey("g", 0, run)
            speeds.record_run(
                owner.ledger.speeds, key, worker_id, worker_id, run_ms
            )


def wait_until_fast(owner, worker_id):
    conftest.wait_until(
        lambda: speeds.get_rank(owner.ledger.speeds, worker_id) < -1,
        f"{worker_id} is known to be fast",
    )


def wait_until_stored(cell, worker_id):
    name = worker_id.encode()
    conftest.wait_until(
        lambda: name in (cell.fake_store.value(profilestore.TABLE, "0") or b""),
        f"{worker_id} is stored",
    )


def test_speeds_survive_a_takeover(cell):
    # A new owner placed urgent work blindly until it had learned again.
    cell.start_owner()
    first = cell.owners[0]
    ownerstate.post(first, lambda: teach(first))
    wait_until_fast(first, "w0")
    wait_until_stored(cell, "w0")
    cell.start_owner()
    wait_until_fast(cell.owners[1], "w0")


def test_speed_of_an_earlier_incarnation_is_not_restored(cell):
    # A worker may come back on another machine.
    stored = {
        worker.info.id: profilerows.StoredSpeed(
            worker.info.started_ms - (worker.info.id == "w1"),
            speeds.Belief(-1.0, 100),
        )
        for worker in cell.workers
    }
    (value,) = profilerows.encode_rows(profilerows.Content(stored, {}))
    cell.fake_store.put(profilestore.TABLE, "0", value)
    cell.start_owner()
    restored = cell.owners[0].ledger.speeds.past
    conftest.wait_until(lambda: len(restored) == 3, "the others are restored")
    assert "w1" not in restored


def test_malformed_row_does_not_end_a_tenure(cell):
    cell.fake_store.put(profilestore.TABLE, "0", b'{"workers":[[1]]}')
    cell.start_owner()
    owner = cell.owners[0]
    ownerstate.post(owner, lambda: teach(owner))
    wait_until_stored(cell, "w0")
    assert not cell.tenures[0].ended.is_set()
