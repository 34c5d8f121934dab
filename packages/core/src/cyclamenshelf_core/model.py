"""Data types of the scheduling logic."""

import enum
from typing import Any
from typing import NamedTuple


class Within(enum.StrEnum):
    """The unit within which all parts of a gang must run."""

    RACK = "rack"
    DATA_CENTRE = "data_centre"
    CELL = "cell"


class Urgency(enum.StrEnum):
    """The urgency class of a job, in order of scheduling priority."""

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
    """A gang of `parts` tasks of `accelerators` each, `within` one unit."""

    parts: int
    accelerators: int
    within: Within


class JobSpec(NamedTuple):
    """The job as the caller requested it.

    Attributes:
        shape: The requested accelerators, as a gang.
        urgency: The urgency class of the job.
        deadline_ms: Unix time by which the job should end, or None.
        expected_run_ms: The caller's estimate of the run time; only a hint.
        repeatable: Whether the job can safely run more than once.
        checkpointable: Whether the job can be stopped and run again later.
        payload: Data for the worker, opaque to the scheduler.
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
    """Key of one stored part of an answer, with its size and SHA-256."""

    key: str
    size_bytes: int
    sha256: str


class Job(NamedTuple):
    """A job as stored in its row.

    Attributes:
        attempt: Number of the last committed attempt; 0 before the first.
        placement: Workers of the last committed attempt.
        run: `errors.Run` value that states whether any part may have run.
        manifest: The parts of the answer, in order, once the job succeeded.
        history: One line per failed attempt, oldest first.
        failed_workers: The worker of each attempt that failed on a worker.
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
    """Capacity that an account can always reclaim.

    It consists of `accelerators` on each of `workers` workers.
    """

    workers: int
    accelerators: int
    within: Within


class Plan(NamedTuple):
    """Limits and guarantees of each account on a plan.

    Attributes:
        weight: Share of contended capacity relative to other accounts.
        max_queued_jobs: Maximum number of queued jobs per account.
        max_accelerators: Maximum number of accelerators that an account may
            be allocated at once.
        request_rate_per_s: Maximum rate of short requests per account.
        guarantees: Capacity that each account can always reclaim.
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
    """The validated content of the operators' two lists.

    Attributes:
        version: Version of the stored configuration; 0 before the first.
    """

    version: int
    accounts: dict[str, Account]
    plans: dict[str, Plan]


def get_plan(lists: Lists, account: str) -> Plan:
    """Return the plan of a listed account."""
    return lists.plans[lists.accounts[account].plan]
