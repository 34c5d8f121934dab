"""The owner of a cell: one thread that decides and follows every attempt.

All state is touched by the owner's thread only. Pollers, worker links and
operations send it events through a queue.
"""

from collections.abc import Callable
import concurrent.futures
import enum
import functools
import math
import queue
import threading
from typing import Any
from typing import NamedTuple

import urllib3

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_core import model
from cyclamenshelf_core import policy
from cyclamenshelf_core import renewal
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

_TICK_MS = 250
_DECIDE_INTERVAL_MS = 50
_OPERATION_THREADS = 16
_CALL_THREADS = 32
_MAX_FAILED_WORKERS = 3
_RETRY_MS = 1_000


class OwnerContext(NamedTuple):
    """What a cell owner needs from the process.

    Attributes:
        get_lists: Returns the lists in force.
        has_left: Returns whether an earlier holder of the cell has stopped
            renewing task leases for good.
        on_ended: Called with the id of each job that ended.
    """

    table: tableclient.TableClient
    committer: groupcommit.GroupCommitter
    objects: objectclient.ObjectClient
    pool: urllib3.PoolManager
    host_list: hostlist.HostList
    clock: clocks.Clock
    get_lists: Callable[[], model.Lists]
    has_left: Callable[[str], bool]
    on_ended: Callable[[str], None]


class Phase(enum.Enum):
    """What is being done with an attempt."""

    STARTING = enum.auto()
    ADOPTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()
    FINISHING = enum.auto()


class Attempt:
    """An attempt that holds accelerators.

    Attributes:
        tasks: Last report of each part.
        stop_reason: Why the attempt is stopped.
        end_state: State of the job after the stop; None queues it again
            where that is allowed.
        watched_from_ms: Reports sent earlier may not know the tasks yet.
        retry_at_ms: Earliest time for the next try of its operation.
    """

    def __init__(self, job: model.Job, phase: Phase, since_ms: int) -> None:
        self.job = job
        self.phase = phase
        self.since_ms = since_ms
        self.tasks: dict[int, workerclient.TaskReport] = {}
        self.stop_reason = ""
        self.end_state: model.JobState | None = None
        self.watched_from_ms = since_ms
        self.retry_at_ms = 0
        self.operating = False


class CellOwner:
    """State of the owner for one tenure."""

    def __init__(self, context: OwnerContext, tenure: celllease.Tenure) -> None:
        self.context = context
        self.tenure = tenure
        self.inbox: queue.Queue[Callable[[], None]] = queue.Queue()
        self.stopped = threading.Event()
        self.jobs: dict[str, model.Job] = {}
        self.versions: dict[str, int] = {}
        self.attempts: dict[str, Attempt] = {}
        self.cancels: set[str] = set()
        self.blocked: dict[str, str] = {}
        self.links: dict[str, workerlink.WorkerLink] = {}
        self.heard: set[str] = set()
        self.workers: dict[str, model.Worker] = {}
        self.loaded = False
        self.changed = True
        self.decided_at_ms = 0
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
            lambda loaded: self.inbox.put(
                functools.partial(_take_loaded, self, loaded)
            ),
        )


def start_owner(context: OwnerContext, tenure: celllease.Tenure) -> CellOwner:
    """Start to own a cell; return the owner."""
    owner = CellOwner(context, tenure)
    threading.Thread(
        target=_run_owner, args=(owner,), name="cell-owner", daemon=True
    ).start()
    jobpoller.start_polling(owner.poller)
    return owner


def stop_owner(owner: CellOwner) -> None:
    """Stop deciding and renewing; started operations end by their fences."""
    owner.stopped.set()
    jobpoller.stop_polling(owner.poller)
    owner.inbox.put(lambda: None)


def wait_for_operations(owner: CellOwner) -> None:
    """Stop deciding and wait for the started operations to end."""
    stop_owner(owner)
    owner.operations.shutdown(wait=True)


def notice_job(owner: CellOwner) -> None:
    """Look for new jobs and cancellations without waiting for the poll."""
    jobpoller.wake(owner.poller)


def _run_owner(owner: CellOwner) -> None:
    while not owner.stopped.is_set():
        try:
            handle: Callable[[], None] = owner.inbox.get(
                timeout=_TICK_MS / 1000
            )
            handle()
            while not owner.inbox.empty():
                owner.inbox.get()()
        except queue.Empty:
            pass
        _update_workers(owner)
        _follow_attempts(owner)
        _decide(owner)
    for link in list(owner.links.values()):
        workerlink.stop_link(link)


def _holds_lease(owner: CellOwner) -> bool:
    return owner.context.clock.now_ms() < owner.tenure.valid_until_ms


