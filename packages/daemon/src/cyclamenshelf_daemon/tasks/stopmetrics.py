"""Metrics of what stopping tasks for other groups costs and gains.

They also show which stops were deferred, as callers lose less by a wait.
"""

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import victimcosts
from cyclamenshelf_daemon import logs
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
    stopped_for = {stop.beneficiary for stop in plan.stops}
    for group in stopped_for:
        _record_wait(
            registry,
            "stop_deferral",
            ledger.jobs[group.job_id].deferring,
            group,
            now_ms,
        )
    blocked = set(plan.blocked)
    for start in plan.starts:
        if start.group in blocked:
            continue
        entry = ledger.jobs[start.group.job_id]
        _record_wait(
            registry, "preemption_wait", entry.preempting, start.group, now_ms
        )
        if start.group not in stopped_for:
            _record_wait(
                registry, "stop_deferral", entry.deferring, start.group, now_ms
            )
    for wait in plan.waits:
        if wait.group not in ledger.jobs[wait.group.job_id].deferring:
            _report_deferral(registry, wait)


def _record_wait(
    registry: metrics.Metrics,
    name: str,
    since_ms: dict[taskjobs.Group, int],
    group: taskjobs.Group,
    now_ms: int,
) -> None:
    if group in since_ms:
        metrics.record_duration(registry, name, now_ms - since_ms[group])


def _report_deferral(registry: metrics.Metrics, wait: planstate.Wait) -> None:
    metrics.count_event(registry, "stops_deferred", choice=str(wait.choice))
    logs.log_event(
        "stop_deferred",
        job=wait.group.job_id,
        occurrence=wait.group.occurrence,
        step=wait.group.step,
        choice=str(wait.choice),
        free_after_ms=wait.free_after_ms,
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
