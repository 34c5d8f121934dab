"""Tests of the limits of starts that are sent at a time."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import startqueue


def make_ledger(steps, pending=0):
    """Return a ledger with a job for each step, and starts on their way."""
    ledger = ledgers.Ledger(1)
    for number, step in enumerate([builders.make_step(1_000), *steps]):
        job = builders.make_job(f"j{number}", step)
        ledger.jobs[job.id] = ledgers.JobEntry(
            job, 1, taskprogress.Progress("queue", "account"), 1
        )
    for index in range(pending):
        task = taskjobs.Task(taskjobs.Group("j0", 0, 0), index)
        ledgers.add_run(ledger, ledgers.Run(task, 1, "w0", 0))
    return ledger


def make_start(number, tasks):
    placements = tuple((index, "w0") for index in range(tasks))
    group = taskjobs.Group(f"j{number}", 0, 0)
    return planstate.Start(group, placements)


@pytest.mark.parametrize(
    ("counts", "pending", "sent"),
    [
        ([2, 3], 0, [2, 3]),
        ([256, 256, 256, 2], 0, [170, 170, 170, 2]),
        ([256, 2], 500, [10, 2]),
        ([2, 2], 512, []),
        ([2, 2], 511, [1]),
        ([1] * 600, 0, [1] * 512),
        ([256] * 10 + [2], 402, [11] * 8 + [10, 10, 2]),
    ],
)
def test_large_steps_leave_room_for_the_starts_of_others(counts, pending, sent):
    # Ten large jobs together kept others waiting as one did.
    ledger = make_ledger([builders.make_step(n) for n in counts], pending)
    starts = [make_start(n, count) for n, count in enumerate(counts, 1)]
    limited = startqueue.limit_starts(ledger, starts)
    assert [len(start.placements) for start in limited] == sent


def test_step_with_many_starts_on_their_way_waits_for_the_others():
    steps = [builders.make_step(1_000)] * 2
    ledger = make_ledger(steps, pending=300)
    starts = [make_start(0, 200), make_start(1, 200), make_start(2, 200)]
    limited = startqueue.limit_starts(ledger, starts)
    counts = {s.group.job_id: len(s.placements) for s in limited}
    assert counts == {"j1": 106, "j2": 106}


def test_gang_is_sent_as_a_whole():
    # A part of it would wait for the others and end as `alone`.
    ledger = make_ledger([builders.make_step(1_000, gang=True)] * 2, 400)
    starts = [make_start(1, 1_000), make_start(2, 1_000)]
    assert startqueue.limit_starts(ledger, starts) == starts[:1]
