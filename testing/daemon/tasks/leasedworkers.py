"""A fake worker that enforces its lease, and that can be cut off."""

import threading
import time

from testing.daemon.tasks import conftest
from testing.daemon.tasks import fakefleet

from cyclamenshelf_daemon.tasks import ports


def wait_for_workers(cell):
    conftest.wait_until(
        lambda: (
            cell.owners
            and len(cell.owners[-1].workers) == len(cell.workers)
            and all(
                worker.last_response_ms is not None
                for worker in cell.owners[-1].workers.values()
            )
        ),
        "all workers respond",
    )


class LeasedWorker(fakefleet.FakeWorker):
    """A worker that enforces its lease and `wait_ms`, with a link to cut.

    Attributes:
        cut: Whether nothing reaches it and nothing returns from it.
        lapsed: Whether its tasks have lapsed.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.cut = threading.Event()
        self.lease_until_ms = 0
        self.connected = False
        self.grants = []

    def renew(self, make_renewal):
        if self.cut.is_set():
            self.connected = False
            time.sleep(0.2)
            raise ports.WorkerSilentError("connect timeout")
        is_new, self.connected = not self.connected, True
        renewal = make_renewal(is_new)
        arrived_ms = self.read_clock_ms()
        self.grants.append((arrived_ms, renewal.lease_until_ms))
        if renewal.lease_until_ms is not None:
            self.lease_until_ms = max(
                self.lease_until_ms,
                min(renewal.lease_until_ms, arrived_ms + 6_000),
            )
        waited = time.monotonic() + renewal.wait_ms / 1000
        while time.monotonic() < waited and not self.cut.is_set():
            time.sleep(0.01)
        if self.cut.is_set():
            self.connected = False
            time.sleep(0.7)
            raise ports.WorkerSilentError("no response")
        return super().renew(lambda _: renewal)

    def start(self, order, timeout_ms):
        self.lease_until_ms = max(self.lease_until_ms, order.lease_until_ms)
        return super().start(order, timeout_ms)


def use_workers(cell, *workers):
    """Replace the workers of a cell."""
    for worker in cell.workers:
        cell.unlist_worker(worker)
    cell.workers[:] = workers
    for worker in workers:
        cell.list_worker(worker)
