"""Scheduling policy of a cell owner: where jobs start and which are preempted.

A decision has these steps:

1. Assign the guarantees of all accounts to workers.
2. Fulfil the claims of earlier decisions: start these jobs, or let them wait.
3. Schedule each account's jobs within its guarantee, preempting borrowers if
   necessary.
4. Schedule urgent, normal and background jobs by weighted usage of accounts.
"""

from typing import NamedTuple

from cyclamenshelf_core import decisions
from cyclamenshelf_core import guarantees
from cyclamenshelf_core import ledger as ledgers
from cyclamenshelf_core import model
from cyclamenshelf_core import ordering
from cyclamenshelf_core import placement as placements
from cyclamenshelf_core import preemption
from cyclamenshelf_core import runtimes
from cyclamenshelf_core import usage as usages

Blocked = decisions.Blocked
Claim = decisions.Claim
Decision = decisions.Decision
Preempt = decisions.Preempt
RunningJob = decisions.RunningJob
Snapshot = decisions.Snapshot
Start = decisions.Start

# Maximum number of searches over the whole fleet in one decision. It limits the
# run time when many shapes are blocked; the next decision searches for the
# remaining jobs.
_MAX_SEARCHES = 32
# Blocked jobs are evaluated again after this time even if no event occurs,
# because latest start times and reservations become due as time passes.
REVIEW_INTERVAL_MS = 1_000

# An account that would exceed this fraction of the fleet leaves free what the
# other accounts used recently. Otherwise the non-preemptible jobs of a large
# burst take every accelerator that the short jobs of others free, and occupy it
# for a whole run time.
_LARGE_ACCOUNT_FRACTION = 0.5

_JobClass = tuple[str, model.Shape, bool, model.Urgency]


class Outcome(NamedTuple):
    """The decisions, and the state that the next decision needs."""

    decisions: list[Decision]
    assignment: guarantees.Assignment
    claims: dict[str, Claim]


class PolicyState:
    """State that a cell owner keeps between decisions.

    Attributes:
        assignment: The assignment of guarantees in force.
        claims: Workers reserved for queued jobs, by job id.
        usage: Decayed accelerator-seconds by account; None before the first
            decision.
        ratio_samples: Ratios of observed to declared run time by account.
        running: Running jobs of the last snapshot.
        held: Accelerators by account after the last decision.
        ledger: Capacity of the workers, updated incrementally.
        snapshot_ms: Unix time of the last snapshot.
    """

    def __init__(self) -> None:
        self.assignment: guarantees.Assignment | None = None
        self.claims: dict[str, Claim] = {}
        self.usage: dict[str, float] | None = None
        self.ratio_samples: dict[str, list[float]] = {}
        self.running: dict[str, RunningJob] = {}
        self.held: dict[str, int] = {}
        self.ledger: ledgers.Ledger | None = None
        self.snapshot_ms = 0


class _DecisionState:
    """State of one decision.

    Attributes:
        snapshot: The inputs of the decision.
        ledger: Capacity of the workers.
        usage: Decayed accelerator-seconds by account, with the jobs that
            this decision starts.
        recent_use: Average accelerators that each account used recently.
        fleet_accelerators: Accelerators of all workers.
        decisions: The decisions so far.
        decided: Ids of the queued jobs that are decided on.
        claims: The claims for the next decision, by job id.
        reservations: Claims of kind `hold` of earlier decisions, by job id.
        blocked_classes: Reason codes of the job classes that do not fit.
        reserved_queues: Account and urgency of the queues of which a job has
            a reservation.
        deferred: Jobs that would use capacity that others used recently, by
            id.
        searches_left: Searches that this decision may still make.
    """

    def __init__(self, snapshot: Snapshot, ledger: ledgers.Ledger) -> None:
        self.snapshot = snapshot
        self.ledger = ledger
        usage = snapshot.usage
        if usage is None:
            usage = usages.estimate_usage(
                snapshot.running.values(), snapshot.now_ms
            )
        self.usage = dict(usage)
        self.recent_use = {
            account: usages.compute_average_accelerators(used)
            for account, used in usage.items()
            if account in snapshot.lists.accounts
        }
        self.fleet_accelerators = sum(
            worker.accelerators for worker in snapshot.workers.values()
        )
        self.decisions: list[Decision] = []
        self.decided: set[str] = set()
        self.claims: dict[str, Claim] = {}
        self.reservations: dict[str, Claim] = {}
        self.blocked_classes: dict[_JobClass, str] = {}
        self.reserved_queues: set[tuple[str, model.Urgency]] = set()
        self.deferred: dict[str, model.Job] = {}
        self.searches_left = _MAX_SEARCHES


