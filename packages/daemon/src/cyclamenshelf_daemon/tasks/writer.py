"""Writes of job progress, fenced by the epoch of the tenure."""

from collections.abc import Callable
import queue
import random
import threading
from typing import NamedTuple

from cyclamenshelf_core import backoff
from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import adaptivetimeout
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.failover import leaserows

# Limits of one transaction. The store allows 100 entries; each row takes two,
# its expected version and its value, and the check of the epoch row takes one.
MAX_ROWS = 48
MAX_BYTES = 600_000


# Start time of a worker and number of one of its ends.
EndNumber = tuple[int, int]


class JobChange(NamedTuple):
    """Rows of one job, which are written in one transaction.

    Attributes:
        rows: Expected version and value by key; a value of None deletes the
            row.
        starts: Runs whose start orders may be sent once the rows are written.
        ends: By page, the first end on each worker that is durable only with
            these rows.
    """

    job_id: str
    rows: dict[ports.RowKey, tuple[int, bytes | None]]
    starts: tuple[ledgers.Run, ...]
    ends: dict[int, dict[str, EndNumber]]


class Batch(NamedTuple):
    """Changes to write, in one transaction unless the store rejects it.

    Attributes:
        stored_ends: Last end of each worker that is durable once all changes
            are written.
    """

    changes: tuple[JobChange, ...]
    stored_ends: dict[str, EndNumber]


class Result(NamedTuple):
    """Outcome of a batch.

    Attributes:
        versions: New version of each written row.
        rejected: Changes that the store will never accept as they are.
    """

    versions: dict[ports.RowKey, int]
    rejected: tuple[JobChange, ...]


class WriterContext(NamedTuple):
    """What the writer needs.

    Attributes:
        batches: Batches to write; None stops the writer.
        on_written: Called with each batch and its result.
    """

    store: ports.Store
    clock: clocks.Clock
    tenure: ownership.Tenure
    batches: queue.SimpleQueue
    on_written: Callable[[Batch, Result], None]


def start_writer(context: WriterContext) -> threading.Thread:
    """Start the thread that writes the queued batches in order."""
    thread = threading.Thread(
        target=_run_supervised,
        args=(context,),
        name="progress-writer",
        daemon=True,
    )
    thread.start()
    return thread


def _run_supervised(context: WriterContext) -> None:
    """Write until the tenure ends; end it after an unexpected error.

    The progress of a batch that failed is known to nobody, so the next owner
    has to read what is stored.
    """
    if not supervision.run_logged("writer_failed", _run, context):
        context.tenure.ended.set()


def _run(context: WriterContext) -> None:
    generator = random.Random()
    timeout = adaptivetimeout.AdaptiveTimeout()
    while (batch := context.batches.get()) is not None:
        result = _write_batch(context, timeout, generator, batch)
        if result is not None:
            context.on_written(batch, result)


def _write_batch(
    context: WriterContext,
    timeout: adaptivetimeout.AdaptiveTimeout,
    generator: random.Random,
    batch: Batch,
) -> Result | None:
    """Write a batch; return None if the tenure has ended.

    The store does not say which row it rejects, so a rejected transaction is
    halved until the change that causes it is alone.
    """
    versions: dict[ports.RowKey, int] = {}
    rejected: list[JobChange] = []
    pending = [batch.changes]
    while pending:
        changes = pending.pop()
        try:
            written = _write_changes(context, timeout, generator, changes)
        except errors.WriteRejectedError as error:
            _log_rejection(changes, error)
            if len(changes) == 1:
                rejected += changes
            else:
                middle = len(changes) // 2
                pending += [changes[middle:], changes[:middle]]
            continue
        if written is None:
            return None
        versions |= written
    return Result(versions, tuple(rejected))


def _log_rejection(
    changes: tuple[JobChange, ...], error: errors.WriteRejectedError
) -> None:
    sizes = [
        len(value or b"")
        for change in changes
        for _, value in change.rows.values()
    ]
    logs.log_event(
        "write_rejected",
        "ERROR",
        job=changes[0].job_id if len(changes) == 1 else None,
        jobs=len(changes),
        rows=len(sizes),
        bytes=sum(sizes),
        largest_row_bytes=max(sizes),
        detail=error,
    )


def _write_changes(
    context: WriterContext,
    timeout: adaptivetimeout.AdaptiveTimeout,
    generator: random.Random,
    changes: tuple[JobChange, ...],
) -> dict[ports.RowKey, int] | None:
    """Write changes in one transaction until its outcome is known.

    Returns:
        The new versions, or None if the tenure has ended.

    Raises:
        errors.WriteRejectedError: The store will never accept them together.
    """
    rows = {key: row for change in changes for key, row in change.rows.items()}
    versions = {key: version for key, (version, _) in rows.items()}
    failures = 0
    while not context.tenure.ended.is_set():
        written = _write_once(context, timeout, rows, versions)
        if written is not None:
            return written
        delay_ms = min(400, backoff.choose_delay(generator, failures))
        context.clock.sleep_ms(delay_ms)
        failures += 1
    return None


def _write_once(
    context: WriterContext,
    timeout: adaptivetimeout.AdaptiveTimeout,
    rows: dict[ports.RowKey, tuple[int, bytes | None]],
    versions: dict[ports.RowKey, int],
) -> dict[ports.RowKey, int] | None:
    """Write rows; return the new versions, or None if it must be retried.

    Only the owner changes these rows. A row at another version while the epoch
    is unchanged therefore comes from an earlier write of this tenure whose
    response was lost; `versions` is updated for the retry.

    Raises:
        errors.WriteRejectedError: The store will never accept these rows.
    """
    puts = {key: row[1] for key, row in rows.items() if row[1]}
    deletes = tuple(key for key, row in rows.items() if not row[1])
    epoch = {leaserows.EPOCH_KEY: context.tenure.epoch_version}
    transaction = ports.Transaction(epoch | versions, puts, deletes)
    sent_ms = context.clock.now_ms()
    try:
        version = context.store.commit(transaction, timeout.timeout_ms)
    except errors.WriteConflictError as conflict:
        if leaserows.EPOCH_KEY in conflict.versions:
            logs.log_event(
                "epoch_superseded", "WARNING", epoch=context.tenure.epoch
            )
            context.tenure.ended.set()
            return None
        versions.update(
            {k: v for k, v in conflict.versions.items() if k in versions}
        )
        return None
    except errors.WriteRejectedError:
        raise
    except errors.StoreError as error:
        if isinstance(error, errors.OutcomeUnknownError):
            adaptivetimeout.record_timeout(timeout)
        logs.log_event(
            "progress_not_written", "WARNING", rows=len(rows), detail=error
        )
        return None
    adaptivetimeout.record_response(timeout, context.clock.now_ms() - sent_ms)
    return {key: version for key in puts}
