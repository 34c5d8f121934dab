"""The order of workers by speed in which the tasks of a group are placed.

Ranks are those of `speeds`: the lower, the faster. A gang runs at the pace of
its slowest member, so faster workers than that one are wasted on it.
"""

import collections

from cyclamenshelf_core.workerprofiles import speeds


def order_ranks(
    slots_by_rank: dict[int, int], tasks: int, gang: bool, urgent: bool
) -> list[int]:
    """Return the ranks in the order in which to use their workers.

    Args:
        slots_by_rank: Number of tasks that fit on the workers of a rank.
        tasks: Number of tasks to place.
        gang: Whether the tasks run together, at the pace of the slowest.
        urgent: Whether the tasks must end soon; others leave fast workers to
            those.
    """
    if not gang:
        return sorted(slots_by_rank, reverse=not urgent)
    slowest = _choose_slowest(slots_by_rank, tasks, urgent)
    return sorted(slots_by_rank, key=lambda rank: (rank > slowest, -rank))


def _choose_slowest(
    slots_by_rank: dict[int, int], tasks: int, urgent: bool
) -> int:
    """Return the rank of the slowest worker that a gang uses.

    An urgent gang uses the fastest workers that can hold it, and no faster
    ones than its slowest. Another gang wastes as little speed as possible.
    """
    feasible: list[int] = []
    slots = 0
    for rank in sorted(slots_by_rank):
        slots += slots_by_rank[rank]
        if slots >= tasks:
            feasible.append(rank)
    if not feasible:
        return max(slots_by_rank)
    if urgent:
        return feasible[0]
    return min(
        feasible,
        key=lambda rank: (_compute_waste(slots_by_rank, tasks, rank), -rank),
    )


def _compute_waste(
    slots_by_rank: dict[int, int], tasks: int, slowest: int
) -> float:
    """Return the speed that a gang wastes on workers faster than its slowest.

    One unit is a member that waits for the others all the time.
    """
    waste = 0.0
    missing = tasks
    for rank in sorted(slots_by_rank, reverse=True):
        if rank > slowest or not missing:
            continue
        used = min(missing, slots_by_rank[rank])
        waste += used * (1 - speeds.get_run_factor(rank - slowest))
        missing -= used
    return round(waste, 3)


def find_slowest(
    ranks: dict[str, int], slots: dict[str, int], tasks: int
) -> int:
    """Return the rank of the slowest worker that an urgent gang would use.

    Args:
        ranks: Rank by worker.
        slots: Number of tasks that fit, by worker.
        tasks: Number of tasks of the gang.
    """
    return _choose_slowest(count_slots(ranks, slots), tasks, urgent=True)


def count_slots(ranks: dict[str, int], slots: dict[str, int]) -> dict[int, int]:
    """Return the number of slots by rank of the worker."""
    counts: collections.Counter[int] = collections.Counter()
    for worker_id, count in slots.items():
        counts[ranks[worker_id]] += count
    return dict(counts)
