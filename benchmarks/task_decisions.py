"""Measure what the owner of the task scheduler does for each event, by size.

Run as a module: python -m benchmarks.task_decisions

Usage: task_decisions [--seed=N] [--repeats=N] [--sizes=LIST]

Options:
  --seed=N      Seed of fleet and jobs [default: 1].
  --repeats=N   Decisions measured at each size [default: 20].
  --sizes=LIST  Numbers of workers [default: 24,69,138,275,550,1100].

Each fleet is full of tasks of the last priority, 22 on a worker, and jobs of
all three priorities wait, one for every eight workers. `decide` is one whole
decision, `look` what a worker's answer costs.
"""

import random
import time

import docopt

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core import urgentdemand
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues
from cyclamenshelf_daemon.tasks import reports

_WORKERS_PER_RACK = 20
_CAPACITY = taskjobs.Resources(64_000, 256_000, 24)
_TASKS_PER_WORKER = 22
_TASKS_PER_JOB = 16
_WORKERS_PER_WAITING_JOB = 8
_NOW_MS = 1_000_000
_LISTS = queues.Lists(
    1,
    1,
    tuple(
        queues.Queue(f"q{n}", "h", f"/{n}/", "s", n, 2, 3.0, 1_000, False)
        for n in range(3)
    ),
    tuple(queues.ClientAccount(f"a{n}", frozenset(), 16) for n in range(57)),
)


def make_ledger(
    workers: int, rng: random.Random
) -> tuple[ledgers.Ledger, list[fleet.Worker]]:
    """Return the owner's ledger of a fully allocated fleet, and its workers."""
    ledger = ledgers.Ledger(1)
    members = make_workers(workers)
    task_workers = [
        worker.info.id for worker in members for _ in range(_TASKS_PER_WORKER)
    ]
    for start in range(0, len(task_workers), _TASKS_PER_JOB):
        job_workers = task_workers[start : start + _TASKS_PER_JOB]
        job = _make_job(f"r{start:06}", 2, len(job_workers), 1, rng)
        _add_job(ledger, job)
        for index, worker_id in enumerate(job_workers):
            task = taskjobs.Task(taskjobs.Group(job.id, 0, 0), index)
            run = ledgers.Run(task, 1, worker_id, _NOW_MS - 1_000)
            run.phase, run.acked_ms = ledgers.Phase.RUNNING, _NOW_MS
            ledgers.add_run(ledger, run)
    for number in range(workers // _WORKERS_PER_WAITING_JOB):
        priority = number % 3
        gang = priority == 0
        size = rng.choice((1, 2, 4, 8)) if gang else rng.choice((1, 8))
        job = _make_job(f"w{number:06}", priority, 4, size, rng, gang=gang)
        _add_job(ledger, job)
    return ledger, members


def make_workers(count: int) -> list[fleet.Worker]:
    """Return workers that have responded."""
    return [_make_worker(number) for number in range(count)]


def _make_worker(number: int) -> fleet.Worker:
    rack = f"r{number // _WORKERS_PER_RACK}"
    info = ports.WorkerInfo(
        f"w{number:04}",
        1,
        "127.0.0.1:1",
        "s",
        rack,
        frozenset({"a", rack}),
        _CAPACITY,
        None,
    )
    worker = fleet.Worker(info, max_lease_ms=6_000)
    fleet.record_response(worker, 1, _NOW_MS)
    return worker


def _make_job(
    job_id: str,
    priority: int,
    tasks: int,
    accelerators: int,
    rng: random.Random,
    gang: bool = False,
) -> taskjobs.TaskJob:
    need = taskjobs.Resources(2_000, 4_000, accelerators)
    account = f"a{rng.randrange(57)}"
    job = make_job(job_id, tasks, need, priority, account)
    step = job.steps[0]._replace(
        checkpointable=not gang, gang=gang, same_rack=gang
    )
    accepted_ms = _NOW_MS - rng.randrange(5_000)
    return job._replace(steps=(step,), accepted_ms=accepted_ms)


def make_job(
    job_id: str,
    tasks: int,
    need: taskjobs.Resources,
    priority: int = 1,
    account: str = "a0",
) -> taskjobs.TaskJob:
    """Return a job with one step."""
    return taskjobs.TaskJob(
        job_id,
        f"q{priority}",
        account,
        "s",
        "payload",
        (taskjobs.Step(tasks, need, 5_000),),
        priority,
        max_attempts=2,
        slowdown_factor=3.0,
        target_latency_ms=1_000,
        repetitions=0,
        start_at_ms=0,
        interval_ms=0,
        accepted_ms=_NOW_MS,
    )


def _add_job(ledger: ledgers.Ledger, job: taskjobs.TaskJob) -> None:
    progress = taskprogress.Progress(job.queue, job.account)
    ledger.jobs[job.id] = ledgers.JobEntry(job, 1, progress, 1)


def decide(
    ledger: ledgers.Ledger, members: list[fleet.Worker]
) -> taskplan.Plan:
    """Compute one plan as the owner does."""
    times = planning.Times(_NOW_MS, _NOW_MS)
    planning.update_fleet(ledger, members)
    waiting = planning.list_waiting(ledger, _LISTS, times, set())
    planning.record_urgent_demand(ledger, waiting, _NOW_MS)
    return taskplan.plan(
        [entry for entry in waiting if planning.can_run(ledger, entry)],
        planning.list_allocations(ledger, _LISTS, _NOW_MS),
        planning.list_free_capacity(ledger, members, _NOW_MS),
        ledger.step_counts,
        urgentdemand.compute_headroom(ledger.urgent_demand, _NOW_MS),
    )


def apply_response(ledger: ledgers.Ledger, worker: fleet.Worker) -> None:
    """Apply a renewal response that lists the running tasks of a worker."""
    running = tuple(
        ports.RunningTask(taskjobs.format_task(run.task), run.number, "")
        for run in ledgers.list_worker_runs(ledger, worker.info.id)
    )
    response = ports.RenewalResponse(1, 1, running, (), complete=True)
    reports.apply_response(
        ledger,
        worker,
        _NOW_MS,
        response,
        planning.Times(_NOW_MS, _NOW_MS),
        lambda worker, name, number: None,
    )


def main() -> None:
    """Print the costs at each fleet size."""
    arguments = docopt.docopt(__doc__)
    seed, repeats = int(arguments["--seed"]), int(arguments["--repeats"])
    print(f"seed={seed}")
    for workers in map(int, arguments["--sizes"].split(",")):
        ledger, members = make_ledger(workers, random.Random(seed))
        started_s = time.process_time()
        for _ in range(repeats):
            plan = decide(ledger, members)
        decided_s = time.process_time()
        for number in range(repeats):
            apply_response(ledger, members[number % workers])
        ended_s = time.process_time()
        print(
            f"workers={workers} tasks={len(ledger.runs)} "
            f"waiting={workers // _WORKERS_PER_WAITING_JOB} "
            f"stops={len(plan.stops)} "
            f"decide_ms={1000 * (decided_s - started_s) / repeats:.2f} "
            f"look_us={1e6 * (ended_s - decided_s) / repeats:.0f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
