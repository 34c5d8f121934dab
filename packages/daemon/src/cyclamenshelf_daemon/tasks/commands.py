"""Handling of callers' requests: admission, submission, cancellation, state."""

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import cachedlists
from cyclamenshelf_daemon.tasks import host as hosts
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import submission
from cyclamenshelf_daemon.tasks import unresolvedjobs

_RETRY_MS = 1_000
# Part of a caller's deadline that is reserved for sending the response.
_RESPONSE_MARGIN_MS = 250


def admit_call(
    host: hosts.Host, caller: submission.Caller
) -> submission.Admission:
    """Return the queue and account of a call.

    Raises:
        errors.NotFoundError: No queue has this host and path.
        errors.UnauthenticatedError: No account has the key.
        errors.ConfigurationUnconfirmedError: The cached lists may have been
            replaced.
    """
    cached_lists = host.cached_lists
    admission = submission.admit(cached_lists.lists, caller)
    age_ms = cachedlists.get_age_ms(cached_lists)
    current = age_ms is not None and age_ms < hosts.MAX_LISTS_AGE_MS
    if isinstance(admission, submission.SubmissionOutcome) or not current:
        # A call must not be rejected by lists that have since been replaced.
        if not cachedlists.confirm(cached_lists, cachedlists.FRESH_MS):
            raise errors.ConfigurationUnconfirmedError(
                "the lists could not be confirmed", retry_after_ms=_RETRY_MS
            )
        admission = submission.admit(cached_lists.lists, caller)
    if admission is submission.SubmissionOutcome.NO_QUEUE:
        raise errors.NotFoundError("no queue has this host and path")
    if isinstance(admission, submission.SubmissionOutcome):
        raise errors.UnauthenticatedError("no account has this key")
    return admission


def submit(
    host: hosts.Host,
    caller: submission.Caller,
    job_id: str,
    payload: str,
    steps: tuple[taskjobs.Step, ...],
    schedule: tuple[int, int, int],
    timeout_ms: int,
) -> None:
    """Store a job.

    Raises:
        errors.RequestRefusedError: The job is not stored, and will not be.
        errors.OutcomeUnknownError: The job may or may not be stored.
    """
    clock = host.cached_lists.clock
    # An earlier insert of the same job may still be on its way.
    unresolved = unresolvedjobs.has_job(
        host.unresolved_jobs, job_id, clock.now_ms()
    )
    deadline_ms = clock.now_ms() + max(0, timeout_ms - _RESPONSE_MARGIN_MS)
    try:
        outcome = submission.submit_job(
            host.submission_context,
            caller,
            job_id,
            payload,
            steps,
            schedule,
            deadline_ms,
            may_be_refused=not unresolved,
        )
    except errors.StoreUnavailableError as error:
        logs.log_event("job_refused", job=job_id, reason=error.code)
        raise errors.StoreDownError(
            str(error), retry_after_ms=_RETRY_MS
        ) from error
    except errors.OutcomeUnknownError:
        logs.log_event("job_outcome_unknown", "WARNING", job=job_id)
        unresolvedjobs.add_job(host.unresolved_jobs, job_id, clock.now_ms())
        raise
    if outcome is submission.SubmissionOutcome.CANCELLED:
        raise errors.JobCancelledError("the job was cancelled")
    if outcome is submission.SubmissionOutcome.NO_QUEUE:
        raise errors.NotFoundError("no queue has this host and path")
    if outcome is submission.SubmissionOutcome.UNKNOWN_KEY:
        raise errors.UnauthenticatedError("no account has this key")


def cancel(host: hosts.Host, job_id: str, timeout_ms: int) -> bool:
    """Cancel a job; return whether it exists.

    Raises:
        errors.RequestRefusedError: The store rejected the cancellation.
        errors.OutcomeUnknownError: The job may or may not be cancelled.
    """
    deadline_ms = host.cached_lists.clock.now_ms() + max(
        0, timeout_ms - _RESPONSE_MARGIN_MS
    )
    try:
        found = submission.cancel_job(
            host.submission_context, job_id, deadline_ms
        )
    except errors.StoreUnavailableError as error:
        raise errors.StoreDownError(
            str(error), retry_after_ms=_RETRY_MS
        ) from error
    # No insert of the job can be carried out any more.
    unresolvedjobs.remove_job(host.unresolved_jobs, job_id)
    return found


def read_state(host: hosts.Host, job_id: str) -> taskprogress.State | None:
    """Return the state of a job, or None if there is no such job.

    Raises:
        errors.StoreDownError: The state is not cached here, and the store is
            unavailable.
        errors.OutcomeUnknownError: The job is not stored, and an insert of
            this host may still be on its way.
    """
    try:
        state = jobstates.read_state(
            host.state_cache, host.submission_context.store, job_id
        )
    except errors.StoreUnavailableError as error:
        raise errors.StoreDownError(
            str(error), retry_after_ms=_RETRY_MS
        ) from error
    now_ms = host.cached_lists.clock.now_ms()
    if state is None and unresolvedjobs.has_job(
        host.unresolved_jobs, job_id, now_ms
    ):
        raise errors.OutcomeUnknownError(
            "table", "an insert of the job may still be on its way"
        )
    return state


def count_pending(host: hosts.Host, admission: submission.Admission) -> int:
    """Return the number of accepted jobs of a queue with no started task.

    Raises:
        errors.StoreDownError: The store is unavailable.
    """
    try:
        return jobstates.count_queued(
            host.submission_context.store, admission.queue.name
        )
    except errors.StoreUnavailableError as error:
        raise errors.StoreDownError(
            str(error), retry_after_ms=_RETRY_MS
        ) from error