def decide(snapshot: Snapshot) -> list[Decision]:
    """Return the decisions for a snapshot, without state of earlier ones."""
    return plan(snapshot).decisions


def advance(state: PolicyState, snapshot: Snapshot) -> list[Decision]:
    """Return the decisions and update the state for the next call."""
    _update_observations(state, snapshot)
    if state.ledger is None or state.ledger.workers != snapshot.workers:
        state.ledger = ledgers.Ledger(snapshot.workers)
    outcome = plan(
        snapshot._replace(
            usage=state.usage,
            run_time_ratios={
                account: runtimes.compute_ratio(samples)
                for account, samples in state.ratio_samples.items()
            },
            assignment=state.assignment,
            claims=state.claims,
        ),
        state.ledger,
    )
    state.assignment = outcome.assignment
    state.claims = outcome.claims
    state.held = dict(state.ledger.allocated_by_account)
    accounts = {job.id: job.account for job in snapshot.queued}
    for decision in outcome.decisions:
        if isinstance(decision, Start):
            account = accounts[decision.job_id]
            state.held[account] = state.held.get(account, 0) + sum(
                part.accelerators for part in decision.placement
            )
    return outcome.decisions


def plan(snapshot: Snapshot, ledger: ledgers.Ledger | None = None) -> Outcome:
    """Return the decisions and the state that the next decision needs.

    Args:
        snapshot: The inputs of the decision.
        ledger: Ledger of the same workers from the last decision, or None.
    """
    snapshot = snapshot._replace(lists=_drop_unknown_plans(snapshot.lists))
    if ledger is None:
        ledger = ledgers.Ledger(snapshot.workers)
    ledgers.update_running(ledger, snapshot.running)
    assignment = guarantees.plan_guarantees(
        snapshot.lists,
        snapshot.workers,
        ledgers.sum_non_preemptible(ledger),
        _get_valid_assignment(snapshot),
    )
    ledgers.update_guaranteed(
        ledger, guarantees.sum_guaranteed(snapshot.lists, assignment)
    )
    try:
        state = _DecisionState(snapshot, ledger)
        _schedule_all(state, assignment)
    finally:
        ledgers.roll_back(ledger)
    return Outcome(state.decisions, assignment, state.claims)


def _schedule_all(
    state: _DecisionState, assignment: guarantees.Assignment
) -> None:
    """Decide on every queued job."""
    snapshot = state.snapshot
    ledgers.reserve(
        state.ledger, guarantees.sum_pending(snapshot.lists, assignment)
    )
    queues = ordering.group_jobs(
        snapshot.queued, snapshot.run_time_ratios, snapshot.now_ms
    )
    _fulfil_claims(state, queues[model.Urgency.URGENT])
    _schedule_guaranteed(state, queues)
    for urgency in model.Urgency:
        _apply_reservations(state, urgency)
        _schedule_urgency(state, queues[urgency])
        _schedule_deferred(state)
    for job in state.deferred.values():
        _block_job(state, job, "kept_for_others")


def compute_free_accelerators(snapshot: Snapshot) -> dict[str, int]:
    """Return the unallocated accelerators by worker id."""
    free = {
        worker.id: worker.accelerators for worker in snapshot.workers.values()
    }
    for running in snapshot.running.values():
        for part in running.placement:
            if part.worker_id in free:
                free[part.worker_id] -= part.accelerators
    return free


