"""The cell owner: one thread that schedules jobs and tracks every attempt."""

from collections.abc import Callable
import functools
import math
import queue
import threading

from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_core import model
from cyclamenshelf_core import policy
from cyclamenshelf_core import renewal
from cyclamenshelf_core import workerhealth
from cyclamenshelf_daemon import acceptance
from cyclamenshelf_daemon import attempts
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import following
from cyclamenshelf_daemon import gangs
from cyclamenshelf_daemon import jobpoller
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import ownerstate
from cyclamenshelf_daemon import retention
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon import workerclient
from cyclamenshelf_daemon import workerlink
from cyclamenshelf_daemon.decisions import snapshots

_TICK_MS = 250
_MIN_DECISION_INTERVAL_MS = 50
_DRAIN_TIMEOUT_S = 10
# Exceeds the duration of any operation: every call and commit within one has
# its own timeout.
_SHUTDOWN_TIMEOUT_S = 60

# Re-exported for users of this module.
OwnerContext = ownerstate.OwnerContext
CellOwner = ownerstate.CellOwner
Phase = attempts.Phase


def start_owner(context: OwnerContext, tenure: celllease.Tenure) -> CellOwner:
    """Start the threads of a cell owner; return the owner."""
    owner = CellOwner(
        context, tenure, functools.partial(_find_rejection, context)
    )
    threading.Thread(
        target=_run_owner, args=(owner,), name="cell-owner", daemon=True
    ).start()
    retention.start_sweeping(
        retention.RetentionContext(
            context.table, context.objects, tenure, owner.stopped
        )
    )
    jobpoller.start_polling(
        owner.poller,
        lambda result: owner.inbox.put(
            functools.partial(_apply_poll_result, owner, result)
        ),
    )
    return owner


def stop_owner(owner: CellOwner) -> None:
    """Stop scheduling and renewing leases.

    Operations that are in progress end on their own: their writes and commands
    are fenced by the epoch.
    """
    owner.stopped.set()
    jobpoller.stop_polling(owner.poller)
    owner.inbox.put(lambda: None)


def drain_owner(owner: CellOwner) -> None:
    """Start no new work, wait for running operations, then stop the owner.

    Gangs that are still being started get a renewed, longer lease before the
    owner stops, so that they survive until the next owner adopts them.
    """
    owner.draining.set()
    owner.inbox.put(lambda: None)
    owner.drained.wait(_DRAIN_TIMEOUT_S)
    stop_owner(owner)
    owner.ended.wait(_SHUTDOWN_TIMEOUT_S)


def wake_poller(owner: CellOwner) -> None:
    """Read new jobs and cancellations at once, before the next poll is due."""
    jobpoller.wake(owner.poller)


def _run_owner(owner: CellOwner) -> None:
    if not supervision.run_logged("owner_failed", _run_loop, owner):
        ownerstate.abandon_tenure(owner, "internal_error")
    for link in list(owner.links.values()):
        workerlink.stop_link(link)
    jobpoller.stop_polling(owner.poller)
    owner.operation_executor.shutdown(wait=True)
    owner.gang_context.call_executor.shutdown(wait=True)
    owner.drained.set()
    owner.ended.set()


def _run_loop(owner: CellOwner) -> None:
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
        if owner.stopped.is_set():
            return
        _update_workers(owner)
        following.advance_attempts(owner)
        if not owner.draining.is_set():
            _decide(owner)
        elif _is_drained(owner):
            owner.drained.set()


def _is_drained(owner: CellOwner) -> bool:
    if owner.stopping_orphans:
        return False
    return not any(
        attempt.operation_running
        or (
            attempt.phase is Phase.RUNNING
            and not _has_renewed_leases(owner, attempt)
        )
        for attempt in owner.attempts.values()
    )


def _has_renewed_leases(owner: CellOwner, attempt: attempts.Attempt) -> bool:
    job = attempt.job
    for part, placed in enumerate(job.placement):
        link = owner.links.get(placed.worker_id)
        task_id = jobrows.make_task_id(job.id, job.attempt, part)
        if link is None or link.unresponsive:
            continue
        if task_id not in link.renewed_task_ids:
            return False
    return True


