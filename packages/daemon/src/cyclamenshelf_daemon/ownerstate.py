"""State of a cell owner, and the operations that it runs in threads.

Only the owner's thread changes the state. Pollers, worker links and operations
pass events to it through a queue.
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
RETRY_DELAY_MS = 1_000


class OwnerContext(NamedTuple):
    """Dependencies of a cell owner.

    Attributes:
        get_lists: Returns the lists in force.
        has_left: Returns whether an earlier holder of the cell has permanently
            stopped renewing task leases, given the holder and the epoch that
            it must have acknowledged.
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
        draining: Set to start no new work and only renew task leases.
        drained: Set while draining, once no operation is running and every
            running gang has a renewed lease.
        ended: Set once all threads of the tenure have been told to end.
        versions: Row versions of `jobs`, by job id.
        cancels: Ids of jobs to cancel.
        blocked: Why queued jobs were not started, by job id.
        responding_workers: Workers that responded to the last renewal.
        stopping_orphans: Ids of orphan tasks that are being stopped.
        parts_by_worker: The parts of attempts on each worker, as of
            `indexed_phases`.
        indexed_phases: Jobs, attempts and phases from which `parts_by_worker`
            and the renewals of the links were last computed.
        quarantined: Workers that operators exclude from new work.
        loaded: Whether the first poll result was applied.
        changed: Whether an input of the policy has changed since its last run.
        predecessor_leases_end_ms: Time by which task leases granted by earlier
            holders have expired on workers that do not respond.
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
        self.drained = threading.Event()
        self.ended = threading.Event()
        self.jobs: dict[str, model.Job] = {}
        self.versions: dict[str, int] = {}
        self.attempts: dict[str, attempts.Attempt] = {}
        self.cancels: set[str] = set()
        self.blocked: dict[str, str] = {}
        self.links: dict[str, workerlink.WorkerLink] = {}
        self.responding_workers: set[str] = set()
        self.workers: dict[str, model.Worker] = {}
        self.stopping_orphans: set[str] = set()
        self.parts_by_worker: dict[str, list[tuple[attempts.Attempt, int]]] = {}
        self.indexed_phases: list[tuple[str, int, attempts.Phase]] = []
        self.quarantined: set[str] = set()
        self.health = workerhealth.WorkerHealth()
        self.policy_state = policy.PolicyState()
        self.loaded = False
        self.changed = True
        self.last_decision_ms = 0
        self.predecessor_leases_end_ms = (
            context.clock.now_ms() + workerlink.MAX_GRANT_MS
        )
        self.operation_executor = concurrent.futures.ThreadPoolExecutor(
            _OPERATION_THREADS, "operation"
        )
        self.gang_context = gangs.GangContext(
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


OwnerUpdate = Callable[[CellOwner], None]


def holds_lease(owner: CellOwner) -> bool:
    """Return whether the cell lease is known to be held now."""
    return owner.context.clock.now_ms() < owner.tenure.valid_until_ms


def abandon_tenure(owner: CellOwner, reason: str) -> None:
    """End the tenure, so that a healthy host acquires the cell."""
    logs.log_event(
        "tenure_given_up",
        "ERROR",
        cell=owner.tenure.cell,
        epoch=owner.tenure.epoch,
        reason=reason,
    )
    owner.tenure.abandoned.set()
    owner.stopped.set()
    owner.inbox.put(lambda: None)


def submit_operation(
    owner: CellOwner,
    attempt: attempts.Attempt | None,
    operation: Callable[..., OwnerUpdate],
    *arguments: Any,
) -> None:
    """Run an operation in a thread and its result in the owner's thread.

    The operation returns a function that updates the owner. If it raises any
    error, the attempt becomes due for another operation after a delay.
    """
    if attempt is not None:
        attempt.operation_running = True
    future = owner.operation_executor.submit(operation, *arguments)
    future.add_done_callback(
        lambda done: owner.inbox.put(
            functools.partial(_apply_outcome, owner, attempt, done)
        )
    )


def _apply_outcome(
    owner: CellOwner,
    attempt: attempts.Attempt | None,
    done: concurrent.futures.Future[OwnerUpdate],
) -> None:
    owner.changed = True
    if attempt is not None:
        attempt.operation_running = False
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
    attempt.retry_at_ms = owner.context.clock.now_ms() + RETRY_DELAY_MS
    if attempt.phase is attempts.Phase.STARTING:
        attempt.phase = attempts.Phase.UNSETTLED


def is_part_lost(
    owner: CellOwner, attempt: attempts.Attempt, part: int
) -> bool:
    """Return whether the lease of a part has expired on an unresponsive worker.

    Such a part can no longer be running. On a worker without a link, the task
    leases of earlier holders decide. A part reported as finished is not lost.
    """
    report = attempt.tasks.get(part)
    if report is not None and report.state == "finished":
        return False
    now = owner.context.clock.now_ms()
    link = owner.links.get(attempt.job.placement[part].worker_id)
    if link is None:
        return now >= owner.predecessor_leases_end_ms
    return link.unresponsive and now >= link.granted_until_ms
