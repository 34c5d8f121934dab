"""Progress of a job made of steps, and its encoding as a row."""

import enum
import json
from typing import Any

from cyclamenshelf_core import jsontexts
from cyclamenshelf_core import taskjobs


class State(enum.StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED = frozenset({State.COMPLETED, State.FAILED, State.CANCELLED})


class Progress:
    """Progress of a job.

    Attributes:
        queue: Queue of the job.
        account: Client account of the job.
        timed: Whether the occurrences start at scheduled times.
        state: State of the job.
        done: Indexes of the tasks that have succeeded, by group.
        failed_runs: Numbers of the failed runs, by task; those of a gang
            under its task 0. The run numbers are stored instead of a count,
            so that an end that a worker reports again after a failover is
            not counted twice.
        lost_runs: Numbers of the runs whose worker was lost and may have
            crashed because of them; by task as in `failed_runs`.
        checkpoints: Latest checkpoint by task; that of a gang under its
            task 0.
        workers: Workers that may run tasks of the job. A worker is stored
            here before it is sent a task, so that the next owner knows which
            workers to poll before it starts the task elsewhere.
        assigned_runs: Numbers of the runs that these workers may run, by
            worker and task, so that the next owner knows which tasks a
            worker was lost with.
        ended_ms: Unix time at which the job ended; 0 while it has not.
        page_tasks: Number of tasks on each page of its stored progress; 0 if
            all of it is in one row.
    """

    def __init__(self, queue: str, account: str, timed: bool = False) -> None:
        self.queue = queue
        self.account = account
        self.timed = timed
        self.state = State.QUEUED
        self.done: dict[taskjobs.Group, set[int]] = {}
        self.failed_runs: dict[taskjobs.Task, set[int]] = {}
        self.lost_runs: dict[taskjobs.Task, set[int]] = {}
        self.checkpoints: dict[taskjobs.Task, str] = {}
        self.workers: set[str] = set()
        self.assigned_runs: dict[str, dict[taskjobs.Task, int]] = {}
        self.ended_ms = 0
        self.page_tasks = 0


def is_group_done(
    progress: Progress, group: taskjobs.Group, tasks: int
) -> bool:
    """Return whether all tasks of a group have succeeded."""
    return len(progress.done.get(group, ())) >= tasks


def is_job_done(progress: Progress, job: taskjobs.TaskJob) -> bool:
    """Return whether all tasks of all occurrences have succeeded."""
    occurrences = taskjobs.count_occurrences(job)
    if len(progress.done) < occurrences * len(job.steps):
        return False
    return all(
        is_group_done(
            progress,
            taskjobs.Group(job.id, occurrence, step_number),
            step.tasks,
        )
        for occurrence in range(occurrences)
        for step_number, step in enumerate(job.steps)
    )


def get_representative(
    job: taskjobs.TaskJob, task: taskjobs.Task
) -> taskjobs.Task:
    """Return the task under which failures and checkpoints are recorded.

    The members of a gang share the records of its task 0.
    """
    gang = job.steps[task.group.step].gang
    return task._replace(index=0) if gang else task


def has_unfinished_predecessors(
    progress: Progress, job: taskjobs.TaskJob, group: taskjobs.Group
) -> bool:
    """Return whether a step that the group depends on is not done."""
    return any(
        not is_group_done(
            progress,
            group._replace(step=step_number),
            job.steps[step_number].tasks,
        )
        for step_number in job.steps[group.step].after
    )


def encode_progress(progress: Progress) -> bytes:
    """Return the row value of a job's progress."""
    head = {
        "queue": progress.queue,
        "account": progress.account,
        "timed": progress.timed,
        "state": progress.state,
        "ended_ms": progress.ended_ms,
        "workers": sorted(progress.workers),
    }
    if progress.page_tasks:
        head["page_tasks"] = progress.page_tasks
    return _dump(head | _make_records(progress))


def encode_records(progress: Progress) -> bytes | None:
    """Return the records of tasks as a row value; None if there are none."""
    records = _make_records(progress)
    return _dump(records) if any(records.values()) else None


def _dump(row: dict[str, Any]) -> bytes:
    return json.dumps(row, separators=(",", ":")).encode()


def _make_records(progress: Progress) -> dict[str, dict[str, Any]]:
    return {
        "done": {
            f"{group.occurrence}.{group.step}": sorted(indexes)
            for group, indexes in progress.done.items()
        },
        "failed_runs": _encode_run_sets(progress.failed_runs),
        "lost_runs": _encode_run_sets(progress.lost_runs),
        "assigned_runs": {
            worker_id: {
                _format_task_key(task): number for task, number in runs.items()
            }
            for worker_id, runs in progress.assigned_runs.items()
        },
        "checkpoints": {
            _format_task_key(task): text
            for task, text in progress.checkpoints.items()
        },
    }


def decode_progress(job_id: str, value: bytes) -> Progress:
    """Return the progress that is encoded in a row value."""
    row: dict[str, Any] = jsontexts.decode(value)
    progress = Progress(row["queue"], row["account"], row["timed"])
    progress.state = State(row["state"])
    progress.ended_ms = row["ended_ms"]
    progress.workers = set(row["workers"])
    progress.page_tasks = row.get("page_tasks", 0)
    _add_records(progress, job_id, row)
    return progress


def add_records(progress: Progress, job_id: str, value: bytes) -> None:
    """Add the records of tasks that are encoded in a row value."""
    _add_records(progress, job_id, jsontexts.decode(value))


def _add_records(progress: Progress, job_id: str, row: dict[str, Any]) -> None:
    for name, indexes in row["done"].items():
        occurrence, step = map(int, name.split("."))
        group = taskjobs.Group(job_id, occurrence, step)
        progress.done.setdefault(group, set()).update(indexes)
    progress.failed_runs |= _decode_run_sets(job_id, row["failed_runs"])
    # Rows of earlier versions lack the following two fields.
    progress.lost_runs |= _decode_run_sets(job_id, row.get("lost_runs", {}))
    for worker_id, runs in row.get("assigned_runs", {}).items():
        progress.workers.add(worker_id)
        assigned = progress.assigned_runs.setdefault(worker_id, {})
        for name, number in runs.items():
            assigned[_parse_task_key(job_id, name)] = number
    for name, text in row["checkpoints"].items():
        progress.checkpoints[_parse_task_key(job_id, name)] = text


def _encode_run_sets(
    runs_by_task: dict[taskjobs.Task, set[int]],
) -> dict[str, list[int]]:
    return {
        _format_task_key(task): sorted(runs)
        for task, runs in runs_by_task.items()
    }


def _decode_run_sets(
    job_id: str, value: dict[str, list[int]]
) -> dict[taskjobs.Task, set[int]]:
    return {
        _parse_task_key(job_id, name): set(runs) for name, runs in value.items()
    }


def _format_task_key(task: taskjobs.Task) -> str:
    return f"{task.group.occurrence}.{task.group.step}.{task.index}"


def _parse_task_key(job_id: str, name: str) -> taskjobs.Task:
    occurrence, step, index = map(int, name.split("."))
    return taskjobs.Task(taskjobs.Group(job_id, occurrence, step), index)