def _update_workers(owner: CellOwner) -> None:
    _extend_inherited_grants(owner)
    listed = owner.context.host_list.hosts.workers
    if listed == owner.workers:
        return
    for worker_id in owner.workers.keys() - listed.keys():
        if not _list_parts_on(owner, worker_id):
            link = owner.links.pop(worker_id, None)
            if link is not None:
                workerlink.stop_link(link)
            owner.heard.discard(worker_id)
    for worker_id, worker in listed.items():
        if worker_id not in owner.links:
            _add_link(owner, worker)
    owner.workers = dict(listed)
    owner.changed = True


def _extend_inherited_grants(owner: CellOwner) -> None:
    """Assume that earlier holders still renew, until they have left."""
    if all(map(owner.context.has_left, owner.tenure.predecessors)):
        return
    for link in owner.links.values():
        if link.silent:
            workerlink.note_grant(link, renewal.MAX_LEASE_MS)


def _add_link(owner: CellOwner, worker: model.Worker) -> None:
    link = workerlink.WorkerLink(
        worker, owner.tools.workers, owner.context.clock, owner.tenure
    )
    owner.links[worker.id] = link
    workerlink.start_link(
        link,
        workerlink.Reports(
            on_tasks=lambda *report: owner.inbox.put(
                functools.partial(_take_tasks, owner, *report)
            ),
            on_silent=lambda worker_id: owner.inbox.put(
                functools.partial(_take_silence, owner, worker_id)
            ),
            on_fenced=lambda: stop_owner(owner),
        ),
    )


def _list_parts_on(owner: CellOwner, worker_id: str) -> list[str]:
    return [
        attempt.job.id
        for attempt in owner.attempts.values()
        if any(part.worker_id == worker_id for part in attempt.job.placement)
    ]


def _take_loaded(owner: CellOwner, loaded: jobpoller.Loaded) -> None:
    """Take in jobs and cancellations that the poller found."""
    for row in loaded.rows:
        job = jobrows.decode_job(row.value)
        known = owner.versions.get(job.id)
        if known is not None and known >= row.version:
            continue
        if job.id in owner.attempts or job.state in model.ENDED_STATES:
            continue
        owner.jobs[job.id] = job
        owner.versions[job.id] = row.version
        if job.state in (model.JobState.STARTED, model.JobState.UNKNOWN):
            owner.attempts[job.id] = Attempt(
                job, Phase.ADOPTING, owner.context.clock.now_ms()
            )
    owner.cancels |= loaded.cancels
    owner.loaded = True
    owner.changed = True


def _take_tasks(
    owner: CellOwner,
    worker_id: str,
    sent_at_ms: int,
    tasks: dict[str, workerclient.TaskReport],
) -> None:
    """Take in a worker's report of all its tasks of the cell."""
    if worker_id not in owner.heard:
        owner.changed = True
    owner.heard.add(worker_id)
    for attempt in owner.attempts.values():
        for part, placed in enumerate(attempt.job.placement):
            if placed.worker_id != worker_id:
                continue
            task_id = jobrows.make_task_id(
                attempt.job.id, attempt.job.attempt, part
            )
            report = tasks.get(task_id)
            if report is not None:
                attempt.tasks[part] = report
            elif (
                attempt.phase in (Phase.ADOPTING, Phase.RUNNING)
                and sent_at_ms > attempt.watched_from_ms
            ):
                attempt.tasks[part] = workerclient.TaskReport(
                    task_id, "absent", ran=True
                )
    _stop_strays(owner, worker_id, tasks)


def _stop_strays(
    owner: CellOwner,
    worker_id: str,
    tasks: dict[str, workerclient.TaskReport],
) -> None:
    """Stop tasks of this cell that belong to no current attempt."""
    if not owner.loaded:
        return
    link = owner.links.get(worker_id)
    for task in tasks.values():
        job_id, number, _ = task.id.rsplit(".", 2)
        if link is not None and int(number) < _get_current(owner, job_id):
            _submit(owner, None, _drop_stray, owner.tools, link, task)


def _get_current(owner: CellOwner, job_id: str) -> float:
    """Return the number of the attempt whose tasks may exist on workers."""
    attempt = owner.attempts.get(job_id)
    if attempt is None:
        return math.inf
    if attempt.phase is Phase.STARTING:
        return attempt.job.attempt + 1
    return attempt.job.attempt


def _drop_stray(
    tools: gangs.GangTools,
    link: workerlink.WorkerLink,
    task: workerclient.TaskReport,
) -> Callable[[CellOwner], None]:
    try:
        workerclient.stop_task(tools.workers, link.worker, task.id, "stop")
        workerclient.forget_task(tools.workers, link.worker, task.id)
    except errors.WorkerError as error:
        logs.log_event("stray_not_dropped", "WARNING", detail=error)
    return lambda owner: None


