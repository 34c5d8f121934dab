"""Assignment of the accounts' guarantees to workers."""

from collections.abc import Iterator
import itertools
from typing import NamedTuple

from cyclamenshelf_core import model

# Limit of the backtracking search: visited nodes times workers, so that its
# run time does not grow with the fleet. The search is exhaustive for a few
# guarantees on tens of workers; otherwise each guarantee gets its first choice.
_MAX_NODES_TIMES_WORKERS = 60_000

AcceleratorsByWorker = dict[str, dict[str, int]]


class GuaranteeKey(NamedTuple):
    """A guarantee, identified by account and index in the plan's list."""

    account: str
    index: int


class Assignment(NamedTuple):
    """The workers on which each guarantee can be reclaimed.

    Attributes:
        assigned: The workers assigned to each guarantee.
        unplaced: Guarantees to which no workers could be assigned.
        missing: For each unplaced guarantee, a message that says what it
            needs and what is available.
        pending: Workers that an unplaced guarantee will be assigned once the
            non-preemptible jobs of others have ended there.
        exhaustive: Whether the search tried every assignment. If it did not,
            an assignment for an unplaced guarantee may still exist.
        failed_search: Input of the last search that left a guarantee
            unplaced: guarantees, workers, non-preemptible accelerators.
    """

    assigned: dict[GuaranteeKey, tuple[str, ...]]
    unplaced: tuple[GuaranteeKey, ...]
    missing: dict[GuaranteeKey, str] = {}
    pending: dict[GuaranteeKey, tuple[str, ...]] = {}
    exhaustive: bool = True
    failed_search: tuple = ()


class _Request(NamedTuple):
    key: GuaranteeKey
    guarantee: model.Guarantee


class _CapacityTable:
    """Accelerators by worker and account while an assignment is built.

    Attributes:
        workers: The workers by id.
        held: Accelerators of non-preemptible jobs.
        guaranteed: Accelerators of the guarantees placed so far.
        committed: Sum over accounts of the larger of `held` and `guaranteed`,
            cached per worker when first needed.
        nodes_left: Nodes that the search may still visit.
    """

    def __init__(
        self,
        workers: dict[str, model.Worker],
        held: AcceleratorsByWorker,
        nodes_left: int,
    ) -> None:
        self.workers = workers
        self.held = held
        self.guaranteed: AcceleratorsByWorker = {}
        self.committed: dict[str, int] = {}
        self.nodes_left = nodes_left


