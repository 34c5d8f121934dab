"""Workers in this process, behind the scheduler's worker interface.

A worker keeps the published rules: fences, one run of a number once, ends
listed until they are confirmed, stops that bar later starts of a number.
"""

import threading

from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon.tasks import ports

CAPACITY = taskjobs.Resources(32_000, 64_000, 8)


class FakeWorker:
    """One worker.

    Attributes:
        silent: Whether it answers nothing, and carries out nothing.
        replaced: Whether another worker answers at its address.
        lose_starts: How many starts are carried out without an answer.
        late: Starts that got no answer and are carried out by `deliver`.
        hold_starts: How many starts go to `late`.
        tickets: Tickets that a start may carry; None if it needs none.
        started: Names and numbers of all runs begun, in order.
    """

    def __init__(self, worker_id, rack="r0"):
        self.info = ports.WorkerInfo(
            worker_id,
            1,
            f"{worker_id}:1",
            "service",
            rack,
            frozenset({"a", rack}),
            CAPACITY,
            None,
        )
        self.silent = False
        self.replaced = False
        self.lose_starts = 0
        self.hold_starts = 0
        self.late = []
        self.refuse = None
        self.tickets = None
        self.started = []
        self.lock = threading.Lock()
        self.reset()

    def reset(self):
        self.epoch = 0
        self.running = {}
        self.ended = []
        self.count = 0
        self.barred = {}

    def crash(self):
        """Start anew under the same id: nothing of before is known."""
        with self.lock:
            self.info = self.info._replace(born_ms=self.info.born_ms + 1)
            self.reset()

    def end(self, name, kind=ports.EndKind.DONE, checkpoint=""):
        """End a run."""
        with self.lock:
            self._end(name, kind, checkpoint)

    def deliver(self):
        """Carry out the late starts."""
        for order in self.late:
            self._start(order)
        self.late = []

    def _end(self, name, kind, checkpoint=""):
        number = self.running.pop(name)
        self.count += 1
        self.ended.append(
            ports.EndedTask(self.count, name, number, kind, checkpoint)
        )
        self.barred[name] = max(number, self.barred.get(name, 0))

    def _fence(self, epoch):
        if epoch < self.epoch:
            return ports.Refusal.FENCED
        self.epoch = epoch
        return None

    def _start(self, order):
        with self.lock:
            if (refusal := self._fence(order.epoch)) or self.refuse:
                return refusal or self.refuse
            if self.tickets is not None and order.ticket not in self.tickets:
                return ports.Refusal.NO_TICKET
            if self.running.get(order.name) == order.run:
                return None
            if order.run <= self.barred.get(order.name, 0):
                return ports.Refusal.OLD
            self.running[order.name] = order.run
            self.started.append((order.name, order.run, order.checkpoint))
            return None

    def start(self, order, timeout_ms):
        if self.hold_starts:
            self.hold_starts -= 1
            self.late.append(order)
            raise ports.WorkerSilentError("held")
        if self.silent:
            raise ports.WorkerSilentError("silent")
        refusal = self._start(order)
        if self.lose_starts:
            self.lose_starts -= 1
            raise ports.WorkerSilentError("answer lost")
        return refusal

    def stop(self, order, timeout_ms):
        if self.silent:
            raise ports.WorkerSilentError("silent")
        with self.lock:
            if refusal := self._fence(order.epoch):
                return refusal
            if self.running.get(order.name) == order.run:
                self._end(order.name, ports.EndKind.STOPPED, "00aa")
            self.barred[order.name] = max(
                order.run, self.barred.get(order.name, 0)
            )
            return None

    def look(self, make_renewal):
        if self.silent:
            threading.Event().wait(0.02)
            raise ports.WorkerSilentError("silent")
        renewal = make_renewal(False)
        if self.replaced:
            return ports.Refusal.GONE
        if not renewal.wait_ms:
            threading.Event().wait(0.005)
        else:
            threading.Event().wait(0.02)
        with self.lock:
            if refusal := self._fence(renewal.epoch):
                return refusal
            self.ended = [e for e in self.ended if e.number > renewal.seen]
            return ports.Look(
                self.info.born_ms,
                1_000,
                tuple(
                    ports.RunningTask(name, run, "")
                    for name, run in self.running.items()
                ),
                tuple(self.ended),
                complete=True,
            )


def make_workers(workers):
    """Return the orders to workers, by id."""
    by_id = {worker.info.id: worker for worker in workers}
    return ports.Workers(
        connect=lambda info: ports.WorkerConnection(
            by_id[info.id].look, lambda: None
        ),
        start=lambda order, ms: by_id[order.worker.id].start(order, ms),
        stop=lambda order, ms: by_id[order.worker.id].stop(order, ms),
    )
