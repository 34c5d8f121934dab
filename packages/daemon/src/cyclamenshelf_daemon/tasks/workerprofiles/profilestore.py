"""Rows in which the owner keeps what it has learned, for the next owner.

They are written with the progress of jobs, and read once at the start of a
tenure, beside its other work: no decision waits for them.
"""

import threading

from cyclamenshelf_core import errors
from cyclamenshelf_core.workerprofiles import profilerows
from cyclamenshelf_core.workerprofiles import speeds
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import writer

TABLE = "profiles"
_READ_TIMEOUT_MS = 900
_WRITE_INTERVAL_MS = 5_000
# The rows belong to no job.
_NO_JOB = ""


def start_reading(owner: ownerstate.Owner) -> None:
    """Start the thread that reads what an earlier owner has learned."""
    threading.Thread(
        target=supervision.run_logged,
        args=("profiles_failed", _read, owner),
        name="profiles",
        daemon=True,
    ).start()


def _read(owner: ownerstate.Owner) -> None:
    try:
        result = owner.context.store.read(TABLE, _READ_TIMEOUT_MS)
    except errors.StoreError as error:
        logs.log_event("profiles_unread", "WARNING", detail=error)
        return
    ownerstate.post(owner, lambda: _apply_rows(owner, result.rows))


def _apply_rows(owner: ownerstate.Owner, rows: list[ports.Row]) -> None:
    """Keep the stored speeds until their workers are listed."""
    for row in rows:
        if row.value is None:
            continue
        owner.profiles.versions.setdefault(row.key.key, row.version)
        content = profilerows.decode_row(row.value)
        owner.profiles.unconfirmed |= content.workers
        known_kinds = owner.ledger.run_times.by_kind
        known_kinds |= content.kinds | known_kinds
    logs.log_event("profiles_read", workers=len(owner.profiles.unconfirmed))


def restore_listed_workers(owner: ownerstate.Owner) -> None:
    """Use the stored speeds of workers that are listed by now.

    What was learned of an earlier incarnation is dropped.
    """
    unconfirmed = owner.profiles.unconfirmed
    for worker_id in unconfirmed.keys() & owner.workers.keys():
        stored = unconfirmed.pop(worker_id)
        if stored.started_ms == owner.workers[worker_id].info.started_ms:
            speeds.restore(owner.ledger.speeds, worker_id, stored.belief)


def list_changes(
    owner: ownerstate.Owner, max_rows: int
) -> list[writer.JobChange]:
    """Return the rows to write, if there is news and it is time.

    Args:
        owner: The owner.
        max_rows: Number of rows that there is room for.
    """
    state, now_ms = owner.profiles, owner.context.clock.now_ms()
    revision = owner.ledger.speeds.revision
    if revision == state.written_revision:
        return []
    if now_ms < state.written_ms + _WRITE_INTERVAL_MS:
        return []
    values = profilerows.encode_rows(_collect_content(owner))
    rows: dict[ports.RowKey, tuple[int, bytes | None]] = {
        ports.RowKey(TABLE, str(number)): (
            state.versions.get(str(number), 0),
            value,
        )
        for number, value in enumerate(values)
    }
    for key, version in state.versions.items():
        rows.setdefault(ports.RowKey(TABLE, key), (version, None))
    if len(rows) > max_rows:
        return []
    state.written_ms, state.written_revision = now_ms, revision
    return [writer.JobChange(_NO_JOB, rows, (), {})]


def _collect_content(owner: ownerstate.Owner) -> profilerows.Content:
    beliefs = speeds.list_known(owner.ledger.speeds)
    return profilerows.Content(
        {
            worker_id: profilerows.StoredSpeed(
                worker.info.started_ms, beliefs[worker_id]
            )
            for worker_id, worker in owner.workers.items()
            if worker_id in beliefs
        },
        owner.ledger.run_times.by_kind,
    )


def record_written(
    owner: ownerstate.Owner,
    change: writer.JobChange,
    versions: dict[ports.RowKey, int],
) -> None:
    """Record the versions of written rows."""
    for key, (_, value) in change.rows.items():
        if key.table != TABLE:
            continue
        if value is None:
            owner.profiles.versions.pop(key.key, None)
        else:
            owner.profiles.versions[key.key] = versions[key]
