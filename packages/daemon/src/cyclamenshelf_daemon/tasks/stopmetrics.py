"""Metrics of what stopping tasks for other groups costs and gains."""

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import victimcosts
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import ledger as ledgers


def record_plan(
    registry: metrics.Metrics,
    ledger: ledgers.Ledger,
    plan: taskplan.Plan,
    held: list[victimcosts.Allocation],
    now_ms: int,
) -> None:
    """Count the stops of a plan and the starts for which others were stopped.

    Args:
        registry: Keeps the metrics.
        ledger: The owner's jobs and runs, before the plan is applied.
        plan: The plan.
        held: The allocations that the plan is based on.
        now_ms: Monotonic time of the plan.
    """
    if plan.stops:
        _count_stops(registry, plan.stops, held)
    blocked = set(plan.blocked)
    for start in plan.starts:
        entry = ledger.jobs[start.group.job_id]
        stopped_ms = entry.preempting.get(start.group)
        if stopped_ms is not None and start.group not in blocked:
            metrics.record_duration(
                registry, "preemption_wait", now_ms - stopped_ms
            )


def _count_stops(
    registry: metrics.Metrics,
    stops: list[planstate.Stop],
    held: list[victimcosts.Allocation],
) -> None:
    tasks = {stop.task for stop in stops}
    lost_core_ms = sum(
        victimcosts.compute_lost_core_ms(allocation)
        for allocation in held
        if allocation.task in tasks
    )
    metrics.count_event(registry, "preempted_tasks", len(stops))
    metrics.count_event(registry, "preempted_core_ms", int(lost_core_ms))
