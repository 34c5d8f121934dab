"""Workers, a store and a network on a virtual clock.

Workers follow the published protocol, with leases, gangs that work only while
all members are present, stops that take time, and ends that are listed a few at
a time. Orders are delayed, lost, or carried out after newer ones.
"""

from testing.daemon.tasks import fakestore
from testing.daemon.tasks import orderports
from testing.daemon.tasks import virtualtime

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon.tasks import ports

CAPACITY = taskjobs.Resources(32_000, 64_000, 8)
MAX_LEASE_MS = 10_000
GANG_TIMEOUT_MS = 3_000
STOP_TIMEOUT_MS = 900
# How late an order without a response may still be carried out.
MAX_LATE_MS = 5_000
_CONNECT_TIMEOUT_MS = 500


class Network:
    """Delays and faults of all calls.

    Attributes:
        loss: Share of responses of workers that are lost.
        late: Share of orders that are carried out late.
        slow_store_ms: Additional time that each call to the store takes.
    """

    def __init__(self, scheduler, generator):
        self.scheduler = scheduler
        self.generator = generator
        self.loss = 0.0
        self.late = 0.0
        self.slow_store_ms = 0

    def call(self, handle, timeout_ms, is_cut, faulty=True, extra_ms=0):
        """Call a service; return the response, or None without one.

        Args:
            handle: Called with a function that sends the response.
            timeout_ms: How long to wait for the response.
            is_cut: Returns whether no message passes at the moment.
            faulty: Whether responses are lost and requests come late.
            extra_ms: Additional time that the request takes.
        """
        scheduler = self.scheduler
        answered = virtualtime.Event(scheduler)
        responses = []
        delay_ms = self.generator.randint(1, 8) + extra_ms
        late = faulty and self.generator.random() < self.late
        if late:
            delay_ms += self.generator.randint(timeout_ms, MAX_LATE_MS)

        def respond(response):
            lost = faulty and self.generator.random() < self.loss
            if lost or is_cut():
                return

            def arrive():
                responses.append(response)
                answered.set()

            scheduler.call_after(self.generator.randint(1, 8), arrive)

        def deliver():
            if late or not is_cut():
                handle(respond)

        if not is_cut():
            scheduler.call_after(delay_ms, deliver)
        answered.wait(timeout_ms / 1_000)
        return responses[0] if responses else None


class Store(fakestore.FakeStore):
    """A store whose calls take time and can be cut off for a host."""

    def __init__(self, network):
        super().__init__()
        self._network = network
        self._watches = []

    def connect(self, host):
        """Return the client of a host."""

        def call(handle, timeout_ms):
            def respond_with_outcome(respond):
                try:
                    respond((handle(), None))
                except errors.CyclamenshelfError as error:
                    respond((None, error))

            response = self._network.call(
                respond_with_outcome,
                timeout_ms,
                lambda: self._network.scheduler.now_ms < host.store_cut_until,
                faulty=False,
                extra_ms=self._network.slow_store_ms,
            )
            if response is None:
                raise errors.OutcomeUnknownError("table", "no response")
            result, error = response
            if error is not None:
                raise error
            return result

        return ports.Store(
            lambda transaction, timeout_ms: call(
                lambda: self.commit(transaction, timeout_ms), timeout_ms
            ),
            lambda table, timeout_ms: call(
                lambda: self.read(table, timeout_ms), timeout_ms
            ),
            lambda key, timeout_ms: call(
                lambda: self.read_row(key, timeout_ms), timeout_ms
            ),
            None,
            lambda table, version, wait_ms: self._follow(
                host, table, version, wait_ms
            ),
        )

    def _follow(self, host, table, version, wait_ms):
        scheduler = self._network.scheduler

        def handle(respond):
            answered = []

            def finish():
                if not answered:
                    answered.append(True)
                    self._watches.remove(check)
                    changes = self._list_changes(table, version)
                    respond(ports.ReadResult(changes, self.version))

            def check():
                if self._list_changes(table, version):
                    finish()

            self._watches.append(check)
            scheduler.call_after(wait_ms, finish)
            check()

        result = self._network.call(
            handle,
            wait_ms + 1_000,
            lambda: scheduler.now_ms < host.store_cut_until,
            faulty=False,
        )
        if result is None:
            raise errors.StoreUnavailableError("table", "no response")
        return result

    def _apply(self, transaction):
        super()._apply(transaction)
        for check in list(self._watches):
            check()


