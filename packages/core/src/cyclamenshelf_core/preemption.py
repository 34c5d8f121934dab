"""Placement of gangs on workers where other jobs must be stopped first."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import decisions
from cyclamenshelf_core import guarantees
from cyclamenshelf_core import ledger as ledgers
from cyclamenshelf_core import model
from cyclamenshelf_core import placement as placements
from cyclamenshelf_core import runtimes

IsEligible = Callable[[ledgers.WorkerCapacity, decisions.RunningJob], bool]

# A blocked large job gets a reservation after it has waited this long.
RESERVE_AFTER_MS = 60_000
# A job is not moved until it has run this long. Without the limit, a decision
# stopped jobs that the previous one had just started.
_MIN_RUN_BEFORE_MOVE_MS = 10_000

_RANKS = {urgency: rank for rank, urgency in enumerate(model.Urgency)}


class PreemptionPlan(NamedTuple):
    """Workers for a gang and the jobs that must be stopped there first."""

    placement: model.Placement
    victims: tuple[decisions.RunningJob, ...]


def plan_reclaim(
    ledger: ledgers.Ledger, job: model.Job, now_ms: int
) -> PreemptionPlan | None:
    """Return a plan to start a gang within its account's guarantee, or None.

    None means that the gang does not fit in the unused part of the guarantee.
    """
    groups: dict[tuple[str, ...], list[ledgers.WorkerCapacity]] = {}
    for capacity in ledger.guaranteed_workers.get(job.account, ()):
        key = guarantees.get_group(capacity.worker, job.spec.shape.within)
        groups.setdefault(key, []).append(capacity)

    def get_limit(capacity: ledgers.WorkerCapacity) -> int:
        account = job.account
        left = capacity.guaranteed[account] - capacity.used.get(account, 0)
        return max(0, left)

    return _find_cheapest_plan(
        groups.values(),
        job,
        get_limit,
        make_victim_filter("reclaim", job, now_ms),
    )


def plan_urgent(
    ledger: ledgers.Ledger, job: model.Job, now_ms: int
) -> PreemptionPlan | None:
    """Return a plan for an urgent gang to preempt background jobs, or None."""
    return _find_cheapest_plan(
        ledgers.list_groups(ledger, job.spec.shape.within),
        job,
        lambda capacity: ledgers.get_non_preemptible_limit(
            capacity, job.account
        ),
        make_victim_filter("urgent", job, now_ms),
    )


def make_victim_filter(kind: str, job: model.Job, at_ms: int) -> IsEligible:
    """Return a predicate for the running jobs that a queued job may preempt.

    Args:
        kind: The kind of a `decisions.Claim`.
        job: The queued job.
        at_ms: Unix time of the decision; for `backfill`, of the reservation.
    """
    if kind == "reclaim":
        return lambda capacity, victim: (
            victim.job.account != job.account
            and _is_over_guarantee(capacity, victim)
        )
    if kind == "urgent":
        lowest = _RANKS[model.Urgency.BACKGROUND]
    else:
        lowest = _RANKS[job.spec.urgency]

    def is_eligible(
        capacity: ledgers.WorkerCapacity, victim: decisions.RunningJob
    ) -> bool:
        if _RANKS[victim.job.spec.urgency] < lowest:
            return False
        if (
            kind == "compaction"
            and at_ms - victim.since_ms < _MIN_RUN_BEFORE_MOVE_MS
        ):
            return False
        # Without this limit, two gangs with reservations would preempt each
        # other in turn.
        if kind == "backfill" and not (
            victim.since_ms > at_ms and victim.job.accepted_ms > job.accepted_ms
        ):
            return False
        return victim.job.account == job.account or _is_over_guarantee(
            capacity, victim
        )

    return is_eligible


def plan_for_placement(
    ledger: ledgers.Ledger,
    placement: model.Placement,
    is_eligible: IsEligible,
) -> PreemptionPlan | None:
    """Return which jobs to stop for a given placement, or None."""
    victims = _choose_victims(ledger.capacities, placement, is_eligible)
    return None if victims is None else PreemptionPlan(placement, victims)


def plan_compaction(
    ledger: ledgers.Ledger, job: model.Job, now_ms: int
) -> PreemptionPlan | None:
    """Return a plan to free capacity by moving preemptible jobs, or None.

    Every job that is stopped fits on other workers immediately.
    """
    shape = job.spec.shape
    if decisions.count_accelerators(shape) > sum(
        max(0, capacity.free) for capacity in ledger.capacities.values()
    ):
        return None
    plan = _find_cheapest_plan(
        ledgers.list_groups(ledger, shape.within),
        job,
        lambda capacity: ledgers.get_non_preemptible_limit(
            capacity, job.account
        ),
        make_victim_filter("compaction", job, now_ms),
    )
    if plan is None or not _can_relocate(ledger, job, plan):
        return None
    return plan


def plan_reservation(
    ledger: ledgers.Ledger,
    job: model.Job,
    run_time_ratios: dict[str, float],
    now_ms: int,
) -> model.Placement | None:
    """Return the workers on which a gang is expected to fit first."""
    shape = job.spec.shape
    best: list[tuple[int, str]] | None = None
    for capacities in ledgers.list_groups(ledger, shape.within):
        slots: list[tuple[int, str]] = []
        for capacity in capacities:
            slots += _list_slot_times(capacity, job, run_time_ratios, now_ms)
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
    capacity: ledgers.WorkerCapacity,
    job: model.Job,
    run_time_ratios: dict[str, float],
    now_ms: int,
) -> list[tuple[int, str]]:
    """Return the time and worker id of each part that will fit on a worker."""
    size = job.spec.shape.accelerators
    others = sum(capacity.guaranteed.values()) - capacity.guaranteed.get(
        job.account, 0
    )
    limit = (
        capacity.worker.accelerators - others - capacity.claimed - capacity.held
    )
    if limit < size:
        return []
    ends = sorted(
        (runtimes.estimate_end_ms(entry, run_time_ratios, now_ms), held)
        for entry in capacity.jobs.values()
        if (held := _count_on_worker(entry, capacity.worker.id))
    )
    free = capacity.free + capacity.stopping - capacity.claimed
    slots: list[tuple[int, str]] = []
    for end_ms, held in [(now_ms, 0), *ends]:
        free += held
        count = min(free, limit) // size - len(slots)
        slots += [(end_ms, capacity.worker.id)] * count
    return slots


def _count_on_worker(entry: decisions.RunningJob, worker_id: str) -> int:
    return sum(
        accelerators
        for placed_on, accelerators in entry.placement
        if placed_on == worker_id
    )


def _is_over_guarantee(
    capacity: ledgers.WorkerCapacity, victim: decisions.RunningJob
) -> bool:
    """Return whether a job's account exceeds its guarantee on the worker."""
    account = victim.job.account
    return capacity.used.get(account, 0) > capacity.guaranteed.get(account, 0)


