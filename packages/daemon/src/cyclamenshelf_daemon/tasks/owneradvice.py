"""Use of the recommendation service in the owner's decisions."""

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon.tasks import advice
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues


def start_requests(owner: ownerstate.Owner) -> None:
    """Start the thread that calls the service, if there is one."""
    if owner.context.advise is None:
        return
    context = advice.RequestContext(
        owner.context.advise,
        owner.context.clock,
        owner.tenure.ended,
        lambda request, response: ownerstate.post(
            owner, lambda: _record_response(owner, request, response)
        ),
    )
    advice.start_requests(context, owner.advice)


def _record_response(
    owner: ownerstate.Owner,
    request: advice.AdviceRequest,
    response: ports.Recommendation | None,
) -> None:
    advice.record_response(
        owner.advice, request, response, owner.context.clock.now_ms()
    )
    owner.changed = True


def get_advice_terms(
    owner: ownerstate.Owner, entry: ledgers.JobEntry
) -> queues.AdviceLatency | None:
    """Return the advice terms of a job's queue; None if it needs no advice."""
    queue = queues.get_queue(owner.context.get_lists(), entry.job.queue)
    return queue and queue.advice


def restrict_workers(
    owner: ownerstate.Owner, waiting: planstate.WaitingGroup
) -> planstate.WaitingGroup:
    """Return a waiting group with the workers it has valid tickets for.

    A group whose queue needs no advice is returned unchanged.
    """
    entry = owner.ledger.jobs[waiting.job.id]
    if get_advice_terms(owner, entry) is None:
        return waiting
    return waiting._replace(
        allowed_workers=advice.list_approved_workers(
            owner.advice,
            waiting.group,
            owner.workers,
            owner.context.clock.now_ms(),
        )
    )


def request_advice(
    owner: ownerstate.Owner,
    waiting: list[planstate.WaitingGroup],
    blocked: set[taskjobs.Group],
    capacities: dict[str, freecapacity.CandidateWorker],
) -> None:
    """Request advice for the blocked groups that need tickets."""
    if owner.context.advise is None:
        return
    for entry in waiting:
        if entry.allowed_workers is None or entry.group not in blocked:
            continue
        terms = get_advice_terms(owner, owner.ledger.jobs[entry.job.id])
        if terms is not None:
            advice.request_advice(
                owner.advice,
                entry.group,
                (entry.job.priority, entry.slack_ms),
                [
                    owner.workers[name]
                    for name in _rank_workers(entry, capacities)
                ],
                terms,
                owner.context.clock.now_ms(),
            )


def _rank_workers(
    entry: planstate.WaitingGroup,
    capacities: dict[str, freecapacity.CandidateWorker],
) -> list[str]:
    """Return the workers to request tickets for, best candidates first.

    Workers with free capacity come first, then those near the data.
    """
    step = entry.job.steps[entry.group.step]
    possible = [
        capacity
        for capacity in capacities.values()
        if freecapacity.is_eligible(capacity, entry.job, step)
    ]
    possible.sort(
        key=lambda capacity: (
            taskjobs.count_fitting(capacity.free, step.need) == 0,
            bool(step.data_rack) and capacity.rack != step.data_rack,
            capacity.suspect,
            capacity.id,
        )
    )
    return [capacity.id for capacity in possible]
