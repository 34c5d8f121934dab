"""The owner: one thread that makes all scheduling decisions for the fleet.

Only this thread accesses the owner's state; other threads post calls to it.
"""

from collections.abc import Callable
import queue
import threading

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import urgentdemand
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import links
from cyclamenshelf_daemon.tasks import orders
from cyclamenshelf_daemon.tasks import owneradvice
from cyclamenshelf_daemon.tasks import ownerjobs
from cyclamenshelf_daemon.tasks import ownerrows
from cyclamenshelf_daemon.tasks import ownerruns
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ownerworkers
from cyclamenshelf_daemon.tasks import pendingreasons
from cyclamenshelf_daemon.tasks import pendingreports
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import startqueue
from cyclamenshelf_daemon.tasks import stopmetrics
from cyclamenshelf_daemon.tasks import suspension
from cyclamenshelf_daemon.tasks import waitreports
from cyclamenshelf_daemon.tasks import writer
from cyclamenshelf_daemon.tasks.admission import ownerbacklog
from cyclamenshelf_daemon.tasks.admission import publishing
from cyclamenshelf_daemon.tasks.endings import stops
from cyclamenshelf_daemon.tasks.evacuation import moving
from cyclamenshelf_daemon.tasks.evacuation import requests
from cyclamenshelf_daemon.tasks.evacuation import tracking
from cyclamenshelf_daemon.tasks.overload import deferrals
from cyclamenshelf_daemon.tasks.overload import demands
from cyclamenshelf_daemon.tasks.pacing import pacer
from cyclamenshelf_daemon.tasks.sending import orderqueue
from cyclamenshelf_daemon.tasks.workerprofiles import estimates
from cyclamenshelf_daemon.tasks.workerprofiles import learning
from cyclamenshelf_daemon.tasks.workerprofiles import profilestore

_TICK_MS = 200
# How long a call to the store waits for changes of jobs and workers.
_CHANGES_WAIT_MS = 500
# The pause after a decision, as a multiple of its duration. It leaves time to
# apply the responses of workers and to renew leases on large fleets.
_PAUSE_FACTOR = 3
# Delay before an owner that may not start anything checks that again.
_SUSPENDED_RETRY_MS = 50
# Delay before a new owner checks again whether all workers have responded.
_SETTLING_RETRY_MS = 10
# Collects task ends and jobs that arrive together into one decision.
_BATCHING_DELAY_MS = 5
# Time for the calls of one round, after which the owner decides and writes.
_MAX_CALLS_MS = 50


def start_owner(
    context: ownerstate.OwnerContext, tenure: ownership.Tenure
) -> ownerstate.Owner:
    """Start the threads of an owner, which end with its tenure; return it."""
    owner = ownerstate.Owner(context, tenure)
    _connect_callbacks(owner)
    threading.Thread(
        target=supervision.run_logged,
        args=("owner_failed", _run, owner),
        name="owner",
        daemon=True,
    ).start()
    return owner


def _connect_callbacks(owner: ownerstate.Owner) -> None:
    """Set the callbacks of other threads to post calls to the owner."""
    context = owner.context

    def make_poster(call: Callable[..., None]) -> Callable[..., None]:
        return lambda *arguments: ownerstate.post(
            owner, lambda: call(owner, *arguments)
        )

    def handle_fencing(worker: fleet.Worker) -> None:
        ownerworkers.handle_fencing(owner, worker)

    owner.work.changed = make_poster(ownerjobs.apply_work_rows)
    owner.links = links.LinkContext(
        context.workers,
        owner.tenure,
        context.clock,
        context.lease_ms,
        on_renewed=make_poster(ownerworkers.handle_response),
        on_fenced=handle_fencing,
    )
    owner.orders = orders.OrderContext(
        context.workers,
        owner.order_queue,
        owner.tenure,
        context.clock,
        context.lease_ms,
        is_live=lambda run: ownerstate.is_live(owner, run),
        may_start=lambda info: requests.may_start(context.evacuations, info),
        on_started=make_poster(ownerruns.handle_start_response),
        on_unacknowledged=make_poster(ownerruns.handle_unacknowledged_start),
        on_not_sent=make_poster(ownerruns.handle_unsent_start),
        on_stopped=make_poster(ownerruns.handle_stop_response),
        on_fenced=handle_fencing,
        on_paced=make_poster(pacer.handle_response),
        registry=context.registry,
    )


