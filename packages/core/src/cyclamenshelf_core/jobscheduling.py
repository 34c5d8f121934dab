"""Scheduling of queued jobs within guarantees and by urgency."""

from cyclamenshelf_core import claims
from cyclamenshelf_core import decisions
from cyclamenshelf_core import decisionstate
from cyclamenshelf_core import ledger as ledgers
from cyclamenshelf_core import model
from cyclamenshelf_core import ordering
from cyclamenshelf_core import placement as placements
from cyclamenshelf_core import preemption

# An account that would exceed this fraction of the fleet leaves free what the
# other accounts used recently. Otherwise the non-preemptible jobs of a large
# burst take every accelerator that the short jobs of others free, and occupy it
# for a whole run time.
_LARGE_ACCOUNT_FRACTION = 0.5


def schedule_guaranteed(
    state: decisionstate.DecisionState,
    queues: dict[model.Urgency, dict[str, list[model.Job]]],
) -> None:
    """Schedule jobs within the guarantees of their accounts."""
    for account in sorted(state.ledger.guaranteed_workers):
        unplaceable: set[model.Shape] = set()
        for urgency in model.Urgency:
            for job in queues[urgency].get(account, ()):
                if job.id in state.decided or job.spec.shape in unplaceable:
                    continue
                if decisionstate.get_plan_block_reason(state, job) is not None:
                    continue
                found = preemption.plan_reclaim(
                    state.ledger, job, state.snapshot.now_ms
                )
                if found is None:
                    unplaceable.add(job.spec.shape)
                    continue
                decisionstate.apply_plan(state, job, found, "reclaim")
                ordering.charge_usage(
                    state.usage, job, decisionstate.estimate_run_ms(state, job)
                )


def schedule_urgency(
    state: decisionstate.DecisionState, by_account: dict[str, list[model.Job]]
) -> None:
    """Schedule the jobs of an urgency by weighted usage of accounts."""
    lists = state.snapshot.lists
    weights = {
        account: model.get_plan(lists, account).weight
        for account in by_account
        if account in lists.accounts
    }
    # Jobs with a reservation come first. Otherwise other jobs would start on
    # their workers and be preempted by the next decision.
    for jobs in by_account.values():
        for job in jobs:
            if job.id not in state.reservations or job.id in state.decided:
                continue
            if _schedule_job(state, job):
                ordering.charge_usage(
                    state.usage, job, decisionstate.estimate_run_ms(state, job)
                )
    fair_queue = ordering.FairQueue(by_account, state.usage, weights)
    while (job := fair_queue.pop_job()) is not None:
        if job.id in state.decided:
            continue
        if _schedule_job(state, job):
            fair_queue.charge(job, decisionstate.estimate_run_ms(state, job))


def schedule_deferred(state: decisionstate.DecisionState) -> None:
    """Schedule the deferred jobs that no longer take capacity of others.

    The others may have got theirs by now. Without this, the next decision
    would preempt jobs for them before any victim of this one has stopped.
    """
    progress = True
    while progress:
        progress = False
        waiting, state.deferred = state.deferred, {}
        # Nothing has changed for an account since its last smaller job.
        smallest: dict[tuple[str, bool], int] = {}
        for job in waiting.values():
            key = (job.account, decisions.is_preemptible(job))
            wanted = decisions.count_accelerators(job.spec.shape)
            if wanted >= smallest.get(key, wanted + 1):
                state.deferred[job.id] = job
            elif _schedule_job(state, job):
                ordering.charge_usage(
                    state.usage, job, decisionstate.estimate_run_ms(state, job)
                )
                progress = True
            elif job.id not in state.decided:
                smallest[key] = wanted


def _schedule_job(state: decisionstate.DecisionState, job: model.Job) -> bool:
    """Decide on one job or defer it; return whether it gets capacity."""
    reservation = state.reservations.pop(job.id, None)
    if reservation is not None:
        ledgers.reserve(
            state.ledger, decisionstate.sum_by_worker(reservation.placement), -1
        )
    reason = decisionstate.get_plan_block_reason(state, job)
    if reason is not None:
        decisionstate.block_job(state, job, reason)
        return False
    key = (
        job.account,
        job.spec.shape,
        decisions.is_preemptible(job),
        job.spec.urgency,
    )
    if reservation is None and key in state.blocked_classes:
        if not _reserve_workers(state, job, None):
            decisionstate.block_job(state, job, state.blocked_classes[key])
        return False
    if _takes_capacity_of_others(state, job):
        state.deferred[job.id] = job
        return False
    found = _find_placement(state.ledger, job)
    if found is not None:
        decisionstate.start_job(state, job, found)
        return True
    if job.failed_workers:
        decisionstate.block_job(state, job, "no_capacity")
        return False
    if reservation is not None and claims.fulfil_claim(
        state, job, reservation._replace(kind="backfill")
    ):
        return True
    if _try_preemption(state, job):
        return True
    if key not in state.blocked_classes:
        state.blocked_classes[key] = _get_block_reason(state, job)
    if not _reserve_workers(state, job, reservation):
        decisionstate.block_job(state, job, state.blocked_classes[key])
    return False


