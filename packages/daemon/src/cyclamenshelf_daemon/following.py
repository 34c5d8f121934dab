"""Advance every attempt of a cell from its start to its end."""

from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_core import model
from cyclamenshelf_daemon import attempts
from cyclamenshelf_daemon import gangs
from cyclamenshelf_daemon import jobpoller
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import ownerstate
from cyclamenshelf_daemon import workerclient
from cyclamenshelf_daemon import workerlink

_WORKER_LOST = "worker lost"
_INCOMPLETE = "not whole after takeover"
_ANSWER_LOST = "answer lost"
_ANSWER_TOO_LARGE = "answer_too_large"
# Stops after which the answer of a finished part cannot be stored.
_UNSTORABLE_ANSWER_REASONS = (_ANSWER_LOST, _ANSWER_TOO_LARGE)
_UNSUCCESSFUL_STATES = ("failed", "stopped", "lapsed", "absent")


def start_attempt(
    owner: ownerstate.CellOwner, job: model.Job, placement: model.Placement
) -> None:
    """Submit the start of a gang on its workers."""
    prefix = f"{job.id}."
    if any(task_id.startswith(prefix) for task_id in owner.stopping_orphans):
        # The next attempt may use the same task ids.
        owner.changed = True
        return
    attempt = attempts.Attempt(
        job._replace(placement=placement),
        attempts.Phase.STARTING,
        owner.context.clock.now_ms(),
    )
    owner.attempts[job.id] = attempt
    ownerstate.submit_operation(
        owner,
        attempt,
        _run_start,
        owner.gang_context,
        attempt,
        job,
        owner.versions[job.id],
        placement,
    )


def advance_attempts(owner: ownerstate.CellOwner) -> None:
    """Advance each attempt according to the reports of its parts."""
    now = owner.context.clock.now_ms()
    any_unresponsive = any(link.unresponsive for link in owner.links.values())
    for attempt in list(owner.attempts.values()):
        if attempt.operation_running or now < attempt.retry_at_ms:
            continue
        if (
            attempt.phase is attempts.Phase.RUNNING
            and not (attempt.has_new_report or any_unresponsive)
            and attempt.job.id not in owner.cancels
        ):
            continue  # No input of this gang has changed.
        attempt.has_new_report = False
        if attempt.phase is attempts.Phase.ADOPTING:
            _advance_adopting(owner, attempt)
        elif attempt.phase is attempts.Phase.RUNNING:
            _advance_running(owner, attempt)
        elif attempt.phase is attempts.Phase.STOPPING and _is_answer_storable(
            attempt, attempt.tasks
        ):
            attempt.phase = attempts.Phase.FINISHING
        if not owner.draining.is_set():
            _submit_next_operation(owner, attempt)
    update_placement_index(owner)


def _submit_next_operation(
    owner: ownerstate.CellOwner, attempt: attempts.Attempt
) -> None:
    """Submit the next operation of an attempt, if any."""
    version = owner.versions[attempt.job.id]
    if attempt.phase is attempts.Phase.UNSETTLED:
        job = owner.jobs[attempt.job.id]
        ownerstate.submit_operation(
            owner,
            attempt,
            _resolve_start,
            owner.gang_context,
            attempt,
            job,
            version,
        )
    elif attempt.phase is attempts.Phase.FINISHING:
        _submit_finish(owner, attempt, version)
    elif attempt.phase is attempts.Phase.STOPPING:
        lost = frozenset(
            part
            for part in range(len(attempt.job.placement))
            if ownerstate.is_part_lost(owner, attempt, part)
        )
        ownerstate.submit_operation(
            owner,
            attempt,
            _run_stop,
            owner.gang_context,
            attempt,
            version,
            lost,
        )


def _run_start(
    context: gangs.GangContext,
    attempt: attempts.Attempt,
    job: model.Job,
    version: int,
    placement: model.Placement,
) -> ownerstate.OwnerUpdate:
    result = gangs.start_gang(context, job, version, placement)
    return lambda owner: _apply_start(owner, attempt, result)


def _apply_start(
    owner: ownerstate.CellOwner,
    attempt: attempts.Attempt,
    result: gangs.StartResult,
) -> None:
    job_id = result.job.id
    logs.log_event(
        "gang_start",
        job=job_id,
        attempt=result.job.attempt,
        outcome=result.outcome.name.lower(),
        reason=result.reason,
    )
    if result.outcome is gangs.StartOutcome.NOT_COMMITTED:
        del owner.attempts[job_id]
        return
    if result.outcome is gangs.StartOutcome.UNSETTLED:
        attempt.phase = attempts.Phase.UNSETTLED
        attempt.never_started = True
        return
    attempt.tasks = {}
    owner.jobs[job_id] = attempt.job = result.job
    owner.versions[job_id] = result.version
    if result.outcome is gangs.StartOutcome.RUNNING:
        attempt.phase = attempts.Phase.RUNNING
        attempt.has_new_report = True
        attempt.reports_valid_from_ms = owner.context.clock.now_ms()
    else:
        attempts.begin_stop(attempt, result.reason)


