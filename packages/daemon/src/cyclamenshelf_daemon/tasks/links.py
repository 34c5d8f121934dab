"""One thread for each worker: renews its lease and hears what runs there."""

from collections.abc import Callable
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ports

# How long a worker may wait for an end before it answers a renewal.
_WAIT_MS = 1_500
# A renewal is not sent again before the ends of the last one are stored, as
# the worker would list them again at once; leases still have to be renewed.
_STORED_WAIT_MS = 700
_PAUSE_MS = 150


class LinkContext(NamedTuple):
    """What the threads of all links share.

    Attributes:
        lease_ms: Length of the leases of workers.
        on_look: Called with the worker, the time of sending and the answer.
        on_fenced: Called when a worker has seen a newer epoch.
    """

    workers: ports.Workers
    tenure: ownership.Tenure
    clock: clocks.Clock
    lease_ms: int
    on_look: Callable[[fleet.Worker, int, ports.Look], None]
    on_fenced: Callable[[fleet.Worker], None]


def start_link(context: LinkContext, worker: fleet.Worker) -> threading.Thread:
    """Start the thread of a worker; it ends with the tenure or the worker."""
    thread = threading.Thread(
        target=supervision.run_logged,
        args=("link_failed", _run, context, worker),
        name=f"link-{worker.info.id}",
        daemon=True,
    )
    thread.start()
    return thread


def _run(context: LinkContext, worker: fleet.Worker) -> None:
    connection = context.workers.connect(worker.info)
    silent_since_ms: int | None = None
    try:
        while _goes_on(context, worker):
            problem = _look_once(context, worker, connection)
            now_ms = context.clock.now_ms()
            if problem is None and silent_since_ms is not None:
                logs.log_event(
                    "worker_answers_again",
                    worker=worker.info.id,
                    silent_ms=now_ms - silent_since_ms,
                )
            if problem is None:
                silent_since_ms = None
            elif silent_since_ms is None:
                silent_since_ms = now_ms
                logs.log_event(
                    "worker_silent",
                    "WARNING",
                    worker=worker.info.id,
                    detail=problem,
                )
    finally:
        connection.close()


def _goes_on(context: LinkContext, worker: fleet.Worker) -> bool:
    return not worker.closing.is_set() and ownership.may_hold_workers(
        context.tenure, context.clock
    )


def _look_once(
    context: LinkContext,
    worker: fleet.Worker,
    connection: ports.WorkerConnection,
) -> str | None:
    """Renew once and hand on the answer; return why there was none."""
    sent_ms = 0
    before_ms, lease = worker.lease_until_ms, None

    def make_renewal(new: bool) -> ports.Renewal:
        nonlocal sent_ms, before_ms, lease
        sent_ms, before_ms = context.clock.now_ms(), worker.lease_until_ms
        lease = fleet.grant_lease(worker, context.clock, context.lease_ms)
        # A new connection may lead to a new life of the worker, whose ends
        # must not be confirmed by the numbers of the last one.
        fresh = new or worker.last_response_ms is None
        return ports.Renewal(
            worker.info,
            context.tenure.epoch,
            lease,
            0 if fresh else worker.stored_number,
            0
            if fresh or worker.applied_number > worker.stored_number
            else _WAIT_MS,
        )

    worker.stored.clear()
    try:
        answer = connection.look(make_renewal)
    except ports.WorkerSilentError as error:
        worker.closing.wait(_PAUSE_MS / 1000)
        return str(error)
    if isinstance(answer, ports.Refusal):
        if answer is ports.Refusal.FENCED:
            context.on_fenced(worker)
        if answer is ports.Refusal.GONE and lease is not None:
            # Another worker answers at its address: nothing was renewed.
            fleet.revert_lease(worker, lease, before_ms)
        worker.closing.wait(_PAUSE_MS / 1000)
        return answer
    context.on_look(worker, sent_ms, answer)
    if any(end.number > worker.stored_number for end in answer.ended):
        worker.stored.wait(_STORED_WAIT_MS / 1000)
    elif worker.pause_ms and not worker.closing.is_set():
        worker.wake.wait(worker.pause_ms / 1000)
    worker.wake.clear()
    return None
