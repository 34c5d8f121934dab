"""What each guarantee is used for at the moment."""

from typing import NamedTuple

from cyclamenshelf_core import guarantees as guarantee_assignment
from cyclamenshelf_core import model


class GuaranteeUse(NamedTuple):
    """The use of one guarantee; numbers are accelerators.

    Attributes:
        workers: The workers assigned to the guarantee; none if at risk.
        held: In use by jobs of the account itself.
        lent: In use by jobs of other accounts.
        reclaimable: Whether every borrower can be stopped in bounded time.
        borrowers: Ids of the jobs of other accounts.
        at_risk: Whether no workers are left for the guarantee.
    """

    account: str
    index: int
    guarantee: model.Guarantee
    workers: tuple[str, ...]
    held: int
    lent: int
    reclaimable: bool
    borrowers: tuple[str, ...]
    at_risk: bool


def is_stoppable(job: model.Job) -> bool:
    """Return whether a job can be stopped and run again without harm."""
    return job.spec.checkpointable or job.spec.repeatable


def report_guarantees(
    lists: model.Lists,
    workers: dict[str, model.Worker],
    jobs: list[model.Job],
) -> list[GuaranteeUse]:
    """Return the use of every guarantee of every account.

    Args:
        lists: The lists in force.
        workers: The listed fleet.
        jobs: Active jobs; only those with a running attempt count.
    """
    running = [job for job in jobs if holds_accelerators(job)]
    assignment = guarantee_assignment.assign_guarantees(
        lists, workers, _find_busy(lists, running)
    )
    return [
        _describe_use(
            account.name, index, guarantee, assignment, workers, running
        )
        for account in lists.accounts.values()
        for index, guarantee in enumerate(lists.plans[account.plan].guarantees)
    ]


def holds_accelerators(job: model.Job) -> bool:
    """Return whether the job's last attempt may still be on its workers."""
    return job.state in (model.JobState.STARTED, model.JobState.UNKNOWN)


def _find_busy(lists: model.Lists, running: list[model.Job]) -> frozenset[str]:
    """Return workers with work that no guarantee could displace.

    Work of accounts that hold guarantees is left out, as it may stand on the
    workers assigned to its own account.
    """
    return frozenset(
        part.worker_id
        for job in running
        if not is_stoppable(job)
        and not (
            job.account in lists.accounts
            and model.get_plan(lists, job.account).guarantees
        )
        for part in job.placement
    )


def _describe_use(
    account: str,
    index: int,
    guarantee: model.Guarantee,
    assignment: guarantee_assignment.Assignment,
    workers: dict[str, model.Worker],
    running: list[model.Job],
) -> GuaranteeUse:
    key = guarantee_assignment.GuaranteeKey(account, index)
    assigned = assignment.assigned.get(key, ())
    held = lent = 0
    borrowers: dict[str, bool] = {}
    for job in running:
        on_assigned = sum(
            part.accelerators
            for part in job.placement
            if part.worker_id in assigned
        )
        if job.account == account:
            held += on_assigned
        elif on_assigned:
            lent += on_assigned
            borrowers[job.id] = is_stoppable(job)
    return GuaranteeUse(
        account,
        index,
        guarantee,
        assigned,
        held,
        lent,
        bool(assigned) and all(borrowers.values()),
        tuple(sorted(borrowers)),
        key in assignment.unplaced,
    )
