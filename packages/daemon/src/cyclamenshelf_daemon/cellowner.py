"""The owner of a cell: one thread that decides and follows every attempt."""

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

_TICK_MS = 250
_DECIDE_INTERVAL_MS = 50
_DRAIN_TIMEOUT_S = 10
# Longer than any operation; each call and each commit in one has its bound.
_END_TIMEOUT_S = 60

# What users of this module refer to.
OwnerContext = ownerstate.OwnerContext
CellOwner = ownerstate.CellOwner
Phase = attempts.Phase

_holds_lease = ownerstate.holds_lease
_begin_stop = attempts.begin_stop
_start = following.start_attempt


def start_owner(context: OwnerContext, tenure: celllease.Tenure) -> CellOwner:
    """Start to own a cell; return the owner."""
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
        lambda loaded: owner.inbox.put(
            functools.partial(_take_loaded, owner, loaded)
        ),
    )
    return owner


def stop_owner(owner: CellOwner) -> None:
    """Stop deciding and renewing; started operations end by their fences."""
    owner.stopped.set()
    jobpoller.stop_polling(owner.poller)
    owner.inbox.put(lambda: None)


def wait_for_operations(owner: CellOwner) -> None:
    """Begin nothing new, wait for what is open, then stop the owner.

    Gangs that were started meanwhile get their long leases first, so that
    they outlast the takeover by the next owner.
    """
    owner.draining.set()
    owner.inbox.put(lambda: None)
    owner.quiet.wait(_DRAIN_TIMEOUT_S)
    stop_owner(owner)
    owner.ended.wait(_END_TIMEOUT_S)


def notice_job(owner: CellOwner) -> None:
    """Look for new jobs and cancellations without waiting for the poll."""
    jobpoller.wake(owner.poller)


def _run_owner(owner: CellOwner) -> None:
    if not supervision.run_logged("owner_failed", _keep_owning, owner):
        ownerstate.give_up(owner, "internal_error")
    for link in list(owner.links.values()):
        workerlink.stop_link(link)
    jobpoller.stop_polling(owner.poller)
    owner.operations.shutdown(wait=True)
    owner.tools.calls.shutdown(wait=True)
    owner.quiet.set()
    owner.ended.set()


def _keep_owning(owner: CellOwner) -> None:
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
        following.follow_attempts(owner)
        if not owner.draining.is_set():
            _decide(owner)
        elif _is_quiet(owner):
            owner.quiet.set()


def _is_quiet(owner: CellOwner) -> bool:
    if owner.dropping:
        return False
    return not any(
        attempt.operating
        or (attempt.phase is Phase.RUNNING and not _is_renewed(owner, attempt))
        for attempt in owner.attempts.values()
    )


def _is_renewed(owner: CellOwner, attempt: attempts.Attempt) -> bool:
    job = attempt.job
    for part, placed in enumerate(job.placement):
        link = owner.links.get(placed.worker_id)
        task_id = jobrows.make_task_id(job.id, job.attempt, part)
        if link is None or link.silent:
            continue
        if task_id not in link.renewed:
            return False
    return True


