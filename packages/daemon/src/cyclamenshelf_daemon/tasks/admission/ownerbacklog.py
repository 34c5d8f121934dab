"""The owner's backlog: the work of the jobs that have not ended."""

import collections
from typing import NamedTuple

from cyclamenshelf_core import feasibility
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core.overload import backlog as backlogs
from cyclamenshelf_core.overload import callercost
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import planning

_INTERVAL_MS = 1_000
# Limits the share of the owner's time that the backlog takes.
_PAUSE_FACTOR = 20
# A backlog is published if what waits takes at least this long. Half of it is
# certain, and no caller is asked to return after less than that.
_MIN_WAIT_MS = 2_000
_LEAVING = (
    fleet.Obstacle.UNLISTED,
    fleet.Obstacle.DRAINING,
    fleet.Obstacle.EVACUATED,
)
_ALL_RESOURCES = (True, True, True)


class _ServiceTotals:
    """Sums for one service; see `backlog.ServiceBacklog`."""

    def __init__(self) -> None:
        self.held: dict[int, taskjobs.Resources] = {}
        self.running: dict[int, backlogs.Work] = {}
        self.queued: list[backlogs.QueuedWork] = []
        self.core_ms: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self.guarantee_use: collections.Counter[str] = collections.Counter()


class _Capacity(NamedTuple):
    """Resources of the workers of one service."""

    total: taskjobs.Resources
    free: taskjobs.Resources
    largest_free: taskjobs.Resources


_NO_CAPACITY = _Capacity(*[taskjobs.NO_RESOURCES] * 3)


class _Situation(NamedTuple):
    ledger: ledgers.Ledger
    times: planning.Times
    guaranteed_jobs: set[str]


def publish_if_due(owner: ownerstate.Owner) -> None:
    """Pass the backlog to the publisher, about once a second if it matters."""
    publisher, clock = owner.publisher, owner.context.clock
    times = ownerstate.read_times(owner)
    if times.now_ms < publisher.due_ms or not owner.decision.blocked:
        return
    backlog = summarise(owner, times)
    if backlog.services and publisher.backlogs.empty():
        publisher.backlogs.put(backlog)
    ended_ms = clock.now_ms()
    cost_ms = ended_ms - times.now_ms
    publisher.due_ms = ended_ms + max(_INTERVAL_MS, _PAUSE_FACTOR * cost_ms)


def summarise(
    owner: ownerstate.Owner, times: planning.Times
) -> backlogs.Backlog:
    """Return the backlog of the services where much waits."""
    capacities = _sum_capacities(owner, times.now_ms)
    lists = owner.context.get_lists()
    totals: dict[str, _ServiceTotals] = {}
    situation = _Situation(
        owner.ledger, times, planning.list_guaranteed_jobs(owner.ledger, lists)
    )
    for entry in owner.ledger.jobs.values():
        if entry.progress.state not in taskprogress.ENDED:
            job = planning.apply_queue_settings(entry.job, lists)
            service = totals.setdefault(job.service, _ServiceTotals())
            _add_job(service, situation, entry, job)
    services = {
        name: backlogs.ServiceBacklog(
            *capacities.get(name, _NO_CAPACITY),
            service.held,
            service.running,
            backlogs.merge_queued(service.queued),
            backlogs.list_largest(service.core_ms),
            dict(service.guarantee_use.most_common(backlogs.MAX_ACCOUNTS)),
        )
        for name, service in totals.items()
    }
    return backlogs.Backlog(
        times.wall_ms,
        {
            name: service
            for name, service in services.items()
            if _estimate_wait_ms(service) >= _MIN_WAIT_MS
        },
    )


