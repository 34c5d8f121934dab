"""Attempts of jobs, and the state of a job after an attempt has stopped."""

import enum

from cyclamenshelf_core import errors
from cyclamenshelf_core import model
from cyclamenshelf_daemon import workerclient

# A job that has failed on this many different workers is not run again.
MAX_FAILED_WORKERS = 3
# Limit on all failures, for jobs that are placed on fewer different workers.
MAX_FAILURES = 10


class Phase(enum.Enum):
    """Phase of an attempt.

    UNSETTLED: It is not known whether the start record was committed; no
    part was started.

    The member names are written to the log in lower case.
    """

    STARTING = enum.auto()
    UNSETTLED = enum.auto()
    ADOPTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()
    FINISHING = enum.auto()


class Attempt:
    """An attempt with allocated accelerators.

    Attributes:
        tracked_since_ms: When the start or the adoption of the attempt began.
        tasks: Last report of each part.
        has_new_report: Whether a report has changed since the attempt was last
            advanced.
        stop_reason: Why the attempt is stopped.
        blamed_workers: Workers that made the attempt fail.
        end_state: State of the job after the stop; None queues it again if that
            is allowed.
        never_started: No start of any part was sent in any tenure.
        reports_valid_from_ms: A task missing from a report that was requested
            before this time may not have been started yet.
        retry_at_ms: Earliest time for the next operation after a failed one.
    """

    def __init__(
        self, job: model.Job, phase: Phase, tracked_since_ms: int
    ) -> None:
        self.job = job
        self.phase = phase
        self.tracked_since_ms = tracked_since_ms
        self.tasks: dict[int, workerclient.TaskReport] = {}
        self.has_new_report = True
        self.stop_reason = ""
        self.blamed_workers: frozenset[str] = frozenset()
        self.end_state: model.JobState | None = None
        self.never_started = False
        self.reports_valid_from_ms = tracked_since_ms
        self.retry_at_ms = 0
        self.operation_running = False


def record_report(
    attempt: Attempt, part: int, report: workerclient.TaskReport
) -> bool:
    """Record the report of a part; return whether it has changed."""
    if attempt.tasks.get(part) == report:
        return False
    attempt.tasks[part] = report
    attempt.has_new_report = True
    return True


def begin_stop(
    attempt: Attempt, reason: str, blamed_workers: frozenset[str] = frozenset()
) -> None:
    """Mark an attempt for stopping; its job row is updated afterwards."""
    attempt.phase = Phase.STOPPING
    attempt.stop_reason = reason
    attempt.blamed_workers = blamed_workers


def get_current_number(attempt: Attempt) -> int:
    """Return the number of the attempt whose tasks may exist on workers."""
    if attempt.phase in (Phase.STARTING, Phase.UNSETTLED):
        return attempt.job.attempt + 1
    return attempt.job.attempt


def resolve_stopped(
    attempt: Attempt,
    reports: dict[int, workerclient.TaskReport],
    lost: frozenset[int],
) -> model.Job | None:
    """Return the job after its attempt was stopped.

    Returns None while it is not known whether all parts have stopped and the
    job row need not change.

    Args:
        attempt: The stopped attempt.
        reports: Responses of the workers to the stop, by part.
        lost: Parts whose lease has expired on an unresponsive worker.
    """
    job = attempt.job
    unresponsive = set(range(len(job.placement))) - reports.keys()
    if attempt.never_started:
        return _end_attempt(attempt, errors.Run.NOT_RUN)
    if unresponsive - lost or (unresponsive and not job.spec.repeatable):
        return _mark_unknown(job, unresponsive)
    attempt.blamed_workers |= {
        job.placement[part].worker_id for part in unresponsive
    }
    if any(
        report.ran and report.state != "absent" for report in reports.values()
    ):
        return _end_attempt(attempt, errors.Run.RAN)
    if unresponsive or any(report.ran for report in reports.values()):
        return _end_attempt(attempt, errors.Run.UNKNOWN)
    return _end_attempt(attempt, errors.Run.NOT_RUN)


def _mark_unknown(job: model.Job, unresponsive: set[int]) -> model.Job | None:
    """Return the job in state unknown, or None if its row need not change."""
    if job.spec.repeatable or job.state is model.JobState.UNKNOWN:
        return None
    awaited = sorted({job.placement[part].worker_id for part in unresponsive})
    return job._replace(
        state=model.JobState.UNKNOWN,
        reason=f"awaiting worker {', '.join(awaited)}",
    )


def _end_attempt(attempt: Attempt, run: errors.Run) -> model.Job:
    """Return the job after an attempt; `run` tells whether it ran."""
    job = attempt.job
    line = f"attempt {job.attempt}: {attempt.stop_reason}"
    if attempt.blamed_workers:
        line += f" on {', '.join(sorted(attempt.blamed_workers))}"
    job = job._replace(
        run=_combine_runs(job, run),
        reason=attempt.stop_reason,
        history=(*job.history, f"{line}; run {run}"),
        failed_workers=_add_failed_worker(
            job.failed_workers, attempt.blamed_workers
        ),
    )
    if attempt.end_state is not None:
        return job._replace(state=attempt.end_state)
    if run is not errors.Run.NOT_RUN and not job.spec.repeatable:
        return job._replace(state=model.JobState.FAILED)
    if _has_failed_too_often(job):
        reason = f"given up after failures on {', '.join(job.failed_workers)}"
        return job._replace(state=model.JobState.FAILED, reason=reason)
    return job._replace(state=model.JobState.QUEUED, placement=())


def _combine_runs(job: model.Job, run: errors.Run) -> errors.Run:
    """Return whether any attempt ran, including the earlier ones."""
    if run is errors.Run.RAN:
        return run
    earlier = {line.rpartition("run ")[2] for line in job.history}
    for candidate in (errors.Run.RAN, errors.Run.UNKNOWN):
        if candidate in earlier:
            return candidate
    return run


def _add_failed_worker(
    failed: tuple[str, ...], blamed_workers: frozenset[str]
) -> tuple[str, ...]:
    """Add one worker per attempt, so that the loss of a rack counts once."""
    if not blamed_workers:
        return failed
    new = sorted(blamed_workers - set(failed)) or sorted(blamed_workers)
    return (*failed, new[0])


def _has_failed_too_often(job: model.Job) -> bool:
    failed = job.failed_workers
    return len(set(failed)) >= MAX_FAILED_WORKERS or len(failed) >= MAX_FAILURES
