"""Following every attempt of a cell from its start to its end."""

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
_NOT_WHOLE = "not whole after takeover"
_GONE = ("failed", "stopped", "lapsed", "absent")


def start_attempt(
    owner: ownerstate.CellOwner, job: model.Job, placement: model.Placement
) -> None:
    """Begin to start a gang on its workers."""
    prefix = f"{job.id}."
    if any(task_id.startswith(prefix) for task_id in owner.dropping):
        # The next attempt may use the same task ids.
        owner.changed = True
        return
    attempt = attempts.Attempt(
        job._replace(placement=placement),
        attempts.Phase.STARTING,
        owner.context.clock.now_ms(),
    )
    owner.attempts[job.id] = attempt
    ownerstate.submit(
        owner,
        attempt,
        _run_start,
        owner.tools,
        attempt,
        job,
        owner.versions[job.id],
        placement,
    )


def follow_attempts(owner: ownerstate.CellOwner) -> None:
    """Advance each attempt by what its parts have reported."""
    now = owner.context.clock.now_ms()
    any_silent = any(link.silent for link in owner.links.values())
    for attempt in list(owner.attempts.values()):
        if attempt.operating or now < attempt.retry_at_ms:
            continue
        if (
            attempt.phase is attempts.Phase.RUNNING
            and not (attempt.reported or any_silent)
            and attempt.job.id not in owner.cancels
        ):
            continue  # Nothing can have changed for the gang.
        attempt.reported = False
        if attempt.phase is attempts.Phase.ADOPTING:
            _follow_adoption(owner, attempt)
        elif attempt.phase is attempts.Phase.RUNNING:
            _follow_running(owner, attempt)
        elif _has_finished_after_all(attempt):
            attempt.phase = attempts.Phase.FINISHING
        if not owner.draining.is_set():
            _operate(owner, attempt)
    publish_placements(owner)


def _operate(owner: ownerstate.CellOwner, attempt: attempts.Attempt) -> None:
    """Begin the operation that an attempt needs next, if any."""
    version = owner.versions[attempt.job.id]
    if attempt.phase is attempts.Phase.UNSETTLED:
        job = owner.jobs[attempt.job.id]
        ownerstate.submit(
            owner, attempt, _run_settle, owner.tools, attempt, job, version
        )
    elif attempt.phase is attempts.Phase.FINISHING:
        _finish(owner, attempt, version)
    elif attempt.phase is attempts.Phase.STOPPING:
        lost = frozenset(
            part
            for part in range(len(attempt.job.placement))
            if ownerstate.is_lost(owner, attempt, part)
        )
        ownerstate.submit(
            owner, attempt, _run_stop, owner.tools, attempt, version, lost
        )


def _run_start(
    tools: gangs.GangTools,
    attempt: attempts.Attempt,
    job: model.Job,
    version: int,
    placement: model.Placement,
) -> ownerstate.Apply:
    result = gangs.start_gang(tools, job, version, placement)
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
    if result.outcome is gangs.Started.NOT_COMMITTED:
        del owner.attempts[job_id]
        return
    if result.outcome is gangs.Started.UNSETTLED:
        attempt.phase = attempts.Phase.UNSETTLED
        attempt.never_started = True
        return
    attempt.tasks = {}
    owner.jobs[job_id] = attempt.job = result.job
    owner.versions[job_id] = result.version
    if result.outcome is gangs.Started.RUNNING:
        attempt.phase = attempts.Phase.RUNNING
        attempt.reported = True
        attempt.watched_from_ms = owner.context.clock.now_ms()
    else:
        attempts.begin_stop(attempt, result.reason)


def _run_settle(
    tools: gangs.GangTools,
    attempt: attempts.Attempt,
    job: model.Job,
    version: int,
) -> ownerstate.Apply:
    """Write the queued job again: applied, or the start record was."""
    row = gangs.commit_or_read(tools, job, version)
    return lambda owner: _take_row(owner, attempt, *row)


