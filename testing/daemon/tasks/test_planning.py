"""Tests of the planner's input built from the owner's ledger."""

from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import planning

NOW_MS = 100_000


def add_running_job(ledger, job_id, worker_id, since_ms, **values):
    """Add a job whose single task runs on a worker since a given time."""
    step = builders.make_step(1, 8, **values)
    job = builders.make_job(job_id, step, priority=2)
    progress = taskprogress.Progress("queue", "account")
    ledger.jobs[job_id] = ledgers.JobEntry(job, 1, progress, 1)
    task = taskjobs.Task(taskjobs.Group(job_id, 0, 0), 0)
    ledgers.add_run(ledger, ledgers.Run(task, 1, worker_id, since_ms))


def test_checkpointable_run_is_preempted_before_a_younger_run():
    # A checkpointable task keeps its work when stopped, however long it ran,
    # so its elapsed time must not count as lost work.
    ledger = ledgers.Ledger(1)
    add_running_job(ledger, "old", "w00", NOW_MS - 5_000, checkpointable=True)
    add_running_job(ledger, "young", "w10", NOW_MS - 500)
    urgent = builders.make_job("urgent", builders.make_step(1, 8), priority=0)
    capacities = builders.make_workers(
        2, 1, w00=taskjobs.NO_RESOURCES, w10=taskjobs.NO_RESOURCES
    )
    decision = taskplan.plan(
        [builders.make_waiting_group(urgent)],
        planning.list_allocations(ledger, conftest.LISTS, NOW_MS),
        capacities,
        {},
    )
    assert [stop.task.group.job_id for stop in decision.stops] == ["old"]
