"""Send orders to workers, each in a thread of a pool."""

from collections.abc import Callable
import concurrent.futures
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ports

# An order whose response is lost is sent again with the same run number; a
# worker carries out each run number only once.
_MAX_START_CALLS = 2
_MAX_STOP_CALLS = 3
_CALL_TIMEOUT_MS = 700
# A start that is not sent within this time is returned to the queue.
_MAX_START_DELAY_MS = 1_500


class OrderContext(NamedTuple):
    """Dependencies of the functions that send orders.

    Attributes:
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
    """

    workers: ports.WorkerClient
    start_pool: concurrent.futures.ThreadPoolExecutor
    stop_pool: concurrent.futures.ThreadPoolExecutor
    tenure: ownership.Tenure
    clock: clocks.Clock
    lease_ms: int
    may_start: Callable[[ports.WorkerInfo], bool]
    on_started: Callable[[ledgers.Run, ports.Refusal | None], None]
    on_unacknowledged: Callable[[ledgers.Run], None]
    on_not_sent: Callable[[ledgers.Run], None]
    on_stopped: Callable[[ledgers.Run, bool], None]
    on_fenced: Callable[[fleet.Worker], None]
    on_paced: Callable[[ledgers.Run, int, bool], None]


class StartArguments(NamedTuple):
    """Contents of a start order; see `ports.StartOrder`."""

    payload: str
    checkpoint: str
    ticket: str


def send_start(
    context: OrderContext,
    worker: fleet.Worker,
    run: ledgers.Run,
    start: StartArguments,
) -> None:
    """Send a start in a thread of the pool."""
    _submit(
        context,
        context.start_pool,
        "start_failed",
        _deliver_or_give_up_start,
        worker,
        run,
        start,
    )


def send_stop(
    context: OrderContext, worker: fleet.Worker, run: ledgers.Run
) -> None:
    """Send a stop in a thread of the pool."""
    _submit(
        context,
        context.stop_pool,
        "stop_failed",
        _deliver_or_give_up_stop,
        worker,
        run,
    )


def send_pace(
    context: OrderContext,
    worker: fleet.Worker,
    run: ledgers.Run,
    percent: int,
) -> None:
    """Send an order of a pace in a thread of the pool for stops."""
    _submit(
        context,
        context.stop_pool,
        "pace_failed",
        _deliver_or_give_up_pace,
        worker,
        run,
        percent,
    )


def send_orphan_stop(
    context: OrderContext, worker: fleet.Worker, name: str, number: int
) -> None:
    """Send a stop for a run that the owner does not need."""
    _submit(
        context,
        context.stop_pool,
        "foreign_stop_failed",
        _deliver_orphan_stop,
        worker,
        name,
        number,
    )


def _submit(
    context: OrderContext,
    pool: concurrent.futures.ThreadPoolExecutor,
    event: str,
    call: Callable,
    *arguments: object,
) -> None:
    try:
        pool.submit(supervision.run_logged, event, call, context, *arguments)
    except RuntimeError:
        # The pool is shut down at the end of the tenure.
        logs.log_event("order_dropped", order=event)


def _deliver_or_give_up_start(
    context: OrderContext,
    worker: fleet.Worker,
    run: ledgers.Run,
    start: StartArguments,
) -> None:
    """Send a start; after an unexpected error, it may have been sent."""
    if not supervision.run_logged(
        "start_failed", _deliver_start, context, worker, run, start
    ):
        context.on_unacknowledged(run)


def _deliver_start(
    context: OrderContext,
    worker: fleet.Worker,
    run: ledgers.Run,
    start: StartArguments,
) -> None:
    calls = 0
    for _ in range(_MAX_START_CALLS):
        late = context.clock.now_ms() - run.since_ms > _MAX_START_DELAY_MS
        if late or not ownership.is_lease_valid(context.tenure, context.clock):
            break
        if not context.may_start(worker.info):
            break
        lease = fleet.grant_lease(worker, context.clock, context.lease_ms)
        if lease is None:
            break
        order = ports.StartOrder(
            worker.info,
            taskjobs.format_task(run.task),
            run.number,
            start.payload,
            start.checkpoint,
            lease,
            context.tenure.epoch,
            start.ticket,
        )
        calls += 1
        try:
            refusal = context.workers.start(order, _CALL_TIMEOUT_MS)
        except ports.WorkerSilentError:
            continue
        if refusal is ports.Refusal.FENCED:
            context.on_fenced(worker)
        if refusal is not None and calls > 1:
            # The first call may have started the run, which may have ended.
            break
        context.on_started(run, refusal)
        return
    if calls:
        context.on_unacknowledged(run)
    else:
        context.on_not_sent(run)


def _deliver_or_give_up_stop(
    context: OrderContext, worker: fleet.Worker, run: ledgers.Run
) -> None:
    """Send a stop; after an unexpected error, it has to be sent again."""
    if not supervision.run_logged(
        "stop_failed", _deliver_stop, context, worker, run
    ):
        context.on_stopped(run, False)


def _deliver_stop(
    context: OrderContext, worker: fleet.Worker, run: ledgers.Run
) -> None:
    name = taskjobs.format_task(run.task)
    acknowledged = _call_stop(context, worker, name, run.number)
    context.on_stopped(run, acknowledged)


def _deliver_or_give_up_pace(
    context: OrderContext,
    worker: fleet.Worker,
    run: ledgers.Run,
    percent: int,
) -> None:
    """Send an order of a pace once; after an error, it is ordered again."""
    if not supervision.run_logged(
        "pace_failed", _deliver_pace, context, worker, run, percent
    ):
        context.on_paced(run, percent, False)


def _deliver_pace(
    context: OrderContext,
    worker: fleet.Worker,
    run: ledgers.Run,
    percent: int,
) -> None:
    acknowledged = False
    if ownership.may_renew_worker_leases(context.tenure, context.clock):
        order = ports.PaceOrder(
            worker.info,
            taskjobs.format_task(run.task),
            run.number,
            percent,
            context.tenure.epoch,
        )
        try:
            refusal = context.workers.pace(order, _CALL_TIMEOUT_MS)
        except ports.WorkerSilentError:
            refusal = ports.Refusal.UNHEALTHY
        if refusal is ports.Refusal.FENCED:
            context.on_fenced(worker)
        acknowledged = refusal is None
    context.on_paced(run, percent, acknowledged)


def _deliver_orphan_stop(
    context: OrderContext, worker: fleet.Worker, name: str, number: int
) -> None:
    _call_stop(context, worker, name, number)


def _call_stop(
    context: OrderContext, worker: fleet.Worker, name: str, number: int
) -> bool:
    order = ports.StopOrder(worker.info, name, number, context.tenure.epoch)
    for _ in range(_MAX_STOP_CALLS):
        if not ownership.may_renew_worker_leases(context.tenure, context.clock):
            return False
        try:
            refusal = context.workers.stop(order, _CALL_TIMEOUT_MS)
        except ports.WorkerSilentError:
            continue
        if refusal is ports.Refusal.FENCED:
            context.on_fenced(worker)
        return refusal is None
    return False
