"""Fulfilment of the claims and reservations of earlier decisions."""

from cyclamenshelf_core import decisions
from cyclamenshelf_core import decisionstate
from cyclamenshelf_core import ledger as ledgers
from cyclamenshelf_core import model
from cyclamenshelf_core import ordering
from cyclamenshelf_core import preemption


def fulfil_claims(
    state: decisionstate.DecisionState, urgent: dict[str, list[model.Job]]
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
        if decisionstate.get_plan_block_reason(state, job) is None:
            fulfil_claim(state, job, claim)


def _schedule_urgent_before(
    state: decisionstate.DecisionState,
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
            or decisionstate.get_plan_block_reason(state, urgent_job)
            is not None
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
            decisionstate.apply_plan(state, urgent_job, found, "reclaim")
            ordering.charge_usage(
                state.usage,
                urgent_job,
                decisionstate.estimate_run_ms(state, urgent_job),
            )


def fulfil_claim(
    state: decisionstate.DecisionState, job: model.Job, claim: decisions.Claim
) -> bool:
    """Start a job on the claimed workers, preempting others if necessary.

    Return whether the job starts or claims the workers.
    """
    for worker_id, wanted in decisionstate.sum_by_worker(
        claim.placement
    ).items():
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
    decisionstate.apply_plan(state, job, found, claim.kind, claim.since_ms)
    return True


def _is_placement_valid(
    state: decisionstate.DecisionState,
    job: model.Job,
    placement: model.Placement,
) -> bool:
    """Return whether all workers exist and are not guaranteed to others."""
    for worker_id, wanted in decisionstate.sum_by_worker(placement).items():
        capacity = state.ledger.capacities.get(worker_id)
        if capacity is None:
            return False
        own = capacity.guaranteed.get(job.account, 0)
        others = sum(capacity.guaranteed.values()) - own
        if others + wanted > capacity.worker.accelerators:
            return False
    return True


def apply_reservations(
    state: decisionstate.DecisionState, urgency: model.Urgency
) -> None:
    """Reserve the workers claimed by undecided jobs of this urgency.

    Non-preemptible jobs of this and lower urgencies then cannot use them.
    """
    waiting = {job.id: job for job in state.snapshot.queued}
    for job_id, claim in state.reservations.items():
        job = waiting[job_id]
        if job.spec.urgency is urgency and job_id not in state.decided:
            ledgers.reserve(
                state.ledger, decisionstate.sum_by_worker(claim.placement)
            )
