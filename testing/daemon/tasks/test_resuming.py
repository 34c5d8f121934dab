"""The checkpoint with which a task is started again, however its run ended."""

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import reports
from cyclamenshelf_daemon.tasks import runends

GROUP = taskjobs.Group("j", 0, 0)
TIMES = planning.Times(10_000, 10_000)


def make_worker(worker_id, started_ms=1):
    info = ports.WorkerInfo(
        worker_id,
        started_ms,
        "",
        "service",
        "r0",
        frozenset(),
        builders.CAPACITY,
        None,
    )
    return fleet.Worker(info, max_lease_ms=6_000)


@pytest.fixture
def ledger():
    """Return a ledger with a running gang of two members."""
    step = builders.make_step(2, 8, gang=True, checkpointable=True)
    ledger = ledgers.Ledger(1)
    ledger.jobs["j"] = ledgers.JobEntry(
        builders.make_job("j", step),
        1,
        taskprogress.Progress("queue", "account"),
        1,
    )
    for index in range(2):
        task = taskjobs.Task(GROUP, index)
        run = ledgers.Run(task, 7, f"w{index}", TIMES.now_ms - 4_000)
        run.phase = ledgers.Phase.RUNNING
        ledgers.add_run(ledger, run)
    return ledger


def report(ledger, worker, running="", ended=None):
    """Apply the list of a worker on which one member runs or has ended."""
    index = int(worker.info.id[1:])
    name = taskjobs.format_task(taskjobs.Task(GROUP, index))
    response = ports.RenewalResponse(
        worker.info.started_ms,
        TIMES.now_ms,
        (ports.RunningTask(name, 7, running),) if running else (),
        (ports.EndedTask(1, name, 7, *ended),) if ended else (),
        complete=True,
    )
    reports.apply_response(
        ledger, worker, TIMES.now_ms, response, TIMES, lambda *run: None
    )


def end_broken(ledger, worker):
    report(ledger, worker, ended=(ports.EndKind.BROKEN, "03"))


def end_lapsed(ledger, worker):
    report(ledger, worker, ended=(ports.EndKind.LAPSED, ""))


def lose_worker(ledger, worker):
    later = planning.Times(TIMES.now_ms + 60_000, TIMES.wall_ms + 60_000)
    assert reports.requeue_expired(ledger, worker, [worker], later)


def restart_worker(ledger, worker):
    reports.record_restart(ledger, worker, [worker], 2, TIMES)


@pytest.mark.parametrize(
    "end", [end_broken, end_lapsed, lose_worker, restart_worker]
)
def test_restart_carries_the_newest_listed_checkpoint(ledger, end):
    # The end of a run may carry an earlier checkpoint than its list, or none.
    workers = [make_worker("w0"), make_worker("w1")]
    report(ledger, workers[1], running="05")
    report(ledger, workers[0], running="04")
    entry = ledger.jobs["j"]
    entry.dirty = False
    end(ledger, workers[1])
    assert entry.progress.checkpoints == {taskjobs.Task(GROUP, 0): "05"}
    # A new owner would start from an earlier one if it was not stored.
    assert entry.dirty


def test_older_checkpoint_of_another_member_does_not_replace_a_newer_one(
    ledger,
):
    workers = [make_worker("w0"), make_worker("w1")]
    report(ledger, workers[1], running="05")
    lose_worker(ledger, workers[1])
    report(ledger, workers[0], ended=(ports.EndKind.STOPPED, "04"))
    entry = ledger.jobs["j"]
    assert entry.progress.checkpoints == {taskjobs.Task(GROUP, 0): "05"}


def test_resumed_run_is_expected_to_end_earlier(ledger):
    # A gang was stopped a moment before its end, as its earlier work did not
    # count.
    report(ledger, make_worker("w0"), ended=(ports.EndKind.STOPPED, "05"))
    entry = ledger.jobs["j"]
    (run,) = ledger.runs.values()
    runends.requeue_run(ledger, run, TIMES.now_ms, "test")
    resumed = ledgers.Run(taskjobs.Task(GROUP, 0), 8, "w0", TIMES.now_ms)
    resumed.resumed_ms = entry.saved_work_ms[resumed.task]
    ledgers.add_run(ledger, resumed)
    (held,) = planning.list_allocations(ledger, conftest.LISTS, TIMES.now_ms)
    assert held.expected_left_ms == 1_000
