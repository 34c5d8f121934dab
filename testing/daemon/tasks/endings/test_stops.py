"""Stops of runs."""

from testing.core import taskbuilders as builders

from cyclamenshelf_core import joblimits
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks.endings import stops


def test_widest_planned_gang_is_withdrawn_with_one_of_its_members():
    # Each member withdrew the next one, which ended the owner by a
    # RecursionError.
    tasks = joblimits._MAX_GANG_TASKS
    ledger = ledgers.Ledger(1)
    job = builders.make_job("j", builders.make_step(tasks, 1, gang=True))
    ledger.jobs["j"] = ledgers.JobEntry(
        job, 1, taskprogress.Progress("queue", "account"), 1
    )
    runs = [
        ledgers.Run(taskjobs.Task(taskjobs.Group("j", 0, 0), index), 1, "w0", 0)
        for index in range(tasks)
    ]
    for run in runs:
        ledgers.add_run(ledger, run)
    stops.stop_run(ledger, runs[0], "room")
    assert not ledger.runs
    assert not ledger.stops
