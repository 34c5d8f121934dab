"""Choice of workers for a gang where others' work has to end first."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import decisions
from cyclamenshelf_core import guarantees
from cyclamenshelf_core import ledger as ledgers
from cyclamenshelf_core import model
from cyclamenshelf_core import placement as placements
from cyclamenshelf_core import runtimes

IsEligible = Callable[[ledgers.Space, decisions.Running], bool]

# A blocked large job gets a reservation when it has waited this long.
RESERVE_AFTER_MS = 60_000
# A job that has just started is not moved: without this, the next decision
# stopped jobs that the last one had started.
_MOVE_AFTER_MS = 10_000

_RANKS = {urgency: rank for rank, urgency in enumerate(model.Urgency)}


class Plan(NamedTuple):
    """Workers for a gang and the jobs to stop there first."""

    placement: model.Placement
    victims: tuple[decisions.Running, ...]


def plan_reclaim(
    ledger: ledgers.Ledger, job: model.Job, now_ms: int
) -> Plan | None:
    """Return how a gang gets into its account's guarantee, or None.

    None means that the gang is larger than what is left of the guarantee.
    """
    groups: dict[tuple[str, ...], list[ledgers.Space]] = {}
    for space in ledger.pledges.get(job.account, ()):
        key = guarantees.get_group(space.worker, job.spec.shape.within)
        groups.setdefault(key, []).append(space)

    def get_limit(space: ledgers.Space) -> int:
        account = job.account
        left = space.pledged[account] - space.used.get(account, 0)
        return max(0, left)

    return _plan(
        groups.values(), job, get_limit, make_rule("reclaim", job, now_ms)
    )


def plan_urgent(
    ledger: ledgers.Ledger, job: model.Job, now_ms: int
) -> Plan | None:
    """Return how an urgent gang replaces background work, or None."""
    return _plan(
        ledgers.list_groups(ledger, job.spec.shape.within),
        job,
        lambda space: ledgers.get_limit(space, job.account),
        make_rule("urgent", job, now_ms),
    )


def make_rule(kind: str, job: model.Job, at_ms: int) -> IsEligible:
    """Return which running jobs a queued job may stop.

    Args:
        kind: The kind of a `decisions.Claim`.
        job: The queued job.
        at_ms: Unix time of the decision; of the reservation for `backfill`.
    """
    if kind == "reclaim":
        return lambda space, victim: (
            victim.job.account != job.account and _borrows(space, victim)
        )
    if kind == "urgent":
        lowest = _RANKS[model.Urgency.BACKGROUND]
    else:
        lowest = _RANKS[job.spec.urgency]

    def is_eligible(space: ledgers.Space, victim: decisions.Running) -> bool:
        if _RANKS[victim.job.spec.urgency] < lowest:
            return False
        if kind == "compaction" and at_ms - victim.since_ms < _MOVE_AFTER_MS:
            return False
        # Two gangs with reservations would otherwise stop each other in turn.
        if kind == "backfill" and not (
            victim.since_ms > at_ms and victim.job.accepted_ms > job.accepted_ms
        ):
            return False
        return victim.job.account == job.account or _borrows(space, victim)

    return is_eligible


def plan_on(
    ledger: ledgers.Ledger,
    placement: model.Placement,
    is_eligible: IsEligible,
) -> Plan | None:
    """Return which jobs to stop for a placement that is given, or None."""
    victims = _choose_victims(ledger.spaces, placement, is_eligible)
    return None if victims is None else Plan(placement, victims)


def plan_compaction(
    ledger: ledgers.Ledger, job: model.Job, now_ms: int
) -> Plan | None:
    """Return how a gang gets room by moving stoppable jobs, or None.

    Every job that is stopped has a place elsewhere right now.
    """
    shape = job.spec.shape
    if decisions.count_accelerators(shape) > sum(
        max(0, space.free) for space in ledger.spaces.values()
    ):
        return None
    plan = _plan(
        ledgers.list_groups(ledger, shape.within),
        job,
        lambda space: ledgers.get_limit(space, job.account),
        make_rule("compaction", job, now_ms),
    )
    if plan is None or not _can_move(ledger, job, plan):
        return None
    return plan


def plan_hold(
    ledger: ledgers.Ledger,
    job: model.Job,
    ratios: dict[str, float],
    now_ms: int,
) -> model.Placement | None:
    """Return the workers on which a gang is expected to fit soonest."""
    shape = job.spec.shape
    best: list[tuple[int, str]] | None = None
    for spaces in ledgers.list_groups(ledger, shape.within):
        slots: list[tuple[int, str]] = []
        for space in spaces:
            slots += _list_slot_times(space, job, ratios, now_ms)
        if len(slots) < shape.parts:
            continue
        slots = sorted(slots)[: shape.parts]
        if best is None or slots[-1][0] < best[-1][0]:
            best = slots
    if best is None:
        return None
    return tuple(
        model.PartPlacement(worker_id, shape.accelerators)
        for _, worker_id in sorted(best, key=lambda slot: slot[1])
    )


def _list_slot_times(
    space: ledgers.Space,
    job: model.Job,
    ratios: dict[str, float],
    now_ms: int,
) -> list[tuple[int, str]]:
    """Return when each further part of a gang fits on a worker."""
    size = job.spec.shape.accelerators
    others = sum(space.pledged.values()) - space.pledged.get(job.account, 0)
    limit = space.worker.accelerators - others - space.claimed - space.held
    if limit < size:
        return []
    ends = sorted(
        (runtimes.estimate_end_ms(entry, ratios, now_ms), held)
        for entry in space.jobs.values()
        if (held := _count_held(entry, space.worker.id))
    )
    free = space.free + space.stopping - space.claimed
    slots: list[tuple[int, str]] = []
    for end_ms, held in [(now_ms, 0), *ends]:
        free += held
        count = min(free, limit) // size - len(slots)
        slots += [(end_ms, space.worker.id)] * count
    return slots


def _count_held(entry: decisions.Running, worker_id: str) -> int:
    return sum(
        accelerators
        for placed_on, accelerators in entry.placement
        if placed_on == worker_id
    )


def _borrows(space: ledgers.Space, victim: decisions.Running) -> bool:
    """Return whether a job's account is over its guarantee on the worker."""
    account = victim.job.account
    return space.used.get(account, 0) > space.pledged.get(account, 0)


