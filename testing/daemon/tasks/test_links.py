"""Threads that renew the leases of workers."""

from testing.daemon.tasks import conftest
from testing.daemon.tasks import leasedworkers

from cyclamenshelf_daemon.tasks import links


def test_no_worker_is_called_before_all_threads_have_started(cell, monkeypatch):
    # Threads that were at work delayed the start of the others: a new owner of
    # 176 workers needed 1.1 s before its first decision.
    started, gates = [], []
    start_link = links.start_link

    def start(context, worker, gate=None):
        gates.append(gate)
        started.append(gate is not None and not gate.is_set())
        return start_link(context, worker, gate)

    monkeypatch.setattr(links, "start_link", start)
    cell.start_owner()
    leasedworkers.wait_for_workers(cell)
    assert started == [True] * len(cell.workers)
    assert len(set(map(id, gates))) == 1
    conftest.wait_until(gates[0].is_set, "the workers are called")


def test_thread_waits_for_its_gate(cell):
    cell.start_owner()
    leasedworkers.wait_for_workers(cell)
    owner = cell.owners[0]
    worker = next(iter(owner.workers.values()))
    gate = links.make_gate()
    worker.closing.set()
    thread = links.start_link(owner.links, worker, gate)
    assert thread.is_alive()
    gate.set()
    thread.join(conftest.TIMEOUT_S)
    assert not thread.is_alive()