def _find_rejection(context: OwnerContext, job: model.Job) -> str | None:
    """Return why a journaled job breaks the lists in force, or nothing.

    None says that this host has not read any lists yet.
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
    _extend_inherited_grants(owner)
    listed = owner.context.host_list.hosts.workers
    for worker_id in owner.links.keys() - listed.keys():
        if not _list_parts_on(owner, worker_id):
            workerlink.stop_link(owner.links.pop(worker_id))
            owner.heard.discard(worker_id)
    if listed == owner.workers:
        return
    for worker_id, worker in listed.items():
        if worker_id in owner.links:
            owner.links[worker_id].worker = worker
        else:
            _add_link(owner, worker)
    owner.workers = dict(listed)
    owner.published = []
    owner.changed = True


def _extend_inherited_grants(owner: CellOwner) -> None:
    """Assume that earlier holders still renew, until they have left."""
    epoch = owner.tenure.epoch
    if all(
        owner.context.has_left(holder, epoch)
        for holder in owner.tenure.predecessors
    ):
        return
    now = owner.context.clock.now_ms()
    owner.inherited_until_ms = now + workerlink.LONGEST_GRANT_MS
    for link in owner.links.values():
        if link.silent:
            # A renewal that is on its way may still arrive.
            workerlink.note_grant(
                link, renewal.MAX_LEASE_MS + workerclient.COMMAND_TIMEOUT_MS
            )


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
            on_fenced=lambda: ownerstate.give_up(owner, "fenced"),
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
    for job, version in loaded.jobs:
        known = owner.versions.get(job.id)
        if known is not None and known >= version:
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
        loaded.jobs
        or loaded.cancels - owner.cancels
        or loaded.quarantined != owner.quarantined
        or not owner.loaded
    ):
        owner.changed = True
    owner.cancels |= loaded.cancels
    owner.quarantined = loaded.quarantined
    owner.loaded = True


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
    following.publish_placements(owner)
    for attempt, part in owner.placed.get(worker_id, ()):
        task_id = jobrows.make_task_id(
            attempt.job.id, attempt.job.attempt, part
        )
        report = tasks.get(task_id)
        if report is None and not (
            attempt.phase in (Phase.ADOPTING, Phase.RUNNING)
            and sent_at_ms > attempt.watched_from_ms
        ):
            continue
        if report is None:
            report = workerclient.TaskReport(task_id, "absent", ran=True)
        if attempts.note_report(attempt, part, report):
            _note_health(owner, attempt, part, report)
    _stop_strays(owner, worker_id, tasks)


def _note_health(
    owner: CellOwner,
    attempt: attempts.Attempt,
    part: int,
    report: workerclient.TaskReport,
) -> None:
    """Count failures in a row of the part's worker."""
    worker_id = attempt.job.placement[part].worker_id
    if report.state == "finished":
        workerhealth.note_success(owner.health, worker_id)
    elif report.state == "failed" and workerhealth.note_failure(
        owner.health,
        worker_id,
        attempt.job.id,
        attempt.job.attempt,
        part,
        owner.context.clock.now_ms(),
    ):
        logs.log_event("worker_quarantined", "WARNING", worker=worker_id)


def _stop_strays(
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
        if not number.isdecimal() or task.id in owner.dropping:
            continue
        if int(number) < _get_current(owner, job_id):
            owner.dropping.add(task.id)
            ownerstate.submit(owner, None, _drop_stray, owner.tools, link, task)


def _get_current(owner: CellOwner, job_id: str) -> float:
    """Return the number of the attempt whose tasks may exist on workers."""
    attempt = owner.attempts.get(job_id)
    return math.inf if attempt is None else attempts.get_current_number(attempt)


def _drop_stray(
    tools: gangs.GangTools,
    link: workerlink.WorkerLink,
    task: workerclient.TaskReport,
) -> ownerstate.Apply:
    try:
        workerclient.stop_task(tools.workers, link.worker, task.id, "stop")
        workerclient.forget_task(tools.workers, link.worker, task.id)
    except errors.WorkerError as error:
        logs.log_event("stray_not_dropped", "WARNING", detail=error)
    return lambda owner: owner.dropping.discard(task.id)


def _take_silence(owner: CellOwner, worker_id: str) -> None:
    if worker_id in owner.heard:
        owner.changed = True
    owner.heard.discard(worker_id)


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
    snapshot = _make_snapshot(owner)
    for decision in policy.advance(owner.policy_state, snapshot):
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
            and worker_id not in owner.quarantined
            and not workerhealth.is_quarantined(
                owner.health, worker_id, owner.context.clock.now_ms()
            )
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
            attempt = attempts.Attempt(
                job._replace(placement=()),
                Phase.STOPPING,
                owner.context.clock.now_ms(),
            )
            attempt.end_state = model.JobState.CANCELLED
            attempt.stop_reason = "cancelled by caller"
            owner.attempts[job_id] = attempt