def _resolve_start(
    context: gangs.GangContext,
    attempt: attempts.Attempt,
    job: model.Job,
    version: int,
) -> ownerstate.OwnerUpdate:
    """Find out whether the start record was committed.

    Writes the queued job with the same expected version: either this write is
    applied, or the start record was.
    """
    row = gangs.commit_or_read(context, job, version)
    return lambda owner: _apply_job_row(owner, attempt, *row)


def _apply_job_row(
    owner: ownerstate.CellOwner,
    attempt: attempts.Attempt,
    job: model.Job,
    version: int,
) -> None:
    """Continue an attempt from the content of its job row."""
    if job.state in model.ENDED_STATES:
        _remove_job(owner, job)
        return
    owner.jobs[job.id] = job
    owner.versions[job.id] = version
    if job.state is model.JobState.QUEUED:
        logs.log_event(
            "job_requeued", job=job.id, attempt=job.attempt, reason=job.reason
        )
        owner.attempts.pop(job.id, None)
        return
    attempt.job = job
    if attempt.phase is attempts.Phase.UNSETTLED:
        attempts.begin_stop(attempt, "start record of unknown outcome")
    attempt.retry_at_ms = (
        owner.context.clock.now_ms() + ownerstate.RETRY_DELAY_MS
    )


def _remove_job(owner: ownerstate.CellOwner, job: model.Job) -> None:
    logs.log_event(
        "job_ended", job=job.id, attempt=job.attempt, state=job.state
    )
    owner.attempts.pop(job.id, None)
    owner.jobs.pop(job.id, None)
    owner.versions.pop(job.id, None)
    owner.cancels.discard(job.id)
    jobpoller.forget_job(owner.poller, job.id)
    owner.context.on_ended(job.id)


def _advance_adopting(
    owner: ownerstate.CellOwner, attempt: attempts.Attempt
) -> None:
    """Adopt or stop an attempt that an earlier owner started.

    Its task leases are not renewed until it is adopted: the earlier owner may
    have stopped in the middle of the start, and a part must not continue
    without the rest of its gang.
    """
    parts = range(len(attempt.job.placement))
    states = {report.state for report in attempt.tasks.values()}
    lost = any(ownerstate.is_part_lost(owner, attempt, part) for part in parts)
    if lost or not states <= {"running", "finished"}:
        attempts.begin_stop(attempt, _INCOMPLETE)
    elif len(attempt.tasks) == len(parts):
        attempt.phase = attempts.Phase.RUNNING
        attempt.has_new_report = True
        logs.log_event(
            "attempt_adopted", job=attempt.job.id, attempt=attempt.job.attempt
        )


def _advance_running(
    owner: ownerstate.CellOwner, attempt: attempts.Attempt
) -> None:
    placement = attempt.job.placement
    states = {part: report.state for part, report in attempt.tasks.items()}
    lost = {
        placed.worker_id
        for part, placed in enumerate(placement)
        if ownerstate.is_part_lost(owner, attempt, part)
    }
    failed = {
        placement[part].worker_id
        for part, state in states.items()
        if state == "failed"
    }
    if _have_all_finished(attempt.job, attempt.tasks):
        attempt.phase = attempts.Phase.FINISHING
    elif attempt.job.id in owner.cancels:
        attempt.end_state = model.JobState.CANCELLED
        attempts.begin_stop(attempt, "cancelled by caller")
    elif failed:
        attempts.begin_stop(attempt, "task failed", frozenset(failed))
    elif lost:
        attempts.begin_stop(attempt, _WORKER_LOST, frozenset(lost))
    elif any(state in _UNSUCCESSFUL_STATES for state in states.values()):
        attempts.begin_stop(attempt, "task lost")


def _have_all_finished(
    job: model.Job, reports: dict[int, workerclient.TaskReport]
) -> bool:
    """Return whether every part of a placed job is reported as finished."""
    return len(reports) == len(job.placement) > 0 and all(
        report.state == "finished" for report in reports.values()
    )


def _is_answer_storable(
    attempt: attempts.Attempt, reports: dict[int, workerclient.TaskReport]
) -> bool:
    """Return whether a stopping attempt has finished after all.

    Parts may finish before the stop arrives, and workers that were unresponsive
    may report later that their tasks had finished. The answers can then still
    be stored.
    """
    return (
        attempt.stop_reason not in _UNSTORABLE_ANSWER_REASONS
        and _have_all_finished(attempt.job, reports)
    )


