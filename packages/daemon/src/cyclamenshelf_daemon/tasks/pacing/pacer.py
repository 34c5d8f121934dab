"""Apply the reported tail latencies to the pace of best-effort tasks.

The state is in memory only. A new owner sets every pace anew, as it does not
know the last one.
"""

from collections.abc import Callable
from collections.abc import Iterable

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.pacing import control
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import orders
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.endings import stops

# How long a worker with tasks of both kinds may wait before it responds to a
# renewal. Two reports and an order fit well into the longest excess.
_REPORT_WAIT_MS = 300


def apply_report(
    owner: ownerstate.Owner,
    worker: fleet.Worker,
    running: Iterable[ports.RunningTask],
) -> None:
    """Set the pace of the best-effort tasks on a worker after its report."""
    if owner.context.pacing_terms is None:
        return
    sensitive = _list_runs(owner.ledger, worker, _is_latency_sensitive)
    best_effort = _list_runs(owner.ledger, worker, _is_best_effort)
    load = _record_load(owner, worker, sensitive, running)
    worker.max_wait_ms = _REPORT_WAIT_MS if sensitive and best_effort else None
    if not best_effort:
        owner.paces.pop(worker.info.id, None)
    elif not sensitive:
        owner.paces.pop(worker.info.id, None)
        for run in best_effort:
            if run.pace_ordered:
                _order_pace(owner, worker, run, control.MAX_PERCENT)
    else:
        _update_pace(owner, worker, best_effort, load)


def _list_runs(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    is_wanted: Callable[[taskjobs.Step], bool],
) -> list[ledgers.Run]:
    """Return the running tasks on a worker of the steps that are wanted."""
    runs = ledgers.list_worker_runs(ledger, worker.info.id)
    # A worker may run thousands of tasks, of a few steps.
    groups = {run.task.group for run in runs}
    wanted = {g for g in groups if is_wanted(_get_step(ledger, g))}
    return [
        run
        for run in runs
        if run.task.group in wanted and run.phase is ledgers.Phase.RUNNING
    ]


def _get_step(ledger: ledgers.Ledger, group: taskjobs.Group) -> taskjobs.Step:
    return ledger.jobs[group.job_id].job.steps[group.step]


def _is_latency_sensitive(step: taskjobs.Step) -> bool:
    return step.tail_target_ms > 0


def _is_best_effort(step: taskjobs.Step) -> bool:
    return step.fills


def _record_load(
    owner: ownerstate.Owner,
    worker: fleet.Worker,
    sensitive: list[ledgers.Run],
    running: Iterable[ports.RunningTask],
) -> float | None:
    """Return the load, and record whether best-effort tasks may start.

    They may not while a tail is unknown, as it is until a task serves.
    """
    by_name = {run.name: run for run in sensitive}
    tails = []
    for reported in running if sensitive else ():
        run = by_name.get(reported.name)
        if run is None or run.number != reported.run:
            continue
        if reported.reading:
            step = _get_step(owner.ledger, run.task.group)
            target_ms = step.tail_target_ms
            tails.append((reported.reading, target_ms))
    load = control.compute_load(tails)
    workers = owner.ledger.best_effort_room
    has_room = len(tails) == len(sensitive) and control.has_room(load)
    if has_room != (worker.info.id in workers):
        owner.changed = True
        if has_room:
            workers.add(worker.info.id)
        else:
            workers.discard(worker.info.id)
    return load


def _update_pace(
    owner: ownerstate.Owner,
    worker: fleet.Worker,
    best_effort: list[ledgers.Run],
    load: float | None,
) -> None:
    """Apply a load to the best-effort tasks beside latency-sensitive ones."""
    now_ms = owner.context.clock.now_ms()
    previous = owner.paces.get(worker.info.id) or control.make_pace(now_ms)
    pace = control.update_pace(
        previous, load, now_ms, owner.context.pacing_terms
    )
    owner.paces[worker.info.id] = pace
    if pace.percent != previous.percent:
        logs.log_event(
            "pace_changed",
            worker=worker.info.id,
            percent=pace.percent,
            previous_percent=previous.percent,
            load_percent=round(100 * (load or 0)),
            tasks=len(best_effort),
        )
    for run in best_effort:
        if pace.stop:
            metrics.count_event(owner.context.registry, "pace_stops", 1)
            stops.stop_run(owner.ledger, run, "tail_over_target")
        else:
            _order_pace(owner, worker, run, pace.percent)


def _order_pace(
    owner: ownerstate.Owner,
    worker: fleet.Worker,
    run: ledgers.Run,
    percent: int,
) -> None:
    """Order a pace unless it is known to hold or an order is on its way.

    The minimum is ordered with each report: an earlier order that is carried
    out late would replace it unnoticed.
    """
    holds = run.pace_percent == percent and percent != control.MIN_PERCENT
    if run.pace_pending or holds:
        return
    run.pace_pending = run.pace_ordered = True
    metrics.count_event(owner.context.registry, "pace_orders", 1)
    orders.send_pace(owner.orders, worker, run, percent)


def handle_response(
    owner: ownerstate.Owner,
    run: ledgers.Run,
    percent: int,
    acknowledged: bool,
) -> None:
    """Record a pace; one without an answer is ordered with the next report."""
    run.pace_pending = False
    run.pace_percent = percent if acknowledged else None
    if acknowledged and percent == control.MAX_PERCENT:
        run.pace_ordered = False