def _find_rejection(context: OwnerContext, job: model.Job) -> str | None:
    """Return why the lists in force reject a journaled job.

    The result is empty if the job is allowed, and None if this host has not
    read any lists yet.
    """
    lists = context.get_lists()
    if lists.version == 0:
        return None
    if job.account not in lists.accounts:
        return "account_not_listed"
    try:
        acceptance.check_shape_fits(
            lists, context.host_list.hosts.workers, job.account, job.spec.shape
        )
    except errors.NeverFitsError as refusal:
        return f"{refusal.code}: {refusal}"
    return ""


def _update_workers(owner: CellOwner) -> None:
    _extend_predecessor_leases(owner)
    listed = owner.context.host_list.hosts.workers
    for worker_id in owner.links.keys() - listed.keys():
        if not _list_jobs_on_worker(owner, worker_id):
            workerlink.stop_link(owner.links.pop(worker_id))
            owner.responding_workers.discard(worker_id)
    if listed == owner.workers:
        return
    for worker_id, worker in listed.items():
        if worker_id in owner.links:
            owner.links[worker_id].worker = worker
        else:
            _add_link(owner, worker)
    owner.workers = dict(listed)
    owner.indexed_phases = []
    owner.changed = True


def _extend_predecessor_leases(owner: CellOwner) -> None:
    """Assume that predecessors renew task leases until they have left."""
    epoch = owner.tenure.epoch
    if all(
        owner.context.has_left(holder, epoch)
        for holder in owner.tenure.predecessors
    ):
        return
    now = owner.context.clock.now_ms()
    owner.predecessor_leases_end_ms = now + workerlink.MAX_GRANT_MS
    for link in owner.links.values():
        if link.unresponsive:
            # A renewal that a predecessor has sent may still arrive.
            workerlink.record_grant(
                link, renewal.MAX_LEASE_MS + workerclient.COMMAND_TIMEOUT_MS
            )


def _add_link(owner: CellOwner, worker: model.Worker) -> None:
    link = workerlink.WorkerLink(
        worker, owner.gang_context.workers, owner.context.clock, owner.tenure
    )
    owner.links[worker.id] = link
    workerlink.start_link(
        link,
        workerlink.LinkCallbacks(
            on_tasks=lambda *report: owner.inbox.put(
                functools.partial(_apply_task_reports, owner, *report)
            ),
            on_unresponsive=lambda worker_id: owner.inbox.put(
                functools.partial(_mark_unresponsive, owner, worker_id)
            ),
            on_fenced=lambda: ownerstate.abandon_tenure(owner, "fenced"),
        ),
    )


def _list_jobs_on_worker(owner: CellOwner, worker_id: str) -> list[str]:
    return [
        attempt.job.id
        for attempt in owner.attempts.values()
        if any(part.worker_id == worker_id for part in attempt.job.placement)
    ]


def _apply_poll_result(owner: CellOwner, result: jobpoller.PollResult) -> None:
    """Add the jobs and cancellations that the poller read."""
    for job, version in result.jobs:
        known_version = owner.versions.get(job.id)
        if known_version is not None and known_version >= version:
            continue
        if job.id in owner.attempts or job.state in model.ENDED_STATES:
            continue
        owner.jobs[job.id] = job
        owner.versions[job.id] = version
        if job.state in (model.JobState.STARTED, model.JobState.UNKNOWN):
            owner.attempts[job.id] = attempts.Attempt(
                job, Phase.ADOPTING, owner.context.clock.now_ms()
            )
    if (
        result.jobs
        or result.cancels - owner.cancels
        or result.quarantined != owner.quarantined
        or not owner.loaded
    ):
        owner.changed = True
    owner.cancels |= result.cancels
    owner.quarantined = result.quarantined
    owner.loaded = True


def _apply_task_reports(
    owner: CellOwner,
    worker_id: str,
    sent_at_ms: int,
    tasks: dict[str, workerclient.TaskReport],
) -> None:
    """Process a worker's report of all its tasks of the cell."""
    if worker_id not in owner.responding_workers:
        owner.changed = True
    owner.responding_workers.add(worker_id)
    following.update_placement_index(owner)
    for attempt, part in owner.parts_by_worker.get(worker_id, ()):
        task_id = jobrows.make_task_id(
            attempt.job.id, attempt.job.attempt, part
        )
        report = tasks.get(task_id)
        if report is None and not (
            attempt.phase in (Phase.ADOPTING, Phase.RUNNING)
            and sent_at_ms > attempt.reports_valid_from_ms
        ):
            continue
        if report is None:
            report = workerclient.TaskReport(task_id, "absent", ran=True)
        if attempts.record_report(attempt, part, report):
            _record_health(owner, attempt, part, report)
    _stop_orphans(owner, worker_id, tasks)


