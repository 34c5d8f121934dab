"""Publication of the backlog by the owner."""

import time

import pytest
from testing.core import taskbuilders
from testing.daemon.tasks import conftest

from cyclamenshelf_core import taskprogress
from cyclamenshelf_core.overload import backlog as backlogs
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks.admission import knownbacklog
from cyclamenshelf_daemon.tasks.admission import ownerbacklog
from cyclamenshelf_daemon.tasks.admission import publishing

# Accelerators of both workers.
ACCELERATORS = 16
HOUR_MS = 3_600_000


def flood(cell, tasks=200):
    """Submit more work than the fleet does in an hour."""
    return cell.submit(
        taskbuilders.make_step(tasks, 1, run_ms=HOUR_MS),
        target_latency_ms=HOUR_MS,
    )


def read_backlog(cell):
    row = cell.fake_store.rows.get(knownbacklog.BACKLOG_KEY)
    return row and backlogs.decode(row.value)


def wait_for_backlog(cell):
    conftest.wait_until(lambda: read_backlog(cell), "a backlog")
    return read_backlog(cell).services["service"]


def list_writes(cell):
    return [
        transaction
        for transaction in cell.fake_store.commits
        if knownbacklog.BACKLOG_KEY in transaction.puts
    ]


def test_flood_is_published_with_what_runs_and_what_waits(cell):
    cell.start_owner()
    flood(cell)
    service = wait_for_backlog(cell)
    assert service.capacity.accelerators == ACCELERATORS
    (queued,) = service.queued
    assert [entry[:2] for entry in service.accounts] == [(1, "account")]
    running = service.running[1].accelerators
    total = running + queued.work.accelerators
    assert total == pytest.approx(200 * HOUR_MS, rel=0.01)


def test_backlog_says_how_much_of_its_guarantee_an_account_uses(cell):
    cell.start_owner()
    covered = cell.submit(taskbuilders.make_step(2, 3), priority=0)
    beyond = cell.submit(taskbuilders.make_step(9, 1), priority=0)
    cell.wait_for_runs(covered, 2)
    cell.wait_for_runs(beyond, 1)
    flood(cell)
    assert wait_for_backlog(cell).guarantee_use == {"account": 6}


def test_flood_is_published_at_most_once_a_second(cell):
    cell.start_owner()
    flood(cell)
    wait_for_backlog(cell)
    published = len(list_writes(cell))
    time.sleep(1.5)
    assert 1 <= len(list_writes(cell)) - published <= 2


def test_work_that_fits_or_can_never_run_is_not_published(cell):
    cell.start_owner()
    fitting = cell.submit(taskbuilders.make_step(8, 1, run_ms=HOUR_MS))
    cell.submit(taskbuilders.make_step(500, 99, run_ms=HOUR_MS))
    cell.wait_for_runs(fitting, 8)
    (owner,) = cell.owners
    times = ownerstate.read_times(owner)
    assert not ownerbacklog.summarise(owner, times).services
    assert read_backlog(cell) is None


def test_results_of_no_use_any_more_are_no_backlog(cell):
    cell.start_owner()
    job_id = cell.submit(
        taskbuilders.make_step(200, 1, run_ms=60_000),
        priority=2,
        target_latency_ms=1,
    )
    cell.wait_for_runs(job_id, 1)
    (owner,) = cell.owners
    times = ownerstate.read_times(owner)
    assert ownerbacklog.summarise(owner, times).services
    late = times._replace(wall_ms=times.wall_ms + HOUR_MS)
    assert not ownerbacklog.summarise(owner, late).services


def test_next_owner_publishes_and_the_earlier_one_no_longer_does(cell):
    cell.start_owner()
    flood(cell)
    wait_for_backlog(cell)
    cell.start_owner()
    first, second = cell.owners
    written = cell.fake_store.rows[knownbacklog.BACKLOG_KEY].version
    conftest.wait_until(
        lambda: second.publisher.version > written, "a backlog of the next one"
    )
    version = cell.fake_store.rows[knownbacklog.BACKLOG_KEY].version
    context = publishing.PublisherContext(
        first.publisher, cell.fake_store.store, first.tenure
    )
    publishing.write(context, backlogs.Backlog(0, {}))
    assert read_backlog(cell).services
    assert cell.fake_store.rows[knownbacklog.BACKLOG_KEY].version >= version


def test_backlog_is_written_again_after_a_write_without_answer(cell):
    cell.start_owner()
    job_id = flood(cell)
    wait_for_backlog(cell)
    (owner,) = cell.owners
    # As if the answer to the last write had been lost.
    owner.publisher.version = 0
    written = len(list_writes(cell))
    conftest.wait_until(
        lambda: len(list_writes(cell)) > written, "another backlog"
    )
    assert cell.read(job_id).state is taskprogress.State.RUNNING