def _update_observations(state: PolicyState, snapshot: Snapshot) -> None:
    """Update usage and run time ratios to the time of the snapshot."""
    now_ms = snapshot.now_ms
    running = snapshot.running
    if state.usage is None:
        state.usage = usages.estimate_usage(running.values(), now_ms)
        state.ratio_samples = runtimes.list_overruns(running.values(), now_ms)
    else:
        state.usage = usages.advance_usage(
            state.usage, state.held, max(0, now_ms - state.snapshot_ms)
        )
        waiting = {job.id for job in snapshot.queued}
        for job_id in sorted(state.running.keys() - running.keys()):
            entry = state.running[job_id]
            if job_id in waiting or entry.stopping:
                continue
            declared_ms = max(1, entry.job.spec.expected_run_ms)
            runtimes.add_sample(
                state.ratio_samples.setdefault(entry.job.account, []),
                max(0, now_ms - entry.since_ms) / declared_ms,
            )
    state.running = dict(running)
    state.snapshot_ms = now_ms


def _drop_unknown_plans(lists: model.Lists) -> model.Lists:
    """Return the lists without accounts whose plan is not listed."""
    if all(account.plan in lists.plans for account in lists.accounts.values()):
        return lists
    return lists._replace(
        accounts={
            name: account
            for name, account in lists.accounts.items()
            if account.plan in lists.plans
        }
    )


def _get_valid_assignment(
    snapshot: Snapshot,
) -> guarantees.Assignment | None:
    """Return the assignment in force without guarantees removed since then."""
    if snapshot.assignment is None:
        return None
    accounts = snapshot.lists.accounts

    def is_listed(key: guarantees.GuaranteeKey) -> bool:
        return key.account in accounts and key.index < len(
            model.get_plan(snapshot.lists, key.account).guarantees
        )

    assignment = snapshot.assignment
    return assignment._replace(
        assigned={
            key: workers
            for key, workers in assignment.assigned.items()
            if is_listed(key)
        }
    )


def _fulfil_claims(
    state: _DecisionState, urgent: dict[str, list[model.Job]]
) -> None:
    """Start jobs on the workers that they claim, or renew their claims.

    Args:
        state: State of the decision.
        urgent: Urgent queued jobs by account.
    """
    queued = {job.id: job for job in state.snapshot.queued}
    for job_id, claim in state.snapshot.claims.items():
        job = queued.get(job_id)
        if job is None or not _is_placement_valid(state, job, claim.placement):
            continue
        if claim.kind == "hold":
            state.reservations[job_id] = claim
            continue
        if claim.kind == "reclaim":
            _schedule_urgent_before(
                state, job, claim.placement, urgent.get(job.account, [])
            )
        if _get_plan_block_reason(state, job) is None:
            _fulfil_claim(state, job, claim)


def _schedule_urgent_before(
    state: _DecisionState,
    job: model.Job,
    placement: model.Placement,
    urgent: list[model.Job],
) -> None:
    """Schedule urgent jobs that fit in the guarantee only before a claim.

    Urgent jobs preempt background jobs of their account. If the claim of such
    a job were fulfilled first, the next decision would preempt what this one
    starts.
    """
    if job.spec.urgency is not model.Urgency.BACKGROUND:
        return
    for urgent_job in urgent:
        if (
            urgent_job.id in state.decided
            or urgent_job.id in state.snapshot.claims
            or _get_plan_block_reason(state, urgent_job) is not None
        ):
            continue
        now_ms = state.snapshot.now_ms
        ledgers.claim(state.ledger, job, placement)
        after_claim = preemption.plan_reclaim(state.ledger, urgent_job, now_ms)
        ledgers.claim(state.ledger, job, placement, -1)
        if after_claim is not None:
            continue
        found = preemption.plan_reclaim(state.ledger, urgent_job, now_ms)
        if found is not None:
            _apply_plan(state, urgent_job, found, "reclaim")
            ordering.charge_usage(
                state.usage, urgent_job, _estimate_run_ms(state, urgent_job)
            )


