"""Assignment of guaranteed shapes to workers."""

from typing import NamedTuple

from cyclamenshelf_core import model


class GuaranteeKey(NamedTuple):
    """One guarantee of one account: its place in the plan's list."""

    account: str
    index: int


class Assignment(NamedTuple):
    """Where each guarantee can be reclaimed.

    Attributes:
        assigned: The workers that hold each guarantee.
        unplaced: Guarantees for which no workers are left.
    """

    assigned: dict[GuaranteeKey, tuple[str, ...]]
    unplaced: tuple[GuaranteeKey, ...]


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
    free = dict(workers)
    assigned: dict[GuaranteeKey, tuple[str, ...]] = {}
    unplaced: list[GuaranteeKey] = []
    for account in lists.accounts.values():
        plan = lists.plans[account.plan]
        for index, guarantee in enumerate(plan.guarantees):
            key = GuaranteeKey(account.name, index)
            chosen = _choose_workers(guarantee, free, busy)
            if chosen is None:
                unplaced.append(key)
                continue
            assigned[key] = chosen
            for worker_id in chosen:
                del free[worker_id]
    return Assignment(assigned, tuple(unplaced))


def _choose_workers(
    guarantee: model.Guarantee,
    free: dict[str, model.Worker],
    busy: frozenset[str],
) -> tuple[str, ...] | None:
    groups: dict[tuple[str, ...], list[str]] = {}
    for worker in free.values():
        if (
            worker.id not in busy
            and worker.accelerators >= guarantee.accelerators
        ):
            group = get_group(worker, guarantee.within)
            groups.setdefault(group, []).append(worker.id)
    for members in groups.values():
        if len(members) >= guarantee.workers:
            return tuple(members[: guarantee.workers])
    return None


def get_group(worker: model.Worker, within: model.Within) -> tuple[str, ...]:
    """Return the key of the group that a worker forms with its neighbours."""
    if within is model.Within.RACK:
        return (worker.data_centre, worker.rack)
    if within is model.Within.DATA_CENTRE:
        return (worker.data_centre,)
    return ()
