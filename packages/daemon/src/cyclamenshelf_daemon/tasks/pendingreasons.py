"""Why a job has no running task."""

import enum
from typing import NamedTuple

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import waitreasons
from cyclamenshelf_daemon.tasks import advice
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import planning


class PendingReason(enum.StrEnum):
    """Why the planner has not been asked to start a job, or not why."""

    # The owner holds a run that has not been confirmed or not ended.
    RUN_UNRESOLVED = "run_unresolved"
    DECISIONS_SUSPENDED = "decisions_suspended"
    # Tasks may still run on workers that have not responded to this owner.
    WORKERS_UNCONFIRMED = "workers_unconfirmed"
    # The store has rejected the rows that have to precede its starts.
    PROGRESS_REJECTED = "progress_rejected"
    DELAYED = "delayed"
    # It was not among the groups of the last decision that wait.
    UNDECIDED = "undecided"
    # The planner waits for room; what for is only found for the oldest jobs.
    UNEXAMINED = "unexamined"


class Decision(NamedTuple):
    """The last decision, as far as it tells why groups wait.

    Attributes:
        waiting: All groups that were ready to start.
        impossible: Those that no worker of the fleet can run.
        blocked: Those that the planner did not start completely, in the order
            in which it considered them.
        headroom: Accelerators kept free for priority 0, by service.
    """

    waiting: list[planstate.WaitingGroup]
    impossible: set[taskjobs.Group]
    blocked: list[taskjobs.Group]
    headroom: dict[str, int]


NO_DECISION = Decision([], set(), [], {})


class OwnerView(NamedTuple):
    """What the owner knows of its jobs, at one time.

    Attributes:
        suspension: Why the owner makes no decision; None if it makes them.
        unconfirmed_workers: Workers that may run tasks of an earlier owner.
        unconfirmed_until_ms: Monotonic time from which none of them does.
        unstarted: See `list_unstarted`.
    """

    ledger: ledgers.Ledger
    workers: dict[str, fleet.Worker]
    advice: advice.Advice
    decision: Decision
    suspension: str | None
    unconfirmed_workers: set[str]
    unconfirmed_until_ms: int
    now_ms: int
    unstarted: dict[str, list[planstate.WaitingGroup]]


class Explanation(NamedTuple):
    """Why a job has no running task, and the values that decide it.

    Attributes:
        values: Fields for a log line.
    """

    reason: PendingReason | waitreasons.WaitReason
    values: dict[str, object]


def list_unstarted(
    decision: Decision,
) -> dict[str, list[planstate.WaitingGroup]]:
    """Return the groups that a decision left waiting, by job."""
    unstarted = decision.impossible.union(decision.blocked)
    by_job: dict[str, list[planstate.WaitingGroup]] = {}
    for entry in decision.waiting:
        if entry.group in unstarted:
            by_job.setdefault(entry.job.id, []).append(entry)
    return by_job


def explain_job(
    entry: ledgers.JobEntry,
    view: OwnerView,
    situation: waitreasons.Situation | None,
) -> Explanation:
    """Return the one reason why a job has no running task.

    Args:
        entry: The job.
        view: What the owner knows.
        situation: What the planner knows; None if it is not to be asked.
    """
    runs = ledgers.list_job_runs(view.ledger, entry.job.id)
    if runs:
        return _explain_run(min(runs, key=lambda run: run.since_ms), view)
    if view.suspension is not None:
        return Explanation(
            PendingReason.DECISIONS_SUSPENDED, {"cause": view.suspension}
        )
    unconfirmed = entry.progress.workers & view.unconfirmed_workers
    if unconfirmed:
        return Explanation(
            PendingReason.WORKERS_UNCONFIRMED,
            {
                "worker": min(unconfirmed),
                "left_ms": view.unconfirmed_until_ms - view.now_ms,
            },
        )
    if entry.rejected_until_ms > view.now_ms:
        return Explanation(
            PendingReason.PROGRESS_REJECTED,
            {
                "rejections": entry.rejections,
                "left_ms": entry.rejected_until_ms - view.now_ms,
            },
        )
    waiting = _find_waiting_group(entry, view)
    if waiting is not None:
        return _explain_group(waiting, view, situation)
    not_before_ms = min(_list_delays(entry, view.now_ms), default=None)
    if not_before_ms is not None:
        return Explanation(
            PendingReason.DELAYED, {"left_ms": not_before_ms - view.now_ms}
        )
    return Explanation(PendingReason.UNDECIDED, {})


