"""Seeded loads of jobs of steps, for the replay of the task planner.

A load is a list of job kinds with Poisson arrivals, of which one may arrive in
a burst. Widths and run times are log-normal, as callers' jobs differ widely.
"""

import math
import random
from typing import NamedTuple

from cyclamenshelf_core import taskjobs


class JobKind(NamedTuple):
    """A kind of job.

    Attributes:
        per_s: Mean arrivals per second.
        priority: Priority of its queue.
        worth: Worth of a job of mean size that ends in time.
        late_share: Share of the worth that a late job still has.
        run_ms: Mean run time of a task.
        estimate_error: Largest relative error of the declared run time.
        width: Mean number of tasks of a step.
        max_width: Largest number of tasks of a step.
        need: Resources of a task, without its accelerators.
        accelerators: Numbers of accelerators that a task may need.
        slowdown_factor: Multiple of the run time that the objective allows.
        target_latency_ms: Time that the objective allows in addition.
        gang_share: Share of the jobs that are gangs.
        same_rack_share: Share of the gangs that are slow on several racks.
        data_share: Share of the jobs whose data is on one rack.
        checkpoint_share: Share of the jobs that can be checkpointed.
        failure_share: Probability that a run fails.
        backlog: Jobs that wait at the start.
    """

    name: str
    per_s: float
    priority: int
    worth: float
    late_share: float
    run_ms: float
    estimate_error: float
    width: float
    max_width: int
    need: taskjobs.Resources
    accelerators: tuple[int, ...]
    slowdown_factor: float
    target_latency_ms: int
    gang_share: float = 0.0
    same_rack_share: float = 0.0
    data_share: float = 0.0
    checkpoint_share: float = 0.0
    failure_share: float = 0.02
    backlog: int = 0


class Load(NamedTuple):
    """A fleet and the jobs that arrive.

    Attributes:
        workers: Number of workers.
        workers_per_rack: Number of workers on a rack.
        capacity: Capacity of each worker.
        kinds: The kinds of jobs.
        length_s: Time during which jobs arrive.
        burst_kind: Name of the kind that arrives in a burst; empty for none.
        burst_factor: Multiple of its rate during the burst.
        burst_s: Start and end of the burst.
    """

    workers: int
    workers_per_rack: int
    capacity: taskjobs.Resources
    kinds: tuple[JobKind, ...]
    length_s: float
    burst_kind: str = ""
    burst_factor: float = 1.0
    burst_s: tuple[float, float] = (0.0, 0.0)


class Arrival(NamedTuple):
    """A job that arrives.

    Attributes:
        run_ms: True run time of each task by step and index.
        worth: Worth of the job if it ends in time.
    """

    at_ms: int
    kind: JobKind
    job: taskjobs.TaskJob
    run_ms: tuple[tuple[int, ...], ...]
    worth: float


_WIDE_SIGMA = 0.7
_RUN_SIGMA = 0.35
_TASK_SIGMA = 0.25
_BASE_SHARE = 0.3


