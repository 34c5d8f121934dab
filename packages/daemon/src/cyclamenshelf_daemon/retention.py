"""Deletion of jobs and answers that are older than the retention time.

A job's idempotency key is known for as long as its row is kept.
"""

import threading
from typing import NamedTuple

from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import endedjobs
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import tableclient

_SWEEP_INTERVAL_S = 600
_COMMIT_TIMEOUT_MS = 5_000


class RetentionContext(NamedTuple):
    """What the retention of a cell needs; only the cell owner runs it."""

    table: tableclient.TableClient
    objects: objectclient.ObjectClient
    tenure: celllease.Tenure
    stopped: threading.Event


def start_sweeping(context: RetentionContext) -> None:
    """Start the thread that deletes old jobs for as long as the tenure."""
    threading.Thread(
        target=_run, args=(context,), name="retention", daemon=True
    ).start()


def sweep_cell(context: RetentionContext) -> int:
    """Delete every job that ended before the retention time; count them.

    Raises:
        errors.CyclamenshelfError: A store failed or the tenure ended; the
            next sweep goes on where this one stopped.
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


def _run(context: RetentionContext) -> None:
    while not context.stopped.wait(_SWEEP_INTERVAL_S):
        try:
            deleted = sweep_cell(context)
        except errors.CyclamenshelfError as error:
            logs.log_event("retention_failed", "WARNING", detail=error)
        else:
            logs.log_event("retention_swept", deleted=deleted)


def _delete_job(context: RetentionContext, ended: tableclient.Row) -> None:
    """Delete the answers of a job, then its rows."""
    job_key = f"job/{ended.value['job_id']}"
    row = tableclient.read_rows(context.table, [job_key]).get(job_key)
    checks = {ended.key: ended.version}
    if row is not None:
        for part in jobrows.decode_job(row.value).manifest:
            objectclient.delete_object(context.objects, part.key)
        checks[job_key] = row.version
    fence = celllease.check_tenure(context.tenure, context.table)
    tableclient.commit_transaction(
        context.table,
        tableclient.Transaction(
            checks | fence, {}, (ended.key, *([job_key] if row else []))
        ),
        context.table.clock.now_ms() + _COMMIT_TIMEOUT_MS,
    )
