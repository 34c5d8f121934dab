"""Check of a job against the backlog before it is inserted."""

from collections.abc import Callable
import random
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.overload import admission
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.admission import knownbacklog


class OverloadContext(NamedTuple):
    """What the check needs.

    Attributes:
        known: What this host knows of the backlog.
        count_hosts: Returns the number of hosts that accept jobs.
        registry: Counts the refusals.
        generator: Spreads the times at which callers return.
    """

    known: knownbacklog.KnownBacklog
    clock: clocks.Clock
    count_hosts: Callable[[], int]
    registry: metrics.Metrics
    generator: random.Random


def make_checks(context: OverloadContext) -> dict[ports.RowKey, int]:
    """Return the checks that an insert carries so that this host learns."""
    return knownbacklog.make_checks(context.known, context.clock.now_ms())


def record_conflict(
    context: OverloadContext, conflict: errors.WriteConflictError
) -> None:
    """Record a newer backlog that the store has returned with a conflict."""
    key = knownbacklog.BACKLOG_KEY
    if key in conflict.values:
        knownbacklog.record_row(
            context.known,
            conflict.versions[key],
            conflict.values[key],
            context.clock.now_ms(),
        )


def record_insert(
    context: OverloadContext, transaction: ports.Transaction
) -> None:
    """Record that the backlog had not changed when a job was inserted."""
    version = transaction.checks.get(knownbacklog.BACKLOG_KEY)
    if version is not None:
        knownbacklog.record_unchanged(
            context.known, version, context.clock.now_ms()
        )


def check_job(
    context: OverloadContext,
    job: taskjobs.TaskJob,
    guaranteed: int,
    is_stored: Callable[[], bool],
) -> None:
    """Refuse a job that would end too late; do nothing if that is not known.

    Args:
        context: What the check needs.
        job: The job.
        guaranteed: Accelerators that are guaranteed to its account.
        is_stored: Returns whether the job is stored, or may be. It is asked
            only if the job would be refused.

    Raises:
        errors.OverloadedError: The job is refused.
    """
    wall_ms = context.clock.wall_ms()
    backlog = knownbacklog.get_current(context.known, context.clock.now_ms())
    if backlog is None:
        return
    with context.known.lock:
        returning = list(context.known.refusals)
    verdict = admission.decide(
        backlog,
        job,
        guaranteed,
        _estimate_returning(context, returning),
        context.generator.random(),
        wall_ms,
    )
    if not verdict.refused or is_stored():
        return
    _record_refusal(context, job, verdict, wall_ms)
    raise errors.OverloadedError(
        f"the job would wait about {verdict.wait_ms} ms for capacity, and is "
        f"of use to its caller for {verdict.spare_ms} ms",
        retry_after_ms=verdict.retry_after_ms,
    )


def _estimate_returning(
    context: OverloadContext, refusals: list[admission.Refusal]
) -> list[admission.Refusal]:
    """Return what all hosts have refused, if they refuse as much as this one.

    The balancer spreads callers over the hosts, which tell each other nothing.
    """
    hosts = max(1, context.count_hosts())
    return [
        refusal._replace(
            work=type(refusal.work)(*(hosts * a for a in refusal.work))
        )
        for refusal in refusals
    ]


def _record_refusal(
    context: OverloadContext,
    job: taskjobs.TaskJob,
    verdict: admission.Verdict,
    wall_ms: int,
) -> None:
    refusal = admission.Refusal(
        wall_ms + verdict.retry_after_ms,
        job.service,
        job.priority,
        admission.compute_work(job),
    )
    with context.known.lock:
        context.known.refusals.append(refusal)
    metrics.count_event(
        context.registry, "refused_jobs", priority=str(job.priority)
    )
    logs.log_event(
        "job_refused",
        job=job.id,
        reason=errors.OverloadedError.code,
        queue=job.queue,
        account=job.account,
        priority=job.priority,
        wait_ms=verdict.wait_ms,
        certain_ms=verdict.certain_ms,
        spare_ms=verdict.spare_ms,
        favoured=verdict.favoured,
        retry_ms=verdict.retry_after_ms,
        backlog_version=context.known.version,
    )
