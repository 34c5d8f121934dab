"""Workers that are lost with their tasks, as records of these tasks."""

from collections.abc import Iterable
from typing import Any

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core import workerlosses
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks.endings import stops

# Lost workers that are remembered at most.
_MAX_REMEMBERED = 1_000


def record_lost_worker(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    workers: Iterable[fleet.Worker],
    now_ms: int,
) -> list[ledgers.JobEntry]:
    """Record the runs with which a worker was lost.

    Args:
        ledger: The owner's jobs and runs, with the runs of the worker.
        worker: A worker that has restarted, or is unresponsive and without a
            lease.
        workers: All workers of the owner.
        now_ms: The monotonic time.

    Returns:
        The jobs to give up; see `give_up`.
    """
    if worker.info.draining_ms is not None:
        return []
    lost = _describe(ledger, worker)
    others = [
        _describe(ledger, other)
        for other in workers
        if other.last_response_ms is not None
        and other.info.draining_ms is None
        and fleet.is_unresponsive(other, now_ms)
    ]
    others += ledger.lost_workers.values()
    _remember(ledger.lost_workers, _get_key(worker), lost)
    if workerlosses.were_lost_together(lost, others):
        logs.log_event("workers_lost_together", worker=worker.info.id)
        return []
    given_up: list[ledgers.JobEntry] = []
    for run in ledgers.list_worker_runs(ledger, worker.info.id):
        if run.phase is not ledgers.Phase.PLANNED:
            given_up += _record_lost_run(ledger, worker, run)
    return given_up


def give_up(
    ledger: ledgers.Ledger, entries: list[ledgers.JobEntry], wall_ms: int
) -> None:
    """End jobs of which a task has lost too many workers."""
    for entry in entries:
        if entry.progress.state not in taskprogress.ENDED:
            stops.end_job(
                ledger,
                entry,
                taskprogress.State.FAILED,
                wall_ms,
                "a task crashes its workers",
            )


def withdraw_losses(ledger: ledgers.Ledger, worker: fleet.Worker) -> None:
    """Remove the records of a worker that responds again: it did not crash."""
    ledger.lost_workers.pop(_get_key(worker), None)
    for task, number in ledger.suspected_runs.pop(_get_key(worker), ()):
        entry = ledger.jobs.get(task.group.job_id)
        runs = entry.progress.lost_runs.get(task) if entry else None
        if entry is None or runs is None or number not in runs:
            continue
        runs.remove(number)
        if not runs:
            del entry.progress.lost_runs[task]
        ledgers.mark_changed(entry, task)
        entry.dirty = True
        logs.log_event(
            "loss_withdrawn",
            task=taskjobs.format_task(task),
            run=number,
            worker=worker.info.id,
        )


def record_unconfirmed_worker(
    ledger: ledgers.Ledger, worker_id: str
) -> list[ledgers.JobEntry]:
    """Record the runs of an earlier owner on a worker that has not responded.

    Returns:
        The jobs to give up; see `give_up`.
    """
    given_up: list[ledgers.JobEntry] = []
    for entry in ledger.jobs.values():
        runs = entry.progress.assigned_runs.pop(worker_id, {})
        if entry.progress.state in taskprogress.ENDED:
            continue
        lost = {
            (taskprogress.get_representative(entry.job, task), number)
            for task, number in runs.items()
        }
        for task, number in sorted(lost):
            done = task.index in entry.progress.done.get(task.group, ())
            if not done and task not in ledger.runs:
                # The row does not say whether the worker ran other tasks.
                given_up += _add_lost_run(
                    entry, task, number, worker_id, alone=True
                )
    return given_up


def count_losses(entry: ledgers.JobEntry, task: taskjobs.Task) -> int:
    """Return how many workers were lost with a task; once for a gang's run."""
    recorded_task = taskprogress.get_representative(entry.job, task)
    return len(entry.progress.lost_runs.get(recorded_task, ()))


def _describe(
    ledger: ledgers.Ledger, worker: fleet.Worker
) -> workerlosses.LostWorker:
    remembered = ledger.lost_workers.get(_get_key(worker))
    if remembered is not None:
        return remembered
    starts = [
        run.since_ms
        for run in ledgers.list_worker_runs(ledger, worker.info.id)
        if run.phase is not ledgers.Phase.PLANNED
    ]
    return workerlosses.LostWorker(
        worker.info.id, worker.last_response_ms or 0, max(starts, default=None)
    )


def _record_lost_run(
    ledger: ledgers.Ledger, worker: fleet.Worker, run: ledgers.Run
) -> list[ledgers.JobEntry]:
    entry = ledger.jobs[run.task.group.job_id]
    if entry.progress.state in taskprogress.ENDED:
        return []
    task = taskprogress.get_representative(entry.job, run.task)
    step = entry.job.steps[task.group.step]
    run_ms = (worker.last_response_ms or 0) - run.since_ms
    if workerlosses.is_healthy(run_ms, step.expected_run_ms):
        if entry.progress.lost_runs.pop(task, None):
            ledgers.mark_changed(entry, task)
            entry.dirty = True
        return []
    suspected = ledger.suspected_runs.pop(_get_key(worker), [])
    suspected.append((task, run.number))
    _remember(ledger.suspected_runs, _get_key(worker), suspected)
    return _add_lost_run(entry, task, run.number, worker.info.id, run.isolated)


def _add_lost_run(
    entry: ledgers.JobEntry,
    task: taskjobs.Task,
    number: int,
    worker_id: str,
    alone: bool,
) -> list[ledgers.JobEntry]:
    runs = entry.progress.lost_runs.setdefault(task, set())
    runs.add(number)
    ledgers.mark_changed(entry, task)
    entry.dirty = True
    logs.log_event(
        "worker_lost_with_task",
        "WARNING",
        task=taskjobs.format_task(task),
        run=number,
        worker=worker_id,
        losses=len(runs),
    )
    return [entry] if workerlosses.must_give_up(len(runs), alone) else []


def _get_key(worker: fleet.Worker) -> tuple[str, int]:
    return (worker.info.id, worker.info.started_ms)


def _remember(
    mapping: dict[tuple[str, int], Any], key: tuple[str, int], value: Any
) -> None:
    """Add an entry, and drop the oldest one of too many."""
    mapping[key] = value
    if len(mapping) > _MAX_REMEMBERED:
        del mapping[next(iter(mapping))]
