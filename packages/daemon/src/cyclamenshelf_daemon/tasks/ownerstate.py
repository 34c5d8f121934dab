"""State of the owner, which only the owner's thread accesses."""

from collections.abc import Callable
import queue
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import planstate
from cyclamenshelf_core import progresspages
from cyclamenshelf_core.pacing import control
from cyclamenshelf_core.stopping import losses
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import advice
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import links
from cyclamenshelf_daemon.tasks import orders
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import pendingjobs
from cyclamenshelf_daemon.tasks import pendingreasons
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues
from cyclamenshelf_daemon.tasks import submission
from cyclamenshelf_daemon.tasks.admission import publishing
from cyclamenshelf_daemon.tasks.endings import stops
from cyclamenshelf_daemon.tasks.evacuation import requests
from cyclamenshelf_daemon.tasks.sending import orderqueue
from cyclamenshelf_daemon.tasks.workerprofiles import storedstate

_RETRY_GROUP_MS = 150
# Slowest rate of a worker's clock: bounds the end of a lease that an earlier
# owner granted at the end of its tenure.
_MIN_CLOCK_RATE = 0.98
_HANDOVER_MARGIN_MS = 500
# Nothing is started by a list of workers that is older.
_MAX_LIST_AGE_MS = 2_500


class OwnerContext(NamedTuple):
    """Dependencies and settings of an owner.

    Attributes:
        workers_table: Table in which workers register.
        decode_worker: Returns the worker of a row, or None if it names none.
        get_lists: Returns the lists in force.
        evacuations: The operators' requests to empty data centres.
        lease_ms: Length of the leases of workers.
        max_lease_ms: Longest lease that a worker accepts.
        keep_ended_ms: How long the rows of ended jobs are kept.
        registry: Keeps the owner's metrics.
        advise: Requests which workers may run a step; None without a
            recommendation service.
        max_row_bytes: Size of the largest row that the store accepts.
        stop_terms: How workers stop tasks and resume them.
        pacing_terms: How workers slow tasks down; None if they can't.
        remote_penalty: How many times as long a task takes off the rack that
            it prefers.
    """

    store: ports.Store
    workers: ports.WorkerClient
    clock: clocks.Clock
    workers_table: str
    decode_worker: Callable[[ports.Row], ports.WorkerInfo | None]
    get_lists: Callable[[], queues.Lists]
    evacuations: requests.Requests
    lease_ms: int
    max_lease_ms: int
    keep_ended_ms: int
    registry: metrics.Metrics
    advise: ports.Advise | None = None
    max_row_bytes: int = progresspages.DEFAULT_MAX_ROW_BYTES
    stop_terms: losses.StopTerms = losses.DEFAULT_TERMS
    pacing_terms: control.PacingTerms | None = None
    remote_penalty: float = planstate.NO_OUTLOOK.remote_penalty