def update_placement_index(owner: ownerstate.CellOwner) -> None:
    """Index the parts by worker and set the tasks that each link renews.

    Does nothing unless an attempt has changed its phase: rebuilding the index
    takes time in proportion to all running tasks, and reports arrive often.
    """
    phases = [
        (attempt.job.id, attempt.job.attempt, attempt.phase)
        for attempt in owner.attempts.values()
    ]
    if phases == owner.indexed_phases:
        return
    owner.indexed_phases = phases
    owner.parts_by_worker = {}
    for attempt in owner.attempts.values():
        if attempt.phase in (attempts.Phase.STARTING, attempts.Phase.UNSETTLED):
            continue  # The job does not have the number of the new attempt yet.
        for part, placed in enumerate(attempt.job.placement):
            parts = owner.parts_by_worker.setdefault(placed.worker_id, [])
            parts.append((attempt, part))
    for worker_id, link in owner.links.items():
        renewals = _list_renewals(owner.parts_by_worker.get(worker_id, []))
        if renewals != link.renewals:
            workerlink.update_renewals(link, renewals)


def _list_renewals(
    parts: list[tuple[attempts.Attempt, int]],
) -> workerlink.Renewals:
    """Return the tasks to renew, and whether a report is needed soon."""
    running = [
        (attempt, part)
        for attempt, part in parts
        if attempt.phase is attempts.Phase.RUNNING
    ]
    return workerlink.Renewals(
        tuple(
            jobrows.make_task_id(attempt.job.id, attempt.job.attempt, part)
            for attempt, part in running
        ),
        max((attempt.tracked_since_ms for attempt, _ in running), default=0),
        any(attempt.phase is attempts.Phase.ADOPTING for attempt, _ in parts),
    )


def _submit_finish(
    owner: ownerstate.CellOwner, attempt: attempts.Attempt, version: int
) -> None:
    for placed in attempt.job.placement:
        if placed.worker_id in owner.workers:
            continue
        link = owner.links.get(placed.worker_id)
        if link is None or link.unresponsive:
            attempts.begin_stop(
                attempt, _ANSWER_LOST, frozenset({placed.worker_id})
            )
            return
    if ownerstate.holds_lease(owner):
        ownerstate.submit_operation(
            owner, attempt, _run_finish, owner.gang_context, attempt, version
        )


def _run_finish(
    context: gangs.GangContext, attempt: attempts.Attempt, version: int
) -> ownerstate.OwnerUpdate:
    """Store the answers, then commit the job as succeeded."""
    try:
        manifest = gangs.store_answers(context, attempt.job)
    except errors.WorkerRefusedError as refusal:
        return _make_failed_finish(attempt, refusal)
    job, version = gangs.commit_or_read(
        context,
        attempt.job._replace(
            state=model.JobState.SUCCEEDED,
            ended_ms=context.clock.wall_ms(),
            run=errors.Run.RAN,
            manifest=manifest,
        ),
        version,
    )
    if job.state in model.ENDED_STATES:
        gangs.delete_gang_tasks(context, attempt.job)
    return lambda owner: _apply_job_row(owner, attempt, job, version)


def _make_failed_finish(
    attempt: attempts.Attempt, refusal: errors.WorkerRefusedError
) -> ownerstate.OwnerUpdate:
    """Stop an attempt whose answer can never be fetched."""

    def apply(owner: ownerstate.CellOwner) -> None:
        if refusal.reason == "answer_too_large":
            attempt.end_state = model.JobState.FAILED
            attempts.begin_stop(attempt, _ANSWER_TOO_LARGE)
        else:
            attempts.begin_stop(
                attempt, _ANSWER_LOST, frozenset({refusal.worker})
            )

    return apply


def _run_stop(
    context: gangs.GangContext,
    attempt: attempts.Attempt,
    version: int,
    lost: frozenset[int],
) -> ownerstate.OwnerUpdate:
    """Stop every part, then commit the resulting state of the job.

    The parts are stopped even if the cell lease may have expired: a stop starts
    no work, and the remaining parts of a gang must not continue alone.
    """
    reports = gangs.stop_gang(context, attempt.job) | _list_finished(attempt)
    if _is_answer_storable(attempt, reports):
        return lambda owner: _finish_stopped(attempt, reports)
    job = attempts.resolve_stopped(attempt, reports, lost)
    if job is None:
        raise errors.WorkerError(
            "", "not all parts are confirmed to have stopped", True
        )
    if job.state in model.ENDED_STATES:
        job = job._replace(ended_ms=context.clock.wall_ms())
    stopped = attempt.job
    job, version = gangs.commit_or_read(context, job, version)
    if job.state in (*model.ENDED_STATES, model.JobState.QUEUED):
        gangs.delete_gang_tasks(context, stopped)
    return lambda owner: _apply_job_row(owner, attempt, job, version)


def _finish_stopped(
    attempt: attempts.Attempt, reports: dict[int, workerclient.TaskReport]
) -> None:
    """Store the answers of an attempt that finished before its stop."""
    for part, report in reports.items():
        attempts.record_report(attempt, part, report)
    attempt.phase = attempts.Phase.FINISHING


def _list_finished(
    attempt: attempts.Attempt,
) -> dict[int, workerclient.TaskReport]:
    """Return the reports of finished parts, which need no stop response."""
    return {
        part: report
        for part, report in attempt.tasks.items()
        if report.state == "finished"
    }
