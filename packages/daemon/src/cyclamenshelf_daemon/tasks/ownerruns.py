"""Start and stop orders of the owner, and their outcomes."""

from collections.abc import Iterable

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import advice
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import orders
from cyclamenshelf_daemon.tasks import owneradvice
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import reports
from cyclamenshelf_daemon.tasks.endings import stops
from cyclamenshelf_daemon.tasks.evacuation import requests
from cyclamenshelf_daemon.tasks.evacuation import tracking

_TICK_MS = 200
_RESEND_STOP_MS = 1_500
# Refusals that say nothing of the task, so that it may start elsewhere.
_REFUSALS_OF_WORKER = (ports.Refusal.NO_ROOM, ports.Refusal.UNHEALTHY)


def handle_start_response(
    owner: ownerstate.Owner, run: ledgers.Run, refusal: ports.Refusal | None
) -> None:
    """Apply the response to a start."""
    if not ownerstate.is_live(owner, run):
        return
    now_ms = owner.context.clock.now_ms()
    if refusal is None:
        if run.phase is ledgers.Phase.STARTING:
            run.phase = ledgers.Phase.RUNNING
        if run.acked_ms is None:
            run.acked_ms = now_ms
        _mark_job_running(owner, run)
        return
    logs.log_event(
        "start_refused",
        "WARNING",
        task=taskjobs.format_task(run.task),
        run=run.number,
        worker=run.worker_id,
        reason=refusal,
    )
    if refusal is ports.Refusal.NO_TICKET:
        advice.drop_ticket(owner.advice, run.task.group, run.worker_id)
    worker = owner.workers.get(run.worker_id)
    if worker is not None and refusal in _REFUSALS_OF_WORKER:
        fleet.record_refusal(worker, now_ms)
    ownerstate.withdraw_run(owner, run, now_ms)


def handle_unsent_start(owner: ownerstate.Owner, run: ledgers.Run) -> None:
    """Remove a run whose start was never sent."""
    if ownerstate.is_live(owner, run):
        ownerstate.withdraw_run(owner, run, owner.context.clock.now_ms())


def handle_unacknowledged_start(
    owner: ownerstate.Owner, run: ledgers.Run
) -> None:
    """Stop a run without an answer to its start, unless it was listed."""
    if not ownerstate.is_live(owner, run):
        return
    logs.log_event(
        "start_unanswered",
        "WARNING",
        task=taskjobs.format_task(run.task),
        run=run.number,
        worker=run.worker_id,
        listed=run.acked_ms is not None,
    )
    stops.mark_unacknowledged(owner.ledger, run)
    if run.acked_ms is not None:
        _mark_job_running(owner, run)


def handle_stop_response(
    owner: ownerstate.Owner, run: ledgers.Run, acknowledged: bool
) -> None:
    """Record whether a stop was acknowledged."""
    if acknowledged and run.stop_acked_ms is None:
        run.stop_acked_ms = owner.context.clock.now_ms()
        worker = owner.workers.get(run.worker_id)
        if worker is not None and run.phase is ledgers.Phase.LOST:
            worker.list_soon = True
            fleet.wake_worker(worker, run.stop_acked_ms)
    if not acknowledged:
        _record_failed_stop(owner, run, owner.context.clock.now_ms())


def _record_failed_stop(
    owner: ownerstate.Owner, run: ledgers.Run, now_ms: int
) -> None:
    """Record a stop that has to be repeated unless the run ends meanwhile."""
    run.stop_failed_ms = now_ms
    owner.failed_stops.append(run)


def _mark_job_running(owner: ownerstate.Owner, run: ledgers.Run) -> None:
    entry = owner.ledger.jobs[run.task.group.job_id]
    if entry.progress.state is taskprogress.State.QUEUED:
        entry.progress.state = taskprogress.State.RUNNING
        entry.dirty = True


def check_run_timeouts(owner: ownerstate.Owner) -> None:
    """Handle expired leases, stops to repeat and groups that become due."""
    now_ms = owner.context.clock.now_ms()
    if now_ms - owner.decided_ms >= _TICK_MS:
        # Delayed groups and occurrences become due without an event.
        owner.changed = True
    for worker in list(owner.workers.values()):
        if reports.requeue_expired(
            owner.ledger,
            worker,
            owner.workers.values(),
            ownerstate.read_times(owner),
        ):
            owner.changed = True
    reports.stop_incomplete_gangs(owner.ledger, owner.unconfirmed_workers)
    _repeat_stops(owner, now_ms)