class _Run:
    """A run on a worker."""

    def __init__(self, worker, name, number, checkpoint):
        self.worker = worker
        self.name = name
        self.number = number
        self.checkpoint = checkpoint
        self.stopping = False
        self.ended = False


class Worker:
    """One worker, which may restart under its id.

    Attributes:
        work: Work of the jobs, shared by all workers; see `Work`.
        clock_rate: Rate of its clock.
        up: Whether it exists.
        hangs: Whether its address accepts connections also while no message
            passes, as that of a proxy or of a frozen process does.
        cut_until: Time until which no message passes.
        ends_per_list: Number of ends that a response lists at most.
        runs: Runs by name.
    """

    def __init__(self, work, worker_id, rack):
        self.work = work
        self.scheduler = work.scheduler
        self.clock_rate = work.generator.choice((1.0, 0.98))
        self.ends_per_list = work.ends_per_list
        self.up = True
        self.hangs = work.generator.random() < 0.3
        self.cut_until = 0
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
        self.runs = {}
        self._reset()

    def _reset(self):
        self.booted_ms = self.scheduler.now_ms
        self.epoch = 0
        self.lease_until_ms = 0
        self.ended = []
        self.ended_count = 0
        self.closed = {}
        self.holds = []

    def is_cut(self):
        return not self.up or self.scheduler.now_ms < self.cut_until

    def read_clock_ms(self):
        up_ms = self.scheduler.now_ms - self.booted_ms
        return 1_000 + int(up_ms * self.clock_rate)

    def crash(self):
        """Lose all runs and all state."""
        for run in self.runs.values():
            run.ended = True
            self.work.handle_vanished(run)
        self.runs = {}
        self._reset()

    def leave(self):
        self.crash()
        self.up = False

    def restart(self):
        self.crash()
        self.info = self.info._replace(started_ms=self.info.started_ms + 1)

    def end(self, run, kind):
        """End a run and list its end."""
        if run.ended:
            return
        run.ended = True
        del self.runs[run.name]
        self.ended_count += 1
        checkpoint = self.work.make_checkpoint(run)
        self.ended.append(
            ports.EndedTask(
                self.ended_count, run.name, run.number, kind, checkpoint
            )
        )
        self._close(run.name, run.number)
        self.work.handle_end(run, kind)
        for finish in list(self.holds):
            finish()

    def _close(self, name, number):
        self.closed[name] = max(number, self.closed.get(name, 0))

    def _extend_lease(self, until_ms):
        if until_ms is None:
            return
        limit_ms = self.read_clock_ms() + MAX_LEASE_MS
        until_ms = min(until_ms, limit_ms)
        if until_ms > self.lease_until_ms:
            self.lease_until_ms = until_ms
            left_ms = until_ms - self.read_clock_ms()
            self.scheduler.call_after(
                int(left_ms / self.clock_rate) + 1, self._check_lease
            )

    def _check_lease(self):
        if self.read_clock_ms() >= self.lease_until_ms:
            for run in list(self.runs.values()):
                self.end(run, ports.EndKind.LAPSED)

    def _is_fenced(self, epoch):
        if epoch < self.epoch:
            return True
        self.epoch = epoch
        return False

    def _has_room(self, name):
        free = self.info.capacity
        for other in self.runs:
            free = taskjobs.subtract(free, self.work.get_step(other).need)
        return min(taskjobs.subtract(free, self.work.get_step(name).need)) >= 0

    def start(self, order):
        if self._is_fenced(order.epoch):
            return ports.Refusal.FENCED
        held = self.runs.get(order.name)
        if held is not None and held.number == order.run:
            self._extend_lease(order.lease_until_ms)
            return None
        if order.lease_until_ms <= self.read_clock_ms():
            return ports.Refusal.LATE
        self._extend_lease(order.lease_until_ms)
        if held is not None or order.run <= self.closed.get(order.name, 0):
            return ports.Refusal.OLD
        if not self._has_room(order.name):
            return ports.Refusal.NO_ROOM
        run = _Run(self, order.name, order.run, order.checkpoint)
        self.runs[order.name] = run
        self.work.handle_start(run)
        return None

    def stop(self, order):
        if self._is_fenced(order.epoch):
            return ports.Refusal.FENCED
        run = self.runs.get(order.name)
        if run is None or run.number != order.run:
            self._close(order.name, order.run)
        elif not run.stopping:
            run.stopping = True
            self.scheduler.call_after(
                self.work.generator.randint(0, STOP_TIMEOUT_MS),
                lambda: self.end(run, ports.EndKind.STOPPED),
            )
        return None

    def renew(self, renewal, respond):
        """Handle a renewal; respond at once or once a run has ended."""
        if self._is_fenced(renewal.epoch):
            respond(ports.Refusal.FENCED)
            return
        self._extend_lease(renewal.lease_until_ms)
        for end in self.ended:
            if end.number <= renewal.last_stored_end:
                self.work.handle_acknowledged(end)
        self.ended = [
            end for end in self.ended if end.number > renewal.last_stored_end
        ]

        def finish():
            # The connection breaks at a crash, which forgets the renewals.
            if finish not in self.holds:
                return
            self.holds.remove(finish)
            listed = tuple(self.ended[: self.ends_per_list])
            respond(
                ports.RenewalResponse(
                    self.info.started_ms,
                    self.read_clock_ms(),
                    tuple(
                        ports.RunningTask(
                            run.name, run.number, self.work.make_checkpoint(run)
                        )
                        for run in self.runs.values()
                    ),
                    listed,
                    complete=len(listed) < self.ends_per_list,
                )
            )

        self.holds.append(finish)
        if self.ended or not renewal.wait_ms:
            finish()
        else:
            self.scheduler.call_after(renewal.wait_ms, finish)


