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

# Limits of one transaction. The store allows 100 entries; each row takes two,
# its expected version and its value, and the check of the epoch row takes one.
MAX_ROWS = 48
MAX_BYTES = 600_000


class Batch(NamedTuple):
    """Rows to write in one transaction.

    Attributes:
        rows: Expected version and value by key; a value of None deletes the
            row.
        stored_ends: Ends that are durable once this batch is written: start
            time of the worker and number of its last end, by worker.
        starts: Runs whose start orders are sent once this batch is written.
    """

    rows: dict[ports.RowKey, tuple[int, bytes | None]]
    stored_ends: dict[str, tuple[int, int]]
    starts: tuple[ledgers.Run, ...]


class WriterContext(NamedTuple):
    """What the writer needs.

    Attributes:
        batches: Batches to write; None stops the writer.
        on_written: Called with each written batch and the new versions by
            key.
    """

    store: ports.Store
    clock: clocks.Clock
    tenure: ownership.Tenure
    batches: queue.SimpleQueue
    on_written: Callable[[Batch, dict[ports.RowKey, int]], None]


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
        failures = 0
        versions = {key: row[0] for key, row in batch.rows.items()}
        while not context.tenure.ended.is_set():
            written = _write_once(context, timeout, batch, versions)
            if written is not None:
                context.on_written(batch, written)
                break
            delay_ms = min(400, backoff.choose_delay(generator, failures))
            context.clock.sleep_ms(delay_ms)
            failures += 1


def _write_once(
    context: WriterContext,
    timeout: adaptivetimeout.AdaptiveTimeout,
    batch: Batch,
    versions: dict[ports.RowKey, int],
) -> dict[ports.RowKey, int] | None:
    """Write a batch; return the new versions, or None if it must be retried.

    Only the owner changes these rows. A row at another version while the epoch
    is unchanged therefore comes from an earlier write of this tenure whose
    response was lost; `versions` is updated for the retry.
    """
    puts = {key: row[1] for key, row in batch.rows.items() if row[1]}
    deletes = tuple(key for key, row in batch.rows.items() if not row[1])
    epoch = {ownership.EPOCH_KEY: context.tenure.epoch_version}
    transaction = ports.Transaction(epoch | versions, puts, deletes)
    sent_ms = context.clock.now_ms()
    try:
        version = context.store.commit(transaction, timeout.timeout_ms)
    except errors.WriteConflictError as conflict:
        if ownership.EPOCH_KEY in conflict.versions:
            logs.log_event(
                "epoch_superseded", "WARNING", epoch=context.tenure.epoch
            )
            context.tenure.ended.set()
            return None
        versions.update(
            {k: v for k, v in conflict.versions.items() if k in versions}
        )
        return None
    except errors.StoreError as error:
        if isinstance(error, errors.OutcomeUnknownError):
            adaptivetimeout.record_timeout(timeout)
        logs.log_event(
            "progress_not_written",
            "WARNING",
            rows=len(batch.rows),
            detail=error,
        )
        return None
    adaptivetimeout.record_response(timeout, context.clock.now_ms() - sent_ms)
    return {key: version for key in puts}