def _take_row(
    owner: ownerstate.CellOwner,
    attempt: attempts.Attempt,
    job: model.Job,
    version: int,
) -> None:
    """Go on with an attempt from what its job row is known to hold."""
    if job.state in model.ENDED_STATES:
        _remove(owner, job)
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
    attempt.retry_at_ms = owner.context.clock.now_ms() + ownerstate.RETRY_MS


def _remove(owner: ownerstate.CellOwner, job: model.Job) -> None:
    logs.log_event(
        "job_ended", job=job.id, attempt=job.attempt, state=job.state
    )
    owner.attempts.pop(job.id, None)
    owner.jobs.pop(job.id, None)
    owner.versions.pop(job.id, None)
    owner.cancels.discard(job.id)
    jobpoller.forget_job(owner.poller, job.id)
    owner.context.on_ended(job.id)


def _follow_adoption(
    owner: ownerstate.CellOwner, attempt: attempts.Attempt
) -> None:
    """Decide what to do with an attempt that an earlier owner started.

    Its leases are not renewed before: the earlier owner may have stopped in
    the middle of the start, and a part must not go on without its gang.
    """
    parts = range(len(attempt.job.placement))
    states = {report.state for report in attempt.tasks.values()}
    lost = any(ownerstate.is_lost(owner, attempt, part) for part in parts)
    if lost or not states <= {"running", "finished"}:
        attempts.begin_stop(attempt, _NOT_WHOLE)
    elif len(attempt.tasks) == len(parts):
        attempt.phase = attempts.Phase.RUNNING
        attempt.reported = True
        logs.log_event(
            "attempt_adopted", job=attempt.job.id, attempt=attempt.job.attempt
        )


def _follow_running(
    owner: ownerstate.CellOwner, attempt: attempts.Attempt
) -> None:
    placement = attempt.job.placement
    states = {part: report.state for part, report in attempt.tasks.items()}
    lost = {
        placed.worker_id
        for part, placed in enumerate(placement)
        if ownerstate.is_lost(owner, attempt, part)
    }
    failed = {
        placement[part].worker_id
        for part, state in states.items()
        if state == "failed"
    }
    if _is_complete(attempt):
        attempt.phase = attempts.Phase.FINISHING
    elif attempt.job.id in owner.cancels:
        attempt.end_state = model.JobState.CANCELLED
        attempts.begin_stop(attempt, "cancelled by caller")
    elif failed:
        attempts.begin_stop(attempt, "task failed", frozenset(failed))
    elif lost:
        attempts.begin_stop(attempt, _WORKER_LOST, frozenset(lost))
    elif any(state in _GONE for state in states.values()):
        attempts.begin_stop(attempt, "task lost")


def _is_complete(attempt: attempts.Attempt) -> bool:
    return len(attempt.tasks) == len(attempt.job.placement) > 0 and all(
        report.state == "finished" for report in attempt.tasks.values()
    )


def _has_finished_after_all(attempt: attempts.Attempt) -> bool:
    """Return whether a worker that was silent has kept a whole answer."""
    return (
        attempt.phase is attempts.Phase.STOPPING
        and attempt.stop_reason in (_WORKER_LOST, _NOT_WHOLE)
        and _is_complete(attempt)
    )


def publish_placements(owner: ownerstate.CellOwner) -> None:
    """Index the parts by worker and tell each link which tasks to renew.

    Does nothing while no attempt has changed its phase: the index is as large
    as all running tasks, and reports arrive all the time.
    """
    phases = [
        (attempt.job.id, attempt.job.attempt, attempt.phase)
        for attempt in owner.attempts.values()
    ]
    if phases == owner.published:
        return
    owner.published = phases
    owner.placed = {}
    for attempt in owner.attempts.values():
        if attempt.phase in (attempts.Phase.STARTING, attempts.Phase.UNSETTLED):
            continue  # Its number is not that of its tasks yet.
        for part, placed in enumerate(attempt.job.placement):
            parts = owner.placed.setdefault(placed.worker_id, [])
            parts.append((attempt, part))
    for worker_id, link in owner.links.items():
        renewals = _list_renewals(owner.placed.get(worker_id, []))
        if renewals != link.renewals:
            workerlink.update_renewals(link, renewals)


