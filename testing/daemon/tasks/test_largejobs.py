"""Jobs whose progress is larger than a row of the store can be."""

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ownerjobs
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import writer

COMPLETED = taskprogress.State.COMPLETED
TASKS = 4_000


def make_small_tasks(count, **values):
    """Return a step of tasks that all fit the two workers."""
    return builders.make_step(count, 0, 5, **values)._replace(
        need=taskjobs.Resources(5, 10, 0)
    )


def list_pages(cell, job_id):
    return [
        key.key
        for key in cell.fake_store.rows
        if key.table == jobstates.PROGRESS_TABLE and key.key.startswith(job_id)
    ]


def read_all(cell, job_id):
    """Return the progress on all pages of a job."""
    progress = cell.read(job_id)
    for name in list_pages(cell, job_id):
        if "." in name:
            value = cell.fake_store.value(jobstates.PROGRESS_TABLE, name)
            taskprogress.add_records(progress, job_id, value)
    return progress


@pytest.fixture
def cell(cell):
    """A cell whose workers list their many tasks less often."""
    for worker in cell.workers:
        worker.poll_s = 0.2
    return cell


@pytest.fixture
def large_job(cell):
    """A job of 4,000 tasks that run."""
    cell.start_owner()
    job_id = cell.submit(make_small_tasks(TASKS))
    cell.wait_for_runs(job_id, TASKS)
    return job_id


def test_large_job_does_not_stop_the_scheduling_of_others(cell, large_job):
    # Its progress row exceeded what the store accepts, and no task of any job
    # was started any more.
    other = cell.submit(builders.make_step(1))
    cell.wait_for_runs(other, 1)
    cell.end_all(other)
    cell.wait_for_state(other, COMPLETED)
    cell.end_all(large_job)
    cell.wait_for_state(large_job, COMPLETED)
    conftest.wait_until(
        lambda: not any(worker.ended for worker in cell.workers),
        "all ends are acknowledged",
    )
    assert len(cell.list_runs(large_job)) == TASKS


def test_large_job_is_kept_over_a_takeover(cell, large_job):
    # Each task runs once, whichever page says that it has ended or runs.
    for worker in cell.workers:
        for name in list(worker.running)[::2]:
            worker.end(name)
    cell.tenures[-1].ended.set()
    cell.start_owner()
    owner = cell.owners[-1]
    conftest.wait_until(
        lambda: not owner.unconfirmed_workers and owner.ledger.jobs,
        "the workers have listed their tasks",
    )
    cell.end_all(large_job)
    cell.wait_for_state(large_job, COMPLETED)
    assert len(cell.list_runs(large_job)) == TASKS
    done = read_all(cell, large_job).done
    assert len(done[taskjobs.Group(large_job, 0, 0)]) == TASKS


def test_change_of_one_task_writes_its_page_only(cell, large_job):
    conftest.wait_until(
        lambda: not cell.owners[0].ledger.jobs[large_job].dirty, "all is stored"
    )
    cell.fake_store.commits.clear()
    name = f"{large_job}.0.0.{TASKS - 1}"
    next(w for w in cell.workers if name in w.running).end(name)
    group = taskjobs.Group(large_job, 0, 0)
    conftest.wait_until(
        lambda: TASKS - 1 in read_all(cell, large_job).done.get(group, ()),
        "the end is stored",
    )
    pages = {
        key
        for transaction in cell.fake_store.commits
        for key in transaction.puts
        if key.table == jobstates.PROGRESS_TABLE
    }
    assert len(pages) == 2


def test_end_of_a_run_that_is_not_known_is_acknowledged(cell, large_job):
    # It changes no page, and held all later ends of its worker.
    worker = cell.workers[0]
    names = sorted(worker.running)
    with worker.lock:
        worker._end(names[0], ports.EndKind.DONE)
        worker.ended_count += 1
        worker.ended.append(
            ports.EndedTask(
                worker.ended_count, names[-1], 1, ports.EndKind.STOPPED, ""
            )
        )
    conftest.wait_until(lambda: not worker.ended, "both are acknowledged")


