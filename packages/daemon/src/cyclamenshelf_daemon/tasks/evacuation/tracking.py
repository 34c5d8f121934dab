"""The owner's part in emptying a data centre: what starts and what is left."""

from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks.evacuation import requests

_REPORT_INTERVAL_MS = 1_000
_WORKERS_METRIC = "evacuated_workers"
_TASKS_METRIC = "evacuated_tasks_left"


def apply_requests(owner: ownerstate.Owner) -> None:
    """Apply the operators' requests to the workers and to planned starts.

    It precedes each decision, and each sending of planned starts.
    """
    if owner.listed_workers is None:
        return
    requested = requests.list_data_centres(owner.context.evacuations)
    if not requested and not owner.evacuations:
        return
    for worker in owner.workers.values():
        worker.evacuated = requests.is_evacuated(worker.info, requested)
    _withdraw_planned_starts(owner)
    for name in sorted(requested - owner.evacuations.keys()):
        _record_start(owner, name)
    for name in sorted(owner.evacuations.keys() - requested):
        _record_end(owner, name)


def _record_start(owner: ownerstate.Owner, name: str) -> None:
    owner.evacuations[name] = owner.context.clock.now_ms()
    owner.evacuation_due_ms = 0
    owner.changed = True
    logs.log_event(
        "evacuation_started",
        data_centre=name,
        workers=len(_list_workers(owner, name)),
        tasks=_count_tasks(owner, name),
    )


def _record_end(owner: ownerstate.Owner, name: str) -> None:
    started_ms = owner.evacuations.pop(name)
    owner.emptied_data_centres.discard(name)
    owner.evacuation_due_ms = 0
    owner.changed = True
    logs.log_event(
        "evacuation_ended",
        data_centre=name,
        workers=len(_list_workers(owner, name)),
        tasks=_count_tasks(owner, name),
        for_ms=owner.context.clock.now_ms() - started_ms,
    )
    if not owner.evacuations:
        clear_metrics(owner.context.registry)


def _withdraw_planned_starts(owner: ownerstate.Owner) -> None:
    """Withdraw planned starts, which other workers can be given at once."""
    for worker in owner.workers.values():
        if not worker.evacuated:
            continue
        for run in ledgers.list_worker_runs(owner.ledger, worker.info.id):
            # The withdrawal of a gang's member also removes the others.
            if run.phase is ledgers.Phase.PLANNED and ownerstate.is_live(
                owner, run
            ):
                logs.log_event(
                    "start_withdrawn",
                    task=taskjobs.format_task(run.task),
                    run=run.number,
                    worker=run.worker_id,
                    reason="data_centre_evacuated",
                )
                ownerstate.withdraw_run(
                    owner, run, owner.context.clock.now_ms()
                )


def report_if_due(owner: ownerstate.Owner) -> None:
    """Update the metrics about once a second; log when nothing is left."""
    now_ms = owner.context.clock.now_ms()
    if not owner.evacuations or now_ms < owner.evacuation_due_ms:
        return
    owner.evacuation_due_ms = now_ms + _REPORT_INTERVAL_MS
    tasks = {name: _count_tasks(owner, name) for name in owner.evacuations}
    workers = {name: _list_workers(owner, name) for name in owner.evacuations}
    registry = owner.context.registry
    metrics.replace_gauges(registry, _TASKS_METRIC, "data_centre", tasks)
    metrics.replace_gauges(
        registry,
        _WORKERS_METRIC,
        "data_centre",
        {name: len(listed) for name, listed in workers.items()},
    )
    for name, started_ms in owner.evacuations.items():
        known = all(worker.has_listed_all for worker in workers[name])
        if tasks[name] or not known:
            owner.emptied_data_centres.discard(name)
        elif name not in owner.emptied_data_centres:
            owner.emptied_data_centres.add(name)
            logs.log_event(
                "data_centre_emptied",
                data_centre=name,
                workers=len(workers[name]),
                for_ms=now_ms - started_ms,
            )


def clear_metrics(registry: metrics.Metrics) -> None:
    """Remove the metrics, at the end of the last evacuation or of a tenure."""
    for name in (_WORKERS_METRIC, _TASKS_METRIC):
        metrics.replace_gauges(registry, name, "data_centre", {})


def _list_workers(owner: ownerstate.Owner, name: str) -> list[fleet.Worker]:
    return [
        worker
        for worker in owner.workers.values()
        if worker.info.data_centre == name
    ]


def _count_tasks(owner: ownerstate.Owner, name: str) -> int:
    return sum(
        len(owner.ledger.by_worker.get(worker.info.id, ()))
        + len(worker.orphans)
        for worker in _list_workers(owner, name)
    )
