"""Measure the cost of decisions on one core.

Run as a module: python -m benchmarks.placement

Usage: placement [--seed=N] [--sizes=LIST]

Options:
  --seed=N      Seed of fleet and jobs [default: 1].
  --sizes=LIST  Numbers of workers, with commas [default: 70,138,275,550,1100].

`burst` decides on 2,000 waiting jobs in one call, fewer on smaller fleets in
proportion; `single` on one job a call, as when jobs arrive alone. Each fleet
runs 21.8 tasks a worker of 1 accelerator on workers of 32 accelerators, with
2 guarantees of half a rack for every 100 workers, for at most 57 accounts.
"""

import math
import random
import time

from benchmarks import fleets
import docopt

from cyclamenshelf_core import model
from cyclamenshelf_core import policy

_NOW_MS = 100_000_000
_TARGET_TASKS = 24_000
_TARGET_WORKERS = 1100
_ACCELERATORS = 32
_ACCOUNT_COUNT = 57
_BURST_JOBS = 2000
_SINGLE_JOBS = 20
_REPEATS = 3
_SHAPES = ((1, 1, "cell"), (1, 2, "cell"), (4, 1, "rack"), (2, 8, "rack"))


def make_snapshot(workers: int, seed: int) -> policy.Snapshot:
    """Return the snapshot of a fleet that runs gangs of 1 to 8 within racks."""
    rng = random.Random(seed)
    workers_by_id = fleets.make_workers(workers, 8, 10, _ACCELERATORS)
    plans = {}
    guaranteed_accounts = max(1, workers // 50)
    for index in range(_ACCOUNT_COUNT):
        guarantees = ((4, 8, "rack"),) if index < guaranteed_accounts else ()
        plans[f"a{index}"] = fleets.make_plan(f"p{index}", guarantees)
    lists = fleets.make_lists(plans)
    snapshot = policy.Snapshot(_NOW_MS, lists, workers_by_id, [], {}, usage={})
    target_tasks = _TARGET_TASKS * workers // _TARGET_WORKERS
    queued = []
    tasks = 0
    while tasks < target_tasks:
        parts = min(rng.choice((1, 1, 2, 4, 8)), target_tasks - tasks)
        tasks += parts
        job = fleets.make_job(
            f"r{len(queued):06}",
            f"a{rng.randrange(_ACCOUNT_COUNT)}",
            (parts, 1, "rack"),
            preemptible=rng.random() < 0.5,
            accepted_ms=_NOW_MS - 30_000,
            run_ms=3_600_000,
        )
        queued.append(job)
    jobs_by_id = {job.id: job for job in queued}
    outcome = policy.plan(snapshot._replace(queued=queued))
    running = {
        start.job_id: policy.RunningJob(
            jobs_by_id[start.job_id], start.placement, _NOW_MS - 20_000
        )
        for start in outcome.decisions
        if isinstance(start, policy.Start)
    }
    return snapshot._replace(running=running, assignment=outcome.assignment)


def make_queue(count: int, seed: int) -> list[model.Job]:
    """Return queued jobs of mixed shapes."""
    rng = random.Random(seed)
    return [
        fleets.make_job(
            f"q{index:06}",
            f"a{rng.randrange(_ACCOUNT_COUNT)}",
            rng.choice(_SHAPES),
            preemptible=rng.random() < 0.5,
            accepted_ms=_NOW_MS,
        )
        for index in range(count)
    ]


def measure(snapshot: policy.Snapshot, queued: list[model.Job]) -> float:
    """Return the lowest CPU time in seconds of a decision on these jobs.

    The policy state is that of an owner that has already made a decision.
    """
    best_s = math.inf
    state = policy.PolicyState()
    state.assignment = snapshot.assignment
    policy.advance(state, snapshot)
    for _ in range(_REPEATS):
        started = time.process_time()
        policy.advance(state, snapshot._replace(queued=queued))
        best_s = min(best_s, time.process_time() - started)
    return best_s


def main() -> None:
    """Print the cost at each fleet size and its slope."""
    arguments = docopt.docopt(__doc__)
    seed = int(arguments["--seed"])
    points = []
    print("workers tasks burst/s started empty_ms single_ms us_per_decision")
    sizes = [int(text) for text in arguments["--sizes"].split(",")]
    for size in sizes:
        snapshot = make_snapshot(size, seed)
        tasks = sum(len(r.placement) for r in snapshot.running.values())
        burst_jobs = _BURST_JOBS * size // _TARGET_WORKERS
        queue = make_queue(burst_jobs, seed)
        started = sum(
            isinstance(decision, policy.Start)
            for decision in policy.decide(snapshot._replace(queued=queue))
        )
        burst_s = measure(snapshot, queue)
        empty_s = measure(snapshot, [])
        single_s = (
            sum(measure(snapshot, [job]) for job in queue[:_SINGLE_JOBS])
            / _SINGLE_JOBS
        )
        per_decision_us = (burst_s - empty_s) / burst_jobs * 1e6
        points.append(
            (math.log(size), math.log(per_decision_us), math.log(single_s))
        )
        print(
            size,
            tasks,
            round(burst_jobs / burst_s),
            started,
            f"{empty_s * 1000:.1f}",
            f"{single_s * 1000:.1f}",
            f"{per_decision_us:.0f}",
        )
    if len(sizes) == 1:
        return
    print(f"slope burst={_fit_slope(points, 1):.2f}", end=" ")
    print(f"single={_fit_slope(points, 2):.2f} (log-log, 1 is linear)")


def _fit_slope(points: list[tuple[float, ...]], column: int) -> float:
    """Return the least-squares slope of a column against the first one."""
    mean_x = sum(point[0] for point in points) / len(points)
    mean_y = sum(point[column] for point in points) / len(points)
    numerator = sum((p[0] - mean_x) * (p[column] - mean_y) for p in points)
    return numerator / sum((p[0] - mean_x) ** 2 for p in points)


if __name__ == "__main__":
    main()
