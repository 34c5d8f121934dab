"""Builders of workers, lists and jobs for scheduling tests."""

from cyclamenshelf_core import decisions
from cyclamenshelf_core import model

NOW_MS = 1_000_000_000


def make_workers(racks, per_rack, accelerators=8, data_centres=1):
    workers = {}
    for index in range(racks * per_rack):
        rack = index // per_rack
        centre = rack * data_centres // racks
        worker_id = f"w{index:04}"
        workers[worker_id] = model.Worker(
            worker_id, "", f"dc{centre}", f"r{rack}", accelerators
        )
    return workers


def make_lists(guarantees=None, max_accelerators=1000, weights=None):
    """Return lists with one plan per account, named like the account."""
    guarantees = guarantees or {}
    names = sorted({"a", "b", "c"} | set(guarantees))
    return model.Lists(
        1,
        {name: model.Account(name, name, ()) for name in names},
        {
            name: model.Plan(
                name,
                (weights or {}).get(name, 1),
                10_000,
                max_accelerators,
                100,
                tuple(guarantees.get(name, ())),
            )
            for name in names
        },
    )


def make_guarantee(workers, accelerators=8, within="rack"):
    return model.Guarantee(workers, accelerators, model.Within(within))


def make_job(
    job_id,
    account="a",
    parts=1,
    accelerators=8,
    within="rack",
    urgency="normal",
    preemptible=False,
    accepted_ms=NOW_MS,
    run_ms=60_000,
    deadline_ms=None,
):
    shape = model.Shape(parts, accelerators, model.Within(within))
    spec = model.JobSpec(
        shape,
        model.Urgency(urgency),
        deadline_ms,
        run_ms,
        preemptible,
        preemptible,
        None,
    )
    return model.Job(
        job_id, account, "cell", "", spec, model.JobState.QUEUED, accepted_ms
    )


def make_running(job, *worker_ids, since_ms=NOW_MS, stopping=False):
    placement = tuple(
        model.PartPlacement(worker_id, job.spec.shape.accelerators)
        for worker_id in worker_ids
    )
    return decisions.RunningJob(job, placement, since_ms, stopping)


def make_snapshot(workers, lists, queued=(), running=(), **fields):
    return decisions.Snapshot(
        fields.pop("now_ms", NOW_MS),
        lists,
        workers,
        list(queued),
        {entry.job.id: entry for entry in running},
        **fields,
    )