def _find_cheapest_plan(
    groups: Iterable[list[ledgers.WorkerCapacity]],
    job: model.Job,
    get_limit: placements.GetCapacity,
    is_eligible: IsEligible,
) -> PreemptionPlan | None:
    """Return the plan for the group with the fewest accelerators to stop."""
    shape = job.spec.shape
    best: (
        tuple[int, model.Placement, dict[str, ledgers.WorkerCapacity]] | None
    ) = None
    for capacities in groups:
        costs = _list_slot_costs(capacities, job, get_limit, is_eligible)
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
                {capacity.worker.id: capacity for capacity in capacities},
            )
            if total == 0:
                break
    if best is None:
        return None
    _, placement, by_id = best
    victims = _choose_victims(by_id, placement, is_eligible)
    return None if victims is None else PreemptionPlan(placement, victims)


def _list_slot_costs(
    capacities: list[ledgers.WorkerCapacity],
    job: model.Job,
    get_limit: placements.GetCapacity,
    is_eligible: IsEligible,
) -> list[tuple[int, str]]:
    """Return the accelerators to stop and the worker id for each slot."""
    size = job.spec.shape.accelerators
    costs: list[tuple[int, str]] = []
    for capacity in capacities:
        limit = get_limit(capacity)
        if limit < size:
            continue
        free_after_stops = ledgers.get_free_after_stops(capacity)
        potential = free_after_stops
        if potential < limit:
            potential += _sum_preemptible(capacity, job, is_eligible)
        for count in range(1, min(limit, potential) // size + 1):
            cost = min(size, max(0, count * size - free_after_stops))
            costs.append((cost, capacity.worker.id))
    return costs


def _sum_preemptible(
    capacity: ledgers.WorkerCapacity, job: model.Job, is_eligible: IsEligible
) -> int:
    """Return what can be preempted without violating others' guarantees."""
    by_account: dict[str, int] = {}
    for entry in capacity.jobs.values():
        if decisions.is_preemptible(entry.job) and is_eligible(capacity, entry):
            account = entry.job.account
            by_account[account] = by_account.get(account, 0) + _count_on_worker(
                entry, capacity.worker.id
            )
    total = 0
    for account, held in by_account.items():
        if account == job.account:
            total += held
        else:
            over = capacity.used[account] - capacity.guaranteed.get(account, 0)
            total += min(held, over)
    return total


def _choose_victims(
    capacities: dict[str, ledgers.WorkerCapacity],
    placement: model.Placement,
    is_eligible: IsEligible,
) -> tuple[decisions.RunningJob, ...] | None:
    """Return the jobs to stop in order to free a placement, or None.

    The least urgent and most recently started jobs are chosen first. A job
    that turns out not to be needed is dropped from the choice.
    """
    missing: dict[str, int] = {}
    for worker_id, accelerators in placement:
        missing[worker_id] = missing.get(worker_id, 0) + accelerators
    for worker_id in missing:
        missing[worker_id] -= ledgers.get_free_after_stops(
            capacities[worker_id]
        )
    chosen: dict[str, decisions.RunningJob] = {}
    for worker_id in missing:
        _choose_victims_on_worker(
            capacities[worker_id], missing, chosen, is_eligible
        )
        if missing[worker_id] > 0:
            return None
    for entry in list(chosen.values()):
        _subtract_accelerators(missing, entry, -1)
        if all(amount <= 0 for amount in missing.values()):
            del chosen[entry.job.id]
        else:
            _subtract_accelerators(missing, entry, 1)
    return tuple(chosen.values())


def _choose_victims_on_worker(
    capacity: ledgers.WorkerCapacity,
    missing: dict[str, int],
    chosen: dict[str, decisions.RunningJob],
    is_eligible: IsEligible,
) -> None:
    """Add victims until enough accelerators are freed on a worker."""
    worker_id = capacity.worker.id
    before = dict(capacity.used)
    candidates = sorted(
        capacity.jobs.values(),
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
            and decisions.is_preemptible(entry.job)
            and is_eligible(capacity, entry)
        ):
            chosen[entry.job.id] = entry
            _subtract_accelerators(missing, entry, 1)
            # `is_eligible` compares use and guarantee without the victims.
            capacity.used[entry.job.account] -= _count_on_worker(
                entry, worker_id
            )
    capacity.used = before


def _subtract_accelerators(
    missing: dict[str, int], entry: decisions.RunningJob, sign: int
) -> None:
    for worker_id, accelerators in entry.placement:
        if worker_id in missing:
            missing[worker_id] -= sign * accelerators


def _can_relocate(
    ledger: ledgers.Ledger, job: model.Job, plan: PreemptionPlan
) -> bool:
    """Return whether all jobs to be stopped fit elsewhere immediately."""
    ledgers.claim(ledger, job, plan.placement)
    moved: list[tuple[model.Job, model.Placement]] = []
    for victim in plan.victims:
        place = placements.find_placement(ledger, victim.job)
        if place is None:
            break
        ledgers.allocate(ledger, victim.job, place)
        moved.append((victim.job, place))
    for victim_job, place in moved:
        ledgers.allocate(ledger, victim_job, place, -1)
    ledgers.claim(ledger, job, plan.placement, -1)
    return len(moved) == len(plan.victims)
