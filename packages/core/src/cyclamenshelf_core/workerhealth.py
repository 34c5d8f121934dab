"""Quarantine of workers whose recent starts failed.

A worker that fails everything at once looks idle, so that it would attract
all work. Failures of one job alone say nothing about the worker.
"""

from typing import NamedTuple

FAILURES_TO_QUARANTINE = 3
JOBS_TO_QUARANTINE = 2
FIRST_QUARANTINE_MS = 60_000
MAX_QUARANTINE_MS = 3_600_000


class _Failure(NamedTuple):
    """A failed task; the same task may be reported more than once."""

    job_id: str
    attempt: int
    part: int


class _Record:
    """Recent failures of one worker."""

    def __init__(self) -> None:
        self.failures: list[_Failure] = []
        self.quarantines = 0
        self.until_ms = 0


class WorkerHealth:
    """Failures in a row by worker, and which workers are quarantined."""

    def __init__(self) -> None:
        self.records: dict[str, _Record] = {}


def note_failure(
    health: WorkerHealth,
    worker_id: str,
    job_id: str,
    attempt: int,
    part: int,
    now_ms: int,
) -> bool:
    """Record a failed task; return whether this quarantines the worker."""
    record = health.records.setdefault(worker_id, _Record())
    failure = _Failure(job_id, attempt, part)
    if failure in record.failures or now_ms < record.until_ms:
        return False
    record.failures.append(failure)
    jobs = {failure.job_id for failure in record.failures}
    if (
        len(record.failures) < FAILURES_TO_QUARANTINE
        or len(jobs) < JOBS_TO_QUARANTINE
    ):
        return False
    duration_ms = FIRST_QUARANTINE_MS << min(record.quarantines, 10)
    record.until_ms = now_ms + min(duration_ms, MAX_QUARANTINE_MS)
    record.quarantines += 1
    record.failures.clear()
    return True


def note_success(health: WorkerHealth, worker_id: str) -> None:
    """Record a task that finished: the worker's failures start over."""
    health.records.pop(worker_id, None)


def is_quarantined(health: WorkerHealth, worker_id: str, now_ms: int) -> bool:
    """Return whether the worker gets no new work at the moment."""
    record = health.records.get(worker_id)
    return record is not None and now_ms < record.until_ms
