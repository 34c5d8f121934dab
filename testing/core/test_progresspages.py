"""Tests of the division of a job's progress into pages."""

import json

import hypothesis
from hypothesis import strategies
import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import progresspages
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress

MAX_ROW_BYTES = progresspages.DEFAULT_MAX_ROW_BYTES


def make_job(*counts, **values):
    steps = [builders.make_step(count) for count in counts]
    return builders.make_job("j1", *steps, **values)


def list_all_tasks(layout):
    pages = range(progresspages.count_pages(layout))
    return [
        task
        for page in pages
        for task in progresspages.list_tasks(layout, page)
    ]


@hypothesis.given(
    strategies.lists(strategies.integers(1, 300), min_size=1, max_size=4),
    strategies.integers(0, 4),
    strategies.integers(1, 200),
)
def test_each_task_is_on_one_page(counts, repetitions, page_tasks):
    job = make_job(*counts, repetitions=repetitions)
    layout = progresspages.make_layout(job, MAX_ROW_BYTES, page_tasks)
    tasks = list_all_tasks(layout)
    assert len(tasks) == len(set(tasks)) == layout.tasks
    for page in range(progresspages.count_pages(layout)):
        for task in progresspages.list_tasks(layout, page):
            assert progresspages.get_page(layout, task) == page


def fill_page(job, layout, page):
    """Return progress in which a page's records are as large as they get."""
    progress = taskprogress.Progress(job.queue, job.account)
    assigned = {}
    room = layout.max_checkpoint_bytes
    for number, task in enumerate(progresspages.list_tasks(layout, page)):
        progress.done.setdefault(task.group, set()).add(task.index)
        runs = {999_999_000_000 + run for run in range(job.max_attempts)}
        progress.failed_runs[task] = runs
        progress.lost_runs[task] = {999_999_000_000 + run for run in range(4)}
        progress.checkpoints[task] = "c" * (room - 2)
        assigned[f"{number:0200}"] = {task: 999_999_999_999}
    return progress, assigned


@pytest.mark.parametrize("max_row_bytes", [8_192, MAX_ROW_BYTES])
@pytest.mark.parametrize("max_attempts", [1, 4, 100])
@pytest.mark.parametrize(
    "job",
    [
        make_job(1),
        make_job(100),
        make_job(4_000),
        make_job(9_999, 1),
        make_job(1, repetitions=10_000),
    ],
    ids=lambda job: f"{len(job.steps)}_steps_{job.repetitions}_repetitions",
)
def test_largest_records_of_a_page_fit_a_row(job, max_attempts, max_row_bytes):
    # The row of a job of 4,000 tasks was larger than the store accepts.
    job = job._replace(max_attempts=max_attempts)
    layout = progresspages.make_layout(job, max_row_bytes)
    for page in (0, progresspages.count_pages(layout) - 1):
        progress, assigned = fill_page(job, layout, page)
        value = progresspages.encode_page(progress, layout, page, assigned)
        assert len(value) <= max_row_bytes
    assert progresspages.fits_checkpoint(layout, "0" * 16)


def test_pages_restore_the_progress_of_a_job():
    job = make_job(50, 250)
    layout = progresspages.make_layout(job, MAX_ROW_BYTES, page_tasks=70)
    progress = taskprogress.Progress("queue", "account")
    progress.state = taskprogress.State.RUNNING
    progress.page_tasks = 70
    for task in list_all_tasks(layout)[::3]:
        progress.done.setdefault(task.group, set()).add(task.index)
    for number, task in enumerate(list_all_tasks(layout)[1::3]):
        progress.failed_runs[task] = {number}
        progress.lost_runs[task] = {number, number + 1}
        progress.checkpoints[task] = f"{number}"
    values = [
        progresspages.encode_page(
            progress,
            layout,
            page,
            {f"w{page}": {next(progresspages.list_tasks(layout, page)): 7}},
        )
        for page in range(progresspages.count_pages(layout))
    ]
    found = taskprogress.decode_progress("j1", values[0])
    for value in values[1:]:
        taskprogress.add_records(found, "j1", value)
    assert found.workers == {f"w{page}" for page in range(5)}
    assert len(found.assigned_runs) == 5
    found.workers, found.assigned_runs = set(), {}
    assert vars(found) == vars(progress)


def test_small_job_is_stored_as_by_earlier_versions():
    # A host of the version before would lose what is on further pages.
    layout = progresspages.make_layout(make_job(16), MAX_ROW_BYTES)
    progress = taskprogress.Progress("queue", "account")
    progress.done[taskjobs.Group("j1", 0, 0)] = {3}
    value = progresspages.encode_page(progress, layout, 0, {})
    assert value == taskprogress.encode_progress(progress)
    assert "page_tasks" not in json.loads(value)


def test_page_without_records_has_no_row():
    layout = progresspages.make_layout(make_job(500), MAX_ROW_BYTES)
    progress = taskprogress.Progress("queue", "account")
    assert progresspages.encode_page(progress, layout, 1, {}) is None
