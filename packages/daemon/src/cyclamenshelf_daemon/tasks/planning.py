"""From the owner's book to the planner's input, and back to orders."""

from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core import taskspace
from cyclamenshelf_core import taskvictims
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import queues

# What starting from a checkpoint costs.
_RESTORE_MS = 100


class Times(NamedTuple):
    """The moment of a decision, by both clocks."""

    now_ms: int
    wall_ms: int


def list_waiting(
    ledger: ledgers.Ledger,
    lists: queues.Lists,
    times: Times,
    blocked: set[str],
) -> list[taskplan.WaitingGroup]:
    """Return the groups with tasks that could start now.

    Args:
        ledger: The owner's book.
        lists: The lists in force.
        times: The moment.
        blocked: Jobs of which no task may be started.
    """
    covered = list_covered(ledger, lists)
    waiting: list[taskplan.WaitingGroup] = []
    for entry in ledger.jobs.values():
        if entry.progress.state in taskprogress.ENDED:
            continue
        if entry.job.id in blocked:
            continue
        for group in _list_open(entry, times.wall_ms):
            if entry.not_before_ms.get(group, 0) > times.now_ms:
                continue
            indexes = _list_startable(ledger, entry, group)
            if indexes:
                waiting.append(
                    taskplan.WaitingGroup(
                        _with_queue(entry.job, lists),
                        group,
                        indexes,
                        _get_spare_ms(entry, group, times.wall_ms),
                        entry.job.id in covered,
                    )
                )
    return waiting


def list_held(
    ledger: ledgers.Ledger, lists: queues.Lists, now_ms: int
) -> list[taskvictims.Allocation]:
    """Return every run that holds room."""
    covered = list_covered(ledger, lists)
    held: list[taskvictims.Allocation] = []
    for run in ledger.runs.values():
        entry = ledger.jobs[run.task.group.job_id]
        step = entry.job.steps[run.task.group.step]
        # A stop saves the work of a checkpointable task.
        lost_ms = max(0, now_ms - run.since_ms)
        if step.checkpointable:
            lost_ms = min(lost_ms, _RESTORE_MS)
        held.append(
            taskvictims.Allocation(
                run.task,
                run.worker_id,
                step.need,
                entry.job.priority,
                step.gang,
                step.long_running,
                lost_ms,
                run.phase in (ledgers.Phase.STOPPING, ledgers.Phase.LOST),
                entry.job.id in covered,
                step.fills,
                step.tail_target_ms > 0,
            )
        )
    return held


def list_rooms(
    ledger: ledgers.Ledger, workers: Iterable[fleet.Worker], now_ms: int
) -> dict[str, taskspace.CandidateWorker]:
    """Return the workers that may be given tasks, with what is left there."""
    used: dict[str, taskjobs.Resources] = {}
    for run in ledger.runs.values():
        used[run.worker_id] = taskjobs.add(
            used.get(run.worker_id, taskjobs.NO_RESOURCES),
            ledgers.get_need(ledger, run),
        )
    return {
        worker.info.id: fleet.make_room(
            worker, used.get(worker.info.id, taskjobs.NO_RESOURCES)
        )
        for worker in workers
        if fleet.may_start(worker, now_ms)
    }


def count_spread(ledger: ledgers.Ledger) -> dict[tuple[str, int, str], int]:
    """Return the runs by job, step and worker, of all occurrences."""
    counts: dict[tuple[str, int, str], int] = {}
    for run in ledger.runs.values():
        key = (run.task.group.job_id, run.task.group.step, run.worker_id)
        counts[key] = counts.get(key, 0) + 1
    return counts


def list_covered(ledger: ledgers.Ledger, lists: queues.Lists) -> set[str]:
    """Return the jobs of the first priority that a guarantee covers.

    Jobs are counted in the order of acceptance until their account's
    guaranteed accelerators are used up.
    """
    left = {account.name: account.guaranteed for account in lists.accounts}
    covered: set[str] = set()
    urgent = [
        entry.job
        for entry in ledger.jobs.values()
        if entry.job.priority == 0
        and entry.progress.state not in taskprogress.ENDED
    ]
    for job in sorted(urgent, key=lambda job: (job.accepted_ms, job.id)):
        wanted = sum(s.tasks * s.need.accelerators for s in job.steps)
        if 0 < wanted <= left.get(job.account, 0):
            left[job.account] -= wanted
            covered.add(job.id)
    return covered


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


def _list_open(entry: ledgers.Entry, wall_ms: int) -> list[taskjobs.Group]:
    """Return the groups that are due and wait for no other step."""
    job, progress = entry.job, entry.progress
    found: list[taskjobs.Group] = []
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
                found.append(group)
    return found


def _list_startable(
    ledger: ledgers.Ledger, entry: ledgers.Entry, group: taskjobs.Group
) -> tuple[int, ...]:
    step = entry.job.steps[group.step]
    live = {task.index for task in ledger.by_group.get(group, ())}
    if step.gang and live:
        return ()
    done = entry.progress.done.get(group, set())
    return tuple(
        index
        for index in range(step.tasks)
        if index not in done and index not in live
    )


def _with_queue(job: taskjobs.TaskJob, lists: queues.Lists) -> taskjobs.TaskJob:
    """Return the job as its queue is listed now, if it still is."""
    queue = queues.get_queue(lists, job.queue)
    if queue is None:
        return job
    return job._replace(service=queue.service, priority=queue.priority)


def _get_spare_ms(
    entry: ledgers.Entry, group: taskjobs.Group, wall_ms: int
) -> int:
    """Return how long a group may still wait to meet the objective."""
    job = entry.job
    chain_ms = taskjobs.estimate_critical_path_ms(job)
    objective_ms = int(job.slowdown_factor * chain_ms) + job.target_latency_ms
    before = job.steps[group.step].after
    done_ms = sum(job.steps[number].expected_run_ms for number in before)
    left_ms = max(0, chain_ms - done_ms)
    due_ms = taskjobs.get_due_ms(job, group.occurrence)
    return due_ms + objective_ms - wall_ms - left_ms
