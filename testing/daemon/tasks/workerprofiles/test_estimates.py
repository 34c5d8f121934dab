"""Tests of the run times that the planner expects."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.workerprofiles import estimates
from cyclamenshelf_daemon.tasks.workerprofiles import samples

NOW_MS = 100_000
GROUP = taskjobs.Group("j", 0, 0)


def make_worker(worker_id, rack="r0"):
    return fleet.Worker(
        ports.WorkerInfo(
            worker_id, 1, "", "service", rack, frozenset(), builders.CAPACITY, 0
        ),
        max_lease_ms=6_000,
    )


def make_ledger(step):
    """Return a ledger with all tasks of a step running, one on each worker."""
    ledger = ledgers.Ledger(1)
    ledger.jobs["j"] = ledgers.JobEntry(
        builders.make_job("j", step), 1, taskprogress.Progress("q", "a"), 1
    )
    for index in range(step.tasks):
        run = ledgers.Run(
            taskjobs.Task(GROUP, index), 1, f"w{index}", NOW_MS - 1_000
        )
        ledgers.add_run(ledger, run)
    return ledger


def report(ledger, index, *percents):
    """Report the progress of a task, one second apart."""
    run = ledger.runs[taskjobs.Task(GROUP, index)]
    for second, percent in enumerate(percents):
        samples.record_report(
            ledger,
            make_worker(run.worker_id),
            run,
            NOW_MS + 1_000 * second,
            percent,
        )


def estimate_remaining(ledger, index, now_ms):
    return estimates.estimate_remaining_ms(
        ledger, taskjobs.Task(GROUP, index), now_ms
    )


def test_gang_ends_with_its_slowest_member():
    # A member that waits at 100% would seem to release its worker at once.
    ledger = make_ledger(builders.make_step(2, gang=True))
    report(ledger, 0, 0, 50, 100)
    report(ledger, 1, 0, 10, 20)
    assert estimate_remaining(ledger, 0, NOW_MS + 2_000) == 8_000


@pytest.mark.parametrize(
    ("elapsed_ms", "expected"), [(2_000, 3_000), (20_000, 5_000)]
)
def test_run_without_progress_is_expected_to_last_as_declared(
    elapsed_ms, expected
):
    ledger = make_ledger(builders.make_step(1))
    now_ms = NOW_MS - 1_000 + elapsed_ms
    assert estimate_remaining(ledger, 0, now_ms) == expected


def test_slack_counts_what_a_step_really_takes():
    # By a declared tenth of its run time the job seemed late at once.
    ledger = make_ledger(builders.make_step(2, run_ms=500))
    report(ledger, 0, 0, 20, 40)
    job = ledger.jobs["j"].job
    learned = estimates.apply_learned_run_times(ledger, job)
    assert learned.steps[0].expected_run_ms == pytest.approx(5_000, abs=1)
    assert estimates.compute_slack_ms(
        learned, GROUP, job.accepted_ms
    ) > estimates.compute_slack_ms(job, GROUP, job.accepted_ms)


def test_task_off_the_rack_of_its_data_teaches_nothing():
    ledger = make_ledger(builders.make_step(2, data_rack="far"))
    report(ledger, 0, 0, 20, 40)
    assert not ledger.speeds.groups
    assert not ledger.run_times.by_job
