"""Data that the decisions work on."""

import enum
from typing import Any
from typing import NamedTuple


class Within(enum.StrEnum):
    """How close together the parts of a gang run."""

    RACK = "rack"
    DATA_CENTRE = "data_centre"
    CELL = "cell"


class Urgency(enum.StrEnum):
    """The class of a job; the order of the members is the order of service."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


class JobState(enum.StrEnum):
    """The state of a job as stored in its row."""

    QUEUED = "queued"
    STARTED = "started"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    REJECTED = "rejected"


ENDED_STATES = frozenset(
    {
        JobState.SUCCEEDED,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.REJECTED,
    }
)


class Shape(NamedTuple):
    """A gang: `parts` tasks of `accelerators` each, close together."""

    parts: int
    accelerators: int
    within: Within


class JobSpec(NamedTuple):
    """What a caller asks for.

    Attributes:
        shape: The accelerators, as a gang.
        urgency: The class of the job.
        deadline_ms: Unix time by which the job is to end, or None.
        expected_run_ms: The caller's estimate of the run time; a hint.
        repeatable: Whether a second run does no harm.
        checkpointable: Whether the job can be stopped and run again later.
        payload: What the worker is given, opaque to the scheduler.
    """

    shape: Shape
    urgency: Urgency
    deadline_ms: int | None
    expected_run_ms: int
    repeatable: bool
    checkpointable: bool
    payload: Any


class PartPlacement(NamedTuple):
    """The worker that one part of a gang runs on."""

    worker_id: str
    accelerators: int


Placement = tuple[PartPlacement, ...]


class AnswerPart(NamedTuple):
    """Where one part of an answer is kept, with its size and SHA-256."""

    key: str
    size_bytes: int
    sha256: str


class Job(NamedTuple):
    """A job as stored in its row.

    Attributes:
        attempt: Number of the last committed attempt; 0 before the first.
        placement: Workers of the last committed attempt.
        run: `errors.Run` value: whether any part may have run.
        manifest: The parts of the answer, in order, once succeeded.
        history: One line per failed attempt, oldest first.
        failed_workers: For each attempt that failed on a worker, that worker.
    """

    id: str
    account: str
    cell: str
    digest: str
    spec: JobSpec
    state: JobState
    accepted_ms: int
    attempt: int = 0
    placement: Placement = ()
    started_ms: int | None = None
    ended_ms: int | None = None
    run: str = "not_run"
    reason: str = ""
    manifest: tuple[AnswerPart, ...] = ()
    history: tuple[str, ...] = ()
    failed_workers: tuple[str, ...] = ()


class Worker(NamedTuple):
    """A worker as the host list describes it."""

    id: str
    address: str
    data_centre: str
    rack: str
    accelerators: int


class Guarantee(NamedTuple):
    """`workers` whole or part workers that an account can always reclaim."""

    workers: int
    accelerators: int
    within: Within


class Plan(NamedTuple):
    """What each account on a plan may use.

    Attributes:
        weight: Share of contended capacity relative to other accounts.
        max_queued_jobs: Jobs an account may have waiting.
        max_accelerators: Accelerators an account may hold at once.
        request_rate_per_s: Short requests an account may send a second.
        guarantees: Shapes that each account can always reclaim.
    """

    name: str
    weight: int
    max_queued_jobs: int
    max_accelerators: int
    request_rate_per_s: int
    guarantees: tuple[Guarantee, ...]


class Account(NamedTuple):
    """A client account with the hashes of its bearer tokens."""

    name: str
    plan: str
    token_sha256: tuple[str, ...]


class Lists(NamedTuple):
    """The operators' two lists, checked.

    Attributes:
        version: Version of the stored configuration; 0 before the first.
    """

    version: int
    accounts: dict[str, Account]
    plans: dict[str, Plan]


def get_plan(lists: Lists, account: str) -> Plan:
    """Return the plan of a listed account."""
    return lists.plans[lists.accounts[account].plan]
