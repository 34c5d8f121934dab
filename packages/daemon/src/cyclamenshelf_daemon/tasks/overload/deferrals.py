"""Groups that wait for other tasks to end rather than have any stopped."""

from cyclamenshelf_core import taskplan
from cyclamenshelf_daemon.tasks import ledger as ledgers


def record_deferring_groups(
    ledger: ledgers.Ledger, plan: taskplan.Plan, now_ms: int
) -> None:
    """Record since when groups wait, until they start or tasks are stopped."""
    blocked = set(plan.blocked)
    ended = {stop.beneficiary for stop in plan.stops}
    ended |= {s.group for s in plan.starts if s.group not in blocked}
    for group in ended:
        ledger.jobs[group.job_id].deferring.pop(group, None)
    for wait in plan.waits:
        entry = ledger.jobs[wait.group.job_id]
        entry.deferring.setdefault(wait.group, now_ms)
