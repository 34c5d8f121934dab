"""Estimates of run times and slack for the planner, from what was learned."""

from collections.abc import Collection

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.workerprofiles import runestimates
from cyclamenshelf_core.workerprofiles import runprogress
from cyclamenshelf_daemon.tasks import ledger as ledgers


def apply_learned_run_times(
    ledger: ledgers.Ledger, job: taskjobs.TaskJob
) -> taskjobs.TaskJob:
    """Return the job with learned run times in place of the declared ones."""
    return job._replace(
        steps=tuple(
            step._replace(expected_run_ms=_estimate_run_ms(ledger, job, number))
            for number, step in enumerate(job.steps)
        )
    )


def compute_slack_ms(
    job: taskjobs.TaskJob, group: taskjobs.Group, wall_ms: int
) -> int:
    """Return the slack of a group: how long its start may still be delayed.

    A start delayed by more than the slack misses the objective.
    """
    critical_path_ms = taskjobs.estimate_critical_path_ms(job)
    objective_ms = (
        int(job.slowdown_factor * critical_path_ms) + job.target_latency_ms
    )
    predecessors = job.steps[group.step].after
    done_ms = sum(job.steps[number].expected_run_ms for number in predecessors)
    remaining_ms = max(0, critical_path_ms - done_ms)
    due_ms = taskjobs.get_due_ms(job, group.occurrence)
    return due_ms + objective_ms - wall_ms - remaining_ms


def estimate_remaining_ms(
    ledger: ledgers.Ledger, task: taskjobs.Task, now_ms: int
) -> int | None:
    """Return how long a task's run is expected to go on; None if it lasts.

    The members of a gang end together, with the slowest one.
    """
    run = ledger.runs.get(task)
    if run is None:
        return None
    job = ledger.jobs[task.group.job_id].job
    step = job.steps[task.group.step]
    if step.long_running:
        return None
    runs = ledgers.list_group_runs(ledger, task.group) if step.gang else [run]
    run_ms = _estimate_run_ms(ledger, job, task.group.step)
    return max(_estimate_own_remaining_ms(run, run_ms, now_ms) for run in runs)


def list_remaining_ms(
    ledger: ledgers.Ledger,
    step: taskjobs.Step,
    runs: Collection[ledgers.Run],
    now_ms: int,
) -> dict[taskjobs.Task, int | None]:
    """Return how long the runs of a group continue, as far as it is known.

    What workers report of the progress decides, else the caller's estimate,
    which says nothing any more of a run that has exceeded it. The members of a
    gang end together, with the slowest one.
    """
    if step.long_running:
        return dict.fromkeys((run.task for run in runs), None)
    reported = {
        run.task: runprogress.estimate_remaining_ms(run.progress, now_ms)
        for run in runs
    }
    if step.gang and None not in reported.values():
        slowest_ms = max(filter(None, reported.values()), default=0)
        return dict.fromkeys(reported, slowest_ms)
    declared = {
        run.task: step.expected_run_ms
        - ledgers.compute_work_ms(ledger, run, now_ms)
        for run in runs
    }
    remaining: dict[taskjobs.Task, int | None] = {}
    for task, left_ms in declared.items():
        known_ms = None if step.gang else reported[task]
        if known_ms is None and left_ms > 0:
            known_ms = left_ms
        remaining[task] = known_ms
    if step.gang:
        known = [left_ms for left_ms in remaining.values() if left_ms]
        complete = len(known) == len(remaining)
        return dict.fromkeys(remaining, max(known) if complete else None)
    return remaining


def _estimate_own_remaining_ms(
    run: ledgers.Run, run_ms: int, now_ms: int
) -> int:
    """Return how long a run's own work is expected to go on.

    Before its worker has reported progress, the run time of its step counts,
    and of a run that has exceeded it a quarter of what it has taken.
    """
    remaining_ms = runprogress.estimate_remaining_ms(run.progress, now_ms)
    if remaining_ms is not None:
        return remaining_ms
    elapsed_ms = max(0, now_ms - run.since_ms)
    return max(run_ms - elapsed_ms, elapsed_ms // 4)


def _estimate_run_ms(
    ledger: ledgers.Ledger, job: taskjobs.TaskJob, number: int
) -> int:
    """Return the expected run time of the tasks of a step."""
    step = job.steps[number]
    return runestimates.estimate_run_ms(
        ledger.run_times,
        runestimates.Kind(job.queue, step.image),
        job.id,
        number,
        step.expected_run_ms,
    )
