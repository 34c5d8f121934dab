"""In-memory workers that implement the scheduler's worker interface.

A worker follows the published protocol: it rejects orders of earlier epochs,
starts each run number of a task at most once, reports ends until they are
acknowledged, and rejects the start of a run that has already been stopped.
"""

import concurrent.futures
import threading
import time

from testing.daemon.tasks import orderports

from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon.tasks import ports

_ORDER_THREADS = 32
CAPACITY = taskjobs.Resources(32_000, 64_000, 8)


class FakeWorker:
    """A worker with injectable faults.

    Attributes:
        uptime_ms: How long it had been up when this object was made or when
            it last restarted; its clock counts from its start.
        unresponsive: Whether it ignores all requests.
        hanging: Whether it accepts connections and responds to no request, as
            a frozen process does.
        replaced: Whether another worker responds at its address.
        lose_starts: How many of the next starts are executed, but their
            response is lost.
        delayed_starts: Starts without a response that are executed by
            `deliver_delayed_starts`.
        delay_starts: How many of the next starts go to `delayed_starts`.
        refuse: Refusal with which starts are rejected; None to accept them.
        start_errors: Exceptions that the next starts raise.
        ignore_stops: Whether stops are acknowledged, and the tasks run on.
        crashing: Prefixes of tasks whose start crashes the worker.
        tickets: Tickets that a start may carry; None if it needs none.
        poll_s: How long a response to a renewal waits for ends.
        stop_s: How long a response to a stop takes.
        stop_count: Number of stops that it was sent.
        paces: Confirmed paces in percent, by task name.
        lose_paces: How many of the next orders of a pace are carried out,
            but their response is lost.
        readings: What the list of running tasks reports, by task name.
        checkpoints: Checkpoints that this list shows, by task name.
        started: Names, numbers and checkpoints of all started runs, in order.
        highest_closed_runs: Highest run number that has ended or was stopped,
            by task name; runs up to it can't be started any more.
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
            f"dc-{rack}",
        )
        self.uptime_ms = 1_000
        self.unresponsive = False
        self.hanging = False
        self.replaced = False
        self.lose_starts = 0
        self.delay_starts = 0
        self.delayed_starts = []
        self.refuse = None
        self.start_errors = []
        self.ignore_stops = False
        self.crashing = ()
        self.tickets = None
        self.poll_s = 0.02
        self.stop_s = 0
        self.stop_count = 0
        self.paces = {}
        self.lose_paces = 0
        self.readings = {}
        self.checkpoints = {}
        self.started = []
        self.lock = threading.Lock()
        self.reset()

    def reset(self):
        self.reset_at = time.monotonic()
        self.epoch = 0
        self.running = {}
        self.ended = []
        self.ended_count = 0
        self.highest_closed_runs = {}

    def restart(self):
        """Restart under the same id, losing all state."""
        with self.lock:
            self.info = self.info._replace(started_ms=self.info.started_ms + 1)
            self.uptime_ms = 0
            self.reset()

    def read_clock_ms(self):
        return self.uptime_ms + int((time.monotonic() - self.reset_at) * 1_000)

    def end(self, name, kind=ports.EndKind.DONE, checkpoint=""):
        """End a run."""
        with self.lock:
            self._end(name, kind, checkpoint)

    def deliver_delayed_starts(self):
        """Execute the delayed starts."""
        for order in self.delayed_starts:
            self._start(order)
        self.delayed_starts = []

    def _end(self, name, kind, checkpoint=""):
        number = self.running.pop(name)
        self.ended_count += 1
        self.ended.append(
            ports.EndedTask(self.ended_count, name, number, kind, checkpoint)
        )
        self.highest_closed_runs[name] = max(
            number, self.highest_closed_runs.get(name, 0)
        )

    def _check_epoch(self, epoch):
        if epoch < self.epoch:
            return ports.Refusal.FENCED
        self.epoch = epoch
        return None

    def _start(self, order):
        with self.lock:
            if (refusal := self._check_epoch(order.epoch)) or self.refuse:
                return refusal or self.refuse
            if self.tickets is not None and order.ticket not in self.tickets:
                return ports.Refusal.NO_TICKET
            if self.running.get(order.name) == order.run:
                return None
            if order.run <= self.highest_closed_runs.get(order.name, 0):
                return ports.Refusal.OLD
            self.running[order.name] = order.run
            self.started.append((order.name, order.run, order.checkpoint))
            if order.name.startswith(tuple(self.crashing)):
                self.unresponsive = True
            return None

    def start(self, order, timeout_ms):
        if self.delay_starts:
            self.delay_starts -= 1
            self.delayed_starts.append(order)
            raise ports.WorkerSilentError("start delayed")
        if self.unresponsive:
            raise ports.WorkerSilentError("worker unresponsive")
        refusal = self._start(order)
        if self.lose_starts:
            self.lose_starts -= 1
            raise ports.WorkerSilentError("response lost")
        return refusal

    def stop(self, order, timeout_ms):
        self.stop_count += 1
        time.sleep(self.stop_s)
        if self.unresponsive:
            raise ports.WorkerSilentError("worker unresponsive")
        with self.lock:
            if refusal := self._check_epoch(order.epoch):
                return refusal
            if self.ignore_stops:
                return None
            if self.running.get(order.name) == order.run:
                self._end(order.name, ports.EndKind.STOPPED, "00aa")
            self.highest_closed_runs[order.name] = max(
                order.run, self.highest_closed_runs.get(order.name, 0)
            )
            return None

    def pace(self, order, timeout_ms):
        if self.unresponsive:
            raise ports.WorkerSilentError("worker unresponsive")
        with self.lock:
            if refusal := self._check_epoch(order.epoch):
                return refusal
            self.paces[order.name] = order.percent
        if self.lose_paces:
            self.lose_paces -= 1
            raise ports.WorkerSilentError("response lost")
        return None

    def renew(self, make_renewal):
        if self.unresponsive:
            threading.Event().wait(0.02)
            raise ports.WorkerSilentError("worker unresponsive")
        renewal = make_renewal(False)
        if self.hanging:
            threading.Event().wait(0.02)
            raise ports.WorkerSilentError("no response")
        if self.replaced:
            return ports.Refusal.GONE
        if not renewal.wait_ms:
            threading.Event().wait(0.005)
        else:
            threading.Event().wait(self.poll_s)
        with self.lock:
            if refusal := self._check_epoch(renewal.epoch):
                return refusal
            self.ended = [
                e for e in self.ended if e.number > renewal.last_stored_end
            ]
            return ports.RenewalResponse(
                self.info.started_ms,
                self.read_clock_ms(),
                tuple(
                    ports.RunningTask(
                        name,
                        run,
                        self.checkpoints.get(name, ""),
                        reading=self.readings.get(name),
                    )
                    for name, run in self.running.items()
                ),
                tuple(self.ended),
                complete=True,
            )


def make_workers(workers):
    """Return a client that sends orders to the workers by their ids."""

    def find(worker_id):
        return next(w for w in workers if w.info.id == worker_id)

    pool = concurrent.futures.ThreadPoolExecutor(_ORDER_THREADS)

    def make_port(call):
        return orderports.respond_in_thread(pool.submit, call)

    respond_to_start = make_port(
        lambda order, timeout_ms: find(order.worker.id).start(order, timeout_ms)
    )

    def start(order, *arguments):
        worker = find(order.worker.id)
        if worker.start_errors:
            raise worker.start_errors.pop()
        respond_to_start(order, *arguments)

    return ports.WorkerClient(
        connect=lambda info: ports.WorkerConnection(
            find(info.id).renew, lambda: None
        ),
        start=start,
        stop=make_port(
            lambda order, timeout_ms: find(order.worker.id).stop(
                order, timeout_ms
            )
        ),
        pace=make_port(
            lambda order, timeout_ms: find(order.worker.id).pace(
                order, timeout_ms
            )
        ),
    )