def _takes_capacity_of_others(
    state: decisionstate.DecisionState, job: model.Job
) -> bool:
    """Return whether a job would use capacity that others used recently."""
    ledger = state.ledger
    held = ledger.allocated_by_account
    wanted = decisions.count_accelerators(job.spec.shape)
    limit = _LARGE_ACCOUNT_FRACTION * state.fleet_accelerators
    # Otherwise a gang that exceeds the limit by itself could wait for ever.
    if held.get(job.account, 0) + wanted <= limit or wanted > limit:
        return False
    recently_used = 0.0
    for account, recent_use in state.recent_use.items():
        if account != job.account:
            guaranteed = sum(
                capacity.guaranteed[account]
                for capacity in ledger.guaranteed_workers.get(account, ())
            )
            recently_used += max(
                0.0, recent_use - max(held.get(account, 0), guaranteed)
            )
    kind = ledgers.CapacityKind.UNRESERVED
    if decisions.is_preemptible(job):
        kind = ledgers.CapacityKind.ANY
    free = sum(rack.totals[kind] for rack in ledger.racks.values())
    return recently_used > 0 and free < wanted + recently_used


def _find_placement(
    ledger: ledgers.Ledger, job: model.Job
) -> model.Placement | None:
    """Return workers for a gang, avoiding those on which it failed before.

    A worker that fails every job is free again immediately. Without this, the
    same job would be placed on it again until it runs out of attempts.
    """
    avoided = set(job.failed_workers) & ledger.capacities.keys()
    if len(avoided) >= len(ledger.capacities):
        avoided = set()
    blocked = tuple(
        model.PartPlacement(worker_id, free)
        for worker_id in sorted(avoided)
        if (
            free := ledger.capacities[worker_id].free_by_kind[
                ledgers.CapacityKind.ANY
            ]
        )
    )
    ledgers.allocate(ledger, job, blocked)
    found = placements.find_placement(ledger, job)
    ledgers.allocate(ledger, job, blocked, -1)
    return found


def _try_preemption(state: decisionstate.DecisionState, job: model.Job) -> bool:
    """Preempt background jobs or move preemptible jobs for a blocked job."""
    if state.searches_left <= 0:
        return False
    state.searches_left -= 1
    now_ms = state.snapshot.now_ms
    if job.spec.urgency is model.Urgency.URGENT:
        found = preemption.plan_urgent(state.ledger, job, now_ms)
        if found is not None:
            decisionstate.apply_plan(state, job, found, "urgent")
            return True
    if decisions.count_accelerators(job.spec.shape) > 1:
        found = preemption.plan_compaction(state.ledger, job, now_ms)
        if found is not None:
            decisionstate.apply_plan(state, job, found, "compaction")
            return True
    return False


def _reserve_workers(
    state: decisionstate.DecisionState,
    job: model.Job,
    reservation: decisions.Claim | None,
) -> bool:
    """Reserve workers for a large job that has waited for a long time.

    Only one job of each account and urgency has a reservation at a time, so
    that a queue of large jobs does not reserve the whole fleet.
    """
    holder = (job.account, job.spec.urgency)
    waited_ms = state.snapshot.now_ms - job.accepted_ms
    if (
        holder in state.reserved_queues
        or waited_ms < preemption.RESERVE_AFTER_MS
        or decisions.count_accelerators(job.spec.shape) < state.ledger.largest
    ):
        return False
    if reservation is None and state.searches_left > 0:
        state.searches_left -= 1
        now_ms = state.snapshot.now_ms
        placement = preemption.plan_reservation(
            state.ledger, job, state.snapshot.run_time_ratios, now_ms
        )
        if placement is not None:
            reservation = decisions.Claim(placement, "hold", now_ms)
    if reservation is None:
        return False
    state.reserved_queues.add(holder)
    ledgers.reserve(
        state.ledger, decisionstate.sum_by_worker(reservation.placement)
    )
    state.claims[job.id] = reservation
    decisionstate.block_job(state, job, "waiting_for_reserved_workers")
    return True


def _get_block_reason(
    state: decisionstate.DecisionState, job: model.Job
) -> str:
    """Return the reason code of a job that does not fit."""
    ledger = state.ledger
    if not placements.fits_when_empty(ledger, job, exclude_guaranteed=False):
        return "never_fits"
    if decisions.is_preemptible(job):
        return "no_capacity"
    if not placements.fits_when_empty(ledger, job, exclude_guaranteed=True):
        return "guarantee_reserved"
    preemptible_job = job._replace(
        spec=job.spec._replace(checkpointable=True, repeatable=True)
    )
    if placements.find_placement(ledger, preemptible_job) is None:
        return "no_capacity"
    return (
        "guarantee_reserved"
        if ledger.guaranteed_workers
        else "workers_reserved"
    )
