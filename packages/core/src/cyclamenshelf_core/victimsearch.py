"""Search for the cheapest tasks to stop so that a group fits.

Workers are taken one task at a time, the cheapest first. Stopping a member of
a gang stops the whole gang, so what it frees on other workers is free for the
next tasks; a search that priced each worker on its own would stop one gang for
every task.
"""

import heapq
from typing import NamedTuple

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts

# How much more stops may cost on other workers before a slow one is used.
_SLOW_COST_FACTOR = 2


class Candidate(NamedTuple):
    """A worker on which tasks of the group fit once others are stopped.

    Attributes:
        slots: Number of tasks that fit.
        soon_free: Resources that are free or being released.
        suspect: Whether its latest tasks failed.
        slow: Whether tasks take longer on it than on others.
    """

    slots: int
    soon_free: taskjobs.Resources
    rack: str
    suspect: bool
    slow: bool


class Request(NamedTuple):
    """What a group needs.

    Attributes:
        need: Resources of each task.
        tasks: Number of tasks.
        preemptor: Priority and guarantee of the group.
        data_rack: Rack on which the tasks run fast; empty for any.
    """

    need: taskjobs.Resources
    tasks: int
    preemptor: victimcosts.Preemptor
    data_rack: str


class _Search:
    """State of one search.

    Attributes:
        available: Resources by worker that the group can still use.
        open_slots: Number of tasks that may still be placed, by worker.
    """

    def __init__(
        self,
        victims: victimcosts.VictimIndex,
        request: Request,
        candidates: dict[str, Candidate],
    ) -> None:
        self.victims = victims
        self.request = request
        self.candidates = candidates
        self.available = {
            name: candidate.soon_free for name, candidate in candidates.items()
        }
        self.open_slots = {
            name: candidate.slots for name, candidate in candidates.items()
        }


def choose_victims(
    victims: victimcosts.VictimIndex,
    request: Request,
    candidates: dict[str, Candidate],
) -> list[victimcosts.Allocation]:
    """Choose the tasks to stop for a group, and mark them.

    Args:
        victims: All allocations; the chosen tasks are marked.
        request: What the group needs.
        candidates: The workers that may run the group, by id.

    Returns:
        The tasks to stop. Members of a gang may run on other workers.
    """
    search = _Search(victims, request, candidates)
    stops: list[victimcosts.Allocation] = []
    queue = [_make_entry(search, name) for name in candidates]
    heapq.heapify(queue)
    missing = request.tasks
    while missing and queue:
        key, name = heapq.heappop(queue)
        if not search.open_slots[name]:
            continue
        current = _make_entry(search, name)
        if current[0] != key:
            # Other stops have changed what a task costs here.
            heapq.heappush(queue, current)
            continue
        stops += _place_task(search, name, queue)
        missing -= 1
        if search.open_slots[name]:
            heapq.heappush(queue, _make_entry(search, name))
    return stops


def _make_entry(search: _Search, name: str) -> tuple[tuple, str]:
    """Return the entry of a worker in the queue, the best worker first."""
    candidate, request = search.candidates[name], search.request
    cost = search.victims.get_cost(
        name, search.available[name], request.need, request.preemptor
    )
    if candidate.slow:
        cost *= _SLOW_COST_FACTOR
    remote = bool(request.data_rack) and candidate.rack != request.data_rack
    return (
        (
            remote,
            candidate.suspect,
            cost,
            search.available[name].accelerators,
            name,
        ),
        name,
    )


def _place_task(
    search: _Search, name: str, queue: list[tuple[tuple, str]]
) -> list[victimcosts.Allocation]:
    """Place one task on a worker; return the tasks to stop for it."""
    request = search.request
    stops = victimcosts.choose_cheapest(
        search.victims,
        name,
        search.available[name],
        request.need,
        1,
        request.preemptor,
    )
    for held in stops:
        if held.worker_id not in search.available:
            continue
        search.available[held.worker_id] = taskjobs.add(
            search.available[held.worker_id], held.need
        )
        if held.worker_id != name and search.open_slots[held.worker_id]:
            heapq.heappush(queue, _make_entry(search, held.worker_id))
    search.available[name] = taskjobs.subtract(
        search.available[name], request.need
    )
    search.open_slots[name] -= 1
    return stops
