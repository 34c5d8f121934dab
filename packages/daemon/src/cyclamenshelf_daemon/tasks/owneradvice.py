"""Advice in the owner's decisions: whom a step may go to, and when to ask."""

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import taskspace
from cyclamenshelf_daemon.tasks import advice
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues


def start(owner: ownerstate.Owner) -> None:
    """Start the thread that asks, if there is a service to ask."""
    if owner.context.advise is None:
        return
    context = advice.AskContext(
        owner.context.advise,
        owner.context.clock,
        owner.tenure.ended,
        lambda made, answer: ownerstate.post(
            owner, lambda: _note_answer(owner, made, answer)
        ),
    )
    advice.start_asking(context, owner.advice)


def _note_answer(
    owner: ownerstate.Owner,
    made: advice.Ask,
    answer: ports.Recommendation | None,
) -> None:
    advice.note_answer(owner.advice, made, answer, owner.context.clock.now_ms())
    owner.changed = True


def get_terms(
    owner: ownerstate.Owner, entry: ledgers.Entry
) -> queues.AdviceLatency | None:
    """Return how to ask for the steps of a job; None if all workers may."""
    queue = queues.get_queue(owner.context.get_lists(), entry.job.queue)
    return queue and queue.advice


def restrict(
    owner: ownerstate.Owner, waiting: taskplan.WaitingGroup
) -> taskplan.WaitingGroup:
    """Return a waiting group with the workers that its queue allows now."""
    entry = owner.ledger.jobs[waiting.job.id]
    if get_terms(owner, entry) is None:
        return waiting
    return waiting._replace(
        allowed_workers=advice.list_usable(
            owner.advice,
            waiting.group,
            owner.workers,
            owner.context.clock.now_ms(),
        )
    )


def ask_for(
    owner: ownerstate.Owner,
    waiting: list[taskplan.WaitingGroup],
    blocked: set[taskjobs.Group],
    rooms: dict[str, taskspace.CandidateWorker],
) -> None:
    """Ask for the groups that found too few workers with a ticket."""
    if owner.context.advise is None:
        return
    for entry in waiting:
        if entry.allowed_workers is None or entry.group not in blocked:
            continue
        terms = get_terms(owner, owner.ledger.jobs[entry.job.id])
        if terms is not None:
            advice.ask(
                owner.advice,
                entry.group,
                (entry.job.priority, entry.spare_ms),
                [owner.workers[name] for name in _order(entry, rooms)],
                terms,
                owner.context.clock.now_ms(),
            )


def _order(
    entry: taskplan.WaitingGroup, rooms: dict[str, taskspace.CandidateWorker]
) -> list[str]:
    """Return the workers to name: with room first, then near the data."""
    step = entry.job.steps[entry.group.step]
    possible = [
        room
        for room in rooms.values()
        if taskspace.is_eligible(room, entry.job, step)
    ]
    possible.sort(
        key=lambda room: (
            taskjobs.count_fitting(room.free, step.need) == 0,
            bool(step.data_rack) and room.rack != step.data_rack,
            room.suspect,
            room.id,
        )
    )
    return [room.id for room in possible]
