"""Commands of callers: hand in a job, cancel a job."""

import enum
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import calltimes
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import knownlists
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues

WORK_TABLE = "work"
_READ_MS = 800
_PAUSE_MS = 40
_MAX_TRIES = 6
# A store that refuses this often in a row is taken to be away: the caller is
# told at once, and may be served by another host.
_MAX_REFUSALS = 3


class Accepted(enum.Enum):
    """How a job that was handed in ended up."""

    STORED = enum.auto()
    KNOWN = enum.auto()
    NO_QUEUE = enum.auto()
    NO_KEY = enum.auto()


class Submissions(NamedTuple):
    """What commands of callers need.

    Attributes:
        times: Limits of writes; a lost answer is found out by the next try.
    """

    store: ports.Store
    known: knownlists.KnownLists
    clock: clocks.Clock
    times: calltimes.CallTimes


class Caller(NamedTuple):
    """What a request says of where it goes and who sends it.

    Attributes:
        key: The key that came with it; empty for none.
    """

    host: str
    path: str
    key: str


class Admission(NamedTuple):
    """The queue and account of a request; account None on public queues."""

    queue: queues.Queue
    account: queues.ClientAccount | None


def make_work_key(job_id: str) -> ports.RowKey:
    """Return the row of a job."""
    return ports.RowKey(WORK_TABLE, f"job.{job_id}")


def make_cancel_key(job_id: str) -> ports.RowKey:
    """Return the row of a job's cancellation."""
    return ports.RowKey(WORK_TABLE, f"cancel.{job_id}")


def admit(lists: queues.Lists, caller: Caller) -> Admission | Accepted:
    """Return the queue and account of a request, or why there is none."""
    queue = queues.find_queue(lists, caller.host, caller.path)
    if queue is None:
        return Accepted.NO_QUEUE
    if queue.public:
        return Admission(queue, None)
    account = queues.find_account(lists, caller.key)
    return Accepted.NO_KEY if account is None else Admission(queue, account)


def make_job(
    admission: Admission,
    job_id: str,
    payload: str,
    steps: tuple[taskjobs.Step, ...],
    times: tuple[int, int, int],
    wall_ms: int,
) -> taskjobs.TaskJob:
    """Return the job of a request.

    Args:
        admission: Where it goes.
        job_id: Id that the caller chose.
        payload: What its tasks are given.
        steps: Its steps.
        times: Repetitions, Unix time of the first, interval in ms.
        wall_ms: Unix time of acceptance.
    """
    queue, account = admission
    return taskjobs.TaskJob(
        job_id,
        queue.name,
        account.name if account else "",
        queue.service,
        payload,
        steps,
        queue.priority,
        queue.max_attempts,
        queue.slowdown_factor,
        queue.target_latency_ms,
        *times,
        wall_ms,
    )


def submit_job(
    context: Submissions,
    caller: Caller,
    job_id: str,
    payload: str,
    steps: tuple[taskjobs.Step, ...],
    times: tuple[int, int, int],
    give_up_ms: int,
) -> Accepted:
    """Store a job under the condition that the lists are the newest.

    The condition makes a host with old lists read the new ones first, so
    that no job is accepted under lists that are no longer in force.

    Raises:
        errors.StoreUnavailableError: Not stored, and never will be.
        errors.OutcomeUnknownError: The job may or may not be stored.
    """
    unknown = False
    for attempt in range(_MAX_TRIES):
        left_ms = give_up_ms - context.clock.now_ms()
        if left_ms <= 0:
            break
        lists = context.known.lists
        admission = admit(lists, caller)
        if isinstance(admission, Accepted):
            return admission
        job = make_job(
            admission, job_id, payload, steps, times, context.clock.wall_ms()
        )
        try:
            version = _commit(
                context, _make_insert(job, context.known.key, lists), left_ms
            )
        except errors.WriteConflictError as conflict:
            if conflict.versions.get(make_work_key(job_id), 0) > 0:
                return Accepted.KNOWN
            # No earlier try can succeed any more: the lists have moved on.
            unknown = False
            knownlists.confirm(context.known, 0)
            continue
        except errors.OutcomeUnknownError:
            unknown = True
            continue
        except errors.StoreUnavailableError:
            if not unknown and attempt + 1 >= _MAX_REFUSALS:
                break
            context.clock.sleep_ms(_PAUSE_MS << attempt)
            continue
        logs.log_event(
            "job_stored",
            job=job_id,
            queue=job.queue,
            account=job.account,
            lists_version=lists.version,
            row_version=version,
            tries=attempt + 1,
        )
        return Accepted.STORED
    if unknown:
        raise errors.OutcomeUnknownError("table", "no answer to the insert")
    raise errors.StoreUnavailableError("table", "insert not taken")


def _make_insert(
    job: taskjobs.TaskJob, lists_key: ports.RowKey, lists: queues.Lists
) -> ports.Transaction:
    timed = job.repetitions > 0
    progress = taskprogress.Progress(job.queue, job.account, timed)
    puts = {
        make_work_key(job.id): taskjobs.encode_job(job),
        jobstates.make_progress_key(job.id): taskprogress.encode_progress(
            progress
        ),
    }
    if not timed:
        puts[jobstates.make_queued_key(job.queue, job.id)] = b"{}"
    return ports.Transaction(
        {make_work_key(job.id): 0, lists_key: lists.row_version}, puts
    )


def _commit(
    context: Submissions, transaction: ports.Transaction, left_ms: int
) -> int:
    """Make one try of a write within the time that is left for it."""
    sent_ms = context.clock.now_ms()
    limit_ms = min(context.times.limit_ms, left_ms)
    try:
        version = context.store.commit(transaction, limit_ms)
    except errors.OutcomeUnknownError:
        calltimes.note_silence(context.times)
        raise
    calltimes.note_answer(context.times, context.clock.now_ms() - sent_ms)
    return version


def cancel_job(context: Submissions, job_id: str, give_up_ms: int) -> bool:
    """Store the wish to cancel a job; return whether the job is known.

    Raises:
        errors.StoreError: Not known to be stored.
    """
    key = make_cancel_key(job_id)
    while True:
        left_ms = give_up_ms - context.clock.now_ms()
        if left_ms <= 0:
            raise errors.OutcomeUnknownError("table", "no time left")
        try:
            reading = context.store.read_row(
                make_work_key(job_id), min(_READ_MS, left_ms)
            )
            if not reading.rows:
                return False
            checks = {make_work_key(job_id): reading.rows[0].version, key: 0}
            transaction = ports.Transaction(checks, {key: b"{}"})
            _commit(context, transaction, left_ms)
        except errors.WriteConflictError as conflict:
            # Cancelled before, or removed after its end.
            return conflict.versions.get(key, 0) > 0
        except errors.OutcomeUnknownError:
            continue
        except errors.StoreUnavailableError:
            context.clock.sleep_ms(_PAUSE_MS)
            continue
        logs.log_event("cancel_stored", job=job_id)
        return True
