"""Which workers may run a step, by the platform's recommendation service.

Queues can leave the choice of workers to a policy that only this service
knows. It answers for a list of workers and gives a ticket for each that may
run the step; a start without a valid ticket is refused. The service handles
one call of a host at a time, so one thread asks, the most urgent step first.
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

# Workers named in one call; more make the step wait longer for the answer.
_MAX_NAMED = 30
# A ticket has to outlast the write before a start and the start itself.
_TICKET_MARGIN_MS = 400
# For the calls of this host that the service is still handling.
_CALL_SLACK_MS = 1_500
_RETRY_MS = 200

Rank = tuple[int, int]


class _Ticket(NamedTuple):
    text: str
    born_ms: int
    until_ms: int


class StepAdvice:
    """What is known of one step.

    Attributes:
        tickets: Latest ticket by worker.
        barred: Workers that may not run the step; that does not change.
        asking: Whether a call for it is waiting or under way.
        not_before_ms: Monotonic time before which it is not asked again.
    """

    def __init__(self) -> None:
        self.tickets: dict[str, _Ticket] = {}
        self.barred: set[str] = set()
        self.asking = False
        self.not_before_ms = 0


class Ask(NamedTuple):
    """A call to make.

    Attributes:
        rank: Calls of a lower rank are made first.
        born_ms: Times of birth by worker, the workers to name.
    """

    rank: Rank
    number: int
    group: taskjobs.Group
    born_ms: dict[str, int]
    terms: queues.AdviceLatency


class Advice:
    """What a tenure knows, and the calls that wait. Owner's thread only."""

    def __init__(self) -> None:
        self.steps: dict[taskjobs.Group, StepAdvice] = {}
        self.asks: queue.PriorityQueue[Ask] = queue.PriorityQueue()
        self.numbers = itertools.count()


class AskContext(NamedTuple):
    """What the thread that asks needs.

    Attributes:
        on_answered: Called with the call and its answer, or None.
    """

    advise: ports.Advise
    clock: clocks.Clock
    ended: threading.Event
    on_answered: Callable[[Ask, ports.Recommendation | None], None]


def list_usable(
    advice: Advice,
    group: taskjobs.Group,
    workers: dict[str, fleet.Worker],
    now_ms: int,
) -> frozenset[str]:
    """Return the workers for which a ticket is at hand."""
    known = advice.steps.get(group)
    if known is None:
        return frozenset()
    return frozenset(
        worker_id
        for worker_id in known.tickets
        if worker_id in workers
        and get_ticket(advice, group, workers[worker_id], now_ms)
    )


def get_ticket(
    advice: Advice, group: taskjobs.Group, worker: fleet.Worker, now_ms: int
) -> str:
    """Return a ticket that is valid for a start now; empty if there is none."""
    known = advice.steps.get(group)
    ticket = known and known.tickets.get(worker.info.id)
    if not ticket or ticket.born_ms != worker.info.born_ms:
        return ""
    if now_ms + _TICKET_MARGIN_MS >= ticket.until_ms:
        return ""
    return ticket.text


def drop_ticket(advice: Advice, group: taskjobs.Group, worker_id: str) -> None:
    """Forget a ticket that a worker has refused."""
    known = advice.steps.get(group)
    if known is not None:
        known.tickets.pop(worker_id, None)


def drop_job(advice: Advice, job_id: str) -> None:
    """Forget the steps of a job that has ended."""
    for group in [g for g in advice.steps if g.job_id == job_id]:
        del advice.steps[group]


def ask(
    advice: Advice,
    group: taskjobs.Group,
    rank: Rank,
    candidates: Iterable[fleet.Worker],
    terms: queues.AdviceLatency,
    now_ms: int,
) -> None:
    """Have the service asked for workers without a ticket, best ones first."""
    known = advice.steps.setdefault(group, StepAdvice())
    if known.asking or now_ms < known.not_before_ms:
        return
    wanted = (
        worker
        for worker in candidates
        if worker.info.id not in known.barred
        and not get_ticket(advice, group, worker, now_ms)
    )
    named = {
        worker.info.id: worker.info.born_ms
        for worker in itertools.islice(wanted, _MAX_NAMED)
    }
    if named:
        known.asking = True
        advice.asks.put(Ask(rank, next(advice.numbers), group, named, terms))


def note_answer(
    advice: Advice, made: Ask, answer: ports.Recommendation | None, now_ms: int
) -> None:
    """Take over an answer, or that there was none."""
    known = advice.steps.get(made.group)
    if known is None:
        return
    known.asking = False
    if answer is None:
        known.not_before_ms = now_ms + _RETRY_MS
        return
    for worker_id, born_ms in made.born_ms.items():
        text = answer.tickets.get(worker_id)
        if text is None:
            known.barred.add(worker_id)
        else:
            until_ms = now_ms + answer.valid_ms
            known.tickets[worker_id] = _Ticket(text, born_ms, until_ms)
    logs.log_event(
        "step_advised",
        job=made.group.job_id,
        occurrence=made.group.occurrence,
        step=made.group.step,
        named=len(made.born_ms),
        approved=len(answer.tickets),
        valid_ms=answer.valid_ms,
    )


def start_asking(context: AskContext, advice: Advice) -> threading.Thread:
    """Start the thread that makes the calls in turn; return it."""
    thread = threading.Thread(
        target=_run, args=(context, advice), name="advice", daemon=True
    )
    thread.start()
    return thread


def _run(context: AskContext, advice: Advice) -> None:
    while not context.ended.is_set():
        try:
            made = advice.asks.get(timeout=_RETRY_MS / 1000)
        except queue.Empty:
            continue
        supervision.run_logged("advice_failed", _ask_once, context, made)


def _ask_once(context: AskContext, made: Ask) -> None:
    named = tuple(made.born_ms)
    expected_ms = made.terms.decision_ms + made.terms.worker_ms * len(named)
    answer = None
    try:
        answer = context.advise(
            taskjobs.format_group(made.group),
            named,
            2 * expected_ms + _CALL_SLACK_MS,
        )
    except ports.AdviserSilentError as error:
        logs.log_event(
            "advice_missing",
            "WARNING",
            job=made.group.job_id,
            named=len(named),
            detail=error,
        )
    finally:
        context.on_answered(made, answer)
