"""Deliver orders to workers, and report how that ended to the owner."""

from collections.abc import Callable
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.sending import orderqueue

# An order whose response is lost is sent again with the same run number; a
# worker carries out each run number only once.
_MAX_START_CALLS = 2
_MAX_STOP_CALLS = 3
# An order of a pace is repeated by the owner, which may choose another by then.
_MAX_PACE_CALLS = 1
_CALL_TIMEOUT_MS = 700
# Stops that are queued together: the first of thousands are on their way while
# the others are queued.
_MAX_BATCH = 500
# A start that is not sent within this time is returned to the queue.
_MAX_START_DELAY_MS = 1_500


class OrderContext(NamedTuple):
    """Dependencies of the functions that send orders.

    Attributes:
        queue: Orders that wait for their turn.
        is_live: Returns whether a run is still allocated; called in any thread.
        may_start: Returns whether a task may be started on a worker now. It is
            called before each start order, as a start may wait for its turn
            or be repeated.
        on_started: Called with the run and the refusal, or None if it runs.
        on_unacknowledged: Called with a run whose start may or may not have
            been carried out.
        on_not_sent: Called with a run whose start was never sent.
        on_stopped: Called with the run and whether the stop was acknowledged.
        on_fenced: Called with a worker that has accepted a newer epoch.
        on_paced: Called with the run, its pace and whether that was
            acknowledged.
        registry: Keeps how long orders wait for their turn, and how long their
            calls take.
    """

    workers: ports.WorkerClient
    queue: orderqueue.OrderQueue
    tenure: ownership.Tenure
    clock: clocks.Clock
    lease_ms: int
    is_live: Callable[[ledgers.Run], bool]
    may_start: Callable[[ports.WorkerInfo], bool]
    on_started: Callable[[ledgers.Run, ports.Refusal | None], None]
    on_unacknowledged: Callable[[ledgers.Run], None]
    on_not_sent: Callable[[ledgers.Run], None]
    on_stopped: Callable[[ledgers.Run, bool], None]
    on_fenced: Callable[[fleet.Worker], None]
    on_paced: Callable[[ledgers.Run, int, bool], None]
    registry: metrics.Metrics


class StartArguments(NamedTuple):
    """Contents of a start order; see `ports.StartOrder`."""

    payload: str
    checkpoint: str
    ticket: str


class _Delivery(NamedTuple):
    """How an order is delivered.

    Attributes:
        kind: What it orders, for logs and metrics.
        worker: The worker that is called.
        flow: See `orderqueue.Order`.
        max_calls: Number of calls after which a silent worker is given up.
        call: Calls the worker, which responds to the argument; returns False
            if the order may not be sent any more.
        on_end: Called once, with the number of calls and the last response;
            None if there was no call.
    """

    kind: str
    worker: fleet.Worker
    flow: str
    max_calls: int
    call: Callable[[ports.OnOutcome], bool]
    on_end: Callable[[int, ports.OrderOutcome | None], None]


def send_start(
    context: OrderContext,
    worker: fleet.Worker,
    run: ledgers.Run,
    start: StartArguments,
) -> None:
    """Send a start when it is its turn."""

    def call(on_outcome: ports.OnOutcome) -> bool:
        order = _make_start_order(context, worker, run, start)
        if order is not None:
            context.workers.start(order, _CALL_TIMEOUT_MS, on_outcome)
        return order is not None

    def end(calls: int, outcome: ports.OrderOutcome | None) -> None:
        if outcome is None:
            context.on_not_sent(run)
        elif outcome.error or (outcome.refusal is not None and calls > 1):
            # An earlier call may have started the run, which may have ended.
            context.on_unacknowledged(run)
        else:
            context.on_started(run, outcome.refusal)

    job_id = run.task.group.job_id
    delivery = _Delivery("start", worker, job_id, _MAX_START_CALLS, call, end)
    _submit(context, [delivery])


def send_stops(
    context: OrderContext, stops: list[tuple[fleet.Worker, ledgers.Run]]
) -> None:
    """Send stops when it is their turn, unless the run has ended by then."""
    for first in range(0, len(stops), _MAX_BATCH):
        batch = stops[first : first + _MAX_BATCH]
        _submit(context, [_make_stop(context, *stop) for stop in batch])


def _make_stop(
    context: OrderContext, worker: fleet.Worker, run: ledgers.Run
) -> _Delivery:
    def call(on_outcome: ports.OnOutcome) -> bool:
        return context.is_live(run) and _call_stop(
            context, worker, run.name, run.number, on_outcome
        )

    return _Delivery(
        "stop",
        worker,
        run.task.group.job_id,
        _MAX_STOP_CALLS,
        call,
        lambda calls, outcome: context.on_stopped(
            run, _is_acknowledged(outcome)
        ),
    )


