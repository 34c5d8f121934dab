"""State of the owner, which only its own thread touches."""

from collections.abc import Callable
import concurrent.futures
import queue
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon.tasks import advice
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import links
from cyclamenshelf_daemon.tasks import orders
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues
from cyclamenshelf_daemon.tasks import submission

_POOL_THREADS = 32
_RETRY_GROUP_MS = 150
# The end of a lease that an earlier owner may have given as it was lost.
_SLOW_CLOCK = 0.98
_HANDOVER_MARGIN_MS = 500


class OwnerContext(NamedTuple):
    """What owning needs.

    Attributes:
        workers_table: Table in which workers list themselves.
        decode_worker: Returns the worker of a row, or None if it names none.
        get_lists: Returns the lists in force.
        lease_ms: Length of the leases of workers.
        keep_ended_ms: How long the rows of ended jobs are kept.
        advise: Asks which workers may run a step; None if no queue has it.
    """

    store: ports.Store
    workers: ports.WorkerClient
    clock: clocks.Clock
    workers_table: str
    decode_worker: Callable[[ports.Row], ports.WorkerInfo | None]
    get_lists: Callable[[], queues.Lists]
    lease_ms: int
    keep_ended_ms: int
    advise: ports.Advise | None = None


class Owner:
    """One tenure.

    Attributes:
        unheard: Workers that are stored with unfinished jobs and have not
            answered under this epoch.
        clear_ms: Monotonic time from which nothing of an earlier owner runs
            on a worker that has not answered.
        listed: Workers in the platform's list by id; None before it was read.
        settled_ms: Monotonic time until which the first decision waits for
            workers that have not answered yet; tasks would otherwise go far
            from data whose workers answer a moment later.
        listed_ms: Monotonic time at which the list was last gone through.
        changed: Whether something has happened that a decision may turn on.
        decided_ms: Monotonic time of the last decision.
        pause_ms: Least time from that decision to the next.
        links: What the threads of all workers share; set at the start.
        orders: What orders need; set at the start.
    """

    def __init__(self, context: OwnerContext, tenure: ownership.Tenure) -> None:
        self.context = context
        self.tenure = tenure
        self.ledger = ledgers.Ledger(tenure.epoch)
        self.workers: dict[str, fleet.Worker] = {}
        self.calls: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self.batches: queue.SimpleQueue = queue.SimpleQueue()
        self.writing = False
        self.changed = True
        self.decided_ms = 0
        self.pause_ms = 0
        self.unheard: set[str] = set()
        self.clear_ms = (
            context.clock.now_ms()
            + ownership.GRACE_MS
            + int(context.lease_ms / _SLOW_CLOCK)
            + _HANDOVER_MARGIN_MS
        )
        self.listed: dict[str, ports.WorkerInfo] | None = None
        self.settled_ms = 0
        self.listed_ms = 0
        self.advice = advice.Advice()
        self.work = following.TableCopy(submission.WORK_TABLE)
        self.pool = concurrent.futures.ThreadPoolExecutor(_POOL_THREADS)
        self.links: links.LinkContext | None = None
        self.orders: orders.OrderContext | None = None


def post(owner: Owner, call: Callable[[], None]) -> None:
    """Have a function called in the owner's thread."""
    owner.calls.put(call)


def is_live(owner: Owner, run: ledgers.Run) -> bool:
    """Return whether a run still holds room in the book."""
    return owner.ledger.runs.get(run.task) is run


def withdraw_run(owner: Owner, run: ledgers.Run, now_ms: int) -> None:
    """Take out a run that surely never began."""
    ledgers.remove_run(owner.ledger, run)
    ledgers.stop_others(owner.ledger, run, "member_not_started")
    ledgers.delay_group(owner.ledger, run.task.group, now_ms, _RETRY_GROUP_MS)
    owner.changed = True
