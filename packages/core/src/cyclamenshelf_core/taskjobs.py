"""Jobs made of steps of tasks, and their encoding as rows.

A job has steps; a step has tasks of one size; a step may wait for earlier
steps. A job with repetitions runs all its steps once for each occurrence.
"""

import json
from typing import Any
from typing import NamedTuple


class Resources(NamedTuple):
    """What a task needs, or a worker has."""

    cpu_millis: int
    memory_mb: int
    accelerators: int


NOTHING = Resources(0, 0, 0)
# Tasks that need nothing fit this often.
_ANY_COUNT = 1_000


class Step(NamedTuple):
    """Tasks of one kind.

    Attributes:
        tasks: How many tasks the step has.
        need: What each task needs.
        expected_run_ms: The caller's estimate of one task; a hint.
        after: Numbers of the steps that must have ended first.
        checkpointable: Whether a stopped task can go on where it was.
        gang: Whether the tasks work only all together.
        same_rack: Whether the tasks are slow on more than one rack.
        label: Label that the worker must have; empty for none.
        data_rack: Rack of the data, on which the task is fast; or empty.
        max_per_worker: Tasks of the step that a worker may run; 0 for any.
        speculative: Whether two copies of a task may run at once.
        long_running: Whether the tasks run until the job is cancelled.
        fills: Whether the tasks only use what others leave; they slow down
            tasks beside them that serve users.
        tail_target_ms: Tail latency that tasks which serve users of their
            own must stay below; 0 for other tasks.
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


class TaskJob(NamedTuple):
    """A job as accepted.

    Attributes:
        id: Id that the caller chose.
        queue: Name of the queue it was handed in to.
        account: Client account of the caller; empty on a public queue.
        service: Service whose workers run it.
        payload: What each task is given, opaque to the scheduler.
        priority: 0 is served first and may preempt the others.
        max_attempts: Failed runs of a task after which the job has failed.
        slowdown_factor: Objective as a multiple of the longest chain.
        target_latency_ms: What the objective allows on top.
        repetitions: Occurrences at given times; 0 for one at once.
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
    """Return the sum of two amounts."""
    return Resources(
        left.cpu_millis + right.cpu_millis,
        left.memory_mb + right.memory_mb,
        left.accelerators + right.accelerators,
    )


def subtract(left: Resources, right: Resources) -> Resources:
    """Return what is left of an amount."""
    return Resources(
        left.cpu_millis - right.cpu_millis,
        left.memory_mb - right.memory_mb,
        left.accelerators - right.accelerators,
    )


def count_fitting(free: Resources, need: Resources) -> int:
    """Return how many tasks of a size fit into an amount."""
    # Written out, as most of a decision on a large fleet is spent here.
    count = _ANY_COUNT
    if need.accelerators > 0:
        count = free.accelerators // need.accelerators
    if need.cpu_millis > 0 and count > 0:
        count = min(count, free.cpu_millis // need.cpu_millis)
    if need.memory_mb > 0 and count > 0:
        count = min(count, free.memory_mb // need.memory_mb)
    return max(0, count)


def count_occurrences(job: TaskJob) -> int:
    """Return how often the steps of a job run."""
    return max(1, job.repetitions)


def get_due_ms(job: TaskJob, occurrence: int) -> int:
    """Return the Unix time from which an occurrence may start."""
    if job.repetitions == 0:
        return job.accepted_ms
    return job.start_at_ms + occurrence * job.interval_ms


def estimate_chain_ms(job: TaskJob) -> int:
    """Return the longest chain of estimated run times of one occurrence."""
    ends: list[int] = []
    for step in job.steps:
        start = max((ends[i] for i in step.after if i < len(ends)), default=0)
        ends.append(start + step.expected_run_ms)
    return max(ends, default=0)


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
    """Return the job of a row value."""
    row: dict[str, Any] = json.loads(value)
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
    """Return the name that workers know a task by."""
    return f"{format_group(task.group)}.{task.index}"


def format_group(group: Group) -> str:
    """Return the name that the platform knows a step of an occurrence by."""
    return f"{group.job_id}.{group.occurrence}.{group.step}"


def parse_task(name: str) -> Task | None:
    """Return the task of a name, or None if it is no task's name."""
    parts = name.rsplit(".", 3)
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    occurrence, step, index = map(int, parts[1:])
    return Task(Group(parts[0], occurrence, step), index)
