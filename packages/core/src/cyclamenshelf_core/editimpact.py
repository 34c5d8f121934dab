"""Effects of a configuration edit on accounts and their active jobs."""

from cyclamenshelf_core import guaranteereport
from cyclamenshelf_core import model


def find_impact(
    old: model.Lists, new: model.Lists, jobs: list[model.Job]
) -> list[str]:
    """Return one message for each right or resource that an account loses.

    Args:
        old: The lists in force.
        new: The edited lists.
        jobs: The active jobs of all accounts.
    """
    by_account: dict[str, list[model.Job]] = {name: [] for name in old.accounts}
    for job in jobs:
        by_account.setdefault(job.account, []).append(job)
    found: list[str] = []
    for name, account_jobs in by_account.items():
        if name not in new.accounts:
            found.append(
                f"account {name}: removed, with {len(account_jobs)} active jobs"
            )
            continue
        found += [
            f"account {name}: {text}"
            for text in _compare_account(old, new, name, account_jobs)
        ]
    return found


def _compare_account(
    old: model.Lists, new: model.Lists, name: str, jobs: list[model.Job]
) -> list[str]:
    plan = model.get_plan(new, name)
    found: list[str] = []
    if name in old.accounts:
        removed_tokens = set(old.accounts[name].token_sha256) - set(
            new.accounts[name].token_sha256
        )
        if removed_tokens:
            found.append(f"{len(removed_tokens)} tokens are no longer valid")
        remaining = list(plan.guarantees)
        for guarantee in model.get_plan(old, name).guarantees:
            if guarantee in remaining:
                remaining.remove(guarantee)
            else:
                found.append(
                    f"loses its guarantee of {guarantee.workers} workers x "
                    f"{guarantee.accelerators} accelerators"
                )
    queued = [job for job in jobs if job.state is model.JobState.QUEUED]
    if len(queued) > plan.max_queued_jobs:
        found.append(
            f"{len(queued)} jobs are queued, max_queued_jobs would be "
            f"{plan.max_queued_jobs}"
        )
    too_large = [
        job for job in queued if count_accelerators(job) > plan.max_accelerators
    ]
    if too_large:
        found.append(
            f"{len(too_large)} queued jobs would be over max_accelerators "
            f"{plan.max_accelerators} and never start"
        )
    held = sum(
        count_accelerators(job)
        for job in jobs
        if guaranteereport.holds_accelerators(job)
    )
    if held > plan.max_accelerators:
        found.append(
            f"{held} accelerators are in use, max_accelerators would be "
            f"{plan.max_accelerators}"
        )
    return found


def count_accelerators(job: model.Job) -> int:
    """Return the number of accelerators that all parts of a job need."""
    return job.spec.shape.parts * job.spec.shape.accelerators