def _take_silence(owner: CellOwner, worker_id: str) -> None:
    if worker_id in owner.heard:
        owner.changed = True
    owner.heard.discard(worker_id)


def _follow_attempts(owner: CellOwner) -> None:
    """Advance each attempt by what its parts have reported."""
    now = owner.context.clock.now_ms()
    for attempt in list(owner.attempts.values()):
        if attempt.operating or now < attempt.retry_at_ms:
            continue
        if attempt.phase is Phase.ADOPTING:
            _follow_adoption(owner, attempt)
        elif attempt.phase is Phase.RUNNING:
            _follow_running(owner, attempt)
        elif attempt.phase is Phase.FINISHING:
            _finish(owner, attempt)
        elif attempt.phase is Phase.STOPPING:
            _stop(owner, attempt)
    _publish_renewals(owner)


def _follow_adoption(owner: CellOwner, attempt: Attempt) -> None:
    """Decide what to do with an attempt that an earlier owner started."""
    parts = range(len(attempt.job.placement))
    if any(
        part not in attempt.tasks and not _is_lost(owner, attempt, part)
        for part in parts
    ):
        return
    states = {
        attempt.tasks[part].state if part in attempt.tasks else "lost"
        for part in parts
    }
    if states <= {"running", "finished"}:
        attempt.phase = Phase.RUNNING
        logs.log_event(
            "attempt_adopted", job=attempt.job.id, attempt=attempt.job.attempt
        )
        return
    _begin_stop(attempt, "not whole after takeover")


def _follow_running(owner: CellOwner, attempt: Attempt) -> None:
    if attempt.job.id in owner.cancels:
        attempt.end_state = model.JobState.CANCELLED
        _begin_stop(attempt, "cancelled by caller")
        return
    states = [report.state for report in attempt.tasks.values()]
    for part in range(len(attempt.job.placement)):
        if _is_lost(owner, attempt, part):
            _begin_stop(attempt, "worker lost")
            return
    if any(
        state in ("failed", "stopped", "lapsed", "absent") for state in states
    ):
        failed = "failed" in states
        _begin_stop(attempt, "task failed" if failed else "task lost")
    elif len(states) == len(attempt.job.placement) and all(
        state == "finished" for state in states
    ):
        attempt.phase = Phase.FINISHING


def _begin_stop(attempt: Attempt, reason: str) -> None:
    attempt.phase = Phase.STOPPING
    attempt.stop_reason = reason


def _is_lost(owner: CellOwner, attempt: Attempt, part: int) -> bool:
    """Return whether a part can no longer run, on a worker that is silent."""
    report = attempt.tasks.get(part)
    if report is not None and report.state == "finished":
        return False
    link = owner.links.get(attempt.job.placement[part].worker_id)
    if link is None:
        worker_unlisted_ms = owner.context.clock.now_ms() - attempt.since_ms
        return worker_unlisted_ms > workerlink.LONGEST_GRANT_MS
    return link.silent and (
        owner.context.clock.now_ms() >= link.granted_until_ms
    )


def _publish_renewals(owner: CellOwner) -> None:
    """Tell each link which tasks to renew."""
    tasks: dict[str, list[str]] = {}
    youngest: dict[str, int] = {}
    for attempt in owner.attempts.values():
        if attempt.phase not in (Phase.ADOPTING, Phase.RUNNING):
            continue
        for part, placed in enumerate(attempt.job.placement):
            tasks.setdefault(placed.worker_id, []).append(
                jobrows.make_task_id(attempt.job.id, attempt.job.attempt, part)
            )
            youngest[placed.worker_id] = max(
                attempt.since_ms, youngest.get(placed.worker_id, 0)
            )
    for worker_id, link in owner.links.items():
        renewals = workerlink.Renewals(
            tuple(tasks.get(worker_id, ())), youngest.get(worker_id, 0)
        )
        if renewals != link.renewals:
            workerlink.update_renewals(link, renewals)


