"""Taking over what a worker answers to the renewal of its lease."""

from collections.abc import Callable

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import ports

StopForeign = Callable[[fleet.Worker, str, int], None]


def take_over(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    sent_ms: int,
    look: ports.RenewalResponse,
    times: planning.Times,
    stop_foreign: StopForeign,
) -> bool:
    """Bring the book up to date with an answer; return whether room changed.

    Args:
        ledger: The owner's book.
        worker: The worker that answered.
        sent_ms: Monotonic time at which it was asked.
        look: Its answer.
        times: The moment.
        stop_foreign: Called with runs that the owner has no use for.
    """
    fleet.note_answer(worker, look.clock_ms, times.now_ms)
    ended = {(end.name, end.run) for end in look.ended}
    before = worker.processed
    for end in sorted(look.ended):
        if end.number > worker.processed:
            ledgers.apply_end(ledger, worker, end, *times)
            worker.processed = end.number
    shown = {(run.name, run.run) for run in look.running}
    for running in look.running:
        _take_over_run(ledger, worker, running, times, stop_foreign)
    for key in worker.foreign.keys() - shown:
        del worker.foreign[key]
    dropped = look.complete and _drop_missing(
        ledger, worker, sent_ms, shown | ended, times.now_ms
    )
    return dropped or worker.processed != before


def lose_life(
    ledger: ledgers.Ledger, worker: fleet.Worker, born_ms: int, now_ms: int
) -> None:
    """Note that a worker has started anew and runs nothing of before.

    A start without an answer may still reach the new life, so such a run
    stays until a stop for it has been answered.
    """
    logs.log_event(
        "worker_reborn",
        "WARNING",
        worker=worker.info.id,
        born_ms=born_ms,
        previous_ms=worker.info.born_ms,
    )
    worker.info = worker.info._replace(born_ms=born_ms)
    worker.processed = worker.seen = 0
    worker.lease_until_ms = 0
    worker.foreign.clear()
    for run in ledgers.list_worker(ledger, worker.info.id):
        if run.phase is ledgers.Phase.PLANNED:
            ledgers.remove_run(ledger, run)
        elif run.acked_ms is not None:
            ledgers.requeue_run(ledger, run, now_ms, "worker_reborn")
        else:
            ledgers.lose_start(ledger, run)


def lapse(ledger: ledgers.Ledger, worker: fleet.Worker, now_ms: int) -> bool:
    """Requeue the runs of a silent worker whose lease has lapsed."""
    if not fleet.is_silent(worker, now_ms):
        return False
    if now_ms < fleet.get_lapse_ms(worker):
        return False
    runs = ledgers.list_worker(ledger, worker.info.id)
    for run in runs:
        ledgers.requeue_run(ledger, run, now_ms, "lease_lapsed")
    return bool(runs)


def _take_over_run(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    running: ports.RunningTask,
    times: planning.Times,
    stop_foreign: StopForeign,
) -> None:
    task = taskjobs.parse_task(running.name)
    entry = ledger.jobs.get(task.group.job_id) if task else None
    step = ledgers.get_step(entry, task) if entry and task else None
    if task is None or entry is None or step is None:
        _note_foreign(worker, running, worker.info.capacity, stop_foreign)
        return
    run = ledger.runs.get(task)
    if run is not None and (
        run.number == running.run and run.worker_id == worker.info.id
    ):
        _refresh_run(run, running, times.now_ms)
        return
    over = entry.progress.state in taskprogress.ENDED
    done = task.index in entry.progress.done.get(task.group, ())
    if run is not None or over or done:
        _note_foreign(worker, running, step.need, stop_foreign)
        return
    run = ledgers.Run(task, running.run, worker.info.id, times.now_ms)
    _refresh_run(run, running, times.now_ms)
    ledgers.add_run(ledger, run)
    logs.log_event(
        "task_adopted",
        task=running.name,
        run=running.run,
        worker=worker.info.id,
    )


def _refresh_run(
    run: ledgers.Run, running: ports.RunningTask, now_ms: int
) -> None:
    if run.phase in (ledgers.Phase.PLANNED, ledgers.Phase.STARTING):
        run.phase = ledgers.Phase.RUNNING
    if run.acked_ms is None:
        run.acked_ms = now_ms
    if running.checkpoint != run.checkpoint:
        run.checkpoint = running.checkpoint


def _note_foreign(
    worker: fleet.Worker,
    running: ports.RunningTask,
    need: taskjobs.Resources,
    stop_foreign: StopForeign,
) -> None:
    """Count the room of a run of no use, and have it stopped."""
    key = (running.name, running.run)
    if key not in worker.foreign:
        logs.log_event(
            "foreign_task",
            "WARNING",
            task=running.name,
            run=running.run,
            worker=worker.info.id,
        )
    worker.foreign[key] = need
    stop_foreign(worker, running.name, running.run)


def _drop_missing(
    ledger: ledgers.Ledger,
    worker: fleet.Worker,
    sent_ms: int,
    listed: set[tuple[str, int]],
    now_ms: int,
) -> bool:
    """Requeue runs that the worker no longer has and lists no end of.

    An answer shows a run only if the worker had it before it was asked, and
    rules out a late start only if a stop was answered before.
    """
    dropped = False
    for run in ledgers.list_worker(ledger, worker.info.id):
        if (taskjobs.format_task(run.task), run.number) in listed:
            continue
        if run.phase is ledgers.Phase.LOST:
            known_ms = run.stop_acked_ms
        else:
            known_ms = run.acked_ms
        if known_ms is not None and known_ms < sent_ms:
            ledgers.requeue_run(ledger, run, now_ms, "not_listed")
            dropped = True
    return dropped