def _fulfil_claim(state: _DecisionState, job: model.Job, claim: Claim) -> bool:
    """Start a job on the claimed workers, preempting others if necessary.

    Return whether the job starts or claims the workers.
    """
    for worker_id, wanted in _sum_by_worker(claim.placement).items():
        capacity = state.ledger.capacities[worker_id]
        limit = ledgers.get_non_preemptible_limit(capacity, job.account)
        if claim.kind == "reclaim":
            # The guarantee may have been assigned to other workers since.
            guaranteed = capacity.guaranteed.get(job.account, 0)
            limit = min(limit, guaranteed - capacity.used.get(job.account, 0))
        if limit < wanted:
            return False
    at_ms = state.snapshot.now_ms
    if claim.kind == "backfill":
        at_ms = claim.since_ms
    found = preemption.plan_for_placement(
        state.ledger,
        claim.placement,
        preemption.make_victim_filter(claim.kind, job, at_ms),
    )
    if found is None:
        return False
    _apply_plan(state, job, found, claim.kind, claim.since_ms)
    return True


def _is_placement_valid(
    state: _DecisionState, job: model.Job, placement: model.Placement
) -> bool:
    """Return whether all workers exist and are not guaranteed to others."""
    for worker_id, wanted in _sum_by_worker(placement).items():
        capacity = state.ledger.capacities.get(worker_id)
        if capacity is None:
            return False
        own = capacity.guaranteed.get(job.account, 0)
        others = sum(capacity.guaranteed.values()) - own
        if others + wanted > capacity.worker.accelerators:
            return False
    return True


def _sum_by_worker(placement: model.Placement) -> dict[str, int]:
    amounts: dict[str, int] = {}
    for worker_id, accelerators in placement:
        amounts[worker_id] = amounts.get(worker_id, 0) + accelerators
    return amounts


def _apply_plan(
    state: _DecisionState,
    job: model.Job,
    found: preemption.PreemptionPlan,
    kind: str,
    since_ms: int = 0,
) -> None:
    """Start a job, or preempt the victims and claim the workers for it."""
    is_free = not found.victims and all(
        state.ledger.capacities[worker_id].free_by_kind[
            ledgers.CapacityKind.ANY
        ]
        >= wanted
        for worker_id, wanted in _sum_by_worker(found.placement).items()
    )
    if is_free:
        _start_job(state, job, found.placement)
        return
    for victim in found.victims:
        ledgers.mark_stopping(state.ledger, victim)
        state.decisions.append(
            Preempt(victim.job.id, f"preempted ({kind}) for {job.id}")
        )
    ledgers.claim(state.ledger, job, found.placement)
    state.claims[job.id] = Claim(found.placement, kind, since_ms)
    _block_job(state, job, "waiting_for_preemption")


def _start_job(
    state: _DecisionState, job: model.Job, placement: model.Placement
) -> None:
    ledgers.allocate(state.ledger, job, placement)
    state.decisions.append(Start(job.id, placement))
    state.decided.add(job.id)


def _block_job(state: _DecisionState, job: model.Job, reason: str) -> None:
    state.decisions.append(Blocked(job.id, reason))
    state.decided.add(job.id)


def _get_plan_block_reason(state: _DecisionState, job: model.Job) -> str | None:
    """Return the reason code if the plan prevents a start, or None."""
    lists = state.snapshot.lists
    if job.account not in lists.accounts:
        return "account_not_listed"
    limit = model.get_plan(lists, job.account).max_accelerators
    wanted = decisions.count_accelerators(job.spec.shape)
    if wanted > limit:
        return "never_fits"
    if state.ledger.allocated_by_account.get(job.account, 0) + wanted > limit:
        return "plan_limit"
    return None


def _schedule_guaranteed(
    state: _DecisionState,
    queues: dict[model.Urgency, dict[str, list[model.Job]]],
) -> None:
    """Schedule jobs within the guarantees of their accounts."""
    for account in sorted(state.ledger.guaranteed_workers):
        unplaceable: set[model.Shape] = set()
        for urgency in model.Urgency:
            for job in queues[urgency].get(account, ()):
                if job.id in state.decided or job.spec.shape in unplaceable:
                    continue
                if _get_plan_block_reason(state, job) is not None:
                    continue
                found = preemption.plan_reclaim(
                    state.ledger, job, state.snapshot.now_ms
                )
                if found is None:
                    unplaceable.add(job.spec.shape)
                    continue
                _apply_plan(state, job, found, "reclaim")
                ordering.charge_usage(
                    state.usage, job, _estimate_run_ms(state, job)
                )