def _explain_run(run: ledgers.Run, view: OwnerView) -> Explanation:
    worker = view.workers.get(run.worker_id)
    obstacle: str | None = "unknown"
    if worker is not None:
        obstacle = fleet.find_obstacle(worker, view.now_ms)
    return Explanation(
        PendingReason.RUN_UNRESOLVED,
        {
            "task": taskjobs.format_task(run.task),
            "run": run.number,
            "phase": run.phase.name.lower(),
            "worker": run.worker_id,
            "worker_state": obstacle or "usable",
            "run_age_ms": view.now_ms - run.since_ms,
            "stop_acked": run.stop_acked_ms is not None,
        },
    )


def _find_waiting_group(
    entry: ledgers.JobEntry, view: OwnerView
) -> planstate.WaitingGroup | None:
    """Return the first group that the last decision left, possible ones first.

    A group that is delayed since then is left out.
    """
    waiting = [
        group
        for group in view.unstarted.get(entry.job.id, ())
        if entry.not_before_ms.get(group.group, 0) <= view.now_ms
    ]
    return min(
        waiting,
        key=lambda group: group.group in view.decision.impossible,
        default=None,
    )


def _explain_group(
    entry: planstate.WaitingGroup,
    view: OwnerView,
    situation: waitreasons.Situation | None,
) -> Explanation:
    step = entry.job.steps[entry.group.step]
    if entry.group in view.decision.impossible:
        missing = waitreasons.find_missing_requirement(
            view.ledger.fleet, entry.job, step
        )
        wait = waitreasons.Wait(waitreasons.WaitReason.IMPOSSIBLE, missing)
    elif entry.allowed_workers is not None and not entry.allowed_workers:
        wait = waitreasons.Wait(waitreasons.WaitReason.ADVICE)
    elif situation is None:
        return Explanation(PendingReason.UNEXAMINED, {})
    else:
        wait = waitreasons.explain_wait(
            entry, situation, _list_earlier(entry, view.decision)
        )
    values = {
        "step": entry.group.step,
        "spare_ms": entry.slack_ms,
        "waited_ms": entry.waited_ms,
    }
    return Explanation(wait.reason, values | _list_values(entry, wait, view))


def _list_earlier(
    entry: planstate.WaitingGroup, decision: Decision
) -> list[planstate.WaitingGroup]:
    """Return the groups that the planner blocked before a group."""
    if entry.group not in decision.blocked:
        return []
    earlier = decision.blocked[: decision.blocked.index(entry.group)]
    by_group = {other.group: other for other in decision.waiting}
    return [by_group[group] for group in earlier]


def _list_values(
    entry: planstate.WaitingGroup, wait: waitreasons.Wait, view: OwnerView
) -> dict[str, object]:
    """Return the values that decide for a reason."""
    step, reasons = entry.job.steps[entry.group.step], waitreasons.WaitReason
    match wait.reason:
        case reasons.IMPOSSIBLE | reasons.UNUSABLE:
            return {"requirement": wait.requirement}
        case reasons.ADVICE:
            step_advice = view.advice.steps.get(entry.group)
            return {
                "approved": len(entry.allowed_workers or ()),
                "denied": len(step_advice.denied) if step_advice else 0,
                "asked": step_advice is not None and step_advice.pending,
            }
        case reasons.HEADROOM:
            kept = view.decision.headroom.get(entry.job.service, 0)
            return {"kept_accelerators": kept}
        case reasons.RACK:
            return {"rack": step.data_rack or "any"}
        case reasons.ISOLATION | reasons.ISOLATION_LIMIT:
            isolated = planning.count_isolated_workers(view.ledger)
            return {"isolated_workers": isolated}
        case reasons.COMBINED:
            return {"combination": "+".join(wait.combined)}
        case reasons.RESERVED if wait.beneficiary is not None:
            return {"reserved_for": wait.beneficiary.job_id}
        case _:
            return {}


def _list_delays(entry: ledgers.JobEntry, now_ms: int) -> list[int]:
    return [
        not_before_ms
        for not_before_ms in entry.not_before_ms.values()
        if not_before_ms > now_ms
    ]
