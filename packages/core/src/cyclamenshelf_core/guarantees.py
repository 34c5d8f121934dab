"""Assignment of guaranteed shapes to workers."""

from collections.abc import Iterator
import itertools
from typing import NamedTuple

from cyclamenshelf_core import model

# The backtracking search visits this many nodes times workers, so that its
# time does not grow with the fleet. That is exhaustive for a few guarantees
# on tens of workers; beyond it, each guarantee gets its first choice.
_MAX_EFFORT = 60_000

Held = dict[str, dict[str, int]]


class GuaranteeKey(NamedTuple):
    """One guarantee of one account: its place in the plan's list."""

    account: str
    index: int


class Assignment(NamedTuple):
    """Where each guarantee can be reclaimed.

    Attributes:
        assigned: The workers that hold each guarantee.
        unplaced: Guarantees for which no workers are left.
        missing: What each unplaced guarantee needs and what is left.
        pending: Workers that would hold an unplaced guarantee once the work
            of others that cannot be stopped has ended there.
        exhaustive: Whether the search tried every assignment; when it did
            not, an unplaced guarantee may still have had a place.
        searched: What the last search that left a guarantee unplaced was
            given: guarantees, workers, accelerators of unstoppable work.
    """

    assigned: dict[GuaranteeKey, tuple[str, ...]]
    unplaced: tuple[GuaranteeKey, ...]
    missing: dict[GuaranteeKey, str] = {}
    pending: dict[GuaranteeKey, tuple[str, ...]] = {}
    exhaustive: bool = True
    searched: tuple = ()


class _Request(NamedTuple):
    key: GuaranteeKey
    guarantee: model.Guarantee


class _Table:
    """Accelerators by worker and account while an assignment is built.

    Attributes:
        held: Accelerators of work that cannot be stopped.
        pledged: Accelerators of the guarantees placed so far.
        taken: Sum over accounts of the larger of held and pledged; only of
            the workers looked at so far.
        nodes: Nodes that the search may still visit.
    """

    def __init__(
        self, workers: dict[str, model.Worker], held: Held, nodes: int
    ) -> None:
        self.workers = workers
        self.held = held
        self.pledged: Held = {}
        self.taken: dict[str, int] = {}
        self.nodes = nodes


def assign_guarantees(
    lists: model.Lists,
    workers: dict[str, model.Worker],
    busy: frozenset[str] = frozenset(),
    previous: Assignment | None = None,
) -> Assignment:
    """Assign all guarantees of all accounts to workers at the same time.

    Args:
        lists: The operators' lists.
        workers: Healthy workers by id.
        busy: Workers with work of others that cannot be stopped.
        previous: The assignment in force; kept where it still holds.
    """
    usable = {
        worker_id: worker
        for worker_id, worker in workers.items()
        if worker_id not in busy
    }
    return plan_guarantees(lists, usable, {}, previous)


def plan_guarantees(
    lists: model.Lists,
    workers: dict[str, model.Worker],
    held: Held,
    previous: Assignment | None = None,
) -> Assignment:
    """Assign all guarantees beside work that cannot be stopped.

    On each worker, the sum over accounts of the larger of its guarantees and
    its unstoppable work stays within the worker's accelerators.

    Args:
        lists: The operators' lists.
        workers: Healthy workers by id.
        held: Accelerators of unstoppable work by worker and account.
        previous: The assignment in force; kept where it still holds.
    """
    requests = _list_requests(lists)
    before = dict(previous.assigned) if previous else {}
    nodes = len(requests) + _MAX_EFFORT // max(1, len(workers))
    table = _Table(workers, held, nodes)
    kept: dict[GuaranteeKey, tuple[str, ...]] = {}
    for request in requests:
        chosen = before.get(request.key)
        if chosen is not None and _is_valid(table, request, chosen):
            _pledge(table, request, chosen)
            kept[request.key] = chosen
    rest = [request for request in requests if request.key not in kept]
    if not rest:
        return Assignment(kept, ())
    searched = _describe_search(requests, workers, held)
    exhaustive = True
    if previous and _was_searched(previous.searched, searched):
        # Searching again on every decision took 0.1 to 1.8 s each.
        searched, exhaustive = previous.searched, previous.exhaustive
    elif _may_fit(requests, workers):
        found = _search(table, rest, before)
        if found is not None:
            return Assignment(kept | found, ())
        full = _Table(workers, held, nodes)
        found = _search(full, requests, before)
        if found is not None:
            return Assignment(found, ())
        exhaustive = full.nodes > 0
    greedy = _assign_greedily(table, rest, kept, previous)
    return greedy._replace(exhaustive=exhaustive, searched=searched)


