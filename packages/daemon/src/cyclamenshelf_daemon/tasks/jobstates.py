"""States of jobs as callers ask for them, read from the owner's rows.

A host follows no jobs: with many hosts that would cost more calls to the
store than all look-ups together.
"""

import collections
import threading

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import ports

PROGRESS_TABLE = "progress"
# One row for each accepted job of which no task has started, but for jobs
# with set times; written and removed together with the progress.
QUEUED_TABLE = "queued"
_MAX_KNOWN = 10_000
_READ_MS = 800


class JobStates:
    """States that this host has read, the oldest dropped first."""

    def __init__(self) -> None:
        self.states: collections.OrderedDict[str, taskprogress.State] = (
            collections.OrderedDict()
        )
        self.lock = threading.Lock()


def make_progress_key(job_id: str) -> ports.RowKey:
    """Return the row of a job's progress."""
    return ports.RowKey(PROGRESS_TABLE, job_id)


def make_queued_key(queue: str, job_id: str) -> ports.RowKey:
    """Return the row that stands while no task of a job has started."""
    return ports.RowKey(QUEUED_TABLE, f"{queue}.{job_id}")


def read_state(
    known: JobStates, store: ports.Store, job_id: str
) -> taskprogress.State | None:
    """Return the state of a job, or None if there is no such job.

    While the store is silent, the state that was read last is returned.

    Raises:
        errors.StoreUnavailableError: Not known here, and the store is silent.
    """
    with known.lock:
        last = known.states.get(job_id)
    if last in taskprogress.ENDED:
        return last
    try:
        reading = store.read_row(make_progress_key(job_id), _READ_MS)
    except errors.StoreUnavailableError as error:
        if last is None:
            raise
        logs.log_event(
            "state_unconfirmed", job=job_id, state=last, detail=error
        )
        return last
    if not reading.rows or reading.rows[0].value is None:
        return None
    state = taskprogress.decode_progress(job_id, reading.rows[0].value).state
    _note_state(known, job_id, state)
    return state


def _note_state(
    known: JobStates, job_id: str, state: taskprogress.State
) -> None:
    with known.lock:
        # An answer that was overtaken must not replace the end of the job.
        if known.states.get(job_id) in taskprogress.ENDED:
            return
        known.states[job_id] = state
        known.states.move_to_end(job_id)
        if len(known.states) > _MAX_KNOWN:
            known.states.popitem(last=False)


def count_queued(store: ports.Store, queue: str) -> int:
    """Return the accepted jobs of a queue of which no task has started.

    Raises:
        errors.StoreUnavailableError: The store did not answer.
    """
    prefix = f"{queue}."
    keys = store.list_keys(QUEUED_TABLE, prefix, _READ_MS)
    # A name of another queue may begin with this one's and a point.
    return sum("." not in key.removeprefix(prefix) for key in keys)
