"""Scheduling policy of a cell owner: where jobs start and which are preempted.

A decision has these steps:

1. Assign the guarantees of all accounts to workers.
2. Fulfil the claims of earlier decisions: start these jobs, or let them wait.
3. Schedule each account's jobs within its guarantee, preempting borrowers if
   necessary.
4. Schedule urgent, normal and background jobs by weighted usage of accounts.
"""

from typing import NamedTuple

from cyclamenshelf_core import claims
from cyclamenshelf_core import decisions
from cyclamenshelf_core import decisionstate
from cyclamenshelf_core import guarantees
from cyclamenshelf_core import jobscheduling
from cyclamenshelf_core import ledger as ledgers
from cyclamenshelf_core import model
from cyclamenshelf_core import ordering
from cyclamenshelf_core import runtimes
from cyclamenshelf_core import usage as usages

Blocked = decisions.Blocked
Claim = decisions.Claim
Decision = decisions.Decision
Preempt = decisions.Preempt
RunningJob = decisions.RunningJob
Snapshot = decisions.Snapshot
Start = decisions.Start

# Blocked jobs are evaluated again after this time even if no event occurs,
# because latest start times and reservations become due as time passes.
REVIEW_INTERVAL_MS = 1_000


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


def decide(snapshot: Snapshot) -> list[Decision]:
    """Return the decisions for a snapshot, without state of earlier ones."""
    return plan(snapshot).decisions


def advance(state: PolicyState, snapshot: Snapshot) -> list[Decision]:
    """Return the decisions and update the state for the next call."""
    _update_observations(state, snapshot)
    if state.ledger is None or state.ledger.workers != snapshot.workers:
        state.ledger = ledgers.Ledger(snapshot.workers)
    outcome = plan(add_state(state, snapshot), state.ledger)
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


def add_state(state: PolicyState, snapshot: Snapshot) -> Snapshot:
    """Return the snapshot with what the state knows of earlier decisions."""
    return snapshot._replace(
        usage=state.usage,
        run_time_ratios={
            account: runtimes.compute_ratio(samples)
            for account, samples in state.ratio_samples.items()
        },
        assignment=state.assignment,
        claims=state.claims,
    )


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
        state = decisionstate.DecisionState(snapshot, ledger)
        _schedule_all(state, assignment)
    finally:
        ledgers.roll_back(ledger)
    return Outcome(state.decisions, assignment, state.claims)


def _schedule_all(
    state: decisionstate.DecisionState, assignment: guarantees.Assignment
) -> None:
    """Decide on every queued job."""
    snapshot = state.snapshot
    ledgers.reserve(
        state.ledger, guarantees.sum_pending(snapshot.lists, assignment)
    )
    queues = ordering.group_jobs(
        snapshot.queued, snapshot.run_time_ratios, snapshot.now_ms
    )
    claims.fulfil_claims(state, queues[model.Urgency.URGENT])
    jobscheduling.schedule_guaranteed(state, queues)
    for urgency in model.Urgency:
        claims.apply_reservations(state, urgency)
        jobscheduling.schedule_urgency(state, queues[urgency])
        jobscheduling.schedule_deferred(state)
    for job in state.deferred.values():
        decisionstate.block_job(state, job, "kept_for_others")


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
