"""What workers list in response to the renewal of their leases."""

from testing.core import taskbuilders as builders
from testing.daemon.tasks import fakefleet

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import reports
from cyclamenshelf_daemon.tasks import runends

NOW_MS = 10_000


def test_ends_of_an_ended_job_are_logged_once_with_their_delay(monkeypatch):
    # Tasks that ran on long after a cancellation were not seen in the log.
    ledger = ledgers.Ledger(1)
    progress = taskprogress.Progress("queue", "account")
    progress.state = taskprogress.State.CANCELLED
    progress.ended_ms = NOW_MS - 4_000
    job = builders.make_job("j", builders.make_step(3, 1))
    ledger.jobs["j"] = ledgers.JobEntry(job, 1, progress, 1)
    worker = fleet.Worker(fakefleet.FakeWorker("w0").info, 6_000)
    ends = [
        ports.EndedTask(n, f"j.0.0.{n}", 7, ports.EndKind.STOPPED, "")
        for n in (1, 2)
    ]
    lines = []
    monkeypatch.setattr(
        logs,
        "log_event",
        lambda event, *level, **fields: lines.append((event, fields)),
    )
    runends.apply_ends(ledger, worker, ends, NOW_MS, NOW_MS)
    ((event, fields),) = [line for line in lines if "ended" in line[0]]
    assert (event, fields["job"]) == ("job_tasks_ended", "j")
    assert (fields["tasks"], fields["age_ms"]) == (2, 4_000)


def test_other_spelling_of_a_name_does_not_replace_the_run_of_its_task():
    # The run was replaced in the ledger, and its room was reserved for good.
    ledger = ledgers.Ledger(1)
    job = builders.make_job("j", builders.make_step(1, 1))
    ledger.jobs["j"] = ledgers.JobEntry(
        job, 1, taskprogress.Progress("queue", "account"), 1
    )
    run = ledgers.Run(
        taskjobs.Task(taskjobs.Group("j", 0, 0), 0), 7, "w0", NOW_MS
    )
    run.phase, run.acked_ms = ledgers.Phase.RUNNING, NOW_MS
    ledgers.add_run(ledger, run)
    used = dict(ledger.used)
    stopped = []
    reports.apply_response(
        ledger,
        fleet.Worker(fakefleet.FakeWorker("w0").info, 6_000),
        NOW_MS,
        ports.RenewalResponse(
            1,
            NOW_MS,
            (ports.RunningTask("j.00.0.0", 7, ""),),
            (),
            complete=True,
        ),
        planning.Times(NOW_MS, NOW_MS),
        lambda worker, runs: stopped.extend(runs),
    )
    assert ledger.runs == {run.task: run}
    assert ledger.used == used
    assert stopped == [("j.00.0.0", 7)]