def make_worker_client(network, host, workers):
    """Return the client through which a host calls the workers by address."""

    def find(info):
        return next(w for w in workers if w.info.id == info.id)

    def is_cut(worker):
        return (
            worker.is_cut() or network.scheduler.now_ms < host.workers_cut_until
        )

    def call(info, handle, timeout_ms):
        worker = find(info)
        started_ms = worker.info.started_ms

        def deliver(respond):
            # A request that a process has received is lost with it.
            if worker.up and worker.info.started_ms == started_ms:
                handle(worker, respond)

        response = network.call(deliver, timeout_ms, lambda: is_cut(worker))
        if response is None:
            raise ports.WorkerSilentError("no response")
        return response[0]

    def connect(info):
        connected = False

        def renew(make_renewal):
            nonlocal connected
            worker = find(info)
            if not connected and is_cut(worker) and not worker.hangs:
                network.scheduler.sleep_ms(_CONNECT_TIMEOUT_MS)
                raise ports.WorkerSilentError("no connection")
            renewal = make_renewal(not connected)
            connected = False
            response = call(
                info,
                lambda worker, respond: worker.renew(
                    renewal, lambda response: respond((response,))
                ),
                renewal.wait_ms + 700,
            )
            connected = True
            return response

        return ports.WorkerConnection(renew, lambda: None)

    def make_port(call_worker):
        return orderports.respond_in_thread(
            lambda run: network.scheduler.start(
                network.scheduler.current.process, run
            ),
            lambda order, timeout_ms: call(
                order.worker,
                lambda worker, respond: respond((call_worker(worker, order),)),
                timeout_ms,
            ),
        )

    return ports.WorkerClient(
        connect,
        make_port(lambda worker, order: worker.start(order)),
        make_port(lambda worker, order: worker.stop(order)),
        make_port(lambda worker, order: None),
    )
