"""Apply the responses of workers to the renewal of their leases."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core import workerlosses
from cyclamenshelf_core.workerprofiles import speeds
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import lostworkers
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import runends
from cyclamenshelf_daemon.tasks.endings import stops
from cyclamenshelf_daemon.tasks.workerprofiles import samples

# A long-running task does its work once it is listed with this.
_AT_WORK_PERCENT = 100

# How long a run that the owner does not need may be listed before its stop is
# sent again. It is repeated meanwhile if the worker does not respond.
_RESEND_ORPHAN_STOP_MS = 2_500

StopOrphans = Callable[[fleet.Worker, list[fleet.RunKey]], None]


def apply_response(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    sent_ms: int,
    response: ports.RenewalResponse,
    times: planning.Times,
    stop_orphans: StopOrphans,
) -> bool:
    """Apply a response to the ledger; return whether capacity changed.

    Args:
        ledger: The owner's jobs and runs.
        worker: The worker that responded.
        sent_ms: Monotonic time at which the request was sent.
        response: The running and ended tasks that the worker lists.
        times: The current time on both clocks.
        stop_orphans: Called with the runs that the owner does not need.
    """
    fleet.record_response(worker, response.clock_ms, times.now_ms)
    lostworkers.withdraw_losses(ledger, worker)
    ended_keys = {(end.name, end.run) for end in response.ended}
    previous_number = worker.applied_number
    runends.apply_ends(ledger, worker, response.ended, *times)
    running_keys = {(run.name, run.run) for run in response.running}
    orphans: dict[fleet.RunKey, taskjobs.Resources] = {}
    for running in response.running:
        need = _apply_running_task(ledger, worker, running, times)
        if need is not None:
            orphans[running.name, running.run] = need
    for key in worker.orphans.keys() - running_keys:
        del worker.orphans[key]
    _stop_orphans(worker, orphans, times.now_ms, stop_orphans)
    requeued = response.complete and _requeue_missing(
        ledger, worker, sent_ms, running_keys | ended_keys, times.now_ms
    )
    return requeued or worker.applied_number != previous_number


def record_restart(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    workers: Iterable[fleet.Worker],
    started_ms: int,
    times: planning.Times,
) -> None:
    """Record that a worker has restarted and has lost its earlier runs.

    The caller replaces the worker's record afterwards.

    An unacknowledged start may still reach the new incarnation, so such a
    run stays allocated until a stop for it has been acknowledged. A run that
    was acknowledged and not listed may be one of the new incarnation, and stays
    until that lists its runs.
    """
    logs.log_event(
        "worker_reborn",
        "WARNING",
        worker=worker.info.id,
        born_ms=started_ms,
        previous_ms=worker.info.started_ms,
    )
    given_up = lostworkers.record_lost_worker(
        ledger, worker, workers, times.now_ms
    )
    speeds.forget_worker(ledger.speeds, worker.info.id)
    for run in ledgers.list_worker_runs(ledger, worker.info.id):
        if run.phase is ledgers.Phase.PLANNED:
            stops.stop_run(ledger, run, "worker_reborn")
        elif run.listed:
            runends.requeue_run(ledger, run, times.now_ms, "worker_reborn")
        elif run.acked_ms is None:
            stops.mark_unacknowledged(ledger, run)
            stops.repeat_stop(ledger, run)
    lostworkers.give_up(ledger, given_up, times.wall_ms)


def requeue_expired(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    workers: Iterable[fleet.Worker],
    times: planning.Times,
) -> bool:
    """Requeue the runs of an unresponsive worker whose lease has expired."""
    if not fleet.is_unresponsive(worker, times.now_ms):
        return False
    if times.now_ms < fleet.get_lease_expiry_ms(worker):
        return False
    runs = ledgers.list_worker_runs(ledger, worker.info.id)
    if not runs:
        return False
    given_up = lostworkers.record_lost_worker(
        ledger, worker, workers, times.now_ms
    )
    for run in runs:
        runends.requeue_run(ledger, run, times.now_ms, "lease_lapsed")
    lostworkers.give_up(ledger, given_up, times.wall_ms)
    return True


def stop_incomplete_gangs(
    ledger: ledgers.Ledger, unconfirmed_workers: set[str]
) -> None:
    """Stop adopted gangs that lack a member and cannot work.

    The end of that member may have been applied by an earlier owner, or before
    the others were adopted.

    Args:
        ledger: The owner's jobs and runs.
        unconfirmed_workers: Workers that may run members and have not
            responded yet.
    """
    for group in list(ledger.adopted_gangs):
        entry = ledger.jobs.get(group.job_id)
        if entry is not None and entry.progress.workers & unconfirmed_workers:
            continue
        ledger.adopted_gangs.discard(group)
        runs = ledgers.list_group_runs(ledger, group)
        if entry is None or not runs:
            continue
        tasks = entry.job.steps[group.step].tasks
        if taskprogress.is_group_done(entry.progress, group, tasks):
            continue
        members = collections.Counter(run.number for run in runs)
        for run in runs:
            if members[run.number] < tasks:
                stops.stop_run(ledger, run, "member_missing")


def _apply_running_task(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    running: ports.RunningTask,
    times: planning.Times,
) -> taskjobs.Resources | None:
    """Apply a run that is listed; return what it uses if it is not needed."""
    run = ledger.by_name.get(running.name)
    if run is not None and (
        run.number == running.run and run.worker_id == worker.info.id
    ):
        _update_run(run, running, times.now_ms)
        # Thousands of runs may be listed at once, mostly without any news.
        progress = run.progress
        if progress is None or progress.last_percent != running.percent:
            samples.record_report(
                ledger, worker, run, times.now_ms, running.percent
            )
        return None
    task = taskjobs.parse_task(running.name)
    entry = ledger.jobs.get(task.group.job_id) if task else None
    step = ledgers.get_step(entry, task) if entry and task else None
    if task is None or entry is None or step is None:
        return worker.info.capacity
    # The name may be another spelling of that of a task with a run.
    run = ledger.runs.get(task)
    job_ended = entry.progress.state in taskprogress.ENDED
    task_done = task.index in entry.progress.done.get(task.group, ())
    if run is not None or job_ended or task_done:
        return step.need
    run = ledgers.Run(
        task,
        running.run,
        worker.info.id,
        times.now_ms,
        workerlosses.needs_isolation(lostworkers.count_losses(entry, task)),
    )
    _update_run(run, running, times.now_ms)
    ledgers.add_run(ledger, run)
    if step.gang:
        ledger.adopted_gangs.add(task.group)
    # Its polling may be paused, but it now has a lease to renew.
    fleet.wake_worker(worker, times.now_ms)
    logs.log_event(
        "task_adopted",
        task=running.name,
        run=running.run,
        worker=worker.info.id,
    )
    return None


def _update_run(
    run: ledgers.Run, running: ports.RunningTask, now_ms: int
) -> None:
    if run.phase in (ledgers.Phase.PLANNED, ledgers.Phase.STARTING):
        run.phase = ledgers.Phase.RUNNING
    if run.acked_ms is None:
        run.acked_ms = now_ms
    run.listed = True
    run.at_work = running.percent >= _AT_WORK_PERCENT
    run.checkpoint = max(run.checkpoint, running.checkpoint)


def _stop_orphans(
    worker: fleet.Worker,
    orphans: dict[fleet.RunKey, taskjobs.Resources],
    now_ms: int,
    stop_orphans: StopOrphans,
) -> None:
    """Record the runs that are not needed, and stop those that are new.

    A worker may list thousands of them twice a second until all have ended.
    """
    new_jobs: collections.Counter[str] = collections.Counter()
    due: list[fleet.RunKey] = []
    for key, need in orphans.items():
        known = worker.orphans.get(key)
        if known is None:
            new_jobs[key[0].partition(".")[0]] += 1
        elif now_ms - known.stop_sent_ms < _RESEND_ORPHAN_STOP_MS:
            continue
        worker.orphans[key] = fleet.Orphan(need, now_ms)
        due.append(key)
    for job_id, tasks in new_jobs.items():
        logs.log_event(
            "foreign_task",
            "WARNING",
            job=job_id,
            worker=worker.info.id,
            tasks=tasks,
        )
    if due:
        stop_orphans(worker, due)


def _requeue_missing(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    sent_ms: int,
    listed: set[tuple[str, int]],
    now_ms: int,
) -> bool:
    """Requeue runs that the worker lists neither as running nor as ended.

    A missing run has terminated only if the worker had acknowledged it before
    the request was sent. For an unacknowledged start, only a stop that was
    acknowledged before the request rules out that it still begins.
    """
    requeued = False
    for run in ledgers.list_worker_runs(ledger, worker.info.id):
        if (run.name, run.number) in listed:
            continue
        if run.phase is ledgers.Phase.LOST:
            acknowledged_ms = run.stop_acked_ms
        else:
            acknowledged_ms = run.acked_ms
        if acknowledged_ms is not None and acknowledged_ms < sent_ms:
            runends.requeue_run(ledger, run, now_ms, "not_listed")
            requeued = True
    return requeued
