"""Order of service: within an account and between accounts."""

from collections import deque
from collections.abc import Iterable
import heapq

from cyclamenshelf_core import decisions
from cyclamenshelf_core import model
from cyclamenshelf_core import runtimes

# A job within this time of its latest start goes ahead of its account's
# others; the same length as the half-life of the usage.
NEAR_MS = 600_000
# Usage charged for a start at once, so that a burst of starts in one decision
# is shared fairly before any of them has run.
_CHARGE_MS = 60_000


def order_jobs(
    jobs: Iterable[model.Job], ratios: dict[str, float], now_ms: int
) -> list[model.Job]:
    """Return jobs of one account and class in the order of service.

    A job whose deadline has passed has nothing left to gain from going first.
    """

    def rank(job: model.Job) -> tuple[int, int, int, str]:
        deadline_ms = job.spec.deadline_ms
        if deadline_ms is not None and deadline_ms > now_ms:
            latest_ms = deadline_ms - runtimes.estimate_run_ms(job, ratios)
            if latest_ms - now_ms <= NEAR_MS:
                return 0, latest_ms, job.accepted_ms, job.id
        return 1, job.accepted_ms, 0, job.id

    return sorted(jobs, key=rank)


def group_jobs(
    queued: Iterable[model.Job], ratios: dict[str, float], now_ms: int
) -> dict[model.Urgency, dict[str, list[model.Job]]]:
    """Return the queues by class and account, each in order of service."""
    queues: dict[model.Urgency, dict[str, list[model.Job]]] = {
        urgency: {} for urgency in model.Urgency
    }
    for job in queued:
        queues[job.spec.urgency].setdefault(job.account, []).append(job)
    return {
        urgency: {
            account: order_jobs(jobs, ratios, now_ms)
            for account, jobs in by_account.items()
        }
        for urgency, by_account in queues.items()
    }


class FairQueue:
    """Jobs of one class, served by weighted usage between accounts."""

    def __init__(
        self,
        queues: dict[str, list[model.Job]],
        usage: dict[str, float],
        weights: dict[str, int],
    ) -> None:
        self.queues = {account: deque(jobs) for account, jobs in queues.items()}
        self.usage = usage
        self.weights = weights
        self.heap = [
            (self.get_share(account), account) for account in sorted(queues)
        ]
        heapq.heapify(self.heap)

    def get_share(self, account: str) -> float:
        """Return the account's usage by its weight."""
        weight = max(1, self.weights.get(account, 1))
        return self.usage.get(account, 0.0) / weight

    def pop_job(self) -> model.Job | None:
        """Return the next job of the account with the least share."""
        while self.heap:
            _, account = self.heap[0]
            if self.queues[account]:
                return self.queues[account].popleft()
            heapq.heappop(self.heap)
        return None

    def charge(self, job: model.Job, run_ms: int) -> None:
        """Add a started job to the usage of its account, the last served."""
        charge_usage(self.usage, job, run_ms)
        heapq.heapreplace(self.heap, (self.get_share(job.account), job.account))


def charge_usage(usage: dict[str, float], job: model.Job, run_ms: int) -> None:
    """Add the first minute of a started job to its account's usage."""
    accelerators = decisions.count_accelerators(job.spec.shape)
    charge = accelerators * min(run_ms, _CHARGE_MS) / 1000
    usage[job.account] = usage.get(job.account, 0.0) + charge
