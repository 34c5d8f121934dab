"""What workers list in response to the renewal of their leases."""

from testing.core import taskbuilders as builders
from testing.daemon.tasks import fakefleet

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import reports

NOW_MS = 10_000


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
