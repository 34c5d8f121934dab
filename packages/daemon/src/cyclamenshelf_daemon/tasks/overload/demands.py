"""What the callers of running groups still expect."""

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.overload import callercost
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import planning


def list_running_demands(
    ledger: ledgers.Ledger, times: planning.Times
) -> dict[taskjobs.Group, callercost.Demand]:
    """Return what the callers of running groups expect, relative to now."""
    demands: dict[taskjobs.Group, callercost.Demand] = {}
    for group, runs in ledger.by_group.items():
        # Of a gang, the member that has done least decides.
        work_ms = min(
            (
                ledgers.compute_work_ms(ledger, run, times.now_ms)
                for run in runs.values()
            ),
            default=0,
        )
        demands[group] = callercost.make_running_demand(
            ledger.jobs[group.job_id].job,
            group,
            work_ms,
            times.wall_ms,
        )
    return demands
