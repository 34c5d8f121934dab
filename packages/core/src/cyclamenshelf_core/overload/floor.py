"""Running work that is not stopped for groups without a guarantee.

The caller of a job that ends too late to be of use loses nothing by another
stop, so such a job would be stopped again and again, and never end.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts
from cyclamenshelf_core.overload import callercost

# Largest part of a service that is protected.
_MAX_SHARE = 1 / 8


def list_protected(
    by_group: Mapping[taskjobs.Group, list[victimcosts.Allocation]],
    workers: Mapping[str, freecapacity.CandidateWorker],
    running: Mapping[taskjobs.Group, callercost.Demand],
) -> set[taskjobs.Group]:
    """Return the groups that are protected, those that are latest first.

    Args:
        by_group: All allocations by group.
        workers: Workers that accept tasks, by id.
        running: What the callers of running groups expect, relative to now.
    """
    expired = [
        group
        for group, demand in running.items()
        if demand.priority > 0
        and callercost.get_urgency(demand, 0) is callercost.Urgency.EXPIRED
    ]
    left = _sum_cores(workers.values()) if expired else {}
    protected: set[taskjobs.Group] = set()
    for group in sorted(
        expired, key=lambda group: (running[group].last_use_ms, group)
    ):
        held = by_group.get(group, [])
        services = {
            workers[task.worker_id].service
            for task in held
            if task.worker_id in workers
        }
        if len(services) != 1:
            continue
        service = services.pop()
        cores = sum(callercost.count_cores(task.need) for task in held)
        if cores <= left[service]:
            left[service] -= cores
            protected.add(group)
    return protected


def _sum_cores(
    workers: Iterable[freecapacity.CandidateWorker],
) -> dict[str, float]:
    """Return the largest protected part by service, in cores."""
    sums: dict[str, float] = {}
    for worker in workers:
        cores = _MAX_SHARE * callercost.count_cores(worker.total)
        sums[worker.service] = sums.get(worker.service, 0) + cores
    return sums
