"""Learned speeds of the workers, from the run times of their tasks.

Tasks that do similar work are compared: those of a step, or the members of one
run of a gang, which do the same work. A run time is modelled as the product of
the group's own run time, the worker's factor and an error; the logarithms are
fitted alternately. Declared run times are only hints and say nothing about a
worker.
"""

import math
import statistics
from typing import NamedTuple

# Standard deviation of the logarithm of a worker's factor before anything is
# known of it, and of the further factor of an image on one worker.
_PRIOR_DEVIATION = 0.5
_IMAGE_DEVIATION = 0.2
# Standard deviation of the logarithm of run times within a step, and within
# one run of a gang.
_STEP_DEVIATION = 0.25
_GANG_DEVIATION = 0.05
# Degrees of freedom of the error, which has a long tail: a few tasks take many
# times as long as the others of their step.
_TAIL_FREEDOM = 4
# A worker's speed counts as known below this standard deviation.
_KNOWN_DEVIATION = 0.15
# Factors that differ by less than a rank don't outweigh other preferences.
_RANK_LOG = math.log(1.2)
# Limits of what is kept and compared.
_MAX_GROUPS = 120
_MAX_SAMPLES = 24
# Limits the weight of the past, so that a changed speed is noticed.
_MAX_PRECISION = 1 / 0.06**2
# Sweeps of one update, and the change by which the fit has settled. One that
# has not is continued by the next update.
_SWEEPS = 2
_SETTLED_LOG = 0.02


class Belief(NamedTuple):
    """What is known of the logarithm of a factor."""

    mean: float = 0.0
    precision: float = 1 / _PRIOR_DEVIATION**2


_UNKNOWN = Belief()


class GroupKey(NamedTuple):
    """Tasks whose run times are comparable.

    Attributes:
        gang_run: Number of the gang's run; 0 for tasks that run singly, of
            which all occurrences are comparable.
    """

    job_id: str
    step: int
    gang_run: int = 0


class _Sample(NamedTuple):
    """The run time of one task."""

    worker_id: str
    log_ms: float
    variance: float


class _Group:
    """Samples of comparable tasks, by a name of the task."""

    def __init__(self, image: str) -> None:
        self.image = image
        self.samples: dict[object, _Sample] = {}


class Profiles:
    """What is known of the workers.

    Attributes:
        groups: Recent groups, the one with the oldest sample first.
        past: Evidence of groups that are no longer kept, by worker.
        beliefs: Present belief by worker.
        image_beliefs: Further factor by worker and image.
        images: Images of which tasks have run, by worker.
        reference: Logarithm of the factor of a typical worker.
        unknown_rank: Rank of a worker of unknown speed.
        changed: Whether the beliefs are not fitted to all samples yet.
        revision: Increases whenever the beliefs change.
    """

    def __init__(self) -> None:
        self.groups: dict[GroupKey, _Group] = {}
        self.past: dict[str, Belief] = {}
        self.beliefs: dict[str, Belief] = {}
        self.image_beliefs: dict[tuple[str, str], Belief] = {}
        self.images: dict[str, list[str]] = {}
        self.reference = 0.0
        self.unknown_rank = 0
        self.changed = False
        self.revision = 0


class Counts(NamedTuple):
    """Number of workers by what is known of their speed."""

    fast: int
    typical: int
    slow: int


def record_run(
    profiles: Profiles,
    key: GroupKey,
    task: object,
    worker_id: str,
    run_ms: float,
    image: str = "",
    log_error: float = 0.0,
) -> None:
    """Record or replace the run time of a task.

    Args:
        profiles: What is known; changed.
        key: The tasks with which it is comparable.
        task: Name of the task within the group.
        worker_id: The worker that runs it.
        run_ms: Run time of the whole task.
        image: Image of the step; empty for none.
        log_error: Relative error of the run time.
    """
    group = profiles.groups.pop(key, None) or _Group(image)
    profiles.groups[key] = group
    if task not in group.samples and len(group.samples) >= _MAX_SAMPLES:
        return
    deviation = _GANG_DEVIATION if key.gang_run else _STEP_DEVIATION
    group.samples[task] = _Sample(
        worker_id, math.log(max(1.0, run_ms)), deviation**2 + log_error**2
    )
    profiles.changed = True
    while len(profiles.groups) > _MAX_GROUPS:
        oldest = next(iter(profiles.groups))
        _fold(profiles, profiles.groups.pop(oldest))


def update(profiles: Profiles) -> None:
    """Fit the beliefs to all samples that are kept."""
    if not profiles.changed:
        return
    profiles.revision += 1
    for _ in range(_SWEEPS):
        before = profiles.beliefs
        _sweep(profiles)
    profiles.changed = any(
        abs(belief.mean - before.get(worker_id, _UNKNOWN).mean) > _SETTLED_LOG
        for worker_id, belief in profiles.beliefs.items()
    )
    known = [
        belief.mean for belief in profiles.beliefs.values() if _is_known(belief)
    ]
    if not known:
        return
    profiles.reference = statistics.median(known)
    typical = statistics.fmean(known) - profiles.reference
    profiles.unknown_rank = round(typical / _RANK_LOG)


def _sweep(profiles: Profiles) -> None:
    """Fit each group's run time to the beliefs, then the beliefs to these."""
    workers = {
        worker_id: _add(_UNKNOWN, past)
        for worker_id, past in profiles.past.items()
    }
    images: dict[tuple[str, str], list[Belief]] = {}
    for group in profiles.groups.values():
        for sample, evidence in _list_evidence(profiles, group):
            known = workers.get(sample.worker_id, _UNKNOWN)
            workers[sample.worker_id] = _add(known, evidence)
            if group.image:
                key = (sample.worker_id, group.image)
                images.setdefault(key, []).append(evidence)
    profiles.beliefs = workers
    profiles.images = {}
    profiles.image_beliefs = {}
    for key, evidence in images.items():
        worker_id, image = key
        profiles.images.setdefault(worker_id, []).append(image)
        mean = workers[worker_id].mean
        belief = Belief(0.0, 1 / _IMAGE_DEVIATION**2)
        for entry in evidence:
            belief = _add(belief, entry._replace(mean=entry.mean - mean))
        profiles.image_beliefs[key] = belief