class Owner:
    """State of an owner during one tenure.

    Attributes:
        unconfirmed_workers: Workers that are stored with unfinished jobs and
            have not responded in this epoch.
        unconfirmed_until_ms: Monotonic time from which no task of an earlier
            owner runs on a worker that has not responded.
        workers_copy: Copy of the platform's list of workers.
        log_limiter: Limits the lines of events that may come often.
        listed_workers: Workers in the platform's list by id; None before the
            list was read.
        evacuations: Data centres that operators have asked to empty, and since
            when the owner knows.
        emptied_data_centres: Those of them that run no tasks any more.
        evacuation_due_ms: Monotonic time of the next report on them.
        moves_due_ms: Monotonic time of the next choice of tasks to move.
        unreadable_workers: Ids whose latest entry in that list cannot be
            decoded.
        settle_until_ms: Monotonic time until which the first decision waits
            for workers that have not responded. Otherwise tasks would be
            placed far from data whose workers respond shortly afterwards.
        synced_ms: Monotonic time of the last synchronisation of the workers
            with the list.
        changed: Whether an event since the last decision may affect the next.
        decided_ms: Monotonic time of the last decision.
        pause_ms: Minimum time from that decision to the next.
        decision: What that decision left waiting.
        lone_cancellations: Cancellations of jobs that are not stored: version
            of the row and Unix time of the request, by job.
        sightings: When jobs were last known to run.
        paces: Pace of the best-effort tasks by worker, where they run beside
            latency-sensitive ones.
        profiles: State of the rows that keep what has been learned.
        learn_after_ms: Monotonic time of the next update of the workers'
            speeds.
        report_due_ms: Monotonic time of the next report on pending jobs.
        publisher: Publishes the backlog.
        order_queue: Orders that wait for their turn.
        failed_stops: Runs whose stop was left without an acknowledgement.
        links: Context of the workers' renewal threads; set at the start.
        orders: Context of start and stop orders; set at the start.
    """

    def __init__(self, context: OwnerContext, tenure: ownership.Tenure) -> None:
        self.context = context
        self.tenure = tenure
        self.ledger = ledgers.Ledger(tenure.epoch, context.stop_terms)
        if context.pacing_terms is not None:
            self.ledger.best_effort_room = set()
        self.workers: dict[str, fleet.Worker] = {}
        self.calls: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self.batches: queue.SimpleQueue = queue.SimpleQueue()
        self.writing = False
        self.changed = True
        self.decided_ms = 0
        self.pause_ms = 0
        self.decision = pendingreasons.NO_DECISION
        self.lone_cancellations: dict[str, tuple[int, int]] = {}
        self.sightings = pendingjobs.Sightings()
        self.paces: dict[str, control.Pace] = {}
        self.profiles = storedstate.StoredProfiles()
        self.learn_after_ms = 0
        self.report_due_ms = 0
        self.unconfirmed_workers: set[str] = set()
        self.unconfirmed_until_ms = (
            context.clock.now_ms()
            # An offered lease is acquired before it has expired.
            + ownership.TTL_MS
            + ownership.GRACE_MS
            + int(context.lease_ms / _MIN_CLOCK_RATE)
            + _HANDOVER_MARGIN_MS
        )
        self.workers_copy = following.TableCopy(context.workers_table)
        self.listed_workers: dict[str, ports.WorkerInfo] | None = None
        self.evacuations: dict[str, int] = {}
        self.emptied_data_centres: set[str] = set()
        self.evacuation_due_ms = 0
        self.moves_due_ms = 0
        self.unreadable_workers: set[str] = set()
        self.settle_until_ms = 0
        self.synced_ms = 0
        self.advice = advice.Advice()
        self.log_limiter = logs.EventLimiter()
        self.work = following.TableCopy(submission.WORK_TABLE)
        self.order_queue = orderqueue.OrderQueue()
        self.publisher = publishing.Publisher()
        self.failed_stops: list[ledgers.Run] = []
        self.links: links.LinkContext | None = None
        self.orders: orders.OrderContext | None = None


def read_times(owner: Owner) -> planning.Times:
    """Return the current time on both clocks."""
    clock = owner.context.clock
    return planning.Times(clock.now_ms(), clock.wall_ms())


def is_worker_list_current(owner: Owner) -> bool:
    """Return whether the list of workers was confirmed recently.

    A worker may have shrunk or started to shut down since then.
    """
    confirmed_ms = owner.workers_copy.confirmed_ms
    now_ms = owner.context.clock.now_ms()
    return (
        confirmed_ms is not None and now_ms - confirmed_ms <= _MAX_LIST_AGE_MS
    )


def post(owner: Owner, call: Callable[[], None]) -> None:
    """Queue a function to be called in the owner's thread."""
    owner.calls.put(call)


def is_live(owner: Owner, run: ledgers.Run) -> bool:
    """Return whether a run is still allocated in the ledger."""
    return owner.ledger.runs.get(run.task) is run


def withdraw_run(owner: Owner, run: ledgers.Run, now_ms: int) -> None:
    """Remove a run that is known not to have started."""
    ledgers.remove_run(owner.ledger, run)
    stops.stop_other_members(owner.ledger, run, "member_not_started")
    ledgers.delay_group(owner.ledger, run.task.group, now_ms, _RETRY_GROUP_MS)
    owner.changed = True
