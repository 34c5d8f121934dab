"""One thread per worker that renews its lease and receives its reports."""

from collections.abc import Callable
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ports

# How long a worker may wait for the end of a run before it responds to a
# renewal.
_RESPONSE_WAIT_MS = 1_500
# The next renewal waits until the ends that the last response reported are
# stored, as the worker would report them again at once. The wait is limited
# because the lease still has to be renewed.
_STORED_WAIT_MS = 700
_RETRY_PAUSE_MS = 150
# How often a thread checks whether leases may be renewed again after an outage
# of the store that was longer than the owner's grace period.
_LAPSED_PAUSE_MS = 400
# Pause after an unexpected error, which limits its log lines.
_FAILURE_PAUSE_MS = 1_000
# Tasks in a response after which the next renewal waits for each of them.
_LONG_LIST = 100
_LISTED_TASK_PAUSE_S = 0.0004
_MAX_LIST_PAUSE_S = 0.5


class LinkContext(NamedTuple):
    """What the threads of all workers share.

    Attributes:
        lease_ms: Duration of the leases of workers.
        on_renewed: Called with the worker, the time at which the renewal was
            sent, and the response.
        on_fenced: Called when a worker rejects a renewal because it has seen
            a newer epoch.
    """

    workers: ports.WorkerClient
    tenure: ownership.Tenure
    clock: clocks.Clock
    lease_ms: int
    on_renewed: Callable[[fleet.Worker, int, ports.RenewalResponse], None]
    on_fenced: Callable[[fleet.Worker], None]


def make_gate() -> threading.Event:
    """Return an event for which the threads of several workers wait.

    A thread that is at work delays the start of the next one by some
    milliseconds, so that a new owner of many workers would need seconds.
    """
    return threading.Event()


def start_link(
    context: LinkContext,
    worker: fleet.Worker,
    gate: threading.Event | None = None,
) -> threading.Thread:
    """Start a worker's thread; it ends when the tenure or the worker ends.

    Args:
        context: What the threads share.
        worker: The worker.
        gate: See `make_gate`; None to begin at once.
    """
    thread = threading.Thread(
        target=_run,
        args=(context, worker, gate),
        name=f"link-{worker.info.id}",
        daemon=True,
    )
    thread.start()
    return thread


def _run(
    context: LinkContext, worker: fleet.Worker, gate: threading.Event | None
) -> None:
    if gate is not None:
        gate.wait()
    while _is_needed(context, worker):
        if not _may_renew(context):
            worker.closing.wait(_LAPSED_PAUSE_MS / 1000)
        elif not supervision.run_logged(
            "link_failed", _renew_until_lapsed, context, worker
        ):
            worker.closing.wait(_FAILURE_PAUSE_MS / 1000)


def _is_needed(context: LinkContext, worker: fleet.Worker) -> bool:
    return not worker.closing.is_set() and not context.tenure.ended.is_set()


def _may_renew(context: LinkContext) -> bool:
    return ownership.may_renew_worker_leases(context.tenure, context.clock)


def _renew_until_lapsed(context: LinkContext, worker: fleet.Worker) -> None:
    """Renew a worker's lease while the owner may do so."""
    connection = context.workers.connect(worker.info)
    unresponsive_since_ms: int | None = None
    try:
        while _is_needed(context, worker) and _may_renew(context):
            problem = _renew_once(context, worker, connection)
            now_ms = context.clock.now_ms()
            if problem is None and unresponsive_since_ms is not None:
                logs.log_event(
                    "worker_answers_again",
                    worker=worker.info.id,
                    silent_ms=now_ms - unresponsive_since_ms,
                )
            if problem is None:
                unresponsive_since_ms = None
            elif unresponsive_since_ms is None:
                unresponsive_since_ms = now_ms
                logs.log_event(
                    "worker_silent",
                    "WARNING",
                    worker=worker.info.id,
                    detail=problem,
                    lease_left_ms=fleet.get_lease_expiry_ms(worker) - now_ms,
                )
    finally:
        connection.close()


def _renew_once(
    context: LinkContext,
    worker: fleet.Worker,
    connection: ports.WorkerConnection,
) -> str | None:
    """Send a renewal and report the response; return why it failed, or None."""
    sent_ms = 0
    previous_until_ms, granted_until_ms = worker.lease_until_ms, None

    def make_renewal(is_new: bool) -> ports.Renewal:
        nonlocal sent_ms, previous_until_ms, granted_until_ms
        sent_ms, previous_until_ms = (
            context.clock.now_ms(),
            worker.lease_until_ms,
        )
        granted_until_ms = fleet.grant_lease(
            worker, context.clock, context.lease_ms
        )
        # A new connection may reach a restarted worker, whose ends must not be
        # acknowledged with the numbers of the previous incarnation.
        acknowledge_none = is_new or worker.last_response_ms is None
        list_now = (
            acknowledge_none
            or worker.list_soon
            or worker.applied_number > worker.stored_number
        )
        worker.list_soon = False
        return ports.Renewal(
            worker.info,
            context.tenure.epoch,
            granted_until_ms,
            0 if acknowledge_none else worker.stored_number,
            0 if list_now else worker.max_wait_ms or _RESPONSE_WAIT_MS,
        )

    worker.stored.clear()
    try:
        response = connection.renew(make_renewal)
    except ports.WorkerSilentError as error:
        worker.closing.wait(_RETRY_PAUSE_MS / 1000)
        return str(error)
    if isinstance(response, ports.Refusal):
        if response is ports.Refusal.FENCED:
            context.on_fenced(worker)
        if response is ports.Refusal.GONE and granted_until_ms is not None:
            # Another worker responds at this address: no lease was renewed.
            fleet.revert_lease(worker, granted_until_ms, previous_until_ms)
        worker.closing.wait(_RETRY_PAUSE_MS / 1000)
        return response
    fleet.record_arrival(worker, context.clock.now_ms())
    context.on_renewed(worker, sent_ms, response)
    if response.started_ms > worker.info.started_ms:
        # Renewals by this record would acknowledge ends by the numbers of the
        # earlier incarnation; the owner now replaces it.
        worker.closing.wait()
        return None
    if response.started_ms < worker.info.started_ms:
        worker.closing.wait(_RETRY_PAUSE_MS / 1000)
        return "earlier_incarnation"
    listed = len(response.running) + len(response.ended)
    if listed > _LONG_LIST:
        # A worker whose thousands of tasks end one by one would otherwise keep
        # the owner busy with its lists.
        pause_s = min(_MAX_LIST_PAUSE_S, listed * _LISTED_TASK_PAUSE_S)
        worker.closing.wait(pause_s)
    if any(end.number > worker.stored_number for end in response.ended):
        worker.stored.wait(_STORED_WAIT_MS / 1000)
    elif worker.pause_ms and not worker.closing.is_set():
        worker.wake.wait(worker.pause_ms / 1000)
    worker.wake.clear()
    return None
