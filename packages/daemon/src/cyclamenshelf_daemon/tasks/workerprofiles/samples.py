"""Run times of the owner's tasks, from which the speeds are learned."""

import math

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core.workerprofiles import runestimates
from cyclamenshelf_core.workerprofiles import runprogress
from cyclamenshelf_core.workerprofiles import speeds
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers

# A run time is learned again when this many times as much of the work is done.
_LEARN_AGAIN_FACTOR = 2


def record_report(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    run: ledgers.Run,
    now_ms: int,
    percent: int,
) -> None:
    """Record the progress of a run, and learn from it once that is accurate."""
    run.progress = runprogress.add_report(run.progress, now_ms, percent)
    if run.progress is None:
        return
    part_percent = run.progress.last_percent - run.progress.first_percent
    learned_percent = run.progress.learned_percent
    if part_percent < max(1, _LEARN_AGAIN_FACTOR * learned_percent):
        return
    run_ms = runprogress.estimate_run_ms(run.progress)
    if run_ms is None:
        return
    run.progress = run.progress._replace(learned_percent=part_percent)
    log_error = runprogress.estimate_log_error(run.progress)
    _record_run_ms(ledger, worker, run, run_ms, log_error)


def record_end(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    run: ledgers.Run,
    now_ms: int,
) -> None:
    """Record the run time of a task that is done.

    What the progress has told is more accurate, as a run may have waited for
    its start and a resumed one did only part of its work.
    """
    entry = ledger.jobs[run.task.group.job_id]
    step = entry.job.steps[run.task.group.step]
    if step.gang or run.checkpoint:
        return
    if run.progress is not None and run.progress.learned_percent:
        return
    if run.task in entry.progress.checkpoints:
        return
    _record_run_ms(ledger, worker, run, now_ms - run.since_ms, 0.0)


def _record_run_ms(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    run: ledgers.Run,
    run_ms: float,
    log_error: float,
) -> None:
    # A worker is slow for some time after its start.
    if fleet.is_cold(worker, run.since_ms):
        return
    entry = ledger.jobs[run.task.group.job_id]
    step = entry.job.steps[run.task.group.step]
    # The work of a task that lasts has no end, and a task off the rack of its
    # data is slow on any worker.
    if step.long_running or step.data_rack not in ("", worker.info.rack):
        return
    if entry.progress.state in taskprogress.ENDED:
        return
    group: taskjobs.Group = run.task.group
    speeds.record_run(
        ledger.speeds,
        speeds.GroupKey(
            group.job_id, group.step, run.number if step.gang else 0
        ),
        (group.occurrence, run.task.index),
        worker.info.id,
        run_ms,
        step.image,
        log_error,
    )
    if run.off_rack:
        return
    log_factor = speeds.get_log_factor(
        ledger.speeds, worker.info.id, step.image
    )
    runestimates.record_run(
        ledger.run_times,
        runestimates.Kind(entry.job.queue, step.image),
        group.job_id,
        group.step,
        step.expected_run_ms,
        run_ms / math.exp(log_factor or 0.0),
    )
