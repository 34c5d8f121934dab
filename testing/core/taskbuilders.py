"""Builders of jobs, workers and allocations for tests of the planner."""

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts

CAPACITY = taskjobs.Resources(32_000, 64_000, 8)


def make_step(tasks=1, accelerators=1, cpu_millis=1_000, **values):
    need = taskjobs.Resources(cpu_millis, 1_000, accelerators)
    return taskjobs.Step(tasks, need, values.pop("run_ms", 5_000), **values)


def make_job(job_id="j1", *steps, **values):
    job = taskjobs.TaskJob(
        job_id,
        "queue",
        "account",
        "service",
        "payload",
        steps or (make_step(),),
        priority=1,
        max_attempts=2,
        slowdown_factor=3.0,
        target_latency_ms=1_000,
        repetitions=0,
        start_at_ms=0,
        interval_ms=0,
        accepted_ms=1_000,
    )
    return job._replace(**values)


def make_long_running_job(job_id, **values):
    return make_job(job_id, make_step(1, 1, long_running=True, **values))


def make_workers(racks=2, per_rack=2, **free):
    workers_by_id = {}
    for rack in range(racks):
        for number in range(per_rack):
            worker_id = f"w{rack}{number}"
            workers_by_id[worker_id] = freecapacity.CandidateWorker(
                worker_id,
                f"r{rack}",
                frozenset({"a", f"r{rack}"}),
                "service",
                free.get(worker_id, CAPACITY),
                CAPACITY,
            )
    return workers_by_id


def make_waiting_group(
    job, step=0, slack_ms=10_000, guaranteed=False, indexes=None
):
    if indexes is None:
        indexes = tuple(range(job.steps[step].tasks))
    return planstate.WaitingGroup(
        job, taskjobs.Group(job.id, 0, step), indexes, slack_ms, guaranteed
    )


def make_allocation(job, worker_id, index=0, step=0, **values):
    held = victimcosts.Allocation(
        taskjobs.Task(taskjobs.Group(job.id, 0, step), index),
        worker_id,
        job.steps[step].need,
        job.priority,
        job.steps[step].gang,
        job.steps[step].long_running,
        lost_work_ms=1_000,
        stopping=False,
        guaranteed=False,
    )
    return held._replace(**values)