def _estimate_run_ms(state: _DecisionState, job: model.Job) -> int:
    return runtimes.estimate_run_ms(job, state.snapshot.run_time_ratios)


def _apply_reservations(state: _DecisionState, urgency: model.Urgency) -> None:
    """Reserve the workers claimed by undecided jobs of this urgency.

    Non-preemptible jobs of this and lower urgencies then cannot use them.
    """
    waiting = {job.id: job for job in state.snapshot.queued}
    for job_id, claim in state.reservations.items():
        job = waiting[job_id]
        if job.spec.urgency is urgency and job_id not in state.decided:
            ledgers.reserve(state.ledger, _sum_by_worker(claim.placement))


def _schedule_urgency(
    state: _DecisionState, by_account: dict[str, list[model.Job]]
) -> None:
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
                    state.usage, job, _estimate_run_ms(state, job)
                )
    fair_queue = ordering.FairQueue(by_account, state.usage, weights)
    while (job := fair_queue.pop_job()) is not None:
        if job.id in state.decided:
            continue
        if _schedule_job(state, job):
            fair_queue.charge(job, _estimate_run_ms(state, job))


def _schedule_deferred(state: _DecisionState) -> None:
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
                    state.usage, job, _estimate_run_ms(state, job)
                )
                progress = True
            elif job.id not in state.decided:
                smallest[key] = wanted


def _schedule_job(state: _DecisionState, job: model.Job) -> bool:
    """Decide on one job or defer it; return whether it gets capacity."""
    reservation = state.reservations.pop(job.id, None)
    if reservation is not None:
        ledgers.reserve(state.ledger, _sum_by_worker(reservation.placement), -1)
    reason = _get_plan_block_reason(state, job)
    if reason is not None:
        _block_job(state, job, reason)
        return False
    key = (
        job.account,
        job.spec.shape,
        decisions.is_preemptible(job),
        job.spec.urgency,
    )
    if reservation is None and key in state.blocked_classes:
        if not _reserve_workers(state, job, None):
            _block_job(state, job, state.blocked_classes[key])
        return False
    if _takes_capacity_of_others(state, job):
        state.deferred[job.id] = job
        return False
    found = _find_placement(state.ledger, job)
    if found is not None:
        _start_job(state, job, found)
        return True
    if job.failed_workers:
        _block_job(state, job, "no_capacity")
        return False
    if reservation is not None and _fulfil_claim(
        state, job, reservation._replace(kind="backfill")
    ):
        return True
    if _try_preemption(state, job):
        return True
    if key not in state.blocked_classes:
        state.blocked_classes[key] = _get_block_reason(state, job)
    if not _reserve_workers(state, job, reservation):
        _block_job(state, job, state.blocked_classes[key])
    return False


def _takes_capacity_of_others(state: _DecisionState, job: model.Job) -> bool:
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


def _try_preemption(state: _DecisionState, job: model.Job) -> bool:
    """Preempt background jobs or move preemptible jobs for a blocked job."""
    if state.searches_left <= 0:
        return False
    state.searches_left -= 1
    now_ms = state.snapshot.now_ms
    if job.spec.urgency is model.Urgency.URGENT:
        found = preemption.plan_urgent(state.ledger, job, now_ms)
        if found is not None:
            _apply_plan(state, job, found, "urgent")
            return True
    if decisions.count_accelerators(job.spec.shape) > 1:
        found = preemption.plan_compaction(state.ledger, job, now_ms)
        if found is not None:
            _apply_plan(state, job, found, "compaction")
            return True
    return False


def _reserve_workers(
    state: _DecisionState, job: model.Job, reservation: Claim | None
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
            reservation = Claim(placement, "hold", now_ms)
    if reservation is None:
        return False
    state.reserved_queues.add(holder)
    ledgers.reserve(state.ledger, _sum_by_worker(reservation.placement))
    state.claims[job.id] = reservation
    _block_job(state, job, "waiting_for_reserved_workers")
    return True


def _get_block_reason(state: _DecisionState, job: model.Job) -> str:
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
