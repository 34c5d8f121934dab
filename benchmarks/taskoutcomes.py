"""What callers got in a replay of jobs of steps."""

import enum
from typing import NamedTuple

from benchmarks import taskloads

# A job that takes longer than this many times its objective is worth nothing.
_LATE_FACTOR = 3


class Outcome(enum.Enum):
    """How a job was served."""

    IN_TIME = enum.auto()
    LATE = enum.auto()
    UNSERVED = enum.auto()


class JobTimes(NamedTuple):
    """When a job first started and was completed; None if it was not."""

    started_ms: int | None
    completed_ms: int | None


class KindResult(NamedTuple):
    """Outcome of the jobs of a kind.

    Attributes:
        worth: Earned share of the worth of all these jobs.
        wait_p90_ms: 90th percentile of the time to the first start.
    """

    jobs: int
    in_time: int
    late: int
    unserved: int
    worth: float
    wait_p90_ms: int


class Result(NamedTuple):
    """Outcome of a replay.

    Attributes:
        stopped_for: Number of groups for which tasks were stopped.
        lost_core_s: Core-seconds of work that stops lost.
        used_core_s: Core-seconds of all work.
    """

    kinds: dict[str, KindResult]
    worth: float
    stops: int
    stopped_for: int
    lost_core_s: float
    used_core_s: float


def summarize_kinds(
    load: taskloads.Load,
    arrivals: list[taskloads.Arrival],
    times: dict[str, JobTimes],
    end_ms: int,
) -> dict[str, KindResult]:
    """Return what the jobs of each kind got.

    Args:
        load: The load that was played.
        arrivals: All jobs of the load.
        times: Times of each job, by its id.
        end_ms: When the replay ended.
    """
    results: dict[str, KindResult] = {}
    for kind in load.kinds:
        members = [a for a in arrivals if a.kind.name == kind.name]
        outcomes = [_rate_job(a, times[a.job.id]) for a in members]
        waits_ms = [
            (end_ms if (at := times[a.job.id].started_ms) is None else at)
            - a.at_ms
            for a in members
        ]
        earned = sum(
            _get_earned_worth(arrival, outcome)
            for arrival, outcome in zip(members, outcomes, strict=True)
        )
        results[kind.name] = KindResult(
            len(members),
            outcomes.count(Outcome.IN_TIME),
            outcomes.count(Outcome.LATE),
            outcomes.count(Outcome.UNSERVED),
            earned / max(sum(a.worth for a in members), 1e-9),
            sorted(waits_ms)[int(0.9 * (len(waits_ms) - 1))],
        )
    return results


def compute_worth(
    arrivals: list[taskloads.Arrival], times: dict[str, JobTimes]
) -> float:
    """Return the earned share of the worth of all jobs."""
    earned = sum(
        _get_earned_worth(a, _rate_job(a, times[a.job.id])) for a in arrivals
    )
    return earned / sum(a.worth for a in arrivals)


def _get_earned_worth(arrival: taskloads.Arrival, outcome: Outcome) -> float:
    shares = {Outcome.IN_TIME: 1.0, Outcome.LATE: arrival.kind.late_share}
    return arrival.worth * shares.get(outcome, 0.0)


def _rate_job(arrival: taskloads.Arrival, times: JobTimes) -> Outcome:
    if times.completed_ms is None:
        return Outcome.UNSERVED
    path_ms = sum(max(step_ms) for step_ms in arrival.run_ms)
    objective_ms = (
        arrival.kind.slowdown_factor * path_ms + arrival.kind.target_latency_ms
    )
    taken_ms = times.completed_ms - arrival.at_ms
    if taken_ms <= objective_ms:
        return Outcome.IN_TIME
    late = taken_ms <= _LATE_FACTOR * objective_ms
    return Outcome.LATE if late else Outcome.UNSERVED


def format_result(name: str, seed: int, result: Result) -> str:
    """Return the line of the report for one replay of a load."""
    kinds = " ".join(
        f"{kind}={entry.worth:.3f}({entry.in_time}/{entry.late}"
        f"/{entry.unserved},{entry.wait_p90_ms}ms)"
        for kind, entry in result.kinds.items()
    )
    lost = result.lost_core_s / max(result.used_core_s, 1e-9)
    return (
        f"load={name} seed={seed} worth={result.worth:.3f} {kinds} "
        f"stops={result.stops} stopped_for={result.stopped_for} "
        f"lost={lost:.3f}"
    )