def _plan(
    groups: Iterable[list[ledgers.Space]],
    job: model.Job,
    get_limit: placements.GetRoom,
    is_eligible: IsEligible,
) -> Plan | None:
    """Return the plan of the group in which the least work is stopped."""
    shape = job.spec.shape
    best: tuple[int, model.Placement, dict[str, ledgers.Space]] | None = None
    for spaces in groups:
        costs = _list_slot_costs(spaces, job, get_limit, is_eligible)
        if len(costs) < shape.parts:
            continue
        costs = sorted(costs)[: shape.parts]
        total = sum(cost for cost, _ in costs)
        if best is None or total < best[0]:
            placement = tuple(
                model.PartPlacement(worker_id, shape.accelerators)
                for _, worker_id in costs
            )
            best = (
                total,
                placement,
                {space.worker.id: space for space in spaces},
            )
            if total == 0:
                break
    if best is None:
        return None
    _, placement, by_id = best
    victims = _choose_victims(by_id, placement, is_eligible)
    return None if victims is None else Plan(placement, victims)


def _list_slot_costs(
    spaces: list[ledgers.Space],
    job: model.Job,
    get_limit: placements.GetRoom,
    is_eligible: IsEligible,
) -> list[tuple[int, str]]:
    """Return for each part that could fit the accelerators to be stopped."""
    size = job.spec.shape.accelerators
    costs: list[tuple[int, str]] = []
    for space in spaces:
        limit = get_limit(space)
        if limit < size:
            continue
        soon = ledgers.get_soon(space)
        potential = soon
        if potential < limit:
            potential += _sum_eligible(space, job, is_eligible)
        for count in range(1, min(limit, potential) // size + 1):
            cost = min(size, max(0, count * size - soon))
            costs.append((cost, space.worker.id))
    return costs


def _sum_eligible(
    space: ledgers.Space, job: model.Job, is_eligible: IsEligible
) -> int:
    """Return what can be stopped without cutting into others' guarantees."""
    by_account: dict[str, int] = {}
    for entry in space.jobs.values():
        if decisions.is_stoppable(entry.job) and is_eligible(space, entry):
            account = entry.job.account
            by_account[account] = by_account.get(account, 0) + _count_held(
                entry, space.worker.id
            )
    total = 0
    for account, held in by_account.items():
        if account == job.account:
            total += held
        else:
            over = space.used[account] - space.pledged.get(account, 0)
            total += min(held, over)
    return total


def _choose_victims(
    spaces: dict[str, ledgers.Space],
    placement: model.Placement,
    is_eligible: IsEligible,
) -> tuple[decisions.Running, ...] | None:
    """Return jobs whose end makes the placement free, or None.

    The least urgent and the youngest are stopped first; a job that turns out
    not to be needed is left alone.
    """
    missing: dict[str, int] = {}
    for worker_id, accelerators in placement:
        missing[worker_id] = missing.get(worker_id, 0) + accelerators
    for worker_id in missing:
        missing[worker_id] -= ledgers.get_soon(spaces[worker_id])
    chosen: dict[str, decisions.Running] = {}
    for worker_id in missing:
        _choose_on(spaces[worker_id], missing, chosen, is_eligible)
        if missing[worker_id] > 0:
            return None
    for entry in list(chosen.values()):
        _count_out(missing, entry, -1)
        if all(amount <= 0 for amount in missing.values()):
            del chosen[entry.job.id]
        else:
            _count_out(missing, entry, 1)
    return tuple(chosen.values())


def _choose_on(
    space: ledgers.Space,
    missing: dict[str, int],
    chosen: dict[str, decisions.Running],
    is_eligible: IsEligible,
) -> None:
    """Add victims until nothing is missing on a worker."""
    worker_id = space.worker.id
    before = dict(space.used)
    candidates = sorted(
        space.jobs.values(),
        key=lambda entry: (
            -_RANKS[entry.job.spec.urgency],
            -entry.since_ms,
            entry.job.id,
        ),
    )
    for entry in candidates:
        if missing[worker_id] <= 0:
            break
        if (
            entry.job.id not in chosen
            and decisions.is_stoppable(entry.job)
            and is_eligible(space, entry)
        ):
            chosen[entry.job.id] = entry
            _count_out(missing, entry, 1)
            # Rules that compare use and guarantee see the victims gone.
            space.used[entry.job.account] -= _count_held(entry, worker_id)
    space.used = before


def _count_out(
    missing: dict[str, int], entry: decisions.Running, sign: int
) -> None:
    for worker_id, accelerators in entry.placement:
        if worker_id in missing:
            missing[worker_id] -= sign * accelerators


def _can_move(ledger: ledgers.Ledger, job: model.Job, plan: Plan) -> bool:
    """Return whether all jobs to be stopped fit elsewhere at once."""
    ledgers.claim(ledger, job, plan.placement)
    moved: list[tuple[model.Job, model.Placement]] = []
    for victim in plan.victims:
        place = placements.find_placement(ledger, victim.job)
        if place is None:
            break
        ledgers.take(ledger, victim.job, place)
        moved.append((victim.job, place))
    for victim_job, place in moved:
        ledgers.take(ledger, victim_job, place, -1)
    ledgers.claim(ledger, job, plan.placement, -1)
    return len(moved) == len(plan.victims)
