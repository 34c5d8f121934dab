"""The owner: one thread that decides for the whole fleet.

All state is touched by this thread only; other threads hand it functions.
"""

from collections.abc import Callable
import queue
import threading

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
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
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import writer

_TICK_MS = 200
# How long a call waits for changes of jobs and workers.
_NEWS_WAIT_MS = 500
# A decision is followed by this many times its own duration without one, so
# that answers of workers are taken over and leases renewed on large fleets.
_REST = 3
# How soon an owner whose lease is not proved looks at it again.
_UNPROVED_MS = 50
# How soon a new owner looks again whether all workers have answered.
_SETTLING_MS = 10
# Ends and jobs that arrive together are planned together.
_GATHER_MS = 5


def start_owner(
    context: ownerstate.OwnerContext, tenure: ownership.Tenure
) -> ownerstate.Owner:
    """Start the threads of a tenure; they end with it."""
    owner = ownerstate.Owner(context, tenure)
    _wire(owner)
    threading.Thread(
        target=supervision.run_logged,
        args=("owner_failed", _run, owner),
        name="owner",
        daemon=True,
    ).start()
    return owner


def _wire(owner: ownerstate.Owner) -> None:
    """Let other threads hand their news to the owner's thread."""
    context = owner.context

    def hand_on(call: Callable[..., None]) -> Callable[..., None]:
        return lambda *arguments: ownerstate.post(
            owner, lambda: call(owner, *arguments)
        )

    def note_fenced(worker: fleet.Worker) -> None:
        ownerworkers.note_fenced(owner, worker)

    owner.work.changed = hand_on(ownerjobs.note_work)
    owner.links = links.LinkContext(
        context.workers,
        owner.tenure,
        context.clock,
        context.lease_ms,
        on_renewed=hand_on(ownerworkers.note_look),
        on_fenced=note_fenced,
    )
    owner.orders = orders.OrderContext(
        context.workers,
        owner.pool,
        owner.tenure,
        context.clock,
        context.lease_ms,
        on_started=hand_on(ownerruns.note_started),
        on_unanswered=hand_on(ownerruns.note_unanswered),
        on_not_sent=hand_on(ownerruns.note_not_sent),
        on_stopped=hand_on(ownerruns.note_stopped),
        on_fenced=note_fenced,
    )


def _run(owner: ownerstate.Owner) -> None:
    try:
        ownerjobs.load_jobs(owner)
        _start_threads(owner)
        while not owner.tenure.ended.is_set():
            _run_calls(owner)
            ownerruns.review_runs(owner)
            ownerworkers.review_workers(owner)
            _decide_if_due(owner)
            ownerruns.send_stops(owner)
            ownerrows.flush_rows(owner)
    finally:
        owner.tenure.ended.set()
        owner.batches.put(None)
        for worker in owner.workers.values():
            worker.closing.set()
            worker.stored.set()
            worker.wake.set()
        owner.pool.shutdown(wait=False, cancel_futures=True)
        logs.log_event("owner_ended", epoch=owner.tenure.epoch)


def _start_threads(owner: ownerstate.Owner) -> None:
    context = owner.context
    following.start_following(
        owner.work,
        context.store,
        context.clock,
        owner.tenure.ended,
        _NEWS_WAIT_MS,
    )
    ownerworkers.follow_list(owner, _NEWS_WAIT_MS)
    owneradvice.start(owner)
    writer.start_writer(
        writer.WriterContext(
            context.store,
            context.clock,
            owner.tenure,
            owner.batches,
            lambda batch, versions: ownerstate.post(
                owner,
                lambda: ownerrows.note_written(owner, batch, versions),
            ),
        )
    )


def _run_calls(owner: ownerstate.Owner) -> None:
    """Wait for the next call, then run all that have come."""
    try:
        call = owner.calls.get(timeout=_choose_wait(owner) / 1000)
    except queue.Empty:
        return
    call()
    owner.context.clock.sleep_ms(_GATHER_MS)
    while not owner.calls.empty():
        owner.calls.get()()


def _choose_wait(owner: ownerstate.Owner) -> int:
    """Return how long to wait for a call before the next round, in ms."""
    if not owner.changed or owner.listed is None:
        return _TICK_MS
    due_ms = owner.decided_ms + owner.pause_ms
    left_ms = due_ms - owner.context.clock.now_ms()
    return max(1, min(_TICK_MS, left_ms))


def _list_blocked(owner: ownerstate.Owner, now_ms: int) -> set[str]:
    """Return the jobs that may have tasks running unseen."""
    if now_ms >= owner.clear_ms:
        owner.unheard.clear()
    if not owner.unheard:
        return set()
    return {
        job_id
        for job_id, entry in owner.ledger.jobs.items()
        if entry.progress.workers & owner.unheard
    }


def _decide_if_due(owner: ownerstate.Owner) -> None:
    """Decide if something has changed and decisions leave time for the rest."""
    clock = owner.context.clock
    began_ms = clock.now_ms()
    if not owner.changed or owner.listed is None:
        return
    if began_ms < owner.decided_ms + owner.pause_ms:
        return
    owner.decided_ms = began_ms
    if not ownership.is_lease_valid(owner.tenure, clock):
        owner.pause_ms = _UNPROVED_MS
        return
    if began_ms < owner.settled_ms and _awaits_workers(owner):
        owner.pause_ms = _SETTLING_MS
        return
    owner.changed = False
    _decide(owner)
    owner.pause_ms = _REST * (clock.now_ms() - began_ms)


def _awaits_workers(owner: ownerstate.Owner) -> bool:
    return any(worker.heard_ms is None for worker in owner.workers.values())


def _decide(owner: ownerstate.Owner) -> None:
    clock = owner.context.clock
    times = planning.Times(clock.now_ms(), clock.wall_ms())
    lists = owner.context.get_lists()
    rooms = planning.list_rooms(
        owner.ledger, owner.workers.values(), times.now_ms
    )
    waiting = planning.list_waiting(
        owner.ledger,
        lists,
        times,
        _list_blocked(owner, times.now_ms),
    )
    waiting = [owneradvice.restrict(owner, entry) for entry in waiting]
    if not waiting:
        return
    made = taskplan.plan(
        waiting,
        planning.list_held(owner.ledger, lists, times.now_ms),
        rooms,
        planning.count_spread(owner.ledger),
    )
    owneradvice.ask_for(owner, waiting, set(made.blocked), rooms)
    for stop in made.stops:
        run = owner.ledger.runs.get(stop.task)
        if run is not None:
            ledgers.stop_run(
                owner.ledger, run, f"room_for_{stop.beneficiary.job_id}"
            )
    spare = {entry.group: entry.spare_ms for entry in waiting}
    for start in made.starts:
        _start(owner, start, spare[start.group], times.now_ms)


def _start(
    owner: ownerstate.Owner, start: taskplan.Start, spare_ms: int, now_ms: int
) -> None:
    entry = owner.ledger.jobs[start.group.job_id]
    number = ledgers.next_number(owner.ledger)
    logs.log_event(
        "group_started",
        job=entry.job.id,
        occurrence=start.group.occurrence,
        step=start.group.step,
        tasks=len(start.placements),
        run=number,
        spare_ms=spare_ms,
        age_ms=owner.context.clock.wall_ms() - entry.job.accepted_ms,
    )
    for index, worker_id in start.placements:
        task = taskjobs.Task(start.group, index)
        ledgers.add_run(
            owner.ledger, ledgers.Run(task, number, worker_id, now_ms)
        )
    entry.dirty = True