def _record_health(
    owner: CellOwner,
    attempt: attempts.Attempt,
    part: int,
    report: workerclient.TaskReport,
) -> None:
    """Count consecutive failures of the worker that runs the part."""
    worker_id = attempt.job.placement[part].worker_id
    if report.state == "finished":
        workerhealth.record_success(owner.health, worker_id)
    elif report.state == "failed" and workerhealth.record_failure(
        owner.health,
        worker_id,
        attempt.job.id,
        attempt.job.attempt,
        part,
        owner.context.clock.now_ms(),
    ):
        logs.log_event("worker_quarantined", "WARNING", worker=worker_id)


def _stop_orphans(
    owner: CellOwner,
    worker_id: str,
    tasks: dict[str, workerclient.TaskReport],
) -> None:
    """Stop tasks of this cell that belong to no current attempt."""
    link = owner.links.get(worker_id)
    if not owner.loaded or link is None or owner.draining.is_set():
        return
    for task in tasks.values():
        job_id, _, rest = task.id.partition(".")
        number = rest.partition(".")[0]
        if not number.isdecimal() or task.id in owner.stopping_orphans:
            continue
        if int(number) < _get_current_number(owner, job_id):
            owner.stopping_orphans.add(task.id)
            ownerstate.submit_operation(
                owner, None, _drop_orphan, owner.gang_context, link, task
            )


def _get_current_number(owner: CellOwner, job_id: str) -> float:
    """Return the number of the attempt whose tasks may exist on workers."""
    attempt = owner.attempts.get(job_id)
    return math.inf if attempt is None else attempts.get_current_number(attempt)


def _drop_orphan(
    context: gangs.GangContext,
    link: workerlink.WorkerLink,
    task: workerclient.TaskReport,
) -> ownerstate.OwnerUpdate:
    try:
        workerclient.stop_task(context.workers, link.worker, task.id, "stop")
        workerclient.delete_task(context.workers, link.worker, task.id)
    except errors.WorkerError as error:
        logs.log_event("stray_not_dropped", "WARNING", detail=error)
    return lambda owner: owner.stopping_orphans.discard(task.id)


def _mark_unresponsive(owner: CellOwner, worker_id: str) -> None:
    if worker_id in owner.responding_workers:
        owner.changed = True
    owner.responding_workers.discard(worker_id)


def _decide(owner: CellOwner) -> None:
    now = owner.context.clock.now_ms()
    elapsed_ms = now - owner.last_decision_ms
    # Some jobs become startable by the passing of time alone.
    review_due = bool(owner.blocked) and elapsed_ms >= policy.REVIEW_INTERVAL_MS
    if not (owner.changed or review_due):
        return
    if not owner.loaded or not ownerstate.holds_lease(owner):
        return
    if elapsed_ms < _MIN_DECISION_INTERVAL_MS:
        return
    owner.changed = False
    owner.last_decision_ms = now
    _cancel_queued(owner)
    owner.blocked = {}
    snapshot = snapshots.make_snapshot(owner)
    for decision in policy.advance(owner.policy_state, snapshot):
        if isinstance(decision, policy.Start):
            following.start_attempt(
                owner, owner.jobs[decision.job_id], decision.placement
            )
        elif isinstance(decision, policy.Preempt):
            attempt = owner.attempts[decision.job_id]
            if attempt.phase is Phase.RUNNING:
                attempts.begin_stop(attempt, decision.reason)
        else:
            owner.blocked[decision.job_id] = decision.reason


def _cancel_queued(owner: CellOwner) -> None:
    for job_id in list(owner.cancels):
        job = owner.jobs.get(job_id)
        if job is None:
            owner.cancels.discard(job_id)
        elif job_id not in owner.attempts:
            attempt = attempts.Attempt(
                job._replace(placement=()),
                Phase.STOPPING,
                owner.context.clock.now_ms(),
            )
            attempt.end_state = model.JobState.CANCELLED
            attempt.stop_reason = "cancelled by caller"
            owner.attempts[job_id] = attempt
