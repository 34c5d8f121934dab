"""What a decision depends on and what it says."""

from typing import NamedTuple

from cyclamenshelf_core import guarantees
from cyclamenshelf_core import model


class Running(NamedTuple):
    """A job that holds accelerators, from reservation to the last release.

    Attributes:
        since_ms: Unix time of the start.
        stopping: Whether its accelerators are free in bounded time.
    """

    job: model.Job
    placement: model.Placement
    since_ms: int
    stopping: bool = False


class Claim(NamedTuple):
    """Workers that a queued job waits for.

    Attributes:
        kind: `reclaim`, `urgent`, `compaction` or `backfill` when the jobs in
            the way were preempted; `hold` when it waits for them to end.
        since_ms: Unix time of the reservation, for `hold` and `backfill`.
    """

    placement: model.Placement
    kind: str
    since_ms: int = 0


class Snapshot(NamedTuple):
    """Everything that a decision depends on.

    Attributes:
        now_ms: Unix time.
        lists: The operators' lists in force.
        workers: Workers that may be given new work, by id.
        queued: Jobs that wait, in order of acceptance.
        running: Jobs that hold accelerators, by job id.
        usage: Decayed accelerator-seconds by account; None takes what the
            running jobs show.
        ratios: Observed by declared run time, by account.
        assignment: The assignment of guarantees in force.
        claims: Workers promised to queued jobs by earlier decisions.
    """

    now_ms: int
    lists: model.Lists
    workers: dict[str, model.Worker]
    queued: list[model.Job]
    running: dict[str, Running]
    usage: dict[str, float] | None = None
    ratios: dict[str, float] = {}
    assignment: guarantees.Assignment | None = None
    claims: dict[str, Claim] = {}


class Start(NamedTuple):
    """Start a job on these workers."""

    job_id: str
    placement: model.Placement


class Preempt(NamedTuple):
    """Stop a job in bounded time; it is queued again."""

    job_id: str
    reason: str


class Blocked(NamedTuple):
    """A job waits; `reason` says for what."""

    job_id: str
    reason: str


Decision = Start | Preempt | Blocked


def is_stoppable(job: model.Job) -> bool:
    """Return whether a job can be preempted.

    A job that may not be repeated fails when its attempt is stopped after
    a part ran, so only repeatable jobs count, checkpointable or not.
    """
    return job.spec.checkpointable and job.spec.repeatable


def count_accelerators(shape: model.Shape) -> int:
    """Return the accelerators of a whole gang."""
    return shape.parts * shape.accelerators
