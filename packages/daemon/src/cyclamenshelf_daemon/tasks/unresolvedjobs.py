"""Jobs whose insert by this host had no answer and may still be carried out."""

import collections
import threading

# The store may carry out a call some seconds after its answer was lost.
_LATE_WRITE_MS = 10_000
_MAX_JOBS = 10_000


class UnresolvedJobs:
    """Monotonic times until which inserts may be carried out, oldest first."""

    def __init__(self) -> None:
        self.until_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.lock = threading.Lock()


def add_job(jobs: UnresolvedJobs, job_id: str, now_ms: int) -> None:
    """Record that the outcome of a job's insert is unknown."""
    with jobs.lock:
        jobs.until_ms[job_id] = now_ms + _LATE_WRITE_MS
        jobs.until_ms.move_to_end(job_id)
        oldest = next(iter(jobs.until_ms))
        while len(jobs.until_ms) > _MAX_JOBS or (
            jobs.until_ms[oldest] <= now_ms
        ):
            del jobs.until_ms[oldest]
            oldest = next(iter(jobs.until_ms))


def has_job(jobs: UnresolvedJobs, job_id: str, now_ms: int) -> bool:
    """Return whether an insert of a job may still be carried out."""
    with jobs.lock:
        return jobs.until_ms.get(job_id, now_ms) > now_ms


def remove_job(jobs: UnresolvedJobs, job_id: str) -> None:
    """Record that the outcome of a job's insert is known."""
    with jobs.lock:
        jobs.until_ms.pop(job_id, None)