def _run(owner: ownerstate.Owner) -> None:
    try:
        ownerjobs.load_jobs(owner)
        _start_threads(owner)
        while not owner.tenure.ended.is_set():
            _run_calls(owner)
            ownerruns.check_run_timeouts(owner)
            ownerworkers.check_worker_timeouts(owner)
            tracking.apply_requests(owner)
            profilestore.restore_listed_workers(owner)
            learning.learn_if_due(owner)
            _decide_if_due(owner)
            # A fault in what only reports must not end the tenure.
            supervision.run_logged(
                "evacuation_report_failed", tracking.report_if_due, owner
            )
            supervision.run_logged(
                "evacuation_move_failed", moving.move_if_due, owner
            )
            supervision.run_logged(
                "pending_report_failed", pendingreports.report_if_due, owner
            )
            supervision.run_logged(
                "backlog_failed", ownerbacklog.publish_if_due, owner
            )
            ownerruns.send_stops(owner)
            ownerrows.flush_rows(owner)
    finally:
        owner.tenure.ended.set()
        owner.batches.put(None)
        owner.publisher.backlogs.put(None)
        for worker in owner.workers.values():
            fleet.close_worker(worker)
        orderqueue.close(owner.order_queue)
        pendingreports.clear_metric(owner.context.registry)
        tracking.clear_metrics(owner.context.registry)
        learning.clear_metric(owner.context.registry)
        logs.log_event("owner_ended", epoch=owner.tenure.epoch)


def _start_threads(owner: ownerstate.Owner) -> None:
    context = owner.context
    following.start_following(
        owner.work,
        context.store,
        context.clock,
        owner.tenure.ended,
        _CHANGES_WAIT_MS,
    )
    ownerworkers.follow_worker_list(owner, _CHANGES_WAIT_MS)
    profilestore.start_reading(owner)
    owneradvice.start_requests(owner)
    writer.start_writer(
        writer.WriterContext(
            context.store,
            context.clock,
            owner.tenure,
            owner.batches,
            lambda batch, result: ownerstate.post(
                owner, lambda: ownerrows.handle_written(owner, batch, result)
            ),
        )
    )
    publishing.start_publisher(
        publishing.PublisherContext(
            owner.publisher, context.store, owner.tenure
        )
    )


def _run_calls(owner: ownerstate.Owner) -> None:
    """Wait for the next call, then run pending calls for a limited time.

    While thousands of tasks end, calls arrive faster than they are run, and
    decisions and writes must not wait for a pause.
    """
    try:
        call = owner.calls.get(timeout=_choose_wait_ms(owner) / 1000)
    except queue.Empty:
        return
    call()
    clock = owner.context.clock
    clock.sleep_ms(_BATCHING_DELAY_MS)
    until_ms = clock.now_ms() + _MAX_CALLS_MS
    while not owner.calls.empty() and clock.now_ms() < until_ms:
        owner.calls.get()()


def _choose_wait_ms(owner: ownerstate.Owner) -> int:
    """Return how long to wait for a call before the next round, in ms."""
    if not owner.changed or owner.listed_workers is None:
        return _TICK_MS
    due_ms = owner.decided_ms + owner.pause_ms
    left_ms = due_ms - owner.context.clock.now_ms()
    return max(1, min(_TICK_MS, left_ms))


def _list_blocked_jobs(owner: ownerstate.Owner, now_ms: int) -> set[str]:
    """Return the jobs of which no task may be started.

    They may have tasks running on unconfirmed workers, or the store has
    rejected their rows, without which a start is not sent.
    """
    return {
        job_id
        for job_id, entry in owner.ledger.jobs.items()
        if entry.rejected_until_ms > now_ms
        or entry.progress.workers & owner.unconfirmed_workers
    }


