"""Calls of callers on a host: what is admitted, and under which lists."""

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import host as hosts
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import knownlists
from cyclamenshelf_daemon.tasks import submission

_RETRY_MS = 1_000
# What is left of a caller's deadline when an answer has to leave.
_ANSWER_MS = 250


def admit_call(
    host: hosts.Host, caller: submission.Caller
) -> submission.Admission:
    """Return the queue and account of a call.

    Raises:
        errors.NotFoundError: No queue has this host and path.
        errors.UnauthenticatedError: No account has the key.
        errors.ConfigurationUnconfirmedError: The lists may be out of force.
    """
    known = host.known
    admission = submission.admit(known.lists, caller)
    age_ms = knownlists.get_age_ms(known)
    current = age_ms is not None and age_ms < hosts.MAX_LISTS_AGE_MS
    if isinstance(admission, submission.Accepted) or not current:
        # A refusal must not rest on lists that have since been replaced.
        if not knownlists.confirm(known, knownlists.FRESH_MS):
            raise errors.ConfigurationUnconfirmedError(
                "the lists could not be confirmed", retry_after_ms=_RETRY_MS
            )
        admission = submission.admit(known.lists, caller)
    if admission is submission.Accepted.NO_QUEUE:
        raise errors.NotFoundError("no queue has this host and path")
    if isinstance(admission, submission.Accepted):
        raise errors.UnauthenticatedError("no account has this key")
    return admission


def submit(
    host: hosts.Host,
    caller: submission.Caller,
    job_id: str,
    payload: str,
    steps: tuple[taskjobs.Step, ...],
    times: tuple[int, int, int],
    limit_ms: int,
) -> None:
    """Store a job.

    Raises:
        errors.RequestRefusedError: Not stored, and never will be.
        errors.OutcomeUnknownError: The job may or may not be stored.
    """
    clock = host.known.clock
    give_up_ms = clock.now_ms() + max(0, limit_ms - _ANSWER_MS)
    try:
        outcome = submission.submit_job(
            host.submissions, caller, job_id, payload, steps, times, give_up_ms
        )
    except errors.StoreUnavailableError as error:
        logs.log_event("job_refused", job=job_id, reason=error.code)
        raise errors.StoreDownError(
            str(error), retry_after_ms=_RETRY_MS
        ) from error
    except errors.OutcomeUnknownError:
        logs.log_event("job_outcome_unknown", "WARNING", job=job_id)
        raise
    if outcome is submission.Accepted.NO_QUEUE:
        raise errors.NotFoundError("no queue has this host and path")
    if outcome is submission.Accepted.NO_KEY:
        raise errors.UnauthenticatedError("no account has this key")


def cancel(host: hosts.Host, job_id: str, limit_ms: int) -> bool:
    """Cancel a job; return whether it is known.

    Raises:
        errors.RequestRefusedError: The store did not take it.
        errors.OutcomeUnknownError: It may or may not be cancelled.
    """
    give_up_ms = host.known.clock.now_ms() + max(0, limit_ms - _ANSWER_MS)
    try:
        return submission.cancel_job(host.submissions, job_id, give_up_ms)
    except errors.StoreUnavailableError as error:
        raise errors.StoreDownError(
            str(error), retry_after_ms=_RETRY_MS
        ) from error


def read_state(host: hosts.Host, job_id: str) -> taskprogress.State | None:
    """Return the state of a job, or None if there is no such job.

    Raises:
        errors.StoreDownError: Not known here, and the store is silent.
    """
    try:
        return jobstates.read_state(host.states, host.submissions.store, job_id)
    except errors.StoreUnavailableError as error:
        raise errors.StoreDownError(
            str(error), retry_after_ms=_RETRY_MS
        ) from error


def count_pending(host: hosts.Host, admission: submission.Admission) -> int:
    """Return the accepted jobs of a queue of which no task has started.

    Raises:
        errors.StoreDownError: The store is silent.
    """
    try:
        return jobstates.count_queued(
            host.submissions.store, admission.queue.name
        )
    except errors.StoreUnavailableError as error:
        raise errors.StoreDownError(
            str(error), retry_after_ms=_RETRY_MS
        ) from error