def _decide(owner: CellOwner) -> None:
    now = owner.context.clock.now_ms()
    since_ms = now - owner.decided_at_ms
    # Some reasons to wait end by time alone.
    review = bool(owner.blocked) and since_ms >= policy.REVIEW_INTERVAL_MS
    if not (owner.changed or review):
        return
    if not owner.loaded or not _holds_lease(owner):
        return
    if since_ms < _DECIDE_INTERVAL_MS:
        return
    owner.changed = False
    owner.decided_at_ms = now
    _cancel_queued(owner)
    owner.blocked = {}
    state = vars(owner).setdefault("policy_state", policy.PolicyState())
    for decision in policy.advance(state, _make_snapshot(owner)):
        if isinstance(decision, policy.Start):
            _start(owner, owner.jobs[decision.job_id], decision.placement)
        elif isinstance(decision, policy.Preempt):
            attempt = owner.attempts[decision.job_id]
            if attempt.phase is Phase.RUNNING:
                _begin_stop(attempt, decision.reason)
        else:
            owner.blocked[decision.job_id] = decision.reason


def _make_snapshot(owner: CellOwner) -> policy.Snapshot:
    wall_ms = owner.context.clock.wall_ms()
    unix_offset_ms = wall_ms - owner.context.clock.now_ms()
    return policy.Snapshot(
        now_ms=wall_ms,
        lists=owner.context.get_lists(),
        workers={
            worker_id: worker
            for worker_id, worker in owner.workers.items()
            if worker_id in owner.heard
        },
        queued=sorted(
            (
                job
                for job in owner.jobs.values()
                if job.id not in owner.attempts
                and job.state is model.JobState.QUEUED
            ),
            key=lambda job: (job.accepted_ms, job.id),
        ),
        running={
            attempt.job.id: policy.Running(
                attempt.job,
                attempt.job.placement,
                # An adopted attempt started under an earlier owner.
                min(
                    attempt.job.started_ms or wall_ms,
                    attempt.since_ms + unix_offset_ms,
                )
                if attempt.phase is not Phase.STARTING
                else attempt.since_ms + unix_offset_ms,
                attempt.phase is Phase.STOPPING,
            )
            for attempt in owner.attempts.values()
        },
    )


def _cancel_queued(owner: CellOwner) -> None:
    for job_id in list(owner.cancels):
        job = owner.jobs.get(job_id)
        if job is None:
            owner.cancels.discard(job_id)
        elif job_id not in owner.attempts:
            attempt = Attempt(
                job._replace(placement=()),
                Phase.STOPPING,
                owner.context.clock.now_ms(),
            )
            attempt.end_state = model.JobState.CANCELLED
            attempt.stop_reason = "cancelled by caller"
            owner.attempts[job_id] = attempt


def _submit(
    owner: CellOwner,
    attempt: Attempt | None,
    operation: Callable[..., Callable[[CellOwner], None]],
    *arguments: Any,
) -> None:
    """Run an operation in a thread; its result is applied in the owner's."""
    if attempt is not None:
        attempt.operating = True

    def run() -> None:
        apply = operation(*arguments)

        def finish() -> None:
            if attempt is not None:
                attempt.operating = False
            apply(owner)
            owner.changed = True

        owner.inbox.put(finish)

    owner.operations.submit(run)


def _start(
    owner: CellOwner, job: model.Job, placement: model.Placement
) -> None:
    attempt = Attempt(
        job._replace(placement=placement),
        Phase.STARTING,
        owner.context.clock.now_ms(),
    )
    owner.attempts[job.id] = attempt
    _submit(
        owner,
        attempt,
        _run_start,
        owner.tools,
        attempt,
        job,
        owner.versions[job.id],
        placement,
    )


def _run_start(
    tools: gangs.GangTools,
    attempt: Attempt,
    job: model.Job,
    version: int,
    placement: model.Placement,
) -> Callable[[CellOwner], None]:
    result = gangs.start_gang(tools, job, version, placement)
    return lambda owner: _apply_start(owner, attempt, result)


def _apply_start(
    owner: CellOwner, attempt: Attempt, result: gangs.StartResult
) -> None:
    job_id = result.job.id
    logs.log_event(
        "gang_start",
        job=job_id,
        attempt=result.job.attempt,
        outcome=result.outcome.name.lower(),
        reason=result.reason,
    )
    if result.outcome is gangs.Started.NOT_COMMITTED:
        del owner.attempts[job_id]
        if not result.known:
            # The row is read again before anything else happens to it.
            del owner.jobs[job_id]
            del owner.versions[job_id]
            jobpoller.forget_job(owner.poller, job_id)
        return
    owner.jobs[job_id] = result.job
    owner.versions[job_id] = result.version
    attempt.job = result.job
    if result.outcome is gangs.Started.RUNNING:
        attempt.phase = Phase.RUNNING
        attempt.watched_from_ms = owner.context.clock.now_ms()
    else:
        _begin_stop(attempt, result.reason)


def _finish(owner: CellOwner, attempt: Attempt) -> None:
    if not _holds_lease(owner):
        return
    _submit(
        owner,
        attempt,
        _run_finish,
        owner.tools,
        attempt,
        owner.versions[attempt.job.id],
    )