def send_pace(
    context: OrderContext,
    worker: fleet.Worker,
    run: ledgers.Run,
    percent: int,
) -> None:
    """Send an order of a pace when it is its turn."""

    def call(on_outcome: ports.OnOutcome) -> bool:
        if not ownership.may_renew_worker_leases(context.tenure, context.clock):
            return False
        order = ports.PaceOrder(
            worker.info, run.name, run.number, percent, context.tenure.epoch
        )
        context.workers.pace(order, _CALL_TIMEOUT_MS, on_outcome)
        return True

    delivery = _Delivery(
        "pace",
        worker,
        run.task.group.job_id,
        _MAX_PACE_CALLS,
        call,
        lambda calls, outcome: context.on_paced(
            run, percent, _is_acknowledged(outcome)
        ),
    )
    _submit(context, [delivery])


def send_orphan_stops(
    context: OrderContext, worker: fleet.Worker, runs: list[fleet.RunKey]
) -> None:
    """Send stops for runs that the owner does not need."""

    def make_delivery(name: str, number: int) -> _Delivery:
        return _Delivery(
            "foreign_stop",
            worker,
            name.partition(".")[0],
            _MAX_STOP_CALLS,
            lambda on_outcome: (
                (name, number) in worker.orphans
                and _call_stop(context, worker, name, number, on_outcome)
            ),
            lambda calls, outcome: None,
        )

    _submit(context, [make_delivery(*run) for run in runs])


def _make_start_order(
    context: OrderContext,
    worker: fleet.Worker,
    run: ledgers.Run,
    start: StartArguments,
) -> ports.StartOrder | None:
    """Return the order to send now, or None if the run may not start now."""
    late = context.clock.now_ms() - run.since_ms > _MAX_START_DELAY_MS
    if late or not ownership.is_lease_valid(context.tenure, context.clock):
        return None
    if run.phase is not ledgers.Phase.STARTING:
        # Its job was cancelled while the start waited for its turn.
        return None
    if not context.may_start(worker.info):
        return None
    lease = fleet.grant_lease(worker, context.clock, context.lease_ms)
    if lease is None:
        return None
    return ports.StartOrder(
        worker.info,
        run.name,
        run.number,
        start.payload,
        start.checkpoint,
        lease,
        context.tenure.epoch,
        start.ticket,
    )


def _call_stop(
    context: OrderContext,
    worker: fleet.Worker,
    name: str,
    number: int,
    on_outcome: ports.OnOutcome,
) -> bool:
    if not ownership.may_renew_worker_leases(context.tenure, context.clock):
        return False
    order = ports.StopOrder(worker.info, name, number, context.tenure.epoch)
    context.workers.stop(order, _CALL_TIMEOUT_MS, on_outcome)
    return True


def _is_acknowledged(outcome: ports.OrderOutcome | None) -> bool:
    return outcome is not None and not outcome.error and outcome.refusal is None


def _submit(context: OrderContext, deliveries: list[_Delivery]) -> None:
    queued_ms = context.clock.now_ms()

    def make_order(delivery: _Delivery) -> orderqueue.Order:
        def send(finish: Callable[[bool], None]) -> None:
            _record_duration(context, "order_wait", delivery, queued_ms)
            _call(context, delivery, 0, None, finish)

        return orderqueue.Order(delivery.worker.info.id, delivery.flow, send)

    orders = [make_order(delivery) for delivery in deliveries]
    if not orderqueue.add_orders(context.queue, orders):
        # The queue is closed at the end of the tenure.
        logs.log_event("order_dropped", orders=len(orders))


def _call(
    context: OrderContext,
    delivery: _Delivery,
    calls: int,
    last: ports.OrderOutcome | None,
    finish: Callable[[bool], None],
) -> None:
    """Call the worker, again if it is silent, and report how that ended.

    After an unexpected error, the order may have been sent.
    """
    called_ms = context.clock.now_ms()
    sent = False

    def handle(outcome: ports.OrderOutcome) -> None:
        _record_duration(context, "order_call", delivery, called_ms)
        if outcome.refusal is ports.Refusal.FENCED:
            context.on_fenced(delivery.worker)
        if outcome.error:
            _call(context, delivery, calls + 1, outcome, finish)
        else:
            end(calls + 1, outcome)

    def call() -> None:
        nonlocal sent
        sent = calls < delivery.max_calls and delivery.call(handle)

    def end(calls: int, outcome: ports.OrderOutcome | None) -> None:
        supervision.run_logged(
            f"{delivery.kind}_failed", delivery.on_end, calls, outcome
        )
        finish(outcome is None or not outcome.error)

    if not supervision.run_logged(f"{delivery.kind}_failed", call):
        end(calls + 1, ports.OrderOutcome(error="unexpected error"))
    elif not sent:
        end(calls, last)


def _record_duration(
    context: OrderContext, name: str, delivery: _Delivery, since_ms: int
) -> None:
    metrics.record_duration(
        context.registry,
        name,
        context.clock.now_ms() - since_ms,
        order=delivery.kind,
    )