def _describe_search(
    requests: list[_Request], workers: dict[str, model.Worker], held: Held
) -> tuple:
    total = sum(sum(by_account.values()) for by_account in held.values())
    return tuple(requests), frozenset(workers), total


def _was_searched(before: tuple, now: tuple) -> bool:
    """Return whether a search failed that had at least as much room."""
    return bool(before) and before[:2] == now[:2] and before[2] <= now[2]


def _may_fit(
    requests: list[_Request], workers: dict[str, model.Worker]
) -> bool:
    """Return whether all guarantees together are within the fleet's size."""
    wanted = sum(
        request.guarantee.workers * request.guarantee.accelerators
        for request in requests
    )
    return wanted <= sum(worker.accelerators for worker in workers.values())


def sum_pledges(lists: model.Lists, assignment: Assignment) -> Held:
    """Return the guaranteed accelerators by worker and account."""
    pledges: Held = {}
    for key, chosen in assignment.assigned.items():
        size = _get_guarantee(lists, key).accelerators
        for worker_id in chosen:
            by_account = pledges.setdefault(worker_id, {})
            by_account[key.account] = by_account.get(key.account, 0) + size
    return pledges


def sum_pending(lists: model.Lists, assignment: Assignment) -> dict[str, int]:
    """Return the accelerators kept for unplaced guarantees, by worker."""
    pending: dict[str, int] = {}
    for key, chosen in assignment.pending.items():
        size = _get_guarantee(lists, key).accelerators
        for worker_id in chosen:
            pending[worker_id] = pending.get(worker_id, 0) + size
    return pending


def get_group(worker: model.Worker, within: model.Within) -> tuple[str, ...]:
    """Return the key of the group that a worker forms with its neighbours."""
    if within is model.Within.RACK:
        return (worker.data_centre, worker.rack)
    if within is model.Within.DATA_CENTRE:
        return (worker.data_centre,)
    return ()


def _get_guarantee(lists: model.Lists, key: GuaranteeKey) -> model.Guarantee:
    return model.get_plan(lists, key.account).guarantees[key.index]


def _list_requests(lists: model.Lists) -> list[_Request]:
    """Return all guarantees, those with the fewest possible places first."""
    scope = {
        model.Within.RACK: 0,
        model.Within.DATA_CENTRE: 1,
        model.Within.CELL: 2,
    }
    requests = [
        _Request(GuaranteeKey(account.name, index), guarantee)
        for account in lists.accounts.values()
        for index, guarantee in enumerate(lists.plans[account.plan].guarantees)
    ]
    return sorted(
        requests,
        key=lambda request: (
            -request.guarantee.accelerators,
            scope[request.guarantee.within],
            -request.guarantee.workers,
            request.key,
        ),
    )


def _is_valid(
    table: _Table, request: _Request, chosen: tuple[str, ...]
) -> bool:
    guarantee = request.guarantee
    if len(set(chosen)) != guarantee.workers or any(
        worker_id not in table.workers for worker_id in chosen
    ):
        return False
    groups = {
        get_group(table.workers[worker_id], guarantee.within)
        for worker_id in chosen
    }
    return len(groups) == 1 and all(
        _get_room(table, request.key.account, worker_id)
        >= guarantee.accelerators
        for worker_id in chosen
    )


def _get_room(table: _Table, account: str, worker_id: str) -> int:
    """Return what can still be pledged to the account on a worker."""
    held = table.held.get(worker_id, {}).get(account, 0)
    pledged = table.pledged.get(worker_id, {}).get(account, 0)
    others = _get_taken(table, worker_id) - max(held, pledged)
    return table.workers[worker_id].accelerators - others - pledged


def _get_taken(table: _Table, worker_id: str) -> int:
    taken = table.taken.get(worker_id)
    if taken is None:
        taken = sum(table.held.get(worker_id, {}).values())
        table.taken[worker_id] = taken
    return taken


def _pledge(
    table: _Table, request: _Request, chosen: tuple[str, ...], sign: int = 1
) -> None:
    account = request.key.account
    for worker_id in chosen:
        by_account = table.pledged.setdefault(worker_id, {})
        held = table.held.get(worker_id, {}).get(account, 0)
        before = by_account.get(account, 0)
        after = before + sign * request.guarantee.accelerators
        by_account[account] = after
        taken = _get_taken(table, worker_id)
        change = max(held, after) - max(held, before)
        table.taken[worker_id] = taken + change


