"""Tests of the owner's table of runs."""

import hypothesis
from hypothesis import strategies as st
from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import ledger as ledgers

_tasks = st.tuples(st.integers(0, 1), st.integers(0, 1), st.integers(0, 2))


def make_ledger():
    """Return a ledger with a job of two occurrences of two steps."""
    steps = (builders.make_step(3, 2), builders.make_step(3, 1, 500))
    job = builders.make_job("j", *steps, repetitions=2, priority=0)
    ledger = ledgers.Ledger(1)
    progress = taskprogress.Progress("queue", "account")
    ledger.jobs["j"] = ledgers.JobEntry(job, 1, progress, 1)
    return ledger


@hypothesis.given(st.lists(st.tuples(_tasks, st.sampled_from(["w0", "w1"]))))
def test_sums_of_the_runs_equal_a_recount(changes):
    """Used resources and counts follow as runs are added and removed."""
    # A decision on wrong sums would overload a worker or leave it idle.
    ledger = make_ledger()
    for (occurrence, step, index), worker_id in changes:
        task = taskjobs.Task(taskjobs.Group("j", occurrence, step), index)
        if task in ledger.runs:
            ledgers.remove_run(ledger, ledger.runs[task])
        else:
            ledgers.add_run(ledger, ledgers.Run(task, 1, worker_id, 0))
    used, counts, urgent_use = {}, {}, 0
    for run in ledger.runs.values():
        used[run.worker_id] = taskjobs.add(
            used.get(run.worker_id, taskjobs.NO_RESOURCES),
            ledgers.get_need(ledger, run),
        )
        key = ("j", run.task.group.step, run.worker_id)
        counts[key] = counts.get(key, 0) + 1
        urgent_use += ledgers.get_need(ledger, run).accelerators
    assert ledger.used == used
    assert ledger.step_counts == counts
    assert ledger.urgent_demand.in_use["service"] == urgent_use
