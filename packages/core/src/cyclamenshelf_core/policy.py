"""Decisions of a cell owner: which job starts where, and which is stopped.

A decision goes through these steps:

1. Guarantees of all accounts are assigned to workers.
2. Jobs to which earlier decisions promised workers start there or wait on.
3. Each account's jobs fill its guarantee, stopping borrowers if need be.
4. Urgent, normal and background jobs follow, by weighted usage of accounts.
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
Running = decisions.Running
Snapshot = decisions.Snapshot
Start = decisions.Start

# Searches over the whole fleet in one decision, which bound its time when
# many shapes are blocked. Jobs beyond the bound are looked at next time.
_MAX_SEARCHES = 32
# Blocked jobs are looked at again after this time even if nothing happened:
# latest start times and reservations fall due by time alone.
REVIEW_INTERVAL_MS = 1_000

# An account that would hold more than this part of the fleet leaves free what
# the others used of late. Unstoppable work of a flood otherwise takes every
# accelerator that their short jobs free, and keeps it for a whole run time.
_FLOOD_PART = 0.5

_Shape = tuple[str, model.Shape, bool, model.Urgency]


class Outcome(NamedTuple):
    """What to do now, and what the next decision has to know."""

    decisions: list[Decision]
    assignment: guarantees.Assignment
    claims: dict[str, Claim]


class PolicyState:
    """What a cell owner remembers between decisions.

    Attributes:
        assignment: The assignment of guarantees in force.
        claims: Workers promised to queued jobs.
        usage: Decayed accelerator-seconds by account; None at first.
        samples: Observed by declared run times, by account.
        running: Running jobs of the last snapshot.
        held: Accelerators by account after the last decision.
        ledger: Capacity of the workers, kept up to date by differences.
        at_ms: Time of the last snapshot.
    """

    def __init__(self) -> None:
        self.assignment: guarantees.Assignment | None = None
        self.claims: dict[str, Claim] = {}
        self.usage: dict[str, float] | None = None
        self.samples: dict[str, list[float]] = {}
        self.running: dict[str, Running] = {}
        self.held: dict[str, int] = {}
        self.ledger: ledgers.Ledger | None = None
        self.at_ms = 0


class _Round:
    """State of one decision."""

    def __init__(self, snapshot: Snapshot, ledger: ledgers.Ledger) -> None:
        self.snapshot = snapshot
        self.ledger = ledger
        usage = snapshot.usage
        if usage is None:
            usage = usages.estimate_usage(
                snapshot.running.values(), snapshot.now_ms
            )
        self.usage = dict(usage)
        self.recent = {
            account: usages.average_held(used)
            for account, used in usage.items()
            if account in snapshot.lists.accounts
        }
        self.capacity = sum(
            worker.accelerators for worker in snapshot.workers.values()
        )
        self.decisions: list[Decision] = []
        self.decided: set[str] = set()
        self.claims: dict[str, Claim] = {}
        self.holds: dict[str, Claim] = {}
        self.failed: dict[_Shape, str] = {}
        self.holding: set[tuple[str, model.Urgency]] = set()
        self.searches = _MAX_SEARCHES


def decide(snapshot: Snapshot) -> list[Decision]:
    """Return what to do now, from the snapshot alone."""
    return plan(snapshot).decisions


def advance(state: PolicyState, snapshot: Snapshot) -> list[Decision]:
    """Return what to do now; remember what the next decision needs."""
    _observe(state, snapshot)
    if state.ledger is None or state.ledger.workers != snapshot.workers:
        state.ledger = ledgers.Ledger(snapshot.workers)
    outcome = plan(
        snapshot._replace(
            usage=state.usage,
            ratios={
                account: runtimes.compute_ratio(samples)
                for account, samples in state.samples.items()
            },
            assignment=state.assignment,
            claims=state.claims,
        ),
        state.ledger,
    )
    state.assignment = outcome.assignment
    state.claims = outcome.claims
    state.held = dict(state.ledger.accounts)
    accounts = {job.id: job.account for job in snapshot.queued}
    for decision in outcome.decisions:
        if isinstance(decision, Start):
            account = accounts[decision.job_id]
            state.held[account] = state.held.get(account, 0) + sum(
                part.accelerators for part in decision.placement
            )
    return outcome.decisions


def plan(snapshot: Snapshot, ledger: ledgers.Ledger | None = None) -> Outcome:
    """Return what to do now and what the next decision has to know.

    Args:
        snapshot: What to decide on.
        ledger: Ledger of the same workers from the last decision, or None.
    """
    snapshot = snapshot._replace(lists=_drop_unknown_plans(snapshot.lists))
    if ledger is None:
        ledger = ledgers.Ledger(snapshot.workers)
    ledgers.update_running(ledger, snapshot.running)
    assignment = guarantees.plan_guarantees(
        snapshot.lists,
        snapshot.workers,
        ledgers.sum_unstoppable(ledger),
        _get_valid_assignment(snapshot),
    )
    ledgers.update_pledges(
        ledger, guarantees.sum_pledges(snapshot.lists, assignment)
    )
    try:
        state = _Round(snapshot, ledger)
        _serve(state, assignment)
    finally:
        ledgers.roll_back(ledger)
    return Outcome(state.decisions, assignment, state.claims)


def _serve(state: _Round, assignment: guarantees.Assignment) -> None:
    """Decide on every queued job."""
    snapshot = state.snapshot
    ledgers.hold(
        state.ledger, guarantees.sum_pending(snapshot.lists, assignment)
    )
    queues = ordering.group_jobs(
        snapshot.queued, snapshot.ratios, snapshot.now_ms
    )
    _honour_claims(state)
    _serve_guarantees(state, queues)
    for urgency in model.Urgency:
        _apply_holds(state, urgency)
        _serve_class(state, queues[urgency])


def compute_free(snapshot: Snapshot) -> dict[str, int]:
    """Return the accelerators that no job holds, by worker id."""
    free = {
        worker.id: worker.accelerators for worker in snapshot.workers.values()
    }
    for running in snapshot.running.values():
        for part in running.placement:
            if part.worker_id in free:
                free[part.worker_id] -= part.accelerators
    return free


def _observe(state: PolicyState, snapshot: Snapshot) -> None:
    """Bring usage and run-time ratios up to the time of the snapshot."""
    now_ms = snapshot.now_ms
    running = snapshot.running
    if state.usage is None:
        state.usage = usages.estimate_usage(running.values(), now_ms)
        state.samples = runtimes.list_overruns(running.values(), now_ms)
    else:
        state.usage = usages.advance_usage(
            state.usage, state.held, max(0, now_ms - state.at_ms)
        )
        waiting = {job.id for job in snapshot.queued}
        for job_id in sorted(state.running.keys() - running.keys()):
            entry = state.running[job_id]
            if job_id in waiting or entry.stopping:
                continue
            declared_ms = max(1, entry.job.spec.expected_run_ms)
            runtimes.add_sample(
                state.samples.setdefault(entry.job.account, []),
                max(0, now_ms - entry.since_ms) / declared_ms,
            )
    state.running = dict(running)
    state.at_ms = now_ms


def _drop_unknown_plans(lists: model.Lists) -> model.Lists:
    """Leave out accounts whose plan is not in the list of plans."""
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
    """Return the assignment in force without guarantees since removed."""
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


def _honour_claims(state: _Round) -> None:
    """Start jobs on workers promised to them, or keep the promise."""
    queued = {job.id: job for job in state.snapshot.queued}
    for job_id, claim in state.snapshot.claims.items():
        job = queued.get(job_id)
        if job is None or not _is_possible(state, job, claim.placement):
            continue
        if claim.kind == "hold":
            state.holds[job_id] = claim
            continue
        if _get_plan_reason(state, job) is None:
            _try_on(state, job, claim)


def _try_on(state: _Round, job: model.Job, claim: Claim) -> bool:
    """Give a job these workers, now or once others have been stopped."""
    for worker_id, wanted in _sum_by_worker(claim.placement).items():
        space = state.ledger.spaces[worker_id]
        limit = ledgers.get_limit(space, job.account)
        if claim.kind == "reclaim":
            # The guarantee may have moved to other workers since.
            pledged = space.pledged.get(job.account, 0)
            limit = min(limit, pledged - space.used.get(job.account, 0))
        if limit < wanted:
            return False
    at_ms = state.snapshot.now_ms
    if claim.kind == "backfill":
        at_ms = claim.since_ms
    found = preemption.plan_on(
        state.ledger,
        claim.placement,
        preemption.make_rule(claim.kind, job, at_ms),
    )
    if found is None:
        return False
    _carry_out(state, job, found, claim.kind, claim.since_ms)
    return True


def _is_possible(
    state: _Round, job: model.Job, placement: model.Placement
) -> bool:
    """Return whether no worker is lost or guaranteed to others by now."""
    for worker_id, wanted in _sum_by_worker(placement).items():
        space = state.ledger.spaces.get(worker_id)
        if space is None:
            return False
        own = space.pledged.get(job.account, 0)
        others = sum(space.pledged.values()) - own
        if others + wanted > space.worker.accelerators:
            return False
    return True


def _sum_by_worker(placement: model.Placement) -> dict[str, int]:
    amounts: dict[str, int] = {}
    for worker_id, accelerators in placement:
        amounts[worker_id] = amounts.get(worker_id, 0) + accelerators
    return amounts


def _carry_out(
    state: _Round,
    job: model.Job,
    found: preemption.Plan,
    kind: str,
    since_ms: int = 0,
) -> None:
    """Start a job, or stop what is in its way and promise it the workers."""
    is_free = not found.victims and all(
        state.ledger.spaces[worker_id].rooms[ledgers.Room.ANY] >= wanted
        for worker_id, wanted in _sum_by_worker(found.placement).items()
    )
    if is_free:
        _start(state, job, found.placement)
        return
    for victim in found.victims:
        ledgers.mark_stopping(state.ledger, victim)
        state.decisions.append(
            Preempt(victim.job.id, f"preempted ({kind}) for {job.id}")
        )
    ledgers.claim(state.ledger, job, found.placement)
    state.claims[job.id] = Claim(found.placement, kind, since_ms)
    _block(state, job, "waiting_for_preemption")


def _start(state: _Round, job: model.Job, placement: model.Placement) -> None:
    ledgers.take(state.ledger, job, placement)
    state.decisions.append(Start(job.id, placement))
    state.decided.add(job.id)


def _block(state: _Round, job: model.Job, reason: str) -> None:
    state.decisions.append(Blocked(job.id, reason))
    state.decided.add(job.id)


def _get_plan_reason(state: _Round, job: model.Job) -> str | None:
    """Return why the plan keeps a job from starting, or None."""
    lists = state.snapshot.lists
    if job.account not in lists.accounts:
        return "account_not_listed"
    limit = model.get_plan(lists, job.account).max_accelerators
    wanted = decisions.count_accelerators(job.spec.shape)
    if wanted > limit:
        return "never_fits"
    if state.ledger.accounts.get(job.account, 0) + wanted > limit:
        return "plan_limit"
    return None


def _serve_guarantees(
    state: _Round,
    queues: dict[model.Urgency, dict[str, list[model.Job]]],
) -> None:
    """Start jobs within the guarantee of their account."""
    for account in sorted(state.ledger.pledges):
        failed: set[model.Shape] = set()
        for urgency in model.Urgency:
            for job in queues[urgency].get(account, ()):
                if job.id in state.decided or job.spec.shape in failed:
                    continue
                if _get_plan_reason(state, job) is not None:
                    continue
                found = preemption.plan_reclaim(
                    state.ledger, job, state.snapshot.now_ms
                )
                if found is None:
                    failed.add(job.spec.shape)
                    continue
                _carry_out(state, job, found, "reclaim")
                ordering.charge_usage(
                    state.usage, job, _estimate_run_ms(state, job)
                )


def _estimate_run_ms(state: _Round, job: model.Job) -> int:
    return runtimes.estimate_run_ms(job, state.snapshot.ratios)


def _apply_holds(state: _Round, urgency: model.Urgency) -> None:
    """Keep reserved workers from unstoppable work of this class and below."""
    waiting = {job.id: job for job in state.snapshot.queued}
    for job_id, claim in state.holds.items():
        job = waiting[job_id]
        if job.spec.urgency is urgency and job_id not in state.decided:
            ledgers.hold(state.ledger, _sum_by_worker(claim.placement))


def _serve_class(state: _Round, by_account: dict[str, list[model.Job]]) -> None:
    lists = state.snapshot.lists
    weights = {
        account: model.get_plan(lists, account).weight
        for account in by_account
        if account in lists.accounts
    }
    # A job with a reservation is served first: others would otherwise start
    # on its workers only to be stopped by the next decision.
    for jobs in by_account.values():
        for job in jobs:
            if job.id not in state.holds or job.id in state.decided:
                continue
            if _serve_job(state, job):
                ordering.charge_usage(
                    state.usage, job, _estimate_run_ms(state, job)
                )
    fair = ordering.FairQueue(by_account, state.usage, weights)
    while (job := fair.pop_job()) is not None:
        if job.id in state.decided:
            continue
        if _serve_job(state, job):
            fair.charge(job, _estimate_run_ms(state, job))


def _serve_job(state: _Round, job: model.Job) -> bool:
    """Decide on one job; return whether it takes part of the capacity."""
    reserved = state.holds.pop(job.id, None)
    if reserved is not None:
        ledgers.hold(state.ledger, _sum_by_worker(reserved.placement), -1)
    reason = _get_plan_reason(state, job)
    if reason is not None:
        _block(state, job, reason)
        return False
    key = (
        job.account,
        job.spec.shape,
        decisions.is_stoppable(job),
        job.spec.urgency,
    )
    if reserved is None and key in state.failed:
        if not _hold_workers(state, job, None):
            _block(state, job, state.failed[key])
        return False
    if _floods(state, job):
        _block(state, job, "kept_for_others")
        return False
    found = _find_avoiding(state.ledger, job)
    if found is not None:
        _start(state, job, found)
        return True
    if job.failed_workers:
        _block(state, job, "no_capacity")
        return False
    if reserved is not None and _try_on(
        state, job, reserved._replace(kind="backfill")
    ):
        return True
    if _preempt(state, job):
        return True
    if key not in state.failed:
        state.failed[key] = _explain(state, job)
    if not _hold_workers(state, job, reserved):
        _block(state, job, state.failed[key])
    return False


def _floods(state: _Round, job: model.Job) -> bool:
    """Return whether a job would take what other accounts use."""
    ledger = state.ledger
    held = ledger.accounts
    wanted = decisions.count_accelerators(job.spec.shape)
    limit = _FLOOD_PART * state.capacity
    # A gang that alone is over the limit could otherwise wait for ever.
    if held.get(job.account, 0) + wanted <= limit or wanted > limit:
        return False
    kept = 0.0
    for account, recent in state.recent.items():
        if account != job.account:
            pledged = sum(
                space.pledged[account]
                for space in ledger.pledges.get(account, ())
            )
            kept += max(0.0, recent - max(held.get(account, 0), pledged))
    room = ledgers.Room.OPEN
    if decisions.is_stoppable(job):
        room = ledgers.Room.ANY
    free = sum(rack.totals[room] for rack in ledger.racks.values())
    return kept > 0 and free < wanted + kept


def _find_avoiding(
    ledger: ledgers.Ledger, job: model.Job
) -> model.Placement | None:
    """Return workers for a gang without those that failed it before.

    A worker that fails everything is free again at once, so that the same
    job would be given back to it until the job is given up.
    """
    avoided = set(job.failed_workers) & ledger.spaces.keys()
    if len(avoided) >= len(ledger.spaces):
        avoided = set()
    blocked = tuple(
        model.PartPlacement(worker_id, room)
        for worker_id in sorted(avoided)
        if (room := ledger.spaces[worker_id].rooms[ledgers.Room.ANY])
    )
    ledgers.take(ledger, job, blocked)
    found = placements.find_placement(ledger, job)
    ledgers.take(ledger, job, blocked, -1)
    return found


def _preempt(state: _Round, job: model.Job) -> bool:
    """Let a blocked job replace background work or move stoppable work."""
    if state.searches <= 0:
        return False
    state.searches -= 1
    now_ms = state.snapshot.now_ms
    if job.spec.urgency is model.Urgency.URGENT:
        found = preemption.plan_urgent(state.ledger, job, now_ms)
        if found is not None:
            _carry_out(state, job, found, "urgent")
            return True
    if decisions.count_accelerators(job.spec.shape) > 1:
        found = preemption.plan_compaction(state.ledger, job, now_ms)
        if found is not None:
            _carry_out(state, job, found, "compaction")
            return True
    return False


def _hold_workers(
    state: _Round, job: model.Job, reserved: Claim | None
) -> bool:
    """Reserve workers for a large job that has waited long.

    One job of each account and class holds a reservation at a time, so that
    a queue of large jobs does not keep the whole fleet from others.
    """
    holder = (job.account, job.spec.urgency)
    waited_ms = state.snapshot.now_ms - job.accepted_ms
    if (
        holder in state.holding
        or waited_ms < preemption.RESERVE_AFTER_MS
        or decisions.count_accelerators(job.spec.shape) < state.ledger.largest
    ):
        return False
    if reserved is None and state.searches > 0:
        state.searches -= 1
        now_ms = state.snapshot.now_ms
        placement = preemption.plan_hold(
            state.ledger, job, state.snapshot.ratios, now_ms
        )
        if placement is not None:
            reserved = Claim(placement, "hold", now_ms)
    if reserved is None:
        return False
    state.holding.add(holder)
    ledgers.hold(state.ledger, _sum_by_worker(reserved.placement))
    state.claims[job.id] = reserved
    _block(state, job, "waiting_for_reserved_workers")
    return True


def _explain(state: _Round, job: model.Job) -> str:
    """Return the reason code of a job for which there is no room."""
    ledger = state.ledger
    if not placements.fits_when_empty(ledger, job, beside_guarantees=False):
        return "never_fits"
    if decisions.is_stoppable(job):
        return "no_capacity"
    if not placements.fits_when_empty(ledger, job, beside_guarantees=True):
        return "guarantee_reserved"
    borrowed = job._replace(
        spec=job.spec._replace(checkpointable=True, repeatable=True)
    )
    if placements.find_placement(ledger, borrowed) is None:
        return "no_capacity"
    return "guarantee_reserved" if ledger.pledges else "workers_reserved"
