"""Deletes jobs and answers that are older than the retention time.

A repeated submission is recognised by its idempotency key only as long as
the row of the job is kept.
"""

import threading
from typing import NamedTuple

from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import endedjobs
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon import tableclient

_SWEEP_INTERVAL_S = 600
_COMMIT_TIMEOUT_MS = 5_000


class RetentionContext(NamedTuple):
    """Dependencies of the retention sweeps, which only the cell owner runs."""

    table: tableclient.TableClient
    objects: objectclient.ObjectClient
    tenure: celllease.Tenure
    stopped: threading.Event


def start_sweeping(context: RetentionContext) -> None:
    """Start the thread that deletes old jobs until `stopped` is set."""
    threading.Thread(
        target=supervision.run_until_stopped,
        args=("retention_failed", context.stopped, _run_sweeps, context),
        name="retention",
        daemon=True,
    ).start()


def sweep_cell(context: RetentionContext) -> int:
    """Delete the jobs that ended before the retention time.

    Returns:
        The number of deleted jobs.

    Raises:
        errors.CyclamenshelfError: A store failed or the tenure ended; the
            next sweep continues where this one stopped.
    """
    cell = context.tenure.cell
    oldest_ms = context.table.clock.wall_ms() - endedjobs.RETENTION_MS
    deleted = 0
    for row in tableclient.scan_rows(context.table, f"ended/{cell}/"):
        if row.value["ended_ms"] >= oldest_ms:
            break
        _delete_job(context, row)
        deleted += 1
    return deleted


def _run_sweeps(context: RetentionContext) -> None:
    while not context.stopped.wait(_SWEEP_INTERVAL_S):
        try:
            deleted = sweep_cell(context)
        except errors.CyclamenshelfError as error:
            logs.log_event("retention_failed", "WARNING", detail=error)
        else:
            logs.log_event("retention_swept", deleted=deleted)


def _delete_job(context: RetentionContext, index_row: tableclient.Row) -> None:
    """Delete the answer objects of a job, then its rows."""
    job_key = f"job/{index_row.value['job_id']}"
    row = tableclient.read_rows(context.table, [job_key]).get(job_key)
    checks = {index_row.key: index_row.version}
    if row is not None:
        for part in jobrows.decode_job(row.value).manifest:
            objectclient.delete_object(context.objects, part.key)
        checks[job_key] = row.version
    fence = celllease.check_tenure(context.tenure, context.table)
    tableclient.commit_transaction(
        context.table,
        tableclient.Transaction(
            checks | fence, {}, (index_row.key, *([job_key] if row else []))
        ),
        context.table.clock.now_ms() + _COMMIT_TIMEOUT_MS,
    )