def assign_guarantees(
    lists: model.Lists,
    workers: dict[str, model.Worker],
    busy: frozenset[str] = frozenset(),
    previous: Assignment | None = None,
) -> Assignment:
    """Assign the guarantees of all accounts to workers in one search.

    Args:
        lists: The operators' lists.
        workers: Healthy workers by id.
        busy: Workers to exclude, because of non-preemptible jobs of others.
        previous: The assignment in force; kept where it is still valid.
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
    held: AcceleratorsByWorker,
    previous: Assignment | None = None,
) -> Assignment:
    """Assign all guarantees to workers that may run non-preemptible jobs.

    On each worker, the sum over accounts of the larger of the account's
    guarantees and its non-preemptible jobs stays within the worker's
    accelerators.

    Args:
        lists: The operators' lists.
        workers: Healthy workers by id.
        held: Accelerators of non-preemptible jobs by worker and account.
        previous: The assignment in force; kept where it is still valid.
    """
    requests = _list_requests(lists)
    before = dict(previous.assigned) if previous else {}
    nodes_left = len(requests) + _MAX_NODES_TIMES_WORKERS // max(
        1, len(workers)
    )
    table = _CapacityTable(workers, held, nodes_left)
    kept: dict[GuaranteeKey, tuple[str, ...]] = {}
    for request in requests:
        chosen = before.get(request.key)
        if chosen is not None and _is_valid(table, request, chosen):
            _add_guaranteed(table, request, chosen)
            kept[request.key] = chosen
    remaining = [request for request in requests if request.key not in kept]
    if not remaining:
        return Assignment(kept, ())
    failed_search = _describe_search(requests, workers, held)
    exhaustive = True
    if previous and _was_searched(previous.failed_search, failed_search):
        # Repeating the search on every decision took 0.1 to 1.8 s each time.
        failed_search, exhaustive = previous.failed_search, previous.exhaustive
    elif _may_fit(requests, workers):
        found = _search_assignment(table, remaining, before)
        if found is not None:
            return Assignment(kept | found, ())
        fresh = _CapacityTable(workers, held, nodes_left)
        found = _search_assignment(fresh, requests, before)
        if found is not None:
            return Assignment(found, ())
        exhaustive = fresh.nodes_left > 0
    greedy = _assign_greedily(table, remaining, kept, previous)
    return greedy._replace(exhaustive=exhaustive, failed_search=failed_search)


def _describe_search(
    requests: list[_Request],
    workers: dict[str, model.Worker],
    held: AcceleratorsByWorker,
) -> tuple:
    total = sum(sum(by_account.values()) for by_account in held.values())
    return tuple(requests), frozenset(workers), total


def _was_searched(before: tuple, now: tuple) -> bool:
    """Return whether a search with at least as much free capacity failed."""
    return bool(before) and before[:2] == now[:2] and before[2] <= now[2]


def _may_fit(
    requests: list[_Request], workers: dict[str, model.Worker]
) -> bool:
    """Return whether the fleet has enough accelerators for all guarantees."""
    wanted = sum(
        request.guarantee.workers * request.guarantee.accelerators
        for request in requests
    )
    return wanted <= sum(worker.accelerators for worker in workers.values())


def sum_guaranteed(
    lists: model.Lists, assignment: Assignment
) -> AcceleratorsByWorker:
    """Return the guaranteed accelerators by worker and account."""
    guaranteed: AcceleratorsByWorker = {}
    for key, chosen in assignment.assigned.items():
        size = _get_guarantee(lists, key).accelerators
        for worker_id in chosen:
            by_account = guaranteed.setdefault(worker_id, {})
            by_account[key.account] = by_account.get(key.account, 0) + size
    return guaranteed


def sum_pending(lists: model.Lists, assignment: Assignment) -> dict[str, int]:
    """Return the accelerators reserved for unplaced guarantees, by worker."""
    pending: dict[str, int] = {}
    for key, chosen in assignment.pending.items():
        size = _get_guarantee(lists, key).accelerators
        for worker_id in chosen:
            pending[worker_id] = pending.get(worker_id, 0) + size
    return pending


def get_group(worker: model.Worker, within: model.Within) -> tuple[str, ...]:
    """Return the key of the rack, data centre or cell group of a worker."""
    if within is model.Within.RACK:
        return (worker.data_centre, worker.rack)
    if within is model.Within.DATA_CENTRE:
        return (worker.data_centre,)
    return ()


def _get_guarantee(lists: model.Lists, key: GuaranteeKey) -> model.Guarantee:
    return model.get_plan(lists, key.account).guarantees[key.index]


def _list_requests(lists: model.Lists) -> list[_Request]:
    """Return all guarantees, the most constrained ones first."""
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
    table: _CapacityTable, request: _Request, chosen: tuple[str, ...]
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
        _get_assignable(table, request.key.account, worker_id)
        >= guarantee.accelerators
        for worker_id in chosen
    )


def _get_assignable(table: _CapacityTable, account: str, worker_id: str) -> int:
    """Return what can still be guaranteed to the account on a worker."""
    held = table.held.get(worker_id, {}).get(account, 0)
    guaranteed = table.guaranteed.get(worker_id, {}).get(account, 0)
    others = _get_committed(table, worker_id) - max(held, guaranteed)
    return table.workers[worker_id].accelerators - others - guaranteed


def _get_committed(table: _CapacityTable, worker_id: str) -> int:
    committed = table.committed.get(worker_id)
    if committed is None:
        committed = sum(table.held.get(worker_id, {}).values())
        table.committed[worker_id] = committed
    return committed


def _add_guaranteed(
    table: _CapacityTable,
    request: _Request,
    chosen: tuple[str, ...],
    sign: int = 1,
) -> None:
    account = request.key.account
    for worker_id in chosen:
        by_account = table.guaranteed.setdefault(worker_id, {})
        held = table.held.get(worker_id, {}).get(account, 0)
        before = by_account.get(account, 0)
        after = before + sign * request.guarantee.accelerators
        by_account[account] = after
        committed = _get_committed(table, worker_id)
        change = max(held, after) - max(held, before)
        table.committed[worker_id] = committed + change


def _search_assignment(
    table: _CapacityTable,
    requests: list[_Request],
    before: dict[GuaranteeKey, tuple[str, ...]],
) -> dict[GuaranteeKey, tuple[str, ...]] | None:
    """Place every request by depth-first search, or return None.

    If no assignment is found, the guarantees of the table are unchanged.
    """
    found: dict[GuaranteeKey, tuple[str, ...]] = {}
    open_choices: list[Iterator[tuple[str, ...]]] = []
    while len(found) < len(requests):
        if len(open_choices) == len(found):
            request = requests[len(found)]
            open_choices.append(_list_choices(table, request, before))
        request = requests[len(open_choices) - 1]
        chosen = next(open_choices[-1], None) if table.nodes_left > 0 else None
        table.nodes_left -= 1
        if chosen is not None:
            _add_guaranteed(table, request, chosen)
            found[request.key] = chosen
            continue
        open_choices.pop()
        if not open_choices:
            return None
        request = requests[len(open_choices) - 1]
        _add_guaranteed(table, request, found.pop(request.key), -1)
    return found


def _list_choices(
    table: _CapacityTable,
    request: _Request,
    before: dict[GuaranteeKey, tuple[str, ...]],
) -> Iterator[tuple[str, ...]]:
    """Yield sets of workers for a request, in order of preference.

    Workers of the assignment in force come first, then the smallest group
    and, within it, the workers with the least assignable capacity.
    Interchangeable workers are not permuted.
    """
    guarantee = request.guarantee
    preferred = frozenset(before.get(request.key, ()))
    groups = _group_candidates(table, request)

    def rank_group(members: list[str]) -> tuple[int, int]:
        return -len(preferred & set(members)), len(members)

    for members in sorted(groups, key=rank_group):
        if len(members) >= guarantee.workers:
            yield from _list_combinations(table, request, members, preferred)


def _group_candidates(
    table: _CapacityTable, request: _Request
) -> list[list[str]]:
    groups: dict[tuple[str, ...], list[str]] = {}
    for worker_id, worker in table.workers.items():
        assignable = _get_assignable(table, request.key.account, worker_id)
        if assignable >= request.guarantee.accelerators:
            group = get_group(worker, request.guarantee.within)
            groups.setdefault(group, []).append(worker_id)
    return list(groups.values())


def _list_combinations(
    table: _CapacityTable,
    request: _Request,
    members: list[str],
    preferred: frozenset[str],
) -> Iterator[tuple[str, ...]]:
    kinds: dict[tuple, list[str]] = {}
    for worker_id in sorted(members):
        worker = table.workers[worker_id]
        kind = (
            worker_id not in preferred,
            _get_assignable(table, request.key.account, worker_id),
            get_group(worker, model.Within.RACK),
            worker.accelerators,
            tuple(sorted(table.held.get(worker_id, {}).items())),
            tuple(sorted(table.guaranteed.get(worker_id, {}).items())),
        )
        kinds.setdefault(kind, []).append(worker_id)
    interchangeable = [kinds[kind] for kind in sorted(kinds)]
    for counts in _list_counts(
        request.guarantee.workers, [len(k) for k in interchangeable]
    ):
        yield tuple(
            itertools.chain.from_iterable(
                kind[:count]
                for kind, count in zip(interchangeable, counts, strict=True)
            )
        )


def _list_counts(wanted: int, limits: list[int]) -> Iterator[tuple[int, ...]]:
    """Yield the counts per kind that add up to `wanted`, early kinds first."""
    if not limits:
        if wanted == 0:
            yield ()
        return
    if sum(limits) < wanted:
        return
    for count in range(min(wanted, limits[0]), -1, -1):
        for remaining in _list_counts(wanted - count, limits[1:]):
            yield (count, *remaining)


def _assign_greedily(
    table: _CapacityTable,
    requests: list[_Request],
    kept: dict[GuaranteeKey, tuple[str, ...]],
    previous: Assignment | None,
) -> Assignment:
    """Keep valid assignments and give each other request its first choice."""
    before = dict(previous.pending) if previous else {}
    assigned = dict(kept)
    unplaced: list[_Request] = []
    for request in requests:
        chosen = next(_list_choices(table, request, before), None)
        if chosen is None:
            unplaced.append(request)
            continue
        _add_guaranteed(table, request, chosen)
        assigned[request.key] = chosen
    missing = {r.key: _describe_missing(table, r) for r in unplaced}
    without_running = _CapacityTable(table.workers, {}, 0)
    without_running.guaranteed = {
        w: dict(p) for w, p in table.guaranteed.items()
    }
    for worker_id, guaranteed in without_running.guaranteed.items():
        without_running.committed[worker_id] = sum(guaranteed.values())
    pending: dict[GuaranteeKey, tuple[str, ...]] = {}
    for request in unplaced:
        chosen = next(_list_choices(without_running, request, before), None)
        if chosen is not None:
            _add_guaranteed(without_running, request, chosen)
            pending[request.key] = chosen
    keys = tuple(request.key for request in unplaced)
    return Assignment(assigned, keys, missing, pending)


def _describe_missing(table: _CapacityTable, request: _Request) -> str:
    guarantee = request.guarantee
    found = max(map(len, _group_candidates(table, request)), default=0)
    return (
        f"needs {guarantee.workers} workers with {guarantee.accelerators}"
        f" accelerators in one {guarantee.within}; the best has {found}"
    )
