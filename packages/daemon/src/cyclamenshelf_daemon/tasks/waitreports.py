"""Log lines that say why accepted jobs have not started."""

import collections
from collections.abc import Iterable

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import planning

# Groups that have waited for less are not reported.
_MIN_WAIT_MS = 2_000


def report_waiting_groups(
    limiter: logs.EventLimiter,
    waiting: Iterable[planstate.WaitingGroup],
    impossible: set[taskjobs.Group],
    workers: Iterable[fleet.Worker],
    times: planning.Times,
) -> None:
    """Log how many groups wait, and how many workers may be given tasks.

    Args:
        limiter: Limits the lines.
        waiting: The groups that a decision did not start completely.
        impossible: Those of them that no worker of the fleet can run.
        workers: All workers of the owner.
        times: The time of the decision on both clocks.
    """
    if not logs.is_due(limiter, times.now_ms, "groups_waiting"):
        return
    fields = describe_waiting_groups(waiting, impossible, workers, times)
    if fields:
        logs.log_limited(
            limiter, times.now_ms, "groups_waiting", "WARNING", **fields
        )


def describe_waiting_groups(
    waiting: Iterable[planstate.WaitingGroup],
    impossible: set[taskjobs.Group],
    workers: Iterable[fleet.Worker],
    times: planning.Times,
) -> dict[str, object]:
    """Return the fields of the line; empty if no group has waited long."""
    ages = {
        entry.group: times.wall_ms
        - taskjobs.get_due_ms(entry.job, entry.group.occurrence)
        for entry in waiting
    }
    late = [e for e in waiting if ages[e.group] >= _MIN_WAIT_MS]
    if not late:
        return {}
    oldest = max(late, key=lambda entry: ages[entry.group])
    obstacles = collections.Counter(
        fleet.find_obstacle(worker, times.now_ms) for worker in workers
    )
    return {
        "groups": len(late),
        "urgent": sum(entry.job.priority == 0 for entry in late),
        "impossible": sum(entry.group in impossible for entry in late),
        "oldest_job": oldest.job.id,
        "oldest_ms": ages[oldest.group],
        "workers": sum(obstacles.values()),
        "usable": obstacles.pop(None, 0),
        **{str(reason): count for reason, count in sorted(obstacles.items())},
    }
