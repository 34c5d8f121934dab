"""Requests to the platform's recommendation service for workers of a step.

A queue can leave the choice of workers to a policy that only this service
implements. A request names workers, and the response has a ticket for each one
that may run the step; a start without a valid ticket is refused. The service
handles one call of a host at a time, so a single thread sends the requests,
that of the most urgent step first.
"""

from collections.abc import Callable
from collections.abc import Iterable
import itertools
import queue
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues

# Workers named in one call; the response takes longer the more there are.
_MAX_WORKERS_PER_CALL = 30
# A ticket has to remain valid during the write before a start and the start.
_TICKET_MARGIN_MS = 400
# Extra timeout for earlier calls of this host that the service still handles.
_QUEUEING_MARGIN_MS = 1_500
_RETRY_MS = 200

Rank = tuple[int, int]


class _Ticket(NamedTuple):
    text: str
    worker_started_ms: int
    until_ms: int


class StepAdvice:
    """Tickets and pending request of one step.

    Attributes:
        tickets: Latest ticket by worker.
        denied: Workers that may not run the step, which is final.
        pending: Whether a request for it is queued or in progress.
        not_before_ms: Monotonic time of the next permitted request.
    """

    def __init__(self) -> None:
        self.tickets: dict[str, _Ticket] = {}
        self.denied: set[str] = set()
        self.pending = False
        self.not_before_ms = 0


class AdviceRequest(NamedTuple):
    """A queued request for tickets.

    Attributes:
        rank: Requests with a lower rank are sent first.
        start_times: Unix start time in ms of each worker to name, by id.
    """

    rank: Rank
    number: int
    group: taskjobs.Group
    start_times: dict[str, int]
    terms: queues.AdviceLatency


class Advice:
    """Advice on all steps in a tenure, and the queue of requests.

    Only the owner's thread accesses `steps` and `numbers`.
    """

    def __init__(self) -> None:
        self.steps: dict[taskjobs.Group, StepAdvice] = {}
        self.requests: queue.PriorityQueue[AdviceRequest] = (
            queue.PriorityQueue()
        )
        self.numbers = itertools.count()


class RequestContext(NamedTuple):
    """Dependencies of the thread that sends requests.

    Attributes:
        on_answered: Called with the request and the response, or None if
            there was none.
    """

    advise: ports.Advise
    clock: clocks.Clock
    ended: threading.Event
    on_answered: Callable[[AdviceRequest, ports.Recommendation | None], None]


def list_approved_workers(
    advice: Advice,
    group: taskjobs.Group,
    workers: dict[str, fleet.Worker],
    now_ms: int,
) -> frozenset[str]:
    """Return the workers with a valid ticket for a step."""
    step_advice = advice.steps.get(group)
    if step_advice is None:
        return frozenset()
    return frozenset(
        worker_id
        for worker_id in step_advice.tickets
        if worker_id in workers
        and get_ticket(advice, group, workers[worker_id], now_ms)
    )


def get_ticket(
    advice: Advice, group: taskjobs.Group, worker: fleet.Worker, now_ms: int
) -> str:
    """Return a ticket valid for a start now, or "" if there is none."""
    step_advice = advice.steps.get(group)
    ticket = step_advice and step_advice.tickets.get(worker.info.id)
    if not ticket or ticket.worker_started_ms != worker.info.started_ms:
        return ""
    if now_ms + _TICKET_MARGIN_MS >= ticket.until_ms:
        return ""
    return ticket.text


def drop_ticket(advice: Advice, group: taskjobs.Group, worker_id: str) -> None:
    """Remove a ticket that a worker has refused."""
    step_advice = advice.steps.get(group)
    if step_advice is not None:
        step_advice.tickets.pop(worker_id, None)


def drop_job(advice: Advice, job_id: str) -> None:
    """Remove the advice on the steps of a removed job."""
    for group in [g for g in advice.steps if g.job_id == job_id]:
        del advice.steps[group]


def request_advice(
    advice: Advice,
    group: taskjobs.Group,
    rank: Rank,
    candidates: Iterable[fleet.Worker],
    terms: queues.AdviceLatency,
    now_ms: int,
) -> None:
    """Queue a request for the first candidates without a ticket."""
    step_advice = advice.steps.setdefault(group, StepAdvice())
    if step_advice.pending or now_ms < step_advice.not_before_ms:
        return
    candidates_without_ticket = (
        worker
        for worker in candidates
        if worker.info.id not in step_advice.denied
        and not get_ticket(advice, group, worker, now_ms)
    )
    start_times = {
        worker.info.id: worker.info.started_ms
        for worker in itertools.islice(
            candidates_without_ticket, _MAX_WORKERS_PER_CALL
        )
    }
    if start_times:
        step_advice.pending = True
        advice.requests.put(
            AdviceRequest(rank, next(advice.numbers), group, start_times, terms)
        )


def record_response(
    advice: Advice,
    request: AdviceRequest,
    response: ports.Recommendation | None,
    now_ms: int,
) -> None:
    """Apply a response, or delay the next request if there was none."""
    step_advice = advice.steps.get(request.group)
    if step_advice is None:
        return
    step_advice.pending = False
    if response is None:
        step_advice.not_before_ms = now_ms + _RETRY_MS
        return
    for worker_id, started_ms in request.start_times.items():
        text = response.tickets.get(worker_id)
        if text is None:
            step_advice.denied.add(worker_id)
        else:
            until_ms = now_ms + response.valid_ms
            step_advice.tickets[worker_id] = _Ticket(text, started_ms, until_ms)
    logs.log_event(
        "step_advised",
        job=request.group.job_id,
        occurrence=request.group.occurrence,
        step=request.group.step,
        named=len(request.start_times),
        approved=len(response.tickets),
        valid_ms=response.valid_ms,
    )


def start_requests(context: RequestContext, advice: Advice) -> threading.Thread:
    """Start the thread that sends the requests one by one; return it."""
    thread = threading.Thread(
        target=_run, args=(context, advice), name="advice", daemon=True
    )
    thread.start()
    return thread


def _run(context: RequestContext, advice: Advice) -> None:
    while not context.ended.is_set():
        try:
            request = advice.requests.get(timeout=_RETRY_MS / 1000)
        except queue.Empty:
            continue
        supervision.run_logged("advice_failed", _send_request, context, request)


def _send_request(context: RequestContext, request: AdviceRequest) -> None:
    worker_ids = tuple(request.start_times)
    expected_ms = request.terms.decision_ms + request.terms.worker_ms * len(
        worker_ids
    )
    response = None
    try:
        response = context.advise(
            taskjobs.format_group(request.group),
            worker_ids,
            2 * expected_ms + _QUEUEING_MARGIN_MS,
        )
    except ports.AdviserSilentError as error:
        logs.log_event(
            "advice_missing",
            "WARNING",
            job=request.group.job_id,
            named=len(worker_ids),
            detail=error,
        )
    finally:
        context.on_answered(request, response)
