"""Job states for callers, read from the progress rows that the owner writes.

A host does not follow the progress table: with many hosts that would cost more
calls to the store than all state requests together.
"""

import collections
import threading

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import ports

PROGRESS_TABLE = "progress"
# One row for each accepted job of which no task has started, except for jobs
# with scheduled start times. Written and removed together with the progress
# row.
QUEUED_TABLE = "queued"
_MAX_CACHED = 10_000
_READ_TIMEOUT_MS = 800


class JobStateCache:
    """Job states that this host has read; evicts the oldest entry first."""

    def __init__(self) -> None:
        self.states: collections.OrderedDict[str, taskprogress.State] = (
            collections.OrderedDict()
        )
        self.lock = threading.Lock()


def make_progress_key(job_id: str) -> ports.RowKey:
    """Return the key of a job's progress row."""
    return ports.RowKey(PROGRESS_TABLE, job_id)


def make_page_key(job_id: str, page: int) -> ports.RowKey:
    """Return the key of a page of a job's progress; see `progresspages`."""
    if page == 0:
        return make_progress_key(job_id)
    return ports.RowKey(PROGRESS_TABLE, f"{job_id}.{page}")


def parse_page_key(key: str) -> tuple[str, int]:
    """Return the job and the number of a page."""
    job_id, _, page = key.partition(".")
    return job_id, int(page or 0)


def make_queued_key(queue: str, job_id: str) -> ports.RowKey:
    """Return the key of the row that exists until a task of a job starts."""
    return ports.RowKey(QUEUED_TABLE, f"{queue}.{job_id}")


def read_state(
    cache: JobStateCache, store: ports.Store, job_id: str
) -> taskprogress.State | None:
    """Return the state of a job, or None if there is no such job.

    While the store is unavailable, the cached state is returned.

    Raises:
        errors.StoreUnavailableError: The state is not cached, and the store
            did not respond.
    """
    with cache.lock:
        cached_state = cache.states.get(job_id)
    if cached_state in taskprogress.ENDED:
        return cached_state
    try:
        result = store.read_row(make_progress_key(job_id), _READ_TIMEOUT_MS)
    except errors.StoreUnavailableError as error:
        if cached_state is None:
            raise
        logs.log_event(
            "state_unconfirmed", job=job_id, state=cached_state, detail=error
        )
        return cached_state
    if not result.rows or result.rows[0].value is None:
        return None
    state = taskprogress.decode_progress(job_id, result.rows[0].value).state
    _cache_state(cache, job_id, state)
    return state


def _cache_state(
    cache: JobStateCache, job_id: str, state: taskprogress.State
) -> None:
    with cache.lock:
        # A response that arrives late must not replace the final state.
        if cache.states.get(job_id) in taskprogress.ENDED:
            return
        cache.states[job_id] = state
        cache.states.move_to_end(job_id)
        if len(cache.states) > _MAX_CACHED:
            cache.states.popitem(last=False)


def count_queued(store: ports.Store, queue: str) -> int:
    """Return the number of accepted jobs of a queue with no started task.

    Raises:
        errors.StoreUnavailableError: The store did not respond.
    """
    prefix = f"{queue}."
    keys = store.list_keys(QUEUED_TABLE, prefix, _READ_TIMEOUT_MS)
    # The name of another queue may start with this queue's name and a dot.
    return sum("." not in key.removeprefix(prefix) for key in keys)
