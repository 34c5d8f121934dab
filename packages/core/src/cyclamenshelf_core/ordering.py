"""Scheduling order of jobs within an account and between accounts."""

from collections import deque
from collections.abc import Iterable
import heapq

from cyclamenshelf_core import decisions
from cyclamenshelf_core import model
from cyclamenshelf_core import runtimes

# A job whose latest start time is at most this far away is scheduled before
# the other jobs of its account. Equal to the half-life of the usage.
DEADLINE_MARGIN_MS = 600_000
# Run time that is charged to the usage of an account as soon as a job starts,
# so that many starts in one decision are shared fairly between accounts before
# any of these jobs has run.
_START_CHARGE_MS = 60_000


def order_jobs(
    jobs: Iterable[model.Job], run_time_ratios: dict[str, float], now_ms: int
) -> list[model.Job]:
    """Return the jobs of one account and urgency in scheduling order.

    A job whose deadline has passed gets no precedence, because an earlier
    start can no longer meet the deadline.
    """

    def rank(job: model.Job) -> tuple[int, int, int, str]:
        deadline_ms = job.spec.deadline_ms
        if deadline_ms is not None and deadline_ms > now_ms:
            latest_start_ms = deadline_ms - runtimes.estimate_run_ms(
                job, run_time_ratios
            )
            if latest_start_ms - now_ms <= DEADLINE_MARGIN_MS:
                return 0, latest_start_ms, job.accepted_ms, job.id
        return 1, job.accepted_ms, 0, job.id

    return sorted(jobs, key=rank)


def group_jobs(
    queued: Iterable[model.Job], run_time_ratios: dict[str, float], now_ms: int
) -> dict[model.Urgency, dict[str, list[model.Job]]]:
    """Return the queues by urgency and account, each in scheduling order."""
    queues: dict[model.Urgency, dict[str, list[model.Job]]] = {
        urgency: {} for urgency in model.Urgency
    }
    for job in queued:
        queues[job.spec.urgency].setdefault(job.account, []).append(job)
    return {
        urgency: {
            account: order_jobs(jobs, run_time_ratios, now_ms)
            for account, jobs in by_account.items()
        }
        for urgency, by_account in queues.items()
    }


class FairQueue:
    """Queued jobs of one urgency, ordered by the accounts' weighted usage."""

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
        """Return the account's usage divided by its weight."""
        weight = max(1, self.weights.get(account, 1))
        return self.usage.get(account, 0.0) / weight

    def pop_job(self) -> model.Job | None:
        """Return the next job of the account with the lowest share."""
        while self.heap:
            _, account = self.heap[0]
            if self.queues[account]:
                return self.queues[account].popleft()
            heapq.heappop(self.heap)
        return None

    def charge(self, job: model.Job, run_ms: int) -> None:
        """Charge a started job to its account, which is on top of the heap."""
        charge_usage(self.usage, job, run_ms)
        heapq.heapreplace(self.heap, (self.get_share(job.account), job.account))


def charge_usage(usage: dict[str, float], job: model.Job, run_ms: int) -> None:
    """Charge at most the first minute of a job to its account's usage."""
    accelerators = decisions.count_accelerators(job.spec.shape)
    charge = accelerators * min(run_ms, _START_CHARGE_MS) / 1000
    usage[job.account] = usage.get(job.account, 0.0) + charge