def make_arrivals(load: Load, seed: int) -> list[Arrival]:
    """Return the jobs of a load in the order of their arrival."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    for kind in load.kinds:
        for at_ms in _draw_times(load, kind, rng):
            name = f"{kind.name}-{len(arrivals):05}"
            arrivals.append(_draw_arrival(load, kind, name, at_ms, rng))
    return sorted(arrivals, key=lambda arrival: (arrival.at_ms, arrival.job.id))


def _draw_times(load: Load, kind: JobKind, rng: random.Random) -> list[int]:
    times_ms = [0] * kind.backlog
    at_s = 0.0
    while True:
        in_burst = (
            kind.name == load.burst_kind
            and load.burst_s[0] <= at_s < load.burst_s[1]
        )
        rate = kind.per_s * (load.burst_factor if in_burst else 1.0)
        at_s += rng.expovariate(rate)
        if at_s >= load.length_s:
            return times_ms
        times_ms.append(int(at_s * 1000))


def _draw_arrival(
    load: Load, kind: JobKind, name: str, at_ms: int, rng: random.Random
) -> Arrival:
    width = _draw_lognormal(rng, kind.width, _WIDE_SIGMA)
    tasks = max(1, min(kind.max_width, round(width)))
    mean_ms = _draw_lognormal(rng, kind.run_ms, _RUN_SIGMA)
    gang = rng.random() < kind.gang_share
    run_ms = tuple(
        int(mean_ms if gang else _draw_lognormal(rng, mean_ms, _TASK_SIGMA))
        for _ in range(tasks)
    )
    error = rng.uniform(-kind.estimate_error, kind.estimate_error)
    has_data = rng.random() < kind.data_share
    racks = max(1, load.workers // load.workers_per_rack)
    need = kind.need._replace(accelerators=rng.choice(kind.accelerators))
    per_rack = load.workers_per_rack * taskjobs.count_fitting(
        load.capacity, need
    )
    # Callers ask for one rack only where that leaves a choice of workers.
    same_rack = rng.random() < kind.same_rack_share and tasks <= per_rack // 2
    step = taskjobs.Step(
        tasks,
        need,
        max(1, int(mean_ms * (1 + error))),
        checkpointable=rng.random() < kind.checkpoint_share,
        gang=gang,
        same_rack=gang and same_rack,
        data_rack=f"r{rng.randrange(racks)}" if has_data else "",
    )
    job = taskjobs.TaskJob(
        name,
        kind.name,
        f"a{rng.randrange(8)}",
        "s",
        "",
        (step,),
        kind.priority,
        3,
        kind.slowdown_factor,
        kind.target_latency_ms,
        0,
        0,
        0,
        at_ms,
    )
    size = tasks * mean_ms / (kind.width * kind.run_ms)
    worth = kind.worth * min(4.0, _BASE_SHARE + (1 - _BASE_SHARE) * size)
    return Arrival(at_ms, kind, job, (run_ms,), worth)


def _draw_lognormal(rng: random.Random, mean: float, sigma: float) -> float:
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)


_URGENT = JobKind(
    name="urgent",
    per_s=4.0,
    priority=0,
    worth=4.0,
    late_share=0.2,
    run_ms=2_500,
    estimate_error=0.5,
    width=5,
    max_width=32,
    need=taskjobs.Resources(4_000, 10_000, 0),
    accelerators=(1, 2, 4, 8, 8),
    slowdown_factor=1.5,
    target_latency_ms=300,
    gang_share=1.0,
    same_rack_share=0.8,
)
_RENDER = JobKind(
    name="render",
    per_s=0.9,
    priority=1,
    worth=3.0,
    late_share=0.3,
    run_ms=10_000,
    estimate_error=0.2,
    width=13,
    max_width=76,
    need=taskjobs.Resources(13_000, 34_000, 0),
    accelerators=(1, 2, 4, 8, 8),
    slowdown_factor=3.0,
    target_latency_ms=1_000,
    gang_share=1.0,
    same_rack_share=0.6,
    data_share=0.3,
    checkpoint_share=0.45,
    failure_share=0.05,
    backlog=14,
)
_CHECK = JobKind(
    name="check",
    per_s=2.2,
    priority=2,
    worth=1.0,
    late_share=0.3,
    run_ms=6_000,
    estimate_error=0.5,
    width=38,
    max_width=230,
    need=taskjobs.Resources(3_000, 6_000, 0),
    accelerators=(1,),
    slowdown_factor=3.0,
    target_latency_ms=3_000,
    data_share=0.12,
    checkpoint_share=0.45,
    backlog=16,
)


def scale_rates(
    kinds: tuple[JobKind, ...], factor: float
) -> tuple[JobKind, ...]:
    """Return the kinds with all arrival rates multiplied."""
    return tuple(kind._replace(per_s=kind.per_s * factor) for kind in kinds)


_KINDS = (_URGENT, _RENDER, _CHECK)
_LARGE = taskjobs.Resources(32_000, 64_000, 8)
_WIDE = taskjobs.Resources(64_000, 256_000, 8)

# Loads that the replay plays, by name.
LOADS = {
    "calm": Load(270, 8, _LARGE, _KINDS, 30.0),
    "burst-urgent": Load(
        270,
        8,
        _LARGE,
        scale_rates(_KINDS, 1.4),
        30.0,
        "urgent",
        2.4,
        (4.0, 10.0),
    ),
    "overload": Load(
        270,
        8,
        _LARGE,
        scale_rates(_KINDS, 1.8),
        30.0,
        "render",
        2.6,
        (8.0, 12.0),
    ),
    "small-overload": Load(
        24,
        8,
        _WIDE,
        scale_rates(_KINDS, 0.15),
        30.0,
        "urgent",
        2.5,
        (8.0, 12.0),
    ),
    "wide-racks": Load(
        176, 20, _WIDE, scale_rates(_KINDS, 1.2), 30.0, "render", 2.0, (8, 12)
    ),
}
