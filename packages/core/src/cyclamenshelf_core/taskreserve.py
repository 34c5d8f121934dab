"""Workers that are kept free for urgent groups.

A stop takes most of the time that the objective of an urgent group leaves, so
on each rack the emptiest workers are kept from the last priorities. While
urgent work comes, a kept worker that is in use is made up for by emptying
another, if stops there lose no work.
"""

from collections.abc import Iterable

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskspace
from cyclamenshelf_core import taskvictims

KEPT_FROM_PRIORITY = 2
_KEPT_WORKERS = 1
# Work that a stop may lose to make up for a kept worker that is in use.
_CHEAP_MS = 100


def list_racks(space: taskspace.Space) -> list[list[str]]:
    """Return the workers of each rack that keeps some.

    A rack of one or two workers keeps none: most of it would idle.
    """
    racks: dict[str, list[str]] = {}
    for worker in space.workers.values():
        racks.setdefault(worker.rack, []).append(worker.id)
    return [
        members
        for members in racks.values()
        if len(members) > 2 * _KEPT_WORKERS
    ]


def keep_workers(
    space: taskspace.Space, victims: taskvictims.Victims
) -> set[str]:
    """Keep workers of each rack from the groups that follow; return them."""

    def count_soon(worker_id: str) -> int:
        stopping = victims.stopping.get(worker_id, taskjobs.NOTHING)
        return space.free[worker_id].accelerators + stopping.accelerators

    kept: set[str] = set()
    for members in list_racks(space):
        members.sort(key=lambda name: (count_soon(name), name))
        kept.update(members[-_KEPT_WORKERS:])
    for worker_id in kept:
        space.free[worker_id] = taskjobs.NOTHING
    return kept


def refill(
    space: taskspace.Space,
    victims: taskvictims.Victims,
    taken: set[str],
) -> list[taskvictims.Held]:
    """Choose tasks to stop so that each rack has a worker to keep.

    Args:
        space: Room on the workers.
        victims: The tasks that hold room; changed.
        taken: Workers on which this decision has started or holds tasks.
    """
    stops: list[taskvictims.Held] = []
    for members in list_racks(space):
        usable = [name for name in members if name not in taken]
        if any(_is_emptied(victims, name) for name in usable):
            continue
        cheap = [
            name
            for name in usable
            if all(_is_cheap(held) for held in victims.by_worker.get(name, ()))
        ]
        if cheap:
            chosen = min(cheap, key=lambda name: _rank(victims, name))
            stops += _stop_all(victims, victims.by_worker[chosen])
    return stops


def _is_emptied(victims: taskvictims.Victims, worker_id: str) -> bool:
    return all(
        held.stopping or held.task in victims.chosen
        for held in victims.by_worker.get(worker_id, ())
    )


def _is_cheap(held: taskvictims.Held) -> bool:
    return held.stopping or (
        held.priority >= KEPT_FROM_PRIORITY
        and not held.gang
        and not held.long_running
        and held.lost_ms <= _CHEAP_MS
    )


def _rank(victims: taskvictims.Victims, worker_id: str) -> tuple[int, str]:
    return len(victims.by_worker[worker_id]), worker_id


def _stop_all(
    victims: taskvictims.Victims, members: Iterable[taskvictims.Held]
) -> list[taskvictims.Held]:
    return [added for held in members for added in victims.choose(held)]
