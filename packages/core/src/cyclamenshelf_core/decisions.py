"""Inputs and results of a scheduling decision."""

from typing import NamedTuple

from cyclamenshelf_core import guarantees
from cyclamenshelf_core import model


class RunningJob(NamedTuple):
    """A job with accelerators allocated, from reservation to final release.

    Attributes:
        since_ms: Unix time of the start.
        stopping: Whether the job is being stopped, so that its accelerators
            are released in bounded time.
    """

    job: model.Job
    placement: model.Placement
    since_ms: int
    stopping: bool = False


class Claim(NamedTuple):
    """Workers reserved for a queued job.

    Attributes:
        kind: `reclaim`, `urgent`, `compaction` or `backfill` if the jobs on
            these workers were preempted; `hold` if the job waits for them to
            end.
        since_ms: Unix time of the reservation, for `hold` and `backfill`.
    """

    placement: model.Placement
    kind: str
    since_ms: int = 0


class Snapshot(NamedTuple):
    """All inputs of a scheduling decision.

    Attributes:
        now_ms: Unix time.
        lists: The operators' lists in force.
        workers: Workers that may be assigned new jobs, by id.
        queued: Queued jobs, in order of acceptance.
        running: Jobs with accelerators allocated, by job id.
        usage: Decayed accelerator-seconds by account; None estimates them
            from the running jobs.
        run_time_ratios: Ratio of observed to declared run time by account.
        assignment: The assignment of guarantees in force.
        claims: Workers reserved for queued jobs by earlier decisions, by job
            id.
    """

    now_ms: int
    lists: model.Lists
    workers: dict[str, model.Worker]
    queued: list[model.Job]
    running: dict[str, RunningJob]
    usage: dict[str, float] | None = None
    run_time_ratios: dict[str, float] = {}
    assignment: guarantees.Assignment | None = None
    claims: dict[str, Claim] = {}


class Start(NamedTuple):
    """Start a queued job on these workers."""

    job_id: str
    placement: model.Placement


class Preempt(NamedTuple):
    """Stop a running job in bounded time and queue it again."""

    job_id: str
    reason: str


class Blocked(NamedTuple):
    """Leave a job queued; `reason` is the code of the cause."""

    job_id: str
    reason: str


Decision = Start | Preempt | Blocked


def is_preemptible(job: model.Job) -> bool:
    """Return whether a job can be preempted.

    A job that is not repeatable fails if its attempt is stopped after a part
    has run, so a preemptible job must be repeatable as well as checkpointable.
    """
    return job.spec.checkpointable and job.spec.repeatable


def count_accelerators(shape: model.Shape) -> int:
    """Return the number of accelerators of a whole gang."""
    return shape.parts * shape.accelerators
