"""State of a cell owner, and the operations that it runs in threads.

All state is touched by the owner's thread only. Pollers, worker links and
operations send it events through a queue.
"""

from collections.abc import Callable
import concurrent.futures
import functools
import queue
import threading
from typing import Any
from typing import NamedTuple

import urllib3

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import model
from cyclamenshelf_core import policy
from cyclamenshelf_core import workerhealth
from cyclamenshelf_daemon import attempts
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import gangs
from cyclamenshelf_daemon import groupcommit
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import jobpoller
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import tableclient
from cyclamenshelf_daemon import workerclient
from cyclamenshelf_daemon import workerlink

_OPERATION_THREADS = 16
_CALL_THREADS = 32
RETRY_MS = 1_000


class OwnerContext(NamedTuple):
    """What a cell owner needs from the process.

    Attributes:
        get_lists: Returns the lists in force.
        has_left: Returns whether an earlier holder of the cell has stopped
            renewing task leases for good, given the holder and the epoch that
            it has to know of.
        on_ended: Called with the id of each job that ended.
    """

    table: tableclient.TableClient
    committer: groupcommit.GroupCommitter
    objects: objectclient.ObjectClient
    pool: urllib3.PoolManager
    host_list: hostlist.HostList
    clock: clocks.Clock
    get_lists: Callable[[], model.Lists]
    has_left: Callable[[str, int], bool]
    on_ended: Callable[[str], None]


class CellOwner:
    """State of the owner for one tenure.

    Attributes:
        stopped: Set to end the owner's thread.
        draining: Set to begin nothing new, and only keep tasks renewed.
        quiet: Set while draining, once no operation is open and every running
            gang has its long lease.
        ended: Set once all threads of the tenure have been told to end.
        dropping: Ids of stray tasks that are being dropped.
        placed: The parts of attempts on each worker, as of `published`.
        published: Jobs and phases that `placed` and the links' renewals show.
        quarantined: Workers that operators keep from new work.
        inherited_until_ms: Time by which task leases of earlier holders have
            lapsed on workers that do not answer.
    """

    def __init__(
        self,
        context: OwnerContext,
        tenure: celllease.Tenure,
        check_job: Callable[[model.Job], str | None],
    ) -> None:
        self.context = context
        self.tenure = tenure
        self.inbox: queue.Queue[Callable[[], None]] = queue.Queue()
        self.stopped = threading.Event()
        self.draining = threading.Event()
        self.quiet = threading.Event()
        self.ended = threading.Event()
        self.jobs: dict[str, model.Job] = {}
        self.versions: dict[str, int] = {}
        self.attempts: dict[str, attempts.Attempt] = {}
        self.cancels: set[str] = set()
        self.blocked: dict[str, str] = {}
        self.links: dict[str, workerlink.WorkerLink] = {}
        self.heard: set[str] = set()
        self.workers: dict[str, model.Worker] = {}
        self.dropping: set[str] = set()
        self.placed: dict[str, list[tuple[attempts.Attempt, int]]] = {}
        self.published: list[tuple[str, int, attempts.Phase]] = []
        self.quarantined: set[str] = set()
        self.health = workerhealth.WorkerHealth()
        self.policy_state = policy.PolicyState()
        self.loaded = False
        self.changed = True
        self.decided_at_ms = 0
        self.inherited_until_ms = (
            context.clock.now_ms() + workerlink.LONGEST_GRANT_MS
        )
        self.operations = concurrent.futures.ThreadPoolExecutor(
            _OPERATION_THREADS, "operation"
        )
        self.tools = gangs.GangTools(
            tenure,
            context.table,
            context.committer,
            context.objects,
            workerclient.WorkerClient(context.pool, tenure.cell, tenure.epoch),
            concurrent.futures.ThreadPoolExecutor(_CALL_THREADS, "call"),
            self.links,
            context.clock,
        )
        self.poller = jobpoller.JobPoller(
            context.table,
            context.objects,
            context.committer,
            tenure,
            check_job,
        )


Apply = Callable[[CellOwner], None]


def holds_lease(owner: CellOwner) -> bool:
    """Return whether the tenure is proved at this moment."""
    return owner.context.clock.now_ms() < owner.tenure.valid_until_ms


def give_up(owner: CellOwner, reason: str) -> None:
    """End the tenure, so that a sound owner takes the cell."""
    logs.log_event(
        "tenure_given_up",
        "ERROR",
        cell=owner.tenure.cell,
        epoch=owner.tenure.epoch,
        reason=reason,
    )
    owner.tenure.given_up.set()
    owner.stopped.set()
    owner.inbox.put(lambda: None)


def submit(
    owner: CellOwner,
    attempt: attempts.Attempt | None,
    operation: Callable[..., Apply],
    *arguments: Any,
) -> None:
    """Run an operation in a thread; what it returns is run in the owner's.

    An operation that raises is tried again later, whatever the error.
    """
    if attempt is not None:
        attempt.operating = True
    future = owner.operations.submit(operation, *arguments)
    future.add_done_callback(
        lambda done: owner.inbox.put(
            functools.partial(_apply, owner, attempt, done)
        )
    )


def _apply(
    owner: CellOwner,
    attempt: attempts.Attempt | None,
    done: concurrent.futures.Future[Apply],
) -> None:
    owner.changed = True
    if attempt is not None:
        attempt.operating = False
    error = done.exception()
    if error is None:
        done.result()(owner)
        return
    logs.log_event(
        "operation_failed",
        "WARNING",
        job=attempt.job.id if attempt else "",
        phase=attempt.phase.name.lower() if attempt else "",
        type=type(error).__name__,
        detail=error,
    )
    if attempt is None:
        return
    attempt.retry_at_ms = owner.context.clock.now_ms() + RETRY_MS
    if attempt.phase is attempts.Phase.STARTING:
        attempt.phase = attempts.Phase.UNSETTLED


def is_lost(owner: CellOwner, attempt: attempts.Attempt, part: int) -> bool:
    """Return whether a part can no longer run, on a worker that is silent."""
    report = attempt.tasks.get(part)
    if report is not None and report.state == "finished":
        return False
    now = owner.context.clock.now_ms()
    link = owner.links.get(attempt.job.placement[part].worker_id)
    if link is None:
        return now >= owner.inherited_until_ms
    return link.silent and now >= link.granted_until_ms