def test_all_pages_of_an_old_large_job_are_removed(cell, large_job):
    assert len(list_pages(cell, large_job)) > 10
    cell.end_all(large_job)
    cell.wait_for_state(large_job, COMPLETED)
    owner = cell.owners[0]
    owner.ledger.jobs[large_job].progress.ended_ms = 1
    conftest.wait_until(
        lambda: not list_pages(cell, large_job), "all pages are removed"
    )
    # The owner learns of it by the store's answer, after the rows are gone.
    conftest.wait_until(
        lambda: large_job not in owner.ledger.jobs, "the owner drops the job"
    )


def test_gang_on_several_pages_starts_as_a_whole(cell, monkeypatch):
    # A member that waits for the others too long ends as `alone`.
    monkeypatch.setattr(writer, "MAX_ROWS", 3)
    started_at_commit = []
    job_id = cell.submit(make_small_tasks(300, gang=True))

    def count_started(transaction):
        if any(key.key.startswith(f"{job_id}.") for key in transaction.puts):
            started_at_commit.append(len(cell.list_runs(job_id)))

    cell.fake_store.before_commit = count_started
    cell.start_owner()
    cell.wait_for_runs(job_id, 300)
    assert len(started_at_commit) > 1
    assert not any(started_at_commit)
    assert len({number for _, number, _ in cell.list_runs(job_id)}) == 1
    worker = cell.find_worker(job_id)
    worker.end(next(name for name in worker.running if job_id in name))
    cell.wait_for_state(job_id, COMPLETED)


def test_gang_that_is_done_stays_done_over_a_takeover():
    # Only the page of task 0 says so for certain.
    job = builders.make_job("j1", make_small_tasks(300, gang=True))
    progress = taskprogress.Progress("queue", "account")
    progress.done[taskjobs.Group("j1", 0, 0)] = {0}
    entry = ledgers.JobEntry(job, 1, progress, 1)
    ownerjobs._complete_gangs(entry)
    assert taskprogress.is_job_done(progress, job)


def test_checkpoint_without_room_is_not_kept(cell):
    # A row would grow with what workers send.
    cell.start_owner()
    step = make_small_tasks(1, checkpointable=True)
    job_id = cell.submit(step)
    cell.wait_for_runs(job_id, 1)
    cell.end_all(job_id, ports.EndKind.STOPPED, checkpoint="7" * 70_000)
    cell.wait_for_runs(job_id, 2)
    assert cell.list_runs(job_id)[1][2] == ""
    cell.end_all(job_id, ports.EndKind.STOPPED, checkpoint="8" * 16)
    cell.wait_for_runs(job_id, 3)
    assert cell.list_runs(job_id)[2][2] == "8" * 16


def test_progress_in_one_row_of_an_earlier_version_is_divided(cell):
    # What stayed in the old row would contradict the later pages.
    job_id = cell.submit(make_small_tasks(500))
    progress = taskprogress.Progress("queue", "account")
    progress.state = taskprogress.State.RUNNING
    group = taskjobs.Group(job_id, 0, 0)
    progress.done[group] = set(range(0, 500, 2))
    cell.fake_store.put(
        jobstates.PROGRESS_TABLE,
        job_id,
        taskprogress.encode_progress(progress),
    )
    cell.start_owner()
    cell.wait_for_runs(job_id, 250)
    conftest.wait_until(lambda: cell.read(job_id).page_tasks, "it is divided")
    cell.end_all(job_id)
    cell.wait_for_state(job_id, COMPLETED)
    assert len(cell.list_runs(job_id)) == 250
    page_tasks = cell.read(job_id).page_tasks
    assert cell.read(job_id).done[group] == set(range(page_tasks))


def test_cancelled_large_job_does_not_hold_the_starts_of_others(
    cell, large_job
):
    # Starts waited behind thousands of stops, and stops that waited for their
    # turn were sent again.
    for worker in cell.workers:
        worker.stop_s = 0.02

    def count_stops():
        return sum(worker.stop_count for worker in cell.workers)

    cell.cancel(large_job)
    conftest.wait_until(lambda: count_stops() > 100, "it is being stopped")
    other = cell.submit(builders.make_step(1))
    cell.wait_for_runs(other, 1)
    assert count_stops() < TASKS // 2
    ledger = cell.owners[0].ledger
    conftest.wait_until(
        lambda: not ledger.by_job.get(large_job), "all are stopped"
    )
    assert count_stops() == TASKS