def _run_finish(
    tools: gangs.GangTools, attempt: Attempt, version: int
) -> Callable[[CellOwner], None]:
    try:
        manifest = gangs.store_answers(tools, attempt.job)
        job = attempt.job._replace(
            state=model.JobState.SUCCEEDED,
            ended_ms=tools.clock.wall_ms(),
            run=errors.Run.RAN,
            manifest=manifest,
        )
        gangs.commit_job(tools, job, version)
    except errors.CyclamenshelfError as error:
        return _make_retry(attempt, error)
    gangs.forget_gang(tools, job)
    return lambda owner: _remove(owner, job)


def _make_retry(
    attempt: Attempt, error: errors.CyclamenshelfError
) -> Callable[[CellOwner], None]:
    def retry(owner: CellOwner) -> None:
        logs.log_event(
            "operation_failed",
            "WARNING",
            job=attempt.job.id,
            phase=attempt.phase.name.lower(),
            detail=error,
        )
        attempt.retry_at_ms = owner.context.clock.now_ms() + _RETRY_MS

    return retry


def _remove(owner: CellOwner, job: model.Job) -> None:
    logs.log_event(
        "job_ended", job=job.id, attempt=job.attempt, state=job.state
    )
    owner.attempts.pop(job.id, None)
    owner.jobs.pop(job.id, None)
    owner.versions.pop(job.id, None)
    owner.cancels.discard(job.id)
    jobpoller.forget_job(owner.poller, job.id)
    owner.context.on_ended(job.id)


def _stop(owner: CellOwner, attempt: Attempt) -> None:
    if not _holds_lease(owner):
        return
    lost = frozenset(
        part
        for part in range(len(attempt.job.placement))
        if _is_lost(owner, attempt, part)
    )
    _submit(
        owner,
        attempt,
        _run_stop,
        owner.tools,
        attempt,
        owner.versions[attempt.job.id],
        lost,
    )


def _run_stop(
    tools: gangs.GangTools,
    attempt: Attempt,
    version: int,
    lost: frozenset[int],
) -> Callable[[CellOwner], None]:
    """Stop every part, then write what becomes of the job."""
    reports = gangs.stop_gang(tools, attempt.job)
    job = settle_stopped(attempt.job, reports, lost, attempt)
    if job is None:
        pending = errors.WorkerError("", "parts not known to be stopped", True)
        return _make_retry(attempt, pending)
    if job.state in model.ENDED_STATES:
        job = job._replace(ended_ms=tools.clock.wall_ms())
    try:
        version = gangs.commit_job(tools, job, version)
    except errors.CyclamenshelfError as error:
        return _make_retry(attempt, error)
    gangs.forget_gang(tools, attempt.job)
    if job.state in model.ENDED_STATES:
        return lambda owner: _remove(owner, job)
    return lambda owner: _requeue(owner, job, version)


def settle_stopped(
    job: model.Job,
    reports: dict[int, workerclient.TaskReport],
    lost: frozenset[int],
    attempt: Attempt,
) -> model.Job | None:
    """Return the job after its attempt was stopped, or None if not known.

    Args:
        job: The job with the stopped attempt.
        reports: What the workers said to the stop, by part.
        lost: Parts whose lease has lapsed on a silent worker.
        attempt: Gives the reason for the stop.
    """
    unknown = [
        part for part in range(len(job.placement)) if part not in reports
    ]
    if any(part not in lost for part in unknown):
        return None
    if unknown and not job.spec.repeatable:
        return None
    ran = bool(unknown) or any(report.ran for report in reports.values())
    run = errors.Run.RAN if ran else errors.Run.NOT_RUN
    line = f"attempt {job.attempt}: {attempt.stop_reason}"
    job = job._replace(
        run=run, reason=attempt.stop_reason, history=(*job.history, line)
    )
    if attempt.end_state is not None:
        return job._replace(state=attempt.end_state)
    if ran and not job.spec.repeatable:
        return job._replace(state=model.JobState.FAILED)
    failures = sum("task failed" in text for text in job.history)
    if failures >= _MAX_FAILED_WORKERS:
        return job._replace(state=model.JobState.FAILED)
    return job._replace(state=model.JobState.QUEUED, placement=())


def _requeue(owner: CellOwner, job: model.Job, version: int) -> None:
    logs.log_event(
        "job_requeued", job=job.id, attempt=job.attempt, reason=job.reason
    )
    owner.attempts.pop(job.id, None)
    owner.jobs[job.id] = job
    owner.versions[job.id] = version
