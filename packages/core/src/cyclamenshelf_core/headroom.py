"""Free capacity that is kept for groups of priority 0 that may arrive next.

It is a preference: a group that has waited for long beside idle workers may use
it, as urgent work that never comes must not keep other work from running. Tasks
that lose little when they are stopped may use it before they are late: what
they hold is free again soon after urgent work has come.
"""

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import waitlimit

# A group of priority 1 with less slack than this may use the headroom, so that
# urgent work does not make it late.
_LOW_SLACK_MS = 5_000
# A group that is cheap to stop may use it with less slack than this. Each stop
# delays urgent work, so it first waits for other capacity as long as it can.
_LOW_SLACK_IF_CHEAP_MS = 2_000


class Headroom:
    """The headroom of one decision.

    Attributes:
        accelerators: Number of accelerators to keep free, by service.
        reserved: Free resources of the workers that are kept; None while
            nothing is kept.
    """

    def __init__(self, accelerators: dict[str, int]) -> None:
        self.accelerators = accelerators
        self.reserved: dict[str, taskjobs.Resources] | None = None


def may_use(
    state: planstate.PlanningState, entry: planstate.WaitingGroup
) -> bool:
    """Return whether a group may use what is kept free for priority 0."""
    job = entry.job
    if job.priority == 0 or entry.isolated:
        return True
    if job.priority == 1 and 0 <= entry.slack_ms < _LOW_SLACK_MS:
        return True
    if entry.slack_ms < _LOW_SLACK_IF_CHEAP_MS and _is_cheap_to_stop(
        job.steps[entry.group.step]
    ):
        return True
    return waitlimit.is_reached(state, entry)


def _is_cheap_to_stop(step: taskjobs.Step) -> bool:
    """Return whether a stopped task of a step loses little work.

    The members of a gang also lose the time in which not all of them run.
    """
    return step.checkpointable and not step.gang and not step.long_running


def reserve(headroom: Headroom, state: planstate.PlanningState) -> None:
    """Keep whole workers with the required free accelerators in total.

    The workers with the most free accelerators are taken, as an urgent task
    may need a whole worker.
    """
    if headroom.reserved is not None:
        return
    headroom.reserved = {}
    free, workers = state.capacity.free, state.capacity.workers
    missing = dict(headroom.accelerators)
    for worker_id in sorted(
        free, key=lambda name: (-free[name].accelerators, name)
    ):
        service = workers[worker_id].service
        if missing.get(service, 0) > 0 and free[worker_id].accelerators > 0:
            missing[service] -= free[worker_id].accelerators
            headroom.reserved[worker_id] = free[worker_id]
            free[worker_id] = taskjobs.NO_RESOURCES


def release(headroom: Headroom, state: planstate.PlanningState) -> None:
    """Stop keeping workers, for a group that may use them."""
    if not headroom.reserved:
        headroom.reserved = None
        return
    for worker_id, free in headroom.reserved.items():
        state.capacity.free[worker_id] = taskjobs.add(
            state.capacity.free[worker_id], free
        )
    headroom.reserved = None
    planstate.forget_searches(state)
