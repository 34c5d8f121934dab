"""Build the planner's input from the owner's ledger."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import feasibility
from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core import urgentdemand
from cyclamenshelf_core import victimcosts
from cyclamenshelf_core import waitlimit
from cyclamenshelf_core import workerlosses
from cyclamenshelf_core.stopping import losses
from cyclamenshelf_core.workerprofiles import speeds
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import lostworkers
from cyclamenshelf_daemon.tasks import queues
from cyclamenshelf_daemon.tasks import startqueue
from cyclamenshelf_daemon.tasks.workerprofiles import estimates

# A stop that takes longer is not certain to free the resources of its run soon.
_MAX_STOP_MS = 2_000
# Phases of runs that work, or will soon.
_AT_WORK = (
    ledgers.Phase.PLANNED,
    ledgers.Phase.STARTING,
    ledgers.Phase.RUNNING,
)


class Times(NamedTuple):
    """Time of a decision on the monotonic clock and on the wall clock."""

    now_ms: int
    wall_ms: int


def list_waiting(
    ledger: ledgers.Ledger,
    lists: queues.Lists,
    times: Times,
    blocked: set[str],
) -> list[planstate.WaitingGroup]:
    """Return the groups with tasks that could start now.

    Args:
        ledger: The owner's jobs and runs.
        lists: The lists in force.
        times: The current time on both clocks.
        blocked: Jobs whose tasks must not be started.
    """
    guaranteed_jobs = list_guaranteed_jobs(ledger, lists)
    waiting: list[planstate.WaitingGroup] = []
    for entry in ledger.jobs.values():
        if entry.progress.state in taskprogress.ENDED:
            continue
        if entry.job.id in blocked:
            continue
        job: taskjobs.TaskJob | None = None
        for group in _list_runnable_groups(entry, times.wall_ms):
            if entry.not_before_ms.get(group, 0) > times.now_ms:
                continue
            waited_ms = _compute_wait_ms(ledger, entry, group, times.now_ms)
            if job is None:
                job = apply_queue_settings(entry.job, lists)
                job = estimates.apply_learned_run_times(ledger, job)
            for indexes, isolated in _list_startable_tasks(
                ledger, entry, group
            ):
                waiting.append(
                    planstate.WaitingGroup(
                        job,
                        group,
                        indexes,
                        estimates.compute_slack_ms(job, group, times.wall_ms),
                        entry.job.id in guaranteed_jobs,
                        preempting=group in entry.preempting,
                        isolated=isolated,
                        waited_ms=waited_ms,
                    )
                )
    return waiting


def _compute_wait_ms(
    ledger: ledgers.Ledger,
    entry: ledgers.JobEntry,
    group: taskjobs.Group,
    now_ms: int,
) -> int:
    """Return how long a group has waited for room; 0 while its job runs.

    The tasks of a long-running step are waited for one by one.
    """
    step = entry.job.steps[group.step]
    runs = ledgers.list_job_runs(ledger, entry.job.id)
    if not step.long_running and any(run.phase in _AT_WORK for run in runs):
        return 0
    return now_ms - entry.blocked_since_ms.get(group, now_ms)


def update_fleet(
    ledger: ledgers.Ledger, workers: Iterable[fleet.Worker]
) -> None:
    """Update the workers by which it is decided whether work can ever run.

    A worker that is busy, quarantined, unresponsive or in a data centre that is
    being emptied will accept tasks again; one that drains will not.
    """
    changed = feasibility.Fleet(
        feasibility.WorkerKind(
            worker.info.service, worker.info.labels, worker.info.capacity
        )
        for worker in workers
        if worker.info.draining_ms is None
    )
    if changed.workers != ledger.fleet.workers:
        ledger.fleet = changed


def can_run(ledger: ledgers.Ledger, waiting: planstate.WaitingGroup) -> bool:
    """Return whether a group can run on the fleet; see `feasibility`."""
    step = waiting.job.steps[waiting.group.step]
    return feasibility.can_run(ledger.fleet, waiting.job, step)


def record_blocked_groups(
    ledger: ledgers.Ledger, plan: taskplan.Plan, now_ms: int
) -> None:
    """Record since when groups have had tasks without room to start."""
    blocked = set(plan.blocked)
    for group in blocked:
        entry = ledger.jobs[group.job_id]
        entry.blocked_since_ms.setdefault(group, now_ms)
    for start in plan.starts:
        if start.group not in blocked:
            entry = ledger.jobs[start.group.job_id]
            entry.blocked_since_ms.pop(start.group, None)


def record_preempting_groups(
    ledger: ledgers.Ledger, plan: taskplan.Plan, now_ms: int
) -> None:
    """Record which groups wait for tasks that a plan stops for them."""
    blocked = set(plan.blocked)
    for start in plan.starts:
        if start.group not in blocked:
            ledger.jobs[start.group.job_id].preempting.pop(start.group, None)
    for stop in plan.stops:
        group = stop.beneficiary
        ledger.jobs[group.job_id].preempting.setdefault(group, now_ms)


def list_allocations(
    ledger: ledgers.Ledger, lists: queues.Lists, now_ms: int
) -> list[victimcosts.Allocation]:
    """Return every run that has resources allocated."""
    guaranteed_jobs = list_guaranteed_jobs(ledger, lists)
    held: list[victimcosts.Allocation] = []
    for group, runs in ledger.by_group.items():
        job = ledger.jobs[group.job_id].job
        step = job.steps[group.step]
        terms, room = ledger.stop_terms, ledger.best_effort_room
        left_by_task = estimates.list_remaining_ms(
            ledger, step, runs.values(), now_ms
        )
        for run in runs.values():
            elapsed_ms = max(0, now_ms - run.since_ms)
            left_ms = left_by_task[run.task]
            held.append(
                victimcosts.Allocation(
                    run.task,
                    run.worker_id,
                    taskjobs.NO_RESOURCES
                    if _is_stop_overdue(run, now_ms)
                    else step.need,
                    job.priority,
                    step.gang,
                    step.long_running,
                    losses.estimate_lost_ms(step, elapsed_ms, terms),
                    run.phase in (ledgers.Phase.STOPPING, ledgers.Phase.LOST),
                    job.id in guaranteed_jobs,
                    step.fills,
                    step.tail_target_ms > 0
                    and run.worker_id not in (room or ()),
                    left_ms,
                    terms.stop_ms,
                    losses.ends_before_stop(left_ms, terms),
                    room is not None,
                )
            )
    return held


def _is_stop_overdue(run: ledgers.Run, now_ms: int) -> bool:
    """Return whether a run was to be stopped long ago and may not end soon.

    Nothing is reserved for what it uses, which is not free before it ends.
    """
    return (
        run.first_stop_ms is not None
        and now_ms - run.first_stop_ms > _MAX_STOP_MS
    )


def list_free_capacity(
    ledger: ledgers.Ledger, workers: Iterable[fleet.Worker], now_ms: int
) -> dict[str, freecapacity.CandidateWorker]:
    """Return the workers that may be given tasks, with their free capacity."""
    return {
        worker.info.id: _get_free_capacity(ledger, worker, now_ms)
        for worker in workers
        if fleet.find_obstacle(worker, now_ms) is None
        and not ledger.isolated_runs[worker.info.id]
    }


def list_idle_services(
    ledger: ledgers.Ledger, workers: Iterable[fleet.Worker], now_ms: int
) -> frozenset[str]:
    """Return the services of which less than half is in use.

    Workers that run isolated tasks count as well, although they get no others.
    """
    return waitlimit.list_idle_services(
        _get_free_capacity(ledger, worker, now_ms)
        for worker in workers
        if fleet.find_obstacle(worker, now_ms) is None
    )


def _get_free_capacity(
    ledger: ledgers.Ledger, worker: fleet.Worker, now_ms: int
) -> freecapacity.CandidateWorker:
    return fleet.get_free_capacity(
        worker,
        ledger.used.get(worker.info.id, taskjobs.NO_RESOURCES),
        slow=fleet.is_cold(worker, now_ms),
        rank=speeds.get_rank(ledger.speeds, worker.info.id),
        image_ranks=speeds.list_image_ranks(ledger.speeds, worker.info.id),
    )


def count_isolated_workers(ledger: ledgers.Ledger) -> int:
    """Return the number of workers that run isolated tasks."""
    return sum(1 for runs in ledger.isolated_runs.values() if runs)


def record_urgent_demand(
    ledger: ledgers.Ledger, waiting: list[planstate.WaitingGroup], now_ms: int
) -> None:
    """Record how many accelerators priority 0 uses and waits for.

    Tasks that could not run beside those that run already ask for nothing.
    """
    missing: collections.Counter[str] = collections.Counter()
    for entry in waiting:
        if entry.job.priority == 0:
            step = entry.job.steps[entry.group.step]
            tasks = feasibility.count_startable(
                ledger.fleet,
                entry.job,
                step,
                len(entry.indexes),
                len(ledger.by_group.get(entry.group, ())),
            )
            missing[entry.job.service] += step.need.accelerators * tasks
    urgentdemand.record_demand(ledger.urgent_demand, missing, now_ms)


def list_guaranteed_jobs(
    ledger: ledgers.Ledger, lists: queues.Lists
) -> set[str]:
    """Return the jobs of the highest priority that a guarantee covers.

    Jobs are covered in the order of their acceptance, as long as they fit in
    the remaining guaranteed accelerators of their account. Steps that can
    never run need none of these, unless the job runs already.
    """
    remaining = {account.name: account.guaranteed for account in lists.accounts}
    guaranteed_jobs: set[str] = set()
    urgent = [
        entry.job
        for entry in ledger.jobs.values()
        if entry.job.priority == 0
        and entry.progress.state not in taskprogress.ENDED
    ]
    for job in sorted(urgent, key=lambda job: (job.accepted_ms, job.id)):
        required = sum(
            step.tasks * step.need.accelerators
            for step in job.steps
            if job.id in ledger.by_job
            or feasibility.can_run(ledger.fleet, job, step)
        )
        if 0 < required <= remaining.get(job.account, 0):
            remaining[job.account] -= required
            guaranteed_jobs.add(job.id)
    return guaranteed_jobs


def get_next_due_ms(ledger: ledgers.Ledger, wall_ms: int) -> int | None:
    """Return the Unix time at which the next occurrence is due, or None."""
    due = [
        due_ms
        for entry in ledger.jobs.values()
        if entry.job.repetitions
        and entry.progress.state not in taskprogress.ENDED
        for occurrence in range(entry.job.repetitions)
        if (due_ms := taskjobs.get_due_ms(entry.job, occurrence)) > wall_ms
    ]
    return min(due, default=None)


def _list_runnable_groups(
    entry: ledgers.JobEntry, wall_ms: int
) -> list[taskjobs.Group]:
    """Return the groups that are due and whose previous steps are done."""
    job, progress = entry.job, entry.progress
    groups: list[taskjobs.Group] = []
    for occurrence in range(taskjobs.count_occurrences(job)):
        if job.repetitions and taskjobs.get_due_ms(job, occurrence) > wall_ms:
            break
        for number, step in enumerate(job.steps):
            group = taskjobs.Group(job.id, occurrence, number)
            if taskprogress.is_group_done(progress, group, step.tasks):
                continue
            if not taskprogress.has_unfinished_predecessors(
                progress, job, group
            ):
                groups.append(group)
    return groups


def _list_startable_tasks(
    ledger: ledgers.Ledger, entry: ledgers.JobEntry, group: taskjobs.Group
) -> list[tuple[tuple[int, ...], bool]]:
    """Return the tasks of a group that can start together.

    Returns:
        Indexes of tasks, and whether they need workers of their own. Each task
        that does is listed separately, unless it is the member of a gang.
    """
    step = entry.job.steps[group.step]
    runs = ledger.by_group.get(group, {})
    live = {task.index for task in runs}
    if step.gang and live:
        return []
    done = entry.progress.done.get(group, set())
    indexes = [
        index
        for index in range(step.tasks)
        if index not in done and index not in live
    ]
    if not step.gang and len(indexes) > startqueue.MAX_STEP_STARTS:
        pending = startqueue.count_pending(runs.values())
        indexes = indexes[: max(0, startqueue.MAX_STEP_STARTS - pending)]
    suspected = [
        index
        for index in (indexes if entry.progress.lost_runs else ())
        if workerlosses.needs_isolation(
            lostworkers.count_losses(entry, taskjobs.Task(group, index))
        )
    ]
    if step.gang and suspected:
        return [(tuple(indexes), True)]
    usual = tuple(index for index in indexes if index not in suspected)
    return [(usual, False)] * bool(usual) + [((i,), True) for i in suspected]


def apply_queue_settings(
    job: taskjobs.TaskJob, lists: queues.Lists
) -> taskjobs.TaskJob:
    """Return the job with the current settings of its queue, if it exists."""
    queue = queues.get_queue(lists, job.queue)
    if queue is None:
        return job
    return job._replace(service=queue.service, priority=queue.priority)
