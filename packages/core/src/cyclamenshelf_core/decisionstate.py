"""State of one decision of a cell owner, and the effects of its parts."""

from cyclamenshelf_core import decisions
from cyclamenshelf_core import ledger as ledgers
from cyclamenshelf_core import model
from cyclamenshelf_core import preemption
from cyclamenshelf_core import runtimes
from cyclamenshelf_core import usage as usages

# Maximum number of searches over the whole fleet in one decision. It limits the
# run time when many shapes are blocked; the next decision searches for the
# remaining jobs.
_MAX_SEARCHES = 32

JobClass = tuple[str, model.Shape, bool, model.Urgency]


class DecisionState:
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

    def __init__(
        self, snapshot: decisions.Snapshot, ledger: ledgers.Ledger
    ) -> None:
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
        self.decisions: list[decisions.Decision] = []
        self.decided: set[str] = set()
        self.claims: dict[str, decisions.Claim] = {}
        self.reservations: dict[str, decisions.Claim] = {}
        self.blocked_classes: dict[JobClass, str] = {}
        self.reserved_queues: set[tuple[str, model.Urgency]] = set()
        self.deferred: dict[str, model.Job] = {}
        self.searches_left = _MAX_SEARCHES


def start_job(
    state: DecisionState, job: model.Job, placement: model.Placement
) -> None:
    """Start a job in this decision."""
    ledgers.allocate(state.ledger, job, placement)
    state.decisions.append(decisions.Start(job.id, placement))
    state.decided.add(job.id)


def block_job(state: DecisionState, job: model.Job, reason: str) -> None:
    """Let a job wait, with the code of the reason."""
    state.decisions.append(decisions.Blocked(job.id, reason))
    state.decided.add(job.id)


def apply_plan(
    state: DecisionState,
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
        for worker_id, wanted in sum_by_worker(found.placement).items()
    )
    if is_free:
        start_job(state, job, found.placement)
        return
    for victim in found.victims:
        ledgers.mark_stopping(state.ledger, victim)
        state.decisions.append(
            decisions.Preempt(victim.job.id, f"preempted ({kind}) for {job.id}")
        )
    ledgers.claim(state.ledger, job, found.placement)
    state.claims[job.id] = decisions.Claim(found.placement, kind, since_ms)
    block_job(state, job, "waiting_for_preemption")


def sum_by_worker(placement: model.Placement) -> dict[str, int]:
    """Return the accelerators of a placement by worker id."""
    amounts: dict[str, int] = {}
    for worker_id, accelerators in placement:
        amounts[worker_id] = amounts.get(worker_id, 0) + accelerators
    return amounts


def get_plan_block_reason(state: DecisionState, job: model.Job) -> str | None:
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


def estimate_run_ms(state: DecisionState, job: model.Job) -> int:
    """Return the expected run time of a job."""
    return runtimes.estimate_run_ms(job, state.snapshot.run_time_ratios)