def _repeat_stops(owner: ownerstate.Owner, now_ms: int) -> None:
    """Send stops again that were not acknowledged some time ago."""
    failed, owner.failed_stops = owner.failed_stops, []
    for run in failed:
        if (
            not ownerstate.is_live(owner, run)
            or run.phase not in (ledgers.Phase.STOPPING, ledgers.Phase.LOST)
            or run.stop_acked_ms is not None
            or run.stop_failed_ms is None
        ):
            continue
        if now_ms - run.stop_failed_ms > _RESEND_STOP_MS:
            run.stop_failed_ms = None
            owner.ledger.stops.append(run)
        else:
            owner.failed_stops.append(run)


def send_stored_starts(
    owner: ownerstate.Owner, runs: Iterable[ledgers.Run]
) -> None:
    """Send the starts of planned runs whose workers are stored by now.

    The members of a gang may be stored in several batches. They are sent
    together, as they work only together.
    """
    # A gang with a member in a data centre that is being emptied since the last
    # round is withdrawn whole.
    tracking.apply_requests(owner)
    gangs: dict[taskjobs.Group, None] = {}
    for run in runs:
        run.stored = True
        if not ownerstate.is_live(owner, run):
            continue
        group = run.task.group
        if owner.ledger.jobs[group.job_id].job.steps[group.step].gang:
            gangs[group] = None
        else:
            _send_start(owner, run)
    for group in gangs:
        members = ledgers.list_group_runs(owner.ledger, group)
        if all(member.stored for member in members):
            for member in members:
                _send_start(owner, member)


def _send_start(owner: ownerstate.Owner, run: ledgers.Run) -> None:
    """Send the start of a planned run."""
    worker = owner.workers.get(run.worker_id)
    if (
        not ownerstate.is_live(owner, run)
        or run.phase is not ledgers.Phase.PLANNED
    ):
        return
    now_ms = owner.context.clock.now_ms()
    if worker is None:
        ownerstate.withdraw_run(owner, run, now_ms)
        return
    if not (
        ownerstate.is_worker_list_current(owner)
        and requests.are_current(owner.context.evacuations)
    ):
        ownerstate.withdraw_run(owner, run, now_ms)
        return
    if fleet.is_overcommitted(worker, owner.ledger.used[worker.info.id]):
        logs.log_event(
            "start_withdrawn",
            task=taskjobs.format_task(run.task),
            run=run.number,
            worker=worker.info.id,
            reason="capacity_shrunk",
        )
        ownerstate.withdraw_run(owner, run, now_ms)
        return
    entry = owner.ledger.jobs[run.task.group.job_id]
    ticket = advice.get_ticket(owner.advice, run.task.group, worker, now_ms)
    if not ticket and owneradvice.get_advice_terms(owner, entry) is not None:
        # The ticket expired while the worker was being stored.
        ownerstate.withdraw_run(owner, run, now_ms)
        return
    checkpoint_task = taskprogress.get_representative(entry.job, run.task)
    run.phase = ledgers.Phase.STARTING
    # Its polling may be paused, but it gets a lease now and has to renew it.
    fleet.wake_worker(worker, now_ms)
    run.since_ms = now_ms
    run.resumed_ms = entry.saved_work_ms.get(checkpoint_task, 0)
    orders.send_start(
        owner.orders,
        worker,
        run,
        orders.StartArguments(
            entry.job.payload,
            entry.progress.checkpoints.get(checkpoint_task, ""),
            ticket,
        ),
    )


def send_stops(owner: ownerstate.Owner) -> None:
    """Send stops that are new or due to be repeated."""
    if not owner.ledger.stops:
        return
    due, owner.ledger.stops = owner.ledger.stops, []
    now_ms = owner.context.clock.now_ms()
    stopping: list[tuple[fleet.Worker, ledgers.Run]] = []
    for run in due:
        if not ownerstate.is_live(owner, run):
            continue
        worker = owner.workers.get(run.worker_id)
        if run.first_stop_ms is None:
            run.first_stop_ms = now_ms
        if worker is None:
            _record_failed_stop(owner, run, now_ms)
        else:
            run.stop_failed_ms = None
            stopping.append((worker, run))
    orders.send_stops(owner.orders, stopping)
