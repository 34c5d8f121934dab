"""Log line and metric that say why jobs have no running task."""

import collections

from cyclamenshelf_core import waitreasons
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import pendingjobs
from cyclamenshelf_daemon.tasks import pendingreasons
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import suspension

_INTERVAL_MS = 1_000
# Limits the share of the owner's time that reports take.
_PAUSE_FACTOR = 20
# How long a report waits for the decision on what has changed.
_MAX_POSTPONE_MS = 1_000
# Jobs that have had no running task for less are not reported.
_MIN_PENDING_MS = 2_000
# For how many jobs the planner is asked what they wait for.
_MAX_EXAMINED = 3
_METRIC = "oldest_pending_job_ms"

Explained = list[tuple[pendingjobs.PendingJob, pendingreasons.Explanation]]


def report_if_due(owner: ownerstate.Owner) -> None:
    """Update the metric about once a second, and log a line if one is due."""
    times = ownerstate.read_times(owner)
    if times.now_ms < owner.report_due_ms:
        return
    suspended = suspension.find_suspension(owner, times.now_ms)
    decision_due = owner.changed and suspended is None
    if decision_due and times.now_ms < owner.report_due_ms + _MAX_POSTPONE_MS:
        return
    owner.report_due_ms = times.now_ms + _INTERVAL_MS
    pending = pendingjobs.list_pending(
        owner.sightings, owner.ledger, owner.workers, times
    )
    explained = _explain_jobs(
        owner,
        [job for job in pending if job.pending_ms >= _MIN_PENDING_MS],
        suspended,
        times,
    )
    metrics.replace_gauges(
        owner.context.registry, _METRIC, "reason", find_oldest(explained)
    )
    if explained:
        logs.log_limited(
            owner.log_limiter,
            times.now_ms,
            "jobs_pending",
            "WARNING",
            **describe_pending_jobs(explained),
        )
    ended_ms = owner.context.clock.now_ms()
    cost_ms = ended_ms - times.now_ms
    owner.report_due_ms = ended_ms + max(_INTERVAL_MS, _PAUSE_FACTOR * cost_ms)


def clear_metric(registry: metrics.Metrics) -> None:
    """Remove the metric at the end of a tenure."""
    metrics.replace_gauges(registry, _METRIC, "reason", {})


def find_oldest(explained: Explained) -> dict[str, int]:
    """Return for how long the oldest job has been pending, by reason."""
    oldest: dict[str, int] = {}
    for job, explanation in explained:
        reason = str(explanation.reason)
        oldest[reason] = max(oldest.get(reason, 0), job.pending_ms)
    return oldest


def describe_pending_jobs(explained: Explained) -> dict[str, object]:
    """Return the fields of the line; the oldest jobs come first.

    A job that no worker can run may wait for ever, and is only named as the
    oldest one if there are no others.
    """
    oldest, explanation = min(
        explained,
        key=lambda item: item[1].reason is waitreasons.WaitReason.IMPOSSIBLE,
    )
    counts = collections.Counter(str(e.reason) for _, e in explained)
    return {
        "jobs": len(explained),
        "oldest_job": oldest.entry.job.id,
        "oldest_ms": oldest.pending_ms,
        "reason": explanation.reason,
        **explanation.values,
        **dict(sorted(counts.items())),
    }


def _explain_jobs(
    owner: ownerstate.Owner,
    pending: list[pendingjobs.PendingJob],
    suspended: suspension.Suspension | None,
    times: planning.Times,
) -> Explained:
    """Return the reason of each job; the planner is asked for a few."""
    view = pendingreasons.OwnerView(
        owner.ledger,
        owner.workers,
        owner.advice,
        owner.decision,
        suspended,
        owner.unconfirmed_workers,
        owner.unconfirmed_until_ms,
        times.now_ms,
        pendingreasons.list_unstarted(owner.decision),
    )
    explained = [
        (job, pendingreasons.explain_job(job.entry, view, None))
        for job in pending
    ]
    unexamined = [
        number
        for number, (_, explanation) in enumerate(explained)
        if explanation.reason is pendingreasons.PendingReason.UNEXAMINED
    ]
    if unexamined:
        situation = _read_situation(owner, times.now_ms)
        for number in unexamined[:_MAX_EXAMINED]:
            job = pending[number]
            explained[number] = (
                job,
                pendingreasons.explain_job(job.entry, view, situation),
            )
    return explained


def _read_situation(
    owner: ownerstate.Owner, now_ms: int
) -> waitreasons.Situation:
    """Return what the planner knows after the last decision."""
    ledger = owner.ledger
    return waitreasons.Situation(
        planning.list_free_capacity(ledger, owner.workers.values(), now_ms),
        planning.list_allocations(ledger, owner.context.get_lists(), now_ms),
        ledger.step_counts,
        owner.decision.headroom,
        planning.count_isolated_workers(ledger),
        planning.list_idle_services(ledger, owner.workers.values(), now_ms),
    )
