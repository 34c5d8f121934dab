"""Jobs made of steps of tasks, and their encoding as rows.

A job has steps, and a step has tasks of the same size. A step may depend on
earlier steps. A job with repetitions runs all its steps once for each
occurrence.
"""

import json
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import jsontexts


class Resources(NamedTuple):
    """Resources that a task needs or a worker has."""

    cpu_millis: int
    memory_mb: int
    accelerators: int


NO_RESOURCES = Resources(0, 0, 0)
# The count of `count_fitting` for tasks that need no resources.
_UNLIMITED_COUNT = 1_000


class Step(NamedTuple):
    """A step of a job: a number of tasks of the same size.

    Attributes:
        tasks: Number of tasks.
        need: Resources that each task needs.
        expected_run_ms: The caller's estimate of a task's run time; a hint.
        after: Numbers of the steps that must have completed before.
        checkpointable: Whether a stopped task can resume its work.
        gang: Whether the tasks only work if all of them run together.
        same_rack: Whether the tasks are slow on more than one rack.
        label: Label that the worker must have; empty for none.
        data_rack: Rack on which the tasks run fast, as their data is there;
            empty for none.
        max_per_worker: Maximum number of the step's tasks on one worker; 0
            for no limit.
        speculative: Whether two copies of a task may run at once.
        long_running: Whether the tasks run until the job is cancelled.
        fills: Whether the tasks are best-effort: they only use capacity that
            other tasks leave, and slow down latency-sensitive tasks on the
            same worker.
        tail_target_ms: Tail latency that latency-sensitive tasks, which serve
            users of their own, must stay below; 0 for other tasks.
        max_unavailable: Number of tasks of a long-running step that may be
            unavailable at once because the scheduler moves them.
        image: What the tasks run; tasks of the same image behave alike. Empty
            if not known.
    """

    tasks: int
    need: Resources
    expected_run_ms: int
    after: tuple[int, ...] = ()
    checkpointable: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False
    tail_target_ms: int = 0
    max_unavailable: int = 0
    image: str = ""


class TaskJob(NamedTuple):
    """An accepted job.

    Attributes:
        id: Id that the caller chose.
        queue: Name of the queue to which it was submitted.
        account: Client account of the caller; empty on a public queue.
        service: Service whose workers run the job.
        payload: Input of each task, opaque to the scheduler.
        priority: Priority 0 is scheduled first and may preempt the others.
        max_attempts: Failed runs of a task after which the job has failed.
        slowdown_factor: Multiple of the critical path that the latency
            objective allows.
        target_latency_ms: Time that the objective allows in addition.
        repetitions: Number of scheduled occurrences; 0 for a single one that
            is due at once.
        start_at_ms: Unix time at which occurrence 0 is due.
        interval_ms: Time between two occurrences.
        accepted_ms: Unix time of acceptance.
    """

    id: str
    queue: str
    account: str
    service: str
    payload: str
    steps: tuple[Step, ...]
    priority: int
    max_attempts: int
    slowdown_factor: float
    target_latency_ms: int
    repetitions: int
    start_at_ms: int
    interval_ms: int
    accepted_ms: int


class Group(NamedTuple):
    """One step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class Task(NamedTuple):
    """One task of a group."""

    group: Group
    index: int


def add(left: Resources, right: Resources) -> Resources:
    """Return the sum of two amounts of resources."""
    return Resources(
        left.cpu_millis + right.cpu_millis,
        left.memory_mb + right.memory_mb,
        left.accelerators + right.accelerators,
    )


def subtract(left: Resources, right: Resources) -> Resources:
    """Return the difference of two amounts of resources."""
    return Resources(
        left.cpu_millis - right.cpu_millis,
        left.memory_mb - right.memory_mb,
        left.accelerators - right.accelerators,
    )


def count_fitting(free: Resources, need: Resources) -> int:
    """Return how many tasks with the same need fit into free resources."""
    # Not a loop over the fields, because a decision on a large fleet spends
    # most of its time here.
    count = _UNLIMITED_COUNT
    if need.accelerators > 0:
        count = free.accelerators // need.accelerators
    if need.cpu_millis > 0 and count > 0:
        count = min(count, free.cpu_millis // need.cpu_millis)
    if need.memory_mb > 0 and count > 0:
        count = min(count, free.memory_mb // need.memory_mb)
    return max(0, count)


def count_occurrences(job: TaskJob) -> int:
    """Return how many times the steps of a job run."""
    return max(1, job.repetitions)


def get_due_ms(job: TaskJob, occurrence: int) -> int:
    """Return the Unix time from which an occurrence may start."""
    if job.repetitions == 0:
        return job.accepted_ms
    return job.start_at_ms + occurrence * job.interval_ms


def estimate_critical_path_ms(job: TaskJob) -> int:
    """Return the estimated run time of an occurrence's critical path."""
    end_times_ms: list[int] = []
    for step in job.steps:
        start_ms = max(
            (end_times_ms[i] for i in step.after if i < len(end_times_ms)),
            default=0,
        )
        end_times_ms.append(start_ms + step.expected_run_ms)
    return max(end_times_ms, default=0)


def encode_job(job: TaskJob) -> bytes:
    """Return the row value of a job."""
    steps = []
    for step in job.steps:
        row = step._asdict()
        row["need"] = list(step.need)
        steps.append(
            {
                name: value
                for name, value in row.items()
                if value != Step._field_defaults.get(name)
            }
        )
    return json.dumps(
        job._asdict() | {"steps": steps}, separators=(",", ":")
    ).encode()


def decode_job(value: bytes) -> TaskJob:
    """Return the job that is encoded in a row value."""
    row: dict[str, Any] = jsontexts.decode(value)
    steps = tuple(
        Step(
            **step
            | {
                "need": Resources(*step["need"]),
                "after": tuple(step.get("after", ())),
            }
        )
        for step in row["steps"]
    )
    return TaskJob(**row | {"steps": steps})


def format_task(task: Task) -> str:
    """Return the name of a task in requests to workers."""
    return f"{format_group(task.group)}.{task.index}"


def format_group(group: Group) -> str:
    """Return the name of a group in requests to the platform."""
    return f"{group.job_id}.{group.occurrence}.{group.step}"


def parse_task(name: str) -> Task | None:
    """Return the task with a name, or None if it is not a task name."""
    parts = name.rsplit(".", 3)
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    occurrence, step, index = map(int, parts[1:])
    return Task(Group(parts[0], occurrence, step), index)
