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

# Longer than an answer of a slow store takes, and short beside the time that
# callers wait.
_READ_TIMEOUT_MS = 300


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


def refresh(context: OverloadContext, store: ports.Store) -> None:
    """Read the backlog unless that was tried a short time ago.

    A host that can't read it knows of no overload.
    """
    now_ms = context.clock.now_ms()
    if not knownbacklog.claim_reading(context.known, now_ms):
        return
    try:
        rows = store.read_row(knownbacklog.BACKLOG_KEY, _READ_TIMEOUT_MS).rows
    except errors.StoreUnavailableError:
        return
    row = rows[0] if rows else None
    version = row.version if row else 0
    value = row.value if row else None
    knownbacklog.record_row(context.known, version, value, now_ms)


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