def _decide_if_due(owner: ownerstate.Owner) -> None:
    """Make a decision if something has changed and the pause is over."""
    clock = owner.context.clock
    started_ms = clock.now_ms()
    if not owner.changed or owner.listed_workers is None:
        return
    if started_ms < owner.decided_ms + owner.pause_ms:
        return
    owner.decided_ms = started_ms
    obstacle = suspension.find_obstacle(owner)
    if obstacle is not None:
        logs.log_limited(
            owner.log_limiter,
            started_ms,
            "decisions_suspended",
            "WARNING",
            reason=obstacle,
        )
        owner.pause_ms = _SUSPENDED_RETRY_MS
        return
    if suspension.is_settling(owner, started_ms):
        owner.pause_ms = _SETTLING_RETRY_MS
        return
    owner.changed = False
    _decide(owner)
    owner.pause_ms = _PAUSE_FACTOR * (clock.now_ms() - started_ms)


def _decide(owner: ownerstate.Owner) -> None:
    times = ownerstate.read_times(owner)
    lists = owner.context.get_lists()
    capacities = planning.list_free_capacity(
        owner.ledger, owner.workers.values(), times.now_ms
    )
    waiting = planning.list_waiting(
        owner.ledger,
        lists,
        times,
        _list_blocked_jobs(owner, times.now_ms),
    )
    waiting = [owneradvice.restrict_workers(owner, entry) for entry in waiting]
    if not waiting:
        owner.decision = pendingreasons.NO_DECISION
        return
    planning.record_urgent_demand(owner.ledger, waiting, times.now_ms)
    runnable = [e for e in waiting if planning.can_run(owner.ledger, e)]
    impossible = {e.group for e in waiting} - {e.group for e in runnable}
    held = planning.list_allocations(owner.ledger, lists, times.now_ms)
    headroom = urgentdemand.compute_headroom(
        owner.ledger.urgent_demand, times.now_ms
    )
    decision = taskplan.plan(
        runnable,
        held,
        capacities,
        owner.ledger.step_counts,
        headroom,
        planning.count_isolated_workers(owner.ledger),
        planning.list_idle_services(
            owner.ledger, owner.workers.values(), times.now_ms
        ),
        demands.list_running_demands(owner.ledger, times),
        planstate.Outlook(
            owner.context.remote_penalty,
            lambda task: estimates.estimate_remaining_ms(
                owner.ledger, task, times.now_ms
            ),
        ),
    )
    owner.decision = pendingreasons.Decision(
        waiting, impossible, decision.blocked, headroom
    )
    stopmetrics.record_plan(
        owner.context.registry, owner.ledger, decision, held, times.now_ms
    )
    planning.record_preempting_groups(owner.ledger, decision, times.now_ms)
    deferrals.record_deferring_groups(owner.ledger, decision, times.now_ms)
    planning.record_blocked_groups(owner.ledger, decision, times.now_ms)
    owneradvice.request_advice(
        owner, runnable, set(decision.blocked), capacities
    )
    for stop in decision.stops:
        run = owner.ledger.runs.get(stop.task)
        if run is not None:
            stops.stop_run(
                owner.ledger, run, f"room_for_{stop.beneficiary.job_id}"
            )
    slack_by_group = {entry.group: entry.slack_ms for entry in waiting}
    for start in startqueue.limit_starts(owner.ledger, decision.starts):
        _start_group(owner, start, slack_by_group[start.group], times.now_ms)
    unstarted = impossible.union(decision.blocked)
    waitreports.report_waiting_groups(
        owner.log_limiter,
        [entry for entry in waiting if entry.group in unstarted],
        impossible,
        owner.workers.values(),
        times,
    )


def _start_group(
    owner: ownerstate.Owner, start: planstate.Start, slack_ms: int, now_ms: int
) -> None:
    entry = owner.ledger.jobs[start.group.job_id]
    number = ledgers.allocate_run_number(owner.ledger)
    off_rack = learning.is_off_rack(owner, entry.job, start)
    logs.log_event(
        "group_started",
        job=entry.job.id,
        occurrence=start.group.occurrence,
        step=start.group.step,
        tasks=len(start.placements),
        run=number,
        isolated=start.isolated,
        off_rack=off_rack,
        spare_ms=slack_ms,
        age_ms=owner.context.clock.wall_ms() - entry.job.accepted_ms,
    )
    for index, worker_id in start.placements:
        task = taskjobs.Task(start.group, index)
        run = ledgers.Run(task, number, worker_id, now_ms, start.isolated)
        run.off_rack = off_rack
        ledgers.add_run(owner.ledger, run)
    entry.dirty = True
