"""Attempts of jobs that hold accelerators, and what becomes of stopped ones."""

import enum

from cyclamenshelf_core import errors
from cyclamenshelf_core import model
from cyclamenshelf_daemon import workerclient

# A job that failed on this many different workers is given up.
MAX_FAILED_WORKERS = 3
# The same, where the job meets too few different workers.
MAX_FAILURES = 10


class Phase(enum.Enum):
    """What is being done with an attempt.

    UNSETTLED: It is not known whether the start record was committed; no
    part was started.
    """

    STARTING = enum.auto()
    UNSETTLED = enum.auto()
    ADOPTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()
    FINISHING = enum.auto()


class Attempt:
    """An attempt that holds accelerators.

    Attributes:
        tasks: Last report of each part.
        reported: Whether a report has changed since the last look.
        stop_reason: Why the attempt is stopped.
        culprits: Workers that failed the attempt.
        end_state: State of the job after the stop; None queues it again
            where that is allowed.
        never_started: No start of any part was sent in any tenure.
        watched_from_ms: Reports sent earlier may not know the tasks yet.
        retry_at_ms: Earliest time for the next try of its operation.
    """

    def __init__(self, job: model.Job, phase: Phase, since_ms: int) -> None:
        self.job = job
        self.phase = phase
        self.since_ms = since_ms
        self.tasks: dict[int, workerclient.TaskReport] = {}
        self.reported = True
        self.stop_reason = ""
        self.culprits: frozenset[str] = frozenset()
        self.end_state: model.JobState | None = None
        self.never_started = False
        self.watched_from_ms = since_ms
        self.retry_at_ms = 0
        self.operating = False


def note_report(
    attempt: Attempt, part: int, report: workerclient.TaskReport
) -> bool:
    """Keep the report of a part; return whether it says something new."""
    if attempt.tasks.get(part) == report:
        return False
    attempt.tasks[part] = report
    attempt.reported = True
    return True


def begin_stop(
    attempt: Attempt, reason: str, culprits: frozenset[str] = frozenset()
) -> None:
    """Let the parts of an attempt be stopped, and the job be settled."""
    attempt.phase = Phase.STOPPING
    attempt.stop_reason = reason
    attempt.culprits = culprits


def get_current_number(attempt: Attempt) -> int:
    """Return the number of the attempt whose tasks may exist on workers."""
    if attempt.phase in (Phase.STARTING, Phase.UNSETTLED):
        return attempt.job.attempt + 1
    return attempt.job.attempt


def settle_stopped(
    attempt: Attempt,
    reports: dict[int, workerclient.TaskReport],
    lost: frozenset[int],
) -> model.Job | None:
    """Return the job after its attempt was stopped, or None if not known.

    Args:
        attempt: The stopped attempt.
        reports: What the workers said to the stop, by part.
        lost: Parts whose lease has lapsed on a silent worker.
    """
    job = attempt.job
    silent = set(range(len(job.placement))) - reports.keys()
    if attempt.never_started:
        return _end_attempt(attempt, errors.Run.NOT_RUN)
    if silent - lost or (silent and not job.spec.repeatable):
        return _mark_unknown(job, silent)
    attempt.culprits |= {job.placement[part].worker_id for part in silent}
    if any(
        report.ran and report.state != "absent" for report in reports.values()
    ):
        return _end_attempt(attempt, errors.Run.RAN)
    if silent or any(report.ran for report in reports.values()):
        return _end_attempt(attempt, errors.Run.UNKNOWN)
    return _end_attempt(attempt, errors.Run.NOT_RUN)


def _mark_unknown(job: model.Job, silent: set[int]) -> model.Job | None:
    """Return the job that waits for workers, or None where the row says so."""
    if job.spec.repeatable or job.state is model.JobState.UNKNOWN:
        return None
    awaited = sorted({job.placement[part].worker_id for part in silent})
    return job._replace(
        state=model.JobState.UNKNOWN,
        reason=f"awaiting worker {', '.join(awaited)}",
    )


def _end_attempt(attempt: Attempt, run: errors.Run) -> model.Job:
    """Return the job after an attempt of which `run` is known."""
    job = attempt.job
    line = f"attempt {job.attempt}: {attempt.stop_reason}"
    if attempt.culprits:
        line += f" on {', '.join(sorted(attempt.culprits))}"
    job = job._replace(
        run=_combine_runs(job, run),
        reason=attempt.stop_reason,
        history=(*job.history, f"{line}; run {run}"),
        failed_workers=_add_culprit(job.failed_workers, attempt.culprits),
    )
    if attempt.end_state is not None:
        return job._replace(state=attempt.end_state)
    if run is not errors.Run.NOT_RUN and not job.spec.repeatable:
        return job._replace(state=model.JobState.FAILED)
    if _is_given_up(job):
        reason = f"given up after failures on {', '.join(job.failed_workers)}"
        return job._replace(state=model.JobState.FAILED, reason=reason)
    return job._replace(state=model.JobState.QUEUED, placement=())


def _combine_runs(job: model.Job, run: errors.Run) -> errors.Run:
    """Return whether any attempt ran; an earlier one may have."""
    if run is errors.Run.RAN:
        return run
    earlier = {line.rpartition("run ")[2] for line in job.history}
    for known in (errors.Run.RAN, errors.Run.UNKNOWN):
        if known in earlier:
            return known
    return run


def _add_culprit(
    failed: tuple[str, ...], culprits: frozenset[str]
) -> tuple[str, ...]:
    """Add one culprit for an attempt, so that a lost rack counts once."""
    if not culprits:
        return failed
    new = sorted(culprits - set(failed)) or sorted(culprits)
    return (*failed, new[0])


def _is_given_up(job: model.Job) -> bool:
    failed = job.failed_workers
    return len(set(failed)) >= MAX_FAILED_WORKERS or len(failed) >= MAX_FAILURES
