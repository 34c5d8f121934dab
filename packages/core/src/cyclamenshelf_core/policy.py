"""Decisions of a cell owner: which job starts where, and which is stopped."""

from typing import NamedTuple

from cyclamenshelf_core import guarantees
from cyclamenshelf_core import model


class Running(NamedTuple):
    """A job that holds accelerators, from reservation to the last release."""

    job: model.Job
    placement: model.Placement
    since_ms: int


class Snapshot(NamedTuple):
    """Everything that a decision depends on.

    Attributes:
        now_ms: Unix time.
        lists: The operators' lists in force.
        workers: Workers that may be given new work, by id.
        queued: Jobs that wait, in order of acceptance.
        running: Jobs that hold accelerators, by job id.
    """

    now_ms: int
    lists: model.Lists
    workers: dict[str, model.Worker]
    queued: list[model.Job]
    running: dict[str, Running]


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


def decide(snapshot: Snapshot) -> list[Decision]:
    """Return what to do now: first come, first served, first fit."""
    free = compute_free(snapshot)
    decisions: list[Decision] = []
    for job in snapshot.queued:
        placement = _find_first_fit(job.spec.shape, snapshot.workers, free)
        if placement is None:
            decisions.append(Blocked(job.id, "no_capacity"))
            continue
        for part in placement:
            free[part.worker_id] -= part.accelerators
        decisions.append(Start(job.id, placement))
    return decisions


def compute_free(snapshot: Snapshot) -> dict[str, int]:
    """Return the accelerators that no job holds, by worker id."""
    free = {
        worker.id: worker.accelerators for worker in snapshot.workers.values()
    }
    for running in snapshot.running.values():
        for part in running.placement:
            if part.worker_id in free:
                free[part.worker_id] -= part.accelerators
    return free


def _find_first_fit(
    shape: model.Shape, workers: dict[str, model.Worker], free: dict[str, int]
) -> model.Placement | None:
    groups: dict[tuple[str, ...], list[str]] = {}
    for worker in workers.values():
        groups.setdefault(
            guarantees.get_group(worker, shape.within), []
        ).append(worker.id)
    for members in groups.values():
        placement: list[model.PartPlacement] = []
        for worker_id in members:
            fits = free[worker_id] // shape.accelerators
            wanted = shape.parts - len(placement)
            placement += [
                model.PartPlacement(worker_id, shape.accelerators)
            ] * min(fits, wanted)
        if len(placement) == shape.parts:
            return tuple(placement)
    return None
