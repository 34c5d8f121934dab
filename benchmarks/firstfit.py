"""First-come, first-served, first-fit policy.

This was the first policy of the project, in commit ae5d83b.
"""

from cyclamenshelf_core import guarantees
from cyclamenshelf_core import model
from cyclamenshelf_core import policy


def decide(snapshot: policy.Snapshot) -> list[policy.Decision]:
    """Return a start on the first fit, or a block, for each queued job.

    A shape that did not fit is not searched again in the same call. This
    shortens a replay and changes no decision.
    """
    free = policy.compute_free_accelerators(snapshot)
    decisions: list[policy.Decision] = []
    unplaceable: set[model.Shape] = set()
    for job in snapshot.queued:
        shape = job.spec.shape
        placement = None
        if shape not in unplaceable:
            placement = _find_first_fit(shape, snapshot.workers, free)
        if placement is None:
            unplaceable.add(shape)
            decisions.append(policy.Blocked(job.id, "no_capacity"))
            continue
        for part in placement:
            free[part.worker_id] -= part.accelerators
        decisions.append(policy.Start(job.id, placement))
    return decisions


def _find_first_fit(
    shape: model.Shape, workers: dict[str, model.Worker], free: dict[str, int]
) -> model.Placement | None:
    groups: dict[tuple[str, ...], list[str]] = {}
    for worker in workers.values():
        groups.setdefault(
            guarantees.get_group(worker, shape.within), []
        ).append(worker.id)
    for worker_ids in groups.values():
        placement: list[model.PartPlacement] = []
        for worker_id in worker_ids:
            fitting = free[worker_id] // shape.accelerators
            missing = shape.parts - len(placement)
            placement += [
                model.PartPlacement(worker_id, shape.accelerators)
            ] * min(fitting, missing)
        if len(placement) == shape.parts:
            return tuple(placement)
    return None