def _list_evidence(
    profiles: Profiles, group: _Group
) -> list[tuple[_Sample, Belief]]:
    """Return what each sample of a group says about its worker.

    A sample tells the less, the less is known of the others' workers, and the
    further it lies from what is believed of its own one.
    """
    samples = list(group.samples.values())
    if len({sample.worker_id for sample in samples}) < 2:
        return []
    beliefs = [
        profiles.beliefs.get(sample.worker_id, _UNKNOWN) for sample in samples
    ]
    base = statistics.median(
        sample.log_ms - belief.mean
        for sample, belief in zip(samples, beliefs, strict=True)
    )
    weights = [
        1 / (sample.variance + 1 / belief.precision)
        for sample, belief in zip(samples, beliefs, strict=True)
    ]
    total = sum(weights)
    evidence: list[tuple[_Sample, Belief]] = []
    for sample, belief, weight in zip(samples, beliefs, weights, strict=True):
        base_variance = 1 / max(total - weight, 1e-9)
        deviation = sample.log_ms - base
        unusual = (deviation - belief.mean) ** 2 / sample.variance
        variance = (sample.variance + base_variance) * (
            1 + unusual / _TAIL_FREEDOM
        )
        evidence.append((sample, Belief(deviation, 1 / variance)))
    return evidence


def _add(known: Belief, evidence: Belief) -> Belief:
    """Return a belief updated with further evidence."""
    precision = known.precision + evidence.precision
    weight = evidence.precision / precision
    mean = known.mean + (evidence.mean - known.mean) * weight
    return Belief(mean, min(precision, _MAX_PRECISION))


def _fold(profiles: Profiles, group: _Group) -> None:
    """Keep the evidence of a group, when the group itself is dropped."""
    for sample, evidence in _list_evidence(profiles, group):
        past = profiles.past.get(sample.worker_id)
        profiles.past[sample.worker_id] = (
            evidence if past is None else _add(past, evidence)
        )


def _is_known(belief: Belief) -> bool:
    return belief.precision > 1 / _KNOWN_DEVIATION**2


def get_log_factor(
    profiles: Profiles, worker_id: str, image: str = ""
) -> float | None:
    """Return the logarithm of a worker's factor, or None if not known.

    The factor is the run time on it relative to a typical worker of the fleet.
    """
    belief = profiles.beliefs.get(worker_id, _UNKNOWN)
    if not _is_known(belief):
        return None
    further = profiles.image_beliefs.get((worker_id, image), _UNKNOWN)
    return belief.mean + further.mean - profiles.reference


def get_rank(profiles: Profiles, worker_id: str, image: str = "") -> int:
    """Return the rank of a worker: 0 if it is typical, negative if faster.

    A worker of unknown speed ranks as the mean of the known ones, which is
    behind the fast ones and before the slow ones.
    """
    factor = get_log_factor(profiles, worker_id, image)
    if factor is None:
        return profiles.unknown_rank
    # What may be an error counts as typical.
    deviation = profiles.beliefs[worker_id].precision ** -0.5
    certain = max(0.0, abs(factor) - deviation)
    return round(math.copysign(certain, factor) / _RANK_LOG)


def list_image_ranks(profiles: Profiles, worker_id: str) -> dict[str, int]:
    """Return the worker's rank for each image of which anything is known."""
    return {
        image: get_rank(profiles, worker_id, image)
        for image in profiles.images.get(worker_id, ())
    }


def get_run_factor(rank: int) -> float:
    """Return the run time on a worker of a rank, relative to a typical one."""
    return math.exp(rank * _RANK_LOG)


def is_slow(profiles: Profiles, worker_id: str) -> bool:
    """Return whether tasks are known to take clearly longer on a worker."""
    return (
        get_log_factor(profiles, worker_id) is not None
        and get_rank(profiles, worker_id) > 0
    )


def list_known(profiles: Profiles) -> dict[str, Belief]:
    """Return what is known, by worker of which the speed is known."""
    return {
        worker_id: belief
        for worker_id, belief in profiles.beliefs.items()
        if _is_known(belief)
    }


def count_known(profiles: Profiles) -> Counts:
    """Return how many workers are known to be fast, typical and slow."""
    ranks = [
        get_rank(profiles, worker_id)
        for worker_id, belief in profiles.beliefs.items()
        if _is_known(belief)
    ]
    return Counts(
        sum(rank < 0 for rank in ranks),
        sum(rank == 0 for rank in ranks),
        sum(rank > 0 for rank in ranks),
    )


def restore(profiles: Profiles, worker_id: str, belief: Belief) -> None:
    """Use what an earlier owner has learned of a worker."""
    profiles.past[worker_id] = belief
    profiles.changed = True


def forget_worker(profiles: Profiles, worker_id: str) -> None:
    """Drop what is known of a worker that has restarted or left."""
    profiles.past.pop(worker_id, None)
    profiles.beliefs.pop(worker_id, None)
    for key in [key for key in profiles.image_beliefs if key[0] == worker_id]:
        del profiles.image_beliefs[key]
    for group in profiles.groups.values():
        stale = [
            task
            for task, sample in group.samples.items()
            if sample.worker_id == worker_id
        ]
        for task in stale:
            del group.samples[task]
