"""Estimates of how slow each worker is, from the run times of its tasks.

The tasks of a group do similar work, so a task's run time is compared with
those of the group's earlier tasks. Declared run times are only hints and say
nothing about a worker.
"""

import math
from typing import NamedTuple

from cyclamenshelf_core import taskjobs

# A worker counts as slow when its tasks take this many times as long as others.
_SLOW_LOG_RATIO = math.log(1.1)
# Weight of the assumption that a worker is as fast as the others, in samples.
_PRIOR_SAMPLES = 4
# Beyond this many samples the old ones lose weight, so that a worker whose
# speed has changed is not judged by its past.
_MAX_SAMPLES = 40
# A group's first runs have too few others to be compared with.
_MIN_PEERS = 4


class _Sum(NamedTuple):
    """The sum of a number of samples."""

    total: float = 0.0
    samples: int = 0


class SpeedEstimates:
    """Run times observed so far, as logarithms.

    Attributes:
        by_worker: Run times on a worker relative to those of other tasks.
        by_job: By job and group, the run times of the tasks in ms.
    """

    def __init__(self) -> None:
        self.by_worker: dict[str, _Sum] = {}
        self.by_job: dict[str, dict[taskjobs.Group, _Sum]] = {}


def record_run(
    estimates: SpeedEstimates,
    group: taskjobs.Group,
    worker_id: str,
    run_ms: int,
) -> None:
    """Record the run time of a task that a worker has run from its start."""
    log_ms = math.log(max(1, run_ms))
    groups = estimates.by_job.setdefault(group.job_id, {})
    peers = groups.get(group, _Sum())
    if peers.samples >= _MIN_PEERS:
        known = _shrink(estimates.by_worker.get(worker_id, _Sum()))
        estimates.by_worker[worker_id] = _Sum(
            known.total + log_ms - peers.total / peers.samples,
            known.samples + 1,
        )
    groups[group] = _Sum(peers.total + log_ms, peers.samples + 1)


def _shrink(known: _Sum) -> _Sum:
    """Halve the weight of a sum that has reached the limit of samples."""
    if known.samples < _MAX_SAMPLES:
        return known
    return _Sum(known.total / 2, known.samples // 2)


def is_slow(estimates: SpeedEstimates, worker_id: str) -> bool:
    """Return whether tasks on a worker take clearly longer than on others."""
    known = estimates.by_worker.get(worker_id, _Sum())
    return known.total / (known.samples + _PRIOR_SAMPLES) > _SLOW_LOG_RATIO


def forget_job(estimates: SpeedEstimates, job_id: str) -> None:
    """Drop the run times of a job that has ended."""
    estimates.by_job.pop(job_id, None)


def forget_worker(estimates: SpeedEstimates, worker_id: str) -> None:
    """Drop the estimate of a worker that has restarted."""
    estimates.by_worker.pop(worker_id, None)
