"""Finding the jobs and cancellations of a cell in the stores.

The poller also imports jobs that were accepted into the object store while
the table service was down.
"""

from collections.abc import Callable
import json
import threading
from typing import NamedTuple

from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import groupcommit
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import tableclient

_POLL_INTERVAL_MS = 1_000
_IMPORT_BATCH = 100
_IMPORT_TIMEOUT_S = 20


class Loaded(NamedTuple):
    """Rows of jobs that were not known, and ids of jobs to cancel."""

    rows: list[tableclient.Row]
    cancels: set[str]


class JobPoller:
    """What the poller has handed over already."""

    def __init__(
        self,
        table: tableclient.TableClient,
        objects: objectclient.ObjectClient,
        committer: groupcommit.GroupCommitter,
        tenure: celllease.Tenure,
        on_loaded: Callable[[Loaded], None],
    ) -> None:
        self.table = table
        self.objects = objects
        self.committer = committer
        self.tenure = tenure
        self.on_loaded = on_loaded
        self.lock = threading.Lock()
        self.known: set[str] = set()
        self.wake = threading.Event()
        self.stopped = threading.Event()


def start_polling(poller: JobPoller) -> None:
    """Start the poller's thread."""
    threading.Thread(
        target=_poll, args=(poller,), name="job-poller", daemon=True
    ).start()


def stop_polling(poller: JobPoller) -> None:
    """End the poller's thread."""
    poller.stopped.set()
    poller.wake.set()


def wake(poller: JobPoller) -> None:
    """Poll at once."""
    poller.wake.set()


def forget_job(poller: JobPoller, job_id: str) -> None:
    """Hand the job over again if it is still active."""
    with poller.lock:
        poller.known.discard(job_id)


def _poll(poller: JobPoller) -> None:
    while not poller.stopped.is_set():
        poller.wake.clear()
        try:
            poller.on_loaded(_load(poller))
            _import_journal(poller)
        except errors.StoreError as error:
            logs.log_event("job_poll_failed", "WARNING", detail=error)
        poller.wake.wait(_POLL_INTERVAL_MS / 1000)


def _load(poller: JobPoller) -> Loaded:
    active = _scan_ids(poller, f"active/{poller.tenure.cell}/")
    cancels = _scan_ids(poller, f"cancel/{poller.tenure.cell}/")
    with poller.lock:
        new = [job_id for job_id in active if job_id not in poller.known]
    rows = tableclient.read_rows(
        poller.table, [f"job/{job_id}" for job_id in new]
    )
    with poller.lock:
        poller.known.update(new)
    return Loaded(list(rows.values()), set(cancels))


def _scan_ids(poller: JobPoller, prefix: str) -> list[str]:
    return [
        row.key.removeprefix(prefix)
        for row in tableclient.scan_rows(poller.table, prefix)
    ]


def _import_journal(poller: JobPoller) -> None:
    """Insert journaled jobs into the table, then delete them."""
    prefix = f"accept/{poller.tenure.cell}/"
    for key in objectclient.list_objects(poller.objects, prefix, _IMPORT_BATCH):
        content = objectclient.get_object(poller.objects, key)
        if content is not None:
            _insert_journaled(poller, json.loads(content))
        objectclient.delete_object(poller.objects, key)
        poller.wake.set()


def _insert_journaled(poller: JobPoller, value: dict) -> None:
    job = jobrows.decode_job(value)
    future = groupcommit.submit_transaction(
        poller.committer, make_insert(job.id, job.cell, value)
    )
    try:
        future.result(timeout=_IMPORT_TIMEOUT_S)
        logs.log_event("journal_imported", job=job.id)
    except errors.WriteConflictError:
        logs.log_event("journal_duplicate", job=job.id)


def make_insert(job_id: str, cell: str, value: dict) -> tableclient.Transaction:
    """Return the transaction that inserts a job unless it exists."""
    return tableclient.Transaction(
        {f"job/{job_id}": 0},
        {f"job/{job_id}": value, f"active/{cell}/{job_id}": {}},
    )
