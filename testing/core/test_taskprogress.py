"""Tests of the progress of jobs: rows, step dependencies, gangs."""

from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress

GROUP = taskjobs.Group("j1", 0, 0)


def test_progress_round_trips_through_its_row():
    progress = taskprogress.Progress("queue", "account", timed=True)
    progress.state = taskprogress.State.RUNNING
    progress.done[GROUP] = {0, 2}
    progress.failed_runs[taskjobs.Task(GROUP, 1)] = {1_000_001, 2_000_004}
    progress.checkpoints[taskjobs.Task(GROUP, 3)] = "00ff"
    found = taskprogress.decode_progress(
        "j1", taskprogress.encode_progress(progress)
    )
    assert vars(found) == vars(progress)


def test_step_waits_for_all_tasks_of_its_predecessors():
    job = builders.make_job(
        "j1", builders.make_step(2), builders.make_step(after=(0,))
    )
    progress = taskprogress.Progress("queue", "account")
    second = GROUP._replace(step=1)
    progress.done[GROUP] = {0}
    assert taskprogress.has_unfinished_predecessors(progress, job, second)
    progress.done[GROUP] = {0, 1}
    assert not taskprogress.has_unfinished_predecessors(progress, job, second)


def test_job_is_done_after_its_last_occurrence():
    job = builders.make_job("j1", builders.make_step(1), repetitions=2)
    progress = taskprogress.Progress("queue", "account")
    progress.done[GROUP] = {0}
    assert not taskprogress.is_job_done(progress, job)
    progress.done[GROUP._replace(occurrence=1)] = {0}
    assert taskprogress.is_job_done(progress, job)


def test_members_of_a_gang_share_failures_and_checkpoints():
    job = builders.make_job("j1", builders.make_step(4, gang=True))
    task = taskjobs.Task(GROUP, 3)
    assert taskprogress.get_representative(job, task) == taskjobs.Task(GROUP, 0)