def _search(
    table: _Table,
    requests: list[_Request],
    before: dict[GuaranteeKey, tuple[str, ...]],
) -> dict[GuaranteeKey, tuple[str, ...]] | None:
    """Place every request by depth-first search, or return None.

    The pledges of the table are as before when nothing is found.
    """
    found: dict[GuaranteeKey, tuple[str, ...]] = {}
    open_choices: list[Iterator[tuple[str, ...]]] = []
    while len(found) < len(requests):
        if len(open_choices) == len(found):
            request = requests[len(found)]
            open_choices.append(_list_choices(table, request, before))
        request = requests[len(open_choices) - 1]
        chosen = next(open_choices[-1], None) if table.nodes > 0 else None
        table.nodes -= 1
        if chosen is not None:
            _pledge(table, request, chosen)
            found[request.key] = chosen
            continue
        open_choices.pop()
        if not open_choices:
            return None
        request = requests[len(open_choices) - 1]
        _pledge(table, request, found.pop(request.key), -1)
    return found


def _list_choices(
    table: _Table,
    request: _Request,
    before: dict[GuaranteeKey, tuple[str, ...]],
) -> Iterator[tuple[str, ...]]:
    """Yield sets of workers for a request, the preferred ones first.

    Preferred are workers of the assignment in force, then the tightest group,
    then the tightest workers in it. Workers that are alike are not permuted.
    """
    guarantee = request.guarantee
    preferred = frozenset(before.get(request.key, ()))
    groups = _group_candidates(table, request)

    def rank_group(members: list[str]) -> tuple[int, int]:
        return -len(preferred & set(members)), len(members)

    for members in sorted(groups, key=rank_group):
        if len(members) >= guarantee.workers:
            yield from _list_combinations(table, request, members, preferred)


def _group_candidates(table: _Table, request: _Request) -> list[list[str]]:
    groups: dict[tuple[str, ...], list[str]] = {}
    for worker_id, worker in table.workers.items():
        room = _get_room(table, request.key.account, worker_id)
        if room >= request.guarantee.accelerators:
            group = get_group(worker, request.guarantee.within)
            groups.setdefault(group, []).append(worker_id)
    return list(groups.values())


def _list_combinations(
    table: _Table,
    request: _Request,
    members: list[str],
    preferred: frozenset[str],
) -> Iterator[tuple[str, ...]]:
    kinds: dict[tuple, list[str]] = {}
    for worker_id in sorted(members):
        worker = table.workers[worker_id]
        kind = (
            worker_id not in preferred,
            _get_room(table, request.key.account, worker_id),
            get_group(worker, model.Within.RACK),
            worker.accelerators,
            tuple(sorted(table.held.get(worker_id, {}).items())),
            tuple(sorted(table.pledged.get(worker_id, {}).items())),
        )
        kinds.setdefault(kind, []).append(worker_id)
    alike = [kinds[kind] for kind in sorted(kinds)]
    for counts in _split(request.guarantee.workers, [len(k) for k in alike]):
        yield tuple(
            itertools.chain.from_iterable(
                kind[:count] for kind, count in zip(alike, counts, strict=True)
            )
        )


def _split(wanted: int, limits: list[int]) -> Iterator[tuple[int, ...]]:
    """Yield the ways to take `wanted` from the kinds, earlier ones first."""
    if not limits:
        if wanted == 0:
            yield ()
        return
    if sum(limits) < wanted:
        return
    for count in range(min(wanted, limits[0]), -1, -1):
        for rest in _split(wanted - count, limits[1:]):
            yield (count, *rest)


def _assign_greedily(
    table: _Table,
    requests: list[_Request],
    kept: dict[GuaranteeKey, tuple[str, ...]],
    previous: Assignment | None,
) -> Assignment:
    """Keep what holds and place each further request at its first choice."""
    before = dict(previous.pending) if previous else {}
    assigned = dict(kept)
    unplaced: list[_Request] = []
    for request in requests:
        chosen = next(_list_choices(table, request, before), None)
        if chosen is None:
            unplaced.append(request)
            continue
        _pledge(table, request, chosen)
        assigned[request.key] = chosen
    missing = {r.key: _describe_missing(table, r) for r in unplaced}
    later = _Table(table.workers, {}, 0)
    later.pledged = {w: dict(p) for w, p in table.pledged.items()}
    for worker_id, pledged in later.pledged.items():
        later.taken[worker_id] = sum(pledged.values())
    pending: dict[GuaranteeKey, tuple[str, ...]] = {}
    for request in unplaced:
        chosen = next(_list_choices(later, request, before), None)
        if chosen is not None:
            _pledge(later, request, chosen)
            pending[request.key] = chosen
    keys = tuple(request.key for request in unplaced)
    return Assignment(assigned, keys, missing, pending)


def _describe_missing(table: _Table, request: _Request) -> str:
    guarantee = request.guarantee
    found = max(map(len, _group_candidates(table, request)), default=0)
    return (
        f"needs {guarantee.workers} workers with {guarantee.accelerators}"
        f" accelerators in one {guarantee.within}; the best has {found}"
    )
