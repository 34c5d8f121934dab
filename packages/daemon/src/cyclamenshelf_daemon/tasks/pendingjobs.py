"""Jobs that are due and have no running task, and since when."""

from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import planning


class PendingJob(NamedTuple):
    """A job that is due and has no running task.

    Attributes:
        pending_ms: For how long.
    """

    entry: ledgers.JobEntry
    pending_ms: int


class _Sighting(NamedTuple):
    """What the last report saw of a job.

    Attributes:
        ran_ms: Monotonic time at which it was last known to run; None if it
            has not run yet.
        ended_runs: How many runs of it had ended or were lost.
    """

    ran_ms: int | None
    ended_runs: int


class Sightings:
    """What the last report saw of the unfinished jobs, by job id."""

    def __init__(self) -> None:
        self.by_job: dict[str, _Sighting] = {}


def list_pending(
    sightings: Sightings,
    ledger: ledgers.Ledger,
    workers: dict[str, fleet.Worker],
    times: planning.Times,
) -> list[PendingJob]:
    """Return the unfinished jobs without a running task, longest first.

    Args:
        sightings: What the last report saw of the jobs; updated.
        ledger: The owner's jobs and runs.
        workers: All workers of the owner.
        times: The current time on both clocks.
    """
    unfinished = [
        entry
        for entry in ledger.jobs.values()
        if entry.progress.state not in taskprogress.ENDED
    ]
    _update_sightings(sightings, ledger, unfinished, workers, times.now_ms)
    pending: list[PendingJob] = []
    for entry in unfinished:
        due_ms = _find_due_ms(entry, times.wall_ms)
        if due_ms is None:
            continue
        pending_ms = times.wall_ms - due_ms
        ran_ms = sightings.by_job[entry.job.id].ran_ms
        if ran_ms is not None:
            pending_ms = min(pending_ms, times.now_ms - ran_ms)
        if pending_ms > 0:
            pending.append(PendingJob(entry, pending_ms))
    pending.sort(key=lambda job: (-job.pending_ms, job.entry.job.id))
    return pending


def is_running(
    run: ledgers.Run, workers: dict[str, fleet.Worker], now_ms: int
) -> bool:
    """Return whether a worker that responds has confirmed a run."""
    worker = workers.get(run.worker_id)
    return (
        run.phase is ledgers.Phase.RUNNING
        and worker is not None
        and not fleet.is_unresponsive(worker, now_ms)
    )


def _update_sightings(
    sightings: Sightings,
    ledger: ledgers.Ledger,
    unfinished: Iterable[ledgers.JobEntry],
    workers: dict[str, fleet.Worker],
    now_ms: int,
) -> None:
    previous, sightings.by_job = sightings.by_job, {}
    for entry in unfinished:
        job_id, ended_runs = entry.job.id, _count_ended_runs(entry.progress)
        sighting = previous.get(job_id)
        if sighting is None:
            # The state of a job that is new to this owner tells whether it
            # has run under an earlier one.
            has_run = entry.progress.state is not taskprogress.State.QUEUED
        else:
            has_run = sighting.ended_runs != ended_runs
        if has_run or any(
            is_running(run, workers, now_ms)
            for run in ledgers.list_job_runs(ledger, job_id)
        ):
            ran_ms = now_ms
        else:
            ran_ms = sighting.ran_ms if sighting else None
        sightings.by_job[job_id] = _Sighting(ran_ms, ended_runs)


def _count_ended_runs(progress: taskprogress.Progress) -> int:
    """Return how many runs have ended, those that were stopped left out."""
    ended = (progress.done, progress.failed_runs, progress.lost_runs)
    return sum(len(runs) for table in ended for runs in table.values())


def _find_due_ms(entry: ledgers.JobEntry, wall_ms: int) -> int | None:
    """Return when the first unfinished occurrence was due; None if not yet."""
    job = entry.job
    for occurrence in range(taskjobs.count_occurrences(job)):
        due_ms = taskjobs.get_due_ms(job, occurrence)
        if due_ms > wall_ms:
            return None
        if not all(
            taskprogress.is_group_done(
                entry.progress,
                taskjobs.Group(job.id, occurrence, number),
                step.tasks,
            )
            for number, step in enumerate(job.steps)
        ):
            return due_ms
    return None
