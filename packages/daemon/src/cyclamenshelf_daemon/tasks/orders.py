"""Sending orders to workers, each in a thread of a pool."""

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

# An order whose answer is lost is sent again with the same run number, which
# a worker carries out once only.
_START_TRIES = 2
_STOP_TRIES = 3
_CALL_MS = 700
# A start that has not left in time goes back to the queue instead.
_STALE_MS = 1_500


class OrderContext(NamedTuple):
    """What orders need.

    Attributes:
        on_started: Called with the run and the refusal, or None if it runs.
        on_unanswered: Called with a run whose start got no answer.
        on_not_sent: Called with a run whose start was surely not sent.
        on_stopped: Called with the run and whether the stop was answered.
        on_fenced: Called when a worker has seen a newer epoch.
    """

    workers: ports.WorkerClient
    pool: concurrent.futures.ThreadPoolExecutor
    tenure: ownership.Tenure
    clock: clocks.Clock
    lease_ms: int
    on_started: Callable[[ledgers.Run, ports.Refusal | None], None]
    on_unanswered: Callable[[ledgers.Run], None]
    on_not_sent: Callable[[ledgers.Run], None]
    on_stopped: Callable[[ledgers.Run, bool], None]
    on_fenced: Callable[[fleet.Worker], None]


class Start(NamedTuple):
    """What a start carries; see `ports.StartOrder`."""

    payload: str
    checkpoint: str
    ticket: str


def send_start(
    context: OrderContext,
    worker: fleet.Worker,
    run: ledgers.Run,
    start: Start,
) -> None:
    """Send a start in a thread of the pool."""
    _submit(context, "start_failed", _start, worker, run, start)


def send_stop(
    context: OrderContext, worker: fleet.Worker, run: ledgers.Run
) -> None:
    """Send a stop in a thread of the pool."""
    _submit(context, "stop_failed", _stop, worker, run)


def send_foreign_stop(
    context: OrderContext, worker: fleet.Worker, name: str, number: int
) -> None:
    """Stop a run that the owner has no use for."""
    _submit(context, "foreign_stop_failed", _stop_foreign, worker, name, number)


def _submit(
    context: OrderContext, event: str, call: Callable, *arguments: object
) -> None:
    try:
        context.pool.submit(
            supervision.run_logged, event, call, context, *arguments
        )
    except RuntimeError:
        # The pool is closed with the tenure; nothing is sent any more.
        logs.log_event("order_dropped", order=event)


def _start(
    context: OrderContext,
    worker: fleet.Worker,
    run: ledgers.Run,
    start: Start,
) -> None:
    tries = 0
    for _ in range(_START_TRIES):
        late = context.clock.now_ms() - run.since_ms > _STALE_MS
        if late or not ownership.is_lease_valid(context.tenure, context.clock):
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
        tries += 1
        try:
            refusal = context.workers.start(order, _CALL_MS)
        except ports.WorkerSilentError:
            continue
        if refusal is ports.Refusal.FENCED:
            context.on_fenced(worker)
        if refusal is not None and tries > 1:
            # The first try may have run and ended.
            break
        context.on_started(run, refusal)
        return
    if tries:
        context.on_unanswered(run)
    else:
        context.on_not_sent(run)


def _stop(
    context: OrderContext, worker: fleet.Worker, run: ledgers.Run
) -> None:
    name = taskjobs.format_task(run.task)
    answered = _send_stop(context, worker, name, run.number)
    context.on_stopped(run, answered)


def _stop_foreign(
    context: OrderContext, worker: fleet.Worker, name: str, number: int
) -> None:
    _send_stop(context, worker, name, number)


def _send_stop(
    context: OrderContext, worker: fleet.Worker, name: str, number: int
) -> bool:
    order = ports.StopOrder(worker.info, name, number, context.tenure.epoch)
    for _ in range(_STOP_TRIES):
        if not ownership.may_renew_worker_leases(context.tenure, context.clock):
            return False
        try:
            refusal = context.workers.stop(order, _CALL_MS)
        except ports.WorkerSilentError:
            continue
        if refusal is ports.Refusal.FENCED:
            context.on_fenced(worker)
        return refusal is None
    return False
