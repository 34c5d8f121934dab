"""The order in which waiting groups are given room."""

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.overload import callercost

# A group that is late by this many times what its objective allows comes
# before others of its priority, one such group at a time.
_MAX_LATENESS = 10


def sort_groups(
    waiting: list[planstate.WaitingGroup],
) -> list[planstate.WaitingGroup]:
    """Return groups in the order in which they are given room."""
    overdue = _choose_overdue(waiting)

    def get_key(entry: planstate.WaitingGroup) -> tuple:
        return (
            # An empty worker is rarely left over by other groups.
            0 if entry.isolated else entry.job.priority,
            entry.isolated,
            # Another group would take the capacity that is freed for this one,
            # for which more tasks would then be stopped.
            not entry.preempting,
            not entry.guaranteed,
            entry.group not in overdue,
            _get_urgency_key(entry),
            entry.group,
        )

    return sorted(waiting, key=get_key)


def _get_urgency_key(entry: planstate.WaitingGroup) -> tuple[int, float]:
    if entry.slack_ms >= 0 or entry.guaranteed:
        return callercost.Urgency.IN_TIME, entry.slack_ms
    demand = callercost.make_relative_demand(
        entry.job, entry.group, len(entry.indexes), entry.slack_ms
    )
    return callercost.get_order_key(demand, 0)


def _choose_overdue(
    waiting: list[planstate.WaitingGroup],
) -> set[taskjobs.Group]:
    """Return the latest group of each priority that has waited too long.

    Jobs that are of no use any more come last. Under lasting overload they
    would never start.
    """
    latest: dict[int, planstate.WaitingGroup] = {}
    for entry in waiting:
        if entry.slack_ms >= 0:
            continue
        length_ms = callercost.compute_objective_length_ms(entry.job)
        if -entry.slack_ms < _MAX_LATENESS * length_ms:
            continue
        known = latest.get(entry.job.priority)
        if known is None or entry.slack_ms < known.slack_ms:
            latest[entry.job.priority] = entry
    return {entry.group for entry in latest.values()}
