"""Report of the current use of each guarantee."""

from typing import NamedTuple

from cyclamenshelf_core import guarantees as guarantee_assignment
from cyclamenshelf_core import model


class GuaranteeUse(NamedTuple):
    """The use of one guarantee; amounts are numbers of accelerators.

    Attributes:
        workers: Workers assigned to the guarantee; empty if at risk.
        held: Accelerators in use by the account's own jobs.
        lent: Accelerators in use by jobs of other accounts.
        reclaimable: Whether workers are assigned and every borrower can be
            stopped in bounded time.
        borrowers: Ids of the jobs of other accounts on these workers.
        at_risk: Whether no workers could be assigned to the guarantee.
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


def is_restartable(job: model.Job) -> bool:
    """Return whether a job can be stopped and safely run again."""
    return job.spec.checkpointable or job.spec.repeatable


def report_guarantees(
    lists: model.Lists,
    workers: dict[str, model.Worker],
    jobs: list[model.Job],
) -> list[GuaranteeUse]:
    """Return the use of every guarantee of every account.

    Args:
        lists: The lists in force.
        workers: All workers of the fleet lists, by id.
        jobs: The active jobs; only those that may hold accelerators count.
    """
    running = [job for job in jobs if holds_accelerators(job)]
    assignment = guarantee_assignment.assign_guarantees(
        lists, workers, _find_busy_workers(lists, running)
    )
    return [
        _describe_use(
            account.name, index, guarantee, assignment, workers, running
        )
        for account in lists.accounts.values()
        for index, guarantee in enumerate(lists.plans[account.plan].guarantees)
    ]


def holds_accelerators(job: model.Job) -> bool:
    """Return whether the job's last attempt may still run on its workers."""
    return job.state in (model.JobState.STARTED, model.JobState.UNKNOWN)


def _find_busy_workers(
    lists: model.Lists, running: list[model.Job]
) -> frozenset[str]:
    """Return the workers with jobs that cannot be stopped to reclaim them.

    Jobs of accounts with guarantees are ignored, because they may run on
    workers that are assigned to their own account.
    """
    return frozenset(
        part.worker_id
        for job in running
        if not is_restartable(job)
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
            borrowers[job.id] = is_restartable(job)
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
