"""Quarantine of workers whose recent tasks failed.

A worker that fails every task at once appears idle, so that the scheduler
would place all work on it. Failures of a single job do not count against the
worker, as the fault may be the job's.
"""

from typing import NamedTuple

FAILURES_TO_QUARANTINE = 3
JOBS_TO_QUARANTINE = 2
FIRST_QUARANTINE_MS = 60_000
MAX_QUARANTINE_MS = 3_600_000


class _Failure(NamedTuple):
    """A failed task, as a key to ignore repeated reports of it."""

    job_id: str
    attempt: int
    part: int


class _WorkerRecord:
    """Recent failures and quarantines of one worker."""

    def __init__(self) -> None:
        self.failures: list[_Failure] = []
        self.quarantines = 0
        self.quarantined_until_ms = 0


class WorkerHealth:
    """Consecutive failures and quarantines by worker id."""

    def __init__(self) -> None:
        self.records: dict[str, _WorkerRecord] = {}


def record_failure(
    health: WorkerHealth,
    worker_id: str,
    job_id: str,
    attempt: int,
    part: int,
    now_ms: int,
) -> bool:
    """Record a failed task and return whether it quarantines the worker."""
    record = health.records.setdefault(worker_id, _WorkerRecord())
    failure = _Failure(job_id, attempt, part)
    if failure in record.failures or now_ms < record.quarantined_until_ms:
        return False
    record.failures.append(failure)
    jobs = {failure.job_id for failure in record.failures}
    if (
        len(record.failures) < FAILURES_TO_QUARANTINE
        or len(jobs) < JOBS_TO_QUARANTINE
    ):
        return False
    duration_ms = FIRST_QUARANTINE_MS << min(record.quarantines, 10)
    record.quarantined_until_ms = now_ms + min(duration_ms, MAX_QUARANTINE_MS)
    record.quarantines += 1
    record.failures.clear()
    return True


def record_success(health: WorkerHealth, worker_id: str) -> None:
    """Record a successful task, which clears the worker's record."""
    health.records.pop(worker_id, None)


def is_quarantined(health: WorkerHealth, worker_id: str, now_ms: int) -> bool:
    """Return whether the worker is excluded from new work at `now_ms`."""
    record = health.records.get(worker_id)
    return record is not None and now_ms < record.quarantined_until_ms
