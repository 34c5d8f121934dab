"""Apply the ends of runs to the owner's table of jobs and runs."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import progresspages
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.endings import stops
from cyclamenshelf_daemon.tasks.workerprofiles import samples


class EndedJobTasks(NamedTuple):
    """Ends that a worker lists of the tasks of a job that has ended."""

    job_id: str
    kind: ports.EndKind


def apply_ends(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    ends: Iterable[ports.EndedTask],
    now_ms: int,
    wall_ms: int,
) -> None:
    """Apply the ends of runs that a worker lists and that are new.

    The tasks of jobs that have ended are logged together: a line for each of
    thousands takes most of the owner's time.
    """
    together: collections.Counter[EndedJobTasks] = collections.Counter()
    for end in sorted(ends):
        if end.number > worker.applied_number:
            _apply_end(ledger, worker, end, now_ms, wall_ms, together)
            worker.applied_number = end.number
    for (job_id, kind), tasks in together.items():
        logs.log_event(
            "job_tasks_ended",
            job=job_id,
            worker=worker.info.id,
            kind=kind,
            tasks=tasks,
            number=worker.applied_number,
            age_ms=wall_ms - ledger.jobs[job_id].progress.ended_ms,
        )


def _apply_end(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    end: ports.EndedTask,
    now_ms: int,
    wall_ms: int,
    together: collections.Counter[EndedJobTasks],
) -> None:
    """Apply the end of a run; count it in `together` if its job has ended."""
    worker.orphans.pop((end.name, end.run), None)
    task = taskjobs.parse_task(end.name)
    entry = ledger.jobs.get(task.group.job_id) if task else None
    if task is None or entry is None or ledgers.get_step(entry, task) is None:
        return
    run = ledger.runs.get(task)
    if run is not None and (
        run.number == end.run and run.worker_id == worker.info.id
    ):
        ledgers.remove_run(ledger, run)
        if end.kind is ports.EndKind.DONE:
            samples.record_end(ledger, worker, run, now_ms)
        else:
            _save_run(ledger, entry, run, end.checkpoint, now_ms)
            stops.stop_other_members(ledger, run, f"member_{end.kind}")
    if entry.progress.state in taskprogress.ENDED:
        together[EndedJobTasks(entry.job.id, end.kind)] += 1
    else:
        logs.log_event(
            "task_ended",
            task=end.name,
            run=end.run,
            worker=worker.info.id,
            kind=end.kind,
            number=end.number,
        )
        _apply_to_job(ledger, worker, entry, task, end, now_ms, wall_ms)
    if entry.dirty:
        recorded_task = taskprogress.get_representative(entry.job, task)
        ledgers.add_unstored_end(
            entry,
            progresspages.get_page(entry.layout, recorded_task),
            worker.info.id,
            (worker.info.started_ms, end.number),
        )


def _apply_to_job(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    entry: ledgers.JobEntry,
    task: taskjobs.Task,
    end: ports.EndedTask,
    now_ms: int,
    wall_ms: int,
) -> None:
    step = entry.job.steps[task.group.step]
    recorded_task = taskprogress.get_representative(entry.job, task)
    if end.kind is ports.EndKind.DONE:
        fleet.record_success(worker)
        if not step.long_running:
            _mark_done(ledger, entry, task, wall_ms)
        return
    if step.checkpointable:
        _save_checkpoint(entry, task, end.checkpoint)
    if end.kind is not ports.EndKind.FAILED:
        return
    if fleet.record_failure(worker, entry.job.id, now_ms):
        logs.log_event(
            "worker_quarantined",
            "WARNING",
            worker=worker.info.id,
            until_ms=worker.quarantined_until_ms,
        )
    if step.long_running:
        return
    failed = entry.progress.failed_runs.setdefault(recorded_task, set())
    failed.add(end.run)
    ledgers.mark_changed(entry, recorded_task)
    entry.dirty = True
    if len(failed) >= entry.job.max_attempts:
        stops.end_job(
            ledger,
            entry,
            taskprogress.State.FAILED,
            wall_ms,
            f"{end.name} failed {len(failed)} times",
        )


def _save_run(
    ledger: ledgers.Ledger,
    entry: ledgers.JobEntry,
    run: ledgers.Run,
    checkpoint: str,
    now_ms: int,
) -> None:
    """Keep the latest checkpoint of a run that has terminated.

    A run that ended with another member of its gang, or with its lease, may
    end with an earlier checkpoint than its worker has listed, or with none.
    """
    step = entry.job.steps[run.task.group.step]
    if entry.progress.state in taskprogress.ENDED or not step.checkpointable:
        return
    if _save_checkpoint(entry, run.task, max(checkpoint, run.checkpoint)):
        recorded_task = taskprogress.get_representative(entry.job, run.task)
        entry.saved_work_ms[recorded_task] = ledgers.compute_work_ms(
            ledger, run, now_ms
        )


def _save_checkpoint(
    entry: ledgers.JobEntry, task: taskjobs.Task, checkpoint: str
) -> bool:
    """Keep a later checkpoint of a task; return whether there is one.

    One for which the job's rows have no room is not kept: the task then
    resumes from an earlier one.
    """
    recorded_task = taskprogress.get_representative(entry.job, task)
    saved = entry.progress.checkpoints.get(recorded_task, "")
    if checkpoint <= saved:
        return False
    if not progresspages.fits_checkpoint(entry.layout, checkpoint):
        logs.log_event(
            "checkpoint_too_large",
            "WARNING",
            task=taskjobs.format_task(task),
            characters=len(checkpoint),
            max_bytes=entry.layout.max_checkpoint_bytes,
        )
        return False
    entry.progress.checkpoints[recorded_task] = checkpoint
    entry.dirty = True
    ledgers.mark_changed(entry, recorded_task)
    return True


def _mark_done(
    ledger: ledgers.Ledger,
    entry: ledgers.JobEntry,
    task: taskjobs.Task,
    wall_ms: int,
) -> None:
    step = entry.job.steps[task.group.step]
    done = entry.progress.done.setdefault(task.group, set())
    # A gang is done as soon as one of its members is.
    done.update(range(step.tasks) if step.gang else (task.index,))
    recorded_task = taskprogress.get_representative(entry.job, task)
    entry.progress.checkpoints.pop(recorded_task, None)
    entry.progress.failed_runs.pop(recorded_task, None)
    entry.progress.lost_runs.pop(recorded_task, None)
    ledgers.mark_changed(entry, recorded_task)
    entry.dirty = True
    run = ledger.runs.get(task)
    if run is not None and not step.gang:
        stops.stop_run(ledger, run, "done_elsewhere")
    if taskprogress.is_job_done(entry.progress, entry.job):
        stops.end_job(
            ledger,
            entry,
            taskprogress.State.COMPLETED,
            wall_ms,
            "all_tasks_done",
        )


def requeue_run(
    ledger: ledgers.Ledger, run: ledgers.Run, now_ms: int, reason: str
) -> None:
    """Remove a run that has terminated without a listed end.

    It may have been removed already, with another member of its gang.
    """
    if ledger.runs.get(run.task) is not run:
        return
    entry = ledger.jobs[run.task.group.job_id]
    _save_run(ledger, entry, run, "", now_ms)
    ledgers.remove_run(ledger, run)
    stops.stop_other_members(ledger, run, f"member_{reason}")
    logs.log_event(
        "task_requeued",
        task=taskjobs.format_task(run.task),
        run=run.number,
        worker=run.worker_id,
        phase=run.phase.name,
        age_ms=now_ms - run.since_ms,
        reason=reason,
    )