def _sum_capacities(
    owner: ownerstate.Owner, now_ms: int
) -> dict[str, _Capacity]:
    """Return the resources of the workers that stay, by service.

    One that is quarantined or does not respond may accept tasks again soon;
    after a takeover no worker has responded yet.
    """
    capacities: dict[str, _Capacity] = {}
    for worker in owner.workers.values():
        info = worker.info
        obstacle = fleet.find_obstacle(worker, now_ms)
        if obstacle in _LEAVING:
            continue
        used = owner.ledger.used.get(info.id, taskjobs.NO_RESOURCES)
        free = taskjobs.subtract(info.capacity, used)
        if obstacle is not None:
            free = taskjobs.NO_RESOURCES
        known = capacities.get(info.service, _NO_CAPACITY)
        capacities[info.service] = _Capacity(
            taskjobs.add(known.total, info.capacity),
            taskjobs.add(known.free, free),
            taskjobs.Resources(*map(max, known.largest_free, free)),
        )
    return capacities


def _estimate_wait_ms(service: backlogs.ServiceBacklog) -> int:
    total = backlogs.NO_WORK
    for entry in service.queued:
        total = backlogs.add(total, entry.work)
    return backlogs.compute_duration_ms(total, service.capacity, _ALL_RESOURCES)


def _add_job(
    service: _ServiceTotals,
    situation: _Situation,
    entry: ledgers.JobEntry,
    job: taskjobs.TaskJob,
) -> None:
    """Add the work that is left of a job's due occurrences."""
    runnable = [
        feasibility.can_run(situation.ledger.fleet, job, step)
        for step in job.steps
    ]
    if job.id in situation.guaranteed_jobs:
        service.guarantee_use[job.account] += sum(
            step.tasks * step.need.accelerators
            for step, can_run in zip(job.steps, runnable, strict=True)
            if can_run
        )
    for occurrence in range(taskjobs.count_occurrences(job)):
        if taskjobs.get_due_ms(job, occurrence) > situation.times.wall_ms:
            break
        for number, step in enumerate(job.steps):
            group = taskjobs.Group(job.id, occurrence, number)
            _add_runs(service, situation, job, group)
            if runnable[number] and not step.long_running:
                _add_waiting_tasks(service, situation, entry, job, group)


def _add_waiting_tasks(
    service: _ServiceTotals,
    situation: _Situation,
    entry: ledgers.JobEntry,
    job: taskjobs.TaskJob,
    group: taskjobs.Group,
) -> None:
    """Add the work of a group's tasks that neither run nor have ended.

    A result that is of no use any more comes after all others, so it keeps
    nobody waiting.
    """
    step = job.steps[group.step]
    tasks = step.tasks - len(entry.progress.done.get(group, ()))
    tasks -= len(situation.ledger.by_group.get(group, ()))
    wall_ms = situation.times.wall_ms
    demand = callercost.make_demand(job, group, max(0, tasks))
    urgency, key = callercost.get_order_key(demand, wall_ms)
    if tasks <= 0 or urgency is callercost.Urgency.EXPIRED:
        return
    if urgency is callercost.Urgency.IN_TIME:
        key += wall_ms
    work = backlogs.multiply(step.need, tasks * step.expected_run_ms)
    service.queued.append(backlogs.QueuedWork(job.priority, urgency, key, work))
    core_ms = backlogs.count_core_ms(work)
    service.core_ms[job.priority, job.account] += core_ms


def _add_runs(
    service: _ServiceTotals,
    situation: _Situation,
    job: taskjobs.TaskJob,
    group: taskjobs.Group,
) -> None:
    """Add what the runs of a group hold, and the work that they have left."""
    step, priority = job.steps[group.step], job.priority
    for run in situation.ledger.by_group.get(group, {}).values():
        if step.long_running:
            held = service.held.get(priority, taskjobs.NO_RESOURCES)
            service.held[priority] = taskjobs.add(held, step.need)
            continue
        elapsed_ms = situation.times.now_ms - run.since_ms
        left_ms = max(0, step.expected_run_ms - elapsed_ms)
        service.running[priority] = backlogs.add(
            service.running.get(priority, backlogs.NO_WORK),
            backlogs.multiply(step.need, left_ms),
        )
