"""Log lines that say why accepted jobs have not started."""

import collections
from collections.abc import Iterable

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import planning

# Limits the lines of an owner that cannot start anything for long.
_INTERVAL_MS = 5_000
# Groups that have waited for less are not reported.
_MIN_WAIT_MS = 2_000


class WaitReports:
    """When the last line of each event was logged, on the monotonic clock."""

    def __init__(self) -> None:
        self.logged_ms: dict[str, int] = {}


def report_waiting_groups(
    reports: WaitReports,
    waiting: Iterable[planstate.WaitingGroup],
    workers: Iterable[fleet.Worker],
    times: planning.Times,
) -> None:
    """Log how many groups wait, and how many workers may be given tasks.

    Args:
        reports: When the last line was logged.
        waiting: The groups that a decision did not start completely.
        workers: All workers of the owner.
        times: The time of the decision on both clocks.
    """
    if not _is_due(reports, "groups_waiting", times.now_ms):
        return
    fields = describe_waiting_groups(waiting, workers, times)
    if fields:
        reports.logged_ms["groups_waiting"] = times.now_ms
        logs.log_event("groups_waiting", "WARNING", **fields)


def report_suspension(reports: WaitReports, reason: str, now_ms: int) -> None:
    """Log that the owner decides nothing, and why."""
    if _is_due(reports, "decisions_suspended", now_ms):
        reports.logged_ms["decisions_suspended"] = now_ms
        logs.log_event("decisions_suspended", "WARNING", reason=reason)


def describe_waiting_groups(
    waiting: Iterable[planstate.WaitingGroup],
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
        "oldest_job": oldest.job.id,
        "oldest_ms": ages[oldest.group],
        "workers": sum(obstacles.values()),
        "usable": obstacles.pop(None, 0),
        **{str(reason): count for reason, count in sorted(obstacles.items())},
    }


def _is_due(reports: WaitReports, event: str, now_ms: int) -> bool:
    logged_ms = reports.logged_ms.get(event)
    return logged_ms is None or now_ms - logged_ms >= _INTERVAL_MS
