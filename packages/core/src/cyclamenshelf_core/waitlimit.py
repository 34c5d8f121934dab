"""The limit on how long a group waits for a better placement.

Free capacity that is kept for other work, and the preference for a rack, delay
a group that could start elsewhere. Beside idle workers that is allowed for a
short time only: what a group waits for may never come.
"""

from collections.abc import Iterable

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs

# Work that can run must not wait for 3 s beside idle workers, and it still has
# to be decided and stored.
_MAX_WAIT_MS = 1_500


def is_reached(
    state: planstate.PlanningState, entry: planstate.WaitingGroup
) -> bool:
    """Return whether a group must not wait for a better placement any more."""
    step = entry.job.steps[entry.group.step]
    return entry.waited_ms >= _MAX_WAIT_MS and (
        step.long_running or _is_idle(state, entry.job.service)
    )


def _is_idle(state: planstate.PlanningState, service: str) -> bool:
    """Return whether less than half of a service is in use.

    Beside more, a waiting group finds free capacity soon.
    """
    if state.idle_services is None:
        state.idle_services = list_idle_services(
            state.capacity.workers.values()
        )
    return service in state.idle_services


def list_idle_services(
    workers: Iterable[freecapacity.CandidateWorker],
) -> frozenset[str]:
    """Return the services of which less than half is in use.

    Accelerators are counted; processors where a service has none.
    """
    free: dict[str, taskjobs.Resources] = {}
    total: dict[str, taskjobs.Resources] = {}
    for worker in workers:
        for sums, resources in ((free, worker.free), (total, worker.total)):
            before = sums.get(worker.service, taskjobs.NO_RESOURCES)
            sums[worker.service] = taskjobs.add(before, resources)
    return frozenset(
        service
        for service in total
        if _is_mostly_free(free[service], total[service])
    )


def _is_mostly_free(
    free: taskjobs.Resources, total: taskjobs.Resources
) -> bool:
    if total.accelerators:
        return 2 * free.accelerators > total.accelerators
    return 2 * free.cpu_millis > total.cpu_millis