def _list_renewals(
    parts: list[tuple[attempts.Attempt, int]],
) -> workerlink.Renewals:
    """Return what a link renews, and whether its reports are awaited."""
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
        max((attempt.since_ms for attempt, _ in running), default=0),
        any(attempt.phase is attempts.Phase.ADOPTING for attempt, _ in parts),
    )


def _finish(
    owner: ownerstate.CellOwner, attempt: attempts.Attempt, version: int
) -> None:
    for placed in attempt.job.placement:
        if placed.worker_id in owner.workers:
            continue
        link = owner.links.get(placed.worker_id)
        if link is None or link.silent:
            attempts.begin_stop(
                attempt, "answer lost", frozenset({placed.worker_id})
            )
            return
    if ownerstate.holds_lease(owner):
        ownerstate.submit(
            owner, attempt, _run_finish, owner.tools, attempt, version
        )


def _run_finish(
    tools: gangs.GangTools, attempt: attempts.Attempt, version: int
) -> ownerstate.Apply:
    """Store the answers, then write the end of the job."""
    try:
        manifest = gangs.store_answers(tools, attempt.job)
    except errors.WorkerRefusedError as refusal:
        return _make_failed_finish(attempt, refusal)
    job, version = gangs.commit_or_read(
        tools,
        attempt.job._replace(
            state=model.JobState.SUCCEEDED,
            ended_ms=tools.clock.wall_ms(),
            run=errors.Run.RAN,
            manifest=manifest,
        ),
        version,
    )
    if job.state in model.ENDED_STATES:
        gangs.forget_gang(tools, attempt.job)
    return lambda owner: _take_row(owner, attempt, job, version)


def _make_failed_finish(
    attempt: attempts.Attempt, refusal: errors.WorkerRefusedError
) -> ownerstate.Apply:
    """Stop an attempt whose answer cannot be had, now or later."""

    def apply(owner: ownerstate.CellOwner) -> None:
        if refusal.reason == "answer_too_large":
            attempt.end_state = model.JobState.FAILED
            attempts.begin_stop(attempt, "answer_too_large")
        else:
            attempts.begin_stop(
                attempt, "answer lost", frozenset({refusal.worker})
            )

    return apply


def _run_stop(
    tools: gangs.GangTools,
    attempt: attempts.Attempt,
    version: int,
    lost: frozenset[int],
) -> ownerstate.Apply:
    """Stop every part, then write what becomes of the job.

    The parts are stopped even where the cell lease cannot be proved: a stop
    starts no work, and the rest of a gang must not go on alone.
    """
    reports = gangs.stop_gang(tools, attempt.job) | _list_finished(attempt)
    job = attempts.settle_stopped(attempt, reports, lost)
    if job is None:
        raise errors.WorkerError("", "parts not known to be stopped", True)
    if job.state in model.ENDED_STATES:
        job = job._replace(ended_ms=tools.clock.wall_ms())
    stopped = attempt.job
    job, version = gangs.commit_or_read(tools, job, version)
    if job.state in (*model.ENDED_STATES, model.JobState.QUEUED):
        gangs.forget_gang(tools, stopped)
    return lambda owner: _take_row(owner, attempt, job, version)


def _list_finished(
    attempt: attempts.Attempt,
) -> dict[int, workerclient.TaskReport]:
    """Return the parts that have ended by themselves; no stop is awaited."""
    return {
        part: report
        for part, report in attempt.tasks.items()
        if report.state == "finished"
    }
