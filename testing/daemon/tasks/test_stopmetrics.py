"""Tests of the metrics of stopped tasks."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core.overload import stopdecision
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import stopmetrics
from cyclamenshelf_daemon.tasks.overload import deferrals

GROUP = taskjobs.Group("urgent", 0, 0)
START = planstate.Start(GROUP, ((0, "w00"),))


@pytest.fixture
def ledger():
    """Return the ledger with the job for which tasks are stopped."""
    ledger = ledgers.Ledger(1)
    ledger.jobs["urgent"] = ledgers.JobEntry(
        builders.make_job("urgent", priority=0),
        1,
        taskprogress.Progress("queue", "account"),
        1,
    )
    return ledger


def record_plans(ledger, *plans):
    """Record plans that are 200 ms apart; return the metrics as text."""
    registry = metrics.Metrics()
    low = builders.make_job("low", builders.make_step(1, 2), priority=2)
    held = [builders.make_allocation(low, "w00", lost_work_ms=500)]
    for number, plan in enumerate(plans):
        now_ms = 1_000 + 200 * number
        stopmetrics.record_plan(registry, ledger, plan, held, now_ms)
        planning.record_preempting_groups(ledger, plan, now_ms)
        deferrals.record_deferring_groups(ledger, plan, now_ms)
    return metrics.format_metrics(registry).splitlines()


def make_plan(starts=(), stops=0, blocked=()):
    task = taskjobs.Task(taskjobs.Group("low", 0, 0), 0)
    return taskplan.Plan(
        list(starts), [planstate.Stop(task, GROUP)] * stops, list(blocked)
    )


def test_stops_are_counted_with_the_work_that_they_lose(ledger):
    # Operators weigh what preemption costs; a core and two accelerators of
    # eight cores each lose half a second.
    lines = record_plans(ledger, make_plan(stops=1))
    assert "cyclamenshelf_preempted_tasks_total 1" in lines
    assert "cyclamenshelf_preempted_core_ms_total 8500" in lines


def test_wait_lasts_from_the_first_stop_to_the_whole_start(ledger):
    lines = record_plans(
        ledger,
        make_plan(stops=1, blocked=[GROUP]),
        make_plan(stops=1, starts=[START], blocked=[GROUP]),
        make_plan(starts=[START]),
        make_plan(starts=[START]),
    )
    assert "cyclamenshelf_preemption_wait_ms_count 1" in lines
    assert "cyclamenshelf_preemption_wait_ms_sum 400" in lines


def test_deferred_stops_are_counted_once_and_timed(ledger):
    # Operators see how long callers wait so that others lose no work.
    wait = planstate.Wait(GROUP, stopdecision.Choice.IN_TIME, 250)
    deferred = make_plan(blocked=[GROUP])._replace(waits=[wait])
    lines = record_plans(ledger, deferred, deferred, make_plan(starts=[START]))
    assert 'cyclamenshelf_stops_deferred_total{choice="in_time"} 1' in lines
    assert "cyclamenshelf_stop_deferral_ms_sum 400" in lines


def test_deferral_ends_with_a_stop(ledger):
    wait = planstate.Wait(GROUP, stopdecision.Choice.CHEAPER, None)
    lines = record_plans(
        ledger,
        make_plan(blocked=[GROUP])._replace(waits=[wait]),
        make_plan(stops=1, blocked=[GROUP]),
        make_plan(starts=[START]),
    )
    assert "cyclamenshelf_stop_deferral_ms_sum 200" in lines
