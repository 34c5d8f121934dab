"""Progress of a large job, split into pages that each fit a row.

The tasks of all occurrences of a job are numbered in order, and a page holds
the records of a fixed number of them. Page 0 also holds what concerns the whole
job; it is the only page of a job with few tasks. A change of a task affects its
own page, so the bytes that are written follow the change and not the job.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import json
from typing import NamedTuple

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress

DEFAULT_MAX_ROW_BYTES = 65_536
# Page 0 without the records of its tasks: state, queue and account.
_HEAD_BYTES = 2_048
# Records of a task at their largest, without its failed runs and its
# checkpoint: a worker's id of 200 bytes twice, keys of up to 20 bytes in five
# tables, and the most lost runs.
_TASK_BYTES = 600
# Digits of a run number, with a separator.
_RUN_BYTES = 14
# Checkpoints of up to this size are kept whatever the number of tasks.
_CHECKPOINT_BYTES = 96

Assignments = dict[str, dict[taskjobs.Task, int]]


class PageLayout(NamedTuple):
    """How the tasks of a job are divided into pages.

    Attributes:
        page_tasks: Number of tasks on a page.
        offsets: Number of the first task of each step in an occurrence.
        occurrence_tasks: Number of tasks of an occurrence.
        tasks: Number of tasks of all occurrences.
        max_checkpoint_bytes: Size of the largest checkpoint for which a page
            has room, encoded as JSON.
    """

    job_id: str
    page_tasks: int
    offsets: tuple[int, ...]
    occurrence_tasks: int
    tasks: int
    max_checkpoint_bytes: int


def make_layout(
    job: taskjobs.TaskJob, max_row_bytes: int, page_tasks: int = 0
) -> PageLayout:
    """Return the layout of a job.

    Args:
        job: The job.
        max_row_bytes: Size of the largest row.
        page_tasks: Number of tasks on a page as it is stored with the job; 0
            to choose it such that each page fits a row.
    """
    ends = tuple(itertools.accumulate(step.tasks for step in job.steps))
    tasks = ends[-1] * taskjobs.count_occurrences(job)
    room = max_row_bytes - _HEAD_BYTES
    task_bytes = _TASK_BYTES + _RUN_BYTES * job.max_attempts
    if page_tasks == 0:
        page_tasks = max(1, room // (task_bytes + _CHECKPOINT_BYTES))
    checkpoint_bytes = room // min(page_tasks, max(1, tasks)) - task_bytes
    return PageLayout(
        job.id, page_tasks, (0, *ends[:-1]), ends[-1], tasks, checkpoint_bytes
    )


def count_pages(layout: PageLayout) -> int:
    """Return the number of pages of a job."""
    return max(1, -(-layout.tasks // layout.page_tasks))


def get_page(layout: PageLayout, task: taskjobs.Task) -> int:
    """Return the page of a task."""
    group = task.group
    first = group.occurrence * layout.occurrence_tasks
    number = first + layout.offsets[group.step] + task.index
    return number // layout.page_tasks


def list_tasks(layout: PageLayout, page: int) -> Iterator[taskjobs.Task]:
    """Yield the tasks of a page in order."""
    first = page * layout.page_tasks
    last = min(layout.tasks, first + layout.page_tasks)
    for number in range(first, last):
        occurrence, rest = divmod(number, layout.occurrence_tasks)
        step = bisect.bisect_right(layout.offsets, rest) - 1
        group = taskjobs.Group(layout.job_id, occurrence, step)
        yield taskjobs.Task(group, rest - layout.offsets[step])


def fits_checkpoint(layout: PageLayout, checkpoint: str) -> bool:
    """Return whether a checkpoint is small enough to be kept."""
    return len(json.dumps(checkpoint)) <= layout.max_checkpoint_bytes


def encode_page(
    progress: taskprogress.Progress,
    layout: PageLayout,
    page: int,
    assigned_runs: Assignments,
    other_workers: Iterable[str] = (),
) -> bytes | None:
    """Return the row value of a page; None for a page without records.

    Args:
        progress: Progress of the job.
        layout: Its layout.
        page: Number of the page.
        assigned_runs: See `Progress`; only those of the page.
        other_workers: Workers that may run tasks of the job, and of which no
            page has runs.
    """
    part = taskprogress.Progress(
        progress.queue, progress.account, progress.timed
    )
    part.state, part.ended_ms = progress.state, progress.ended_ms
    part.assigned_runs = assigned_runs
    for task in list_tasks(layout, page):
        _copy_records(progress, part, task)
    if page > 0:
        return taskprogress.encode_records(part)
    part.workers = {*assigned_runs, *other_workers}
    if count_pages(layout) > 1:
        part.page_tasks = layout.page_tasks
    return taskprogress.encode_progress(part)


def _copy_records(
    progress: taskprogress.Progress,
    part: taskprogress.Progress,
    task: taskjobs.Task,
) -> None:
    if task.index in progress.done.get(task.group, ()):
        part.done.setdefault(task.group, set()).add(task.index)
    if failed := progress.failed_runs.get(task):
        part.failed_runs[task] = failed
    if lost := progress.lost_runs.get(task):
        part.lost_runs[task] = lost
    if checkpoint := progress.checkpoints.get(task):
        part.checkpoints[task] = checkpoint


def list_recorded_pages(
    progress: taskprogress.Progress, layout: PageLayout
) -> set[int]:
    """Return the pages of all tasks with records in a job's progress."""
    tasks: set[taskjobs.Task] = {
        *progress.failed_runs,
        *progress.lost_runs,
        *progress.checkpoints,
    }
    for runs in progress.assigned_runs.values():
        tasks.update(runs)
    for group, indexes in progress.done.items():
        tasks.update(taskjobs.Task(group, index) for index in indexes)
    return {get_page(layout, task) for task in tasks}
