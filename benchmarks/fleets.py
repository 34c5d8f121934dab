"""Builders of workers, plans, lists and jobs for the benchmarks."""

from cyclamenshelf_core import model


def make_workers(
    count: int, per_rack: int, data_centres: int, accelerators: int = 8
) -> dict[str, model.Worker]:
    """Return workers in racks that are spread evenly over data centres."""
    racks = -(-count // per_rack)
    workers = {}
    for index in range(count):
        rack = index // per_rack
        data_centre = rack * data_centres // racks
        worker_id = f"w{index:04}"
        workers[worker_id] = model.Worker(
            worker_id, "", f"dc{data_centre}", f"r{rack}", accelerators
        )
    return workers


def make_plan(
    name: str,
    guarantees: tuple[tuple[int, int, str], ...] = (),
    weight: int = 1,
    max_accelerators: int = 100_000,
) -> model.Plan:
    """Return a plan with guarantees of (workers, accelerators, within)."""
    return model.Plan(
        name,
        weight,
        100_000,
        max_accelerators,
        1000,
        tuple(
            model.Guarantee(workers, accelerators, model.Within(within))
            for workers, accelerators, within in guarantees
        ),
    )


def make_lists(plans: dict[str, model.Plan]) -> model.Lists:
    """Return lists in which each named account has the given plan."""
    return model.Lists(
        1,
        {
            name: model.Account(name, plan.name, ())
            for name, plan in plans.items()
        },
        {plan.name: plan for plan in plans.values()},
    )


def make_job(
    job_id: str,
    account: str,
    shape: tuple[int, int, str],
    *,
    urgency: str = "normal",
    preemptible: bool = False,
    accepted_ms: int = 0,
    run_ms: int = 60_000,
    deadline_ms: int | None = None,
) -> model.Job:
    """Return a queued job with a shape of (parts, accelerators, within)."""
    parts, accelerators, within = shape
    spec = model.JobSpec(
        model.Shape(parts, accelerators, model.Within(within)),
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
