"""Stops of runs."""

from testing.core import taskbuilders as builders

from cyclamenshelf_core import joblimits
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks.endings import stops

CANCELLED = taskprogress.State.CANCELLED


def make_ledger(tasks, **values):
    """Return a ledger with the planned runs of a job on two workers."""
    ledger = ledgers.Ledger(1)
    job = builders.make_job("j", builders.make_step(tasks, 1, **values))
    ledger.jobs["j"] = ledgers.JobEntry(
        job, 1, taskprogress.Progress("queue", "account"), 1
    )
    group = taskjobs.Group("j", 0, 0)
    runs = [
        ledgers.Run(taskjobs.Task(group, index), 1, f"w{index % 2}", 0)
        for index in range(tasks)
    ]
    for run in runs:
        ledgers.add_run(ledger, run)
    return ledger, runs


def test_widest_planned_gang_is_withdrawn_with_one_of_its_members():
    # Each member withdrew the next one, which ended the owner by a
    # RecursionError.
    ledger, runs = make_ledger(joblimits._MAX_GANG_TASKS, gang=True)
    stops.stop_run(ledger, runs[0], "room")
    assert not ledger.runs
    assert not ledger.stops


def test_stops_of_a_job_that_ends_are_logged_once_a_worker(monkeypatch):
    # 10,000 lines delayed the first stop of a cancelled job, and displaced the
    # lines of other jobs.
    ledger, runs = make_ledger(60)
    for run in runs[:50]:
        run.phase = ledgers.Phase.RUNNING
    lines = []
    # A thread that an earlier test has left may log with a level.
    monkeypatch.setattr(
        logs,
        "log_event",
        lambda event, *level, **fields: lines.append((event, fields)),
    )
    stops.end_job(ledger, ledger.jobs["j"], CANCELLED, 1, "by its caller")
    assert ledger.stops == runs[:50]
    assert list(ledger.runs.values()) == runs[:50]
    lines = [fields for event, fields in lines if event == "job_tasks_stopping"]
    assert [(line["worker"], line["tasks"]) for line in lines] == [
        ("w0", 25),
        ("w1", 25),
    ]
