"""Stops of runs, and the end of jobs with what still runs of them."""

import collections

from cyclamenshelf_core import taskprogress
from cyclamenshelf_core.workerprofiles import runestimates
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import ledger as ledgers


def end_job(
    ledger: ledgers.Ledger,
    entry: ledgers.JobEntry,
    state: taskprogress.State,
    wall_ms: int,
    reason: str,
) -> None:
    """End a job and stop its remaining runs."""
    entry.progress.state = state
    entry.progress.ended_ms = wall_ms
    entry.progress.checkpoints.clear()
    entry.dirty = True
    runestimates.forget_job(ledger.run_times, entry.job.id)
    logs.log_event(
        "job_ended",
        job=entry.job.id,
        state=state,
        reason=reason,
        age_ms=wall_ms - entry.job.accepted_ms,
    )
    _stop_job_runs(ledger, entry.job.id, f"job_{state}")


def _stop_job_runs(ledger: ledgers.Ledger, job_id: str, reason: str) -> None:
    """Stop all runs of a job; a job of thousands logs a line for each worker.

    A line for each task delayed the first stop of 10,000 by 0.2 s.
    """
    stopping = collections.Counter(
        run.worker_id
        for run in ledgers.list_job_runs(ledger, job_id)
        if _begin_stop(ledger, run, reason)
    )
    for worker_id, tasks in stopping.items():
        logs.log_event(
            "job_tasks_stopping",
            job=job_id,
            worker=worker_id,
            tasks=tasks,
            reason=reason,
        )


def stop_run(ledger: ledgers.Ledger, run: ledgers.Run, reason: str) -> None:
    """Stop a run unless it is being stopped already."""
    if _begin_stop(ledger, run, reason):
        logs.log_event(
            "task_stopping",
            task=run.name,
            run=run.number,
            worker=run.worker_id,
            reason=reason,
        )


def _begin_stop(ledger: ledgers.Ledger, run: ledgers.Run, reason: str) -> bool:
    """Remove a planned run, or stop any other; return whether it is stopped."""
    if run.phase in (ledgers.Phase.STOPPING, ledgers.Phase.LOST):
        return False
    if run.phase is ledgers.Phase.PLANNED:
        if ledger.runs.get(run.task) is run:
            ledgers.remove_run(ledger, run)
            # A gang must not start without one of its members.
            stop_other_members(ledger, run, reason)
        return False
    run.phase = ledgers.Phase.STOPPING
    run.reason = reason
    ledger.stops.append(run)
    return True


def mark_unacknowledged(ledger: ledgers.Ledger, run: ledgers.Run) -> None:
    """Record that the start of a run was not acknowledged.

    A run that its worker has listed is known to run, and stays as it is.
    """
    if run.acked_ms is not None:
        return
    if run.phase is ledgers.Phase.STARTING:
        ledger.stops.append(run)
    run.phase = ledgers.Phase.LOST
    stop_other_members(ledger, run, "member_not_started")


def repeat_stop(ledger: ledgers.Ledger, run: ledgers.Run) -> None:
    """Send the stop of a run again, as its worker has forgotten the first."""
    run.stop_acked_ms = None
    if run not in ledger.stops:
        ledger.stops.append(run)


def stop_other_members(
    ledger: ledgers.Ledger, run: ledgers.Run, reason: str
) -> None:
    """Stop the other members of a run's gang unless the gang is done."""
    entry, group = ledger.jobs[run.task.group.job_id], run.task.group
    step = entry.job.steps[group.step]
    if not step.gang or taskprogress.is_group_done(
        entry.progress, group, step.tasks
    ):
        return
    others = [
        other
        for other in ledgers.list_group_runs(ledger, group)
        if other is not run and other.number == run.number
    ]
    # Removed here, as the stop of a planned member would stop the next one, to
    # a depth of the whole gang.
    for other in others:
        if other.phase is ledgers.Phase.PLANNED:
            ledgers.remove_run(ledger, other)
    for other in others:
        if other.phase is not ledgers.Phase.PLANNED:
            stop_run(ledger, other, reason)
