"""Holding the lease of a cell in the table service.

The lease row is renewed often; the epoch row changes only at a takeover, so
that every write of the owner can be conditional on it.
"""

from collections.abc import Callable
import threading
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import errors
from cyclamenshelf_core import tenure as lease_times
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import tableclient

_POLL_INTERVAL_MS = 300
_ACQUIRE_TIMEOUT_MS = 2_000


class Tenure:
    """One holder's time as owner of a cell.

    Attributes:
        epoch: Number of this tenure; each takeover raises it.
        epoch_version: Version of the epoch row.
        lease_version: Version of the lease row as last written.
        ttl_ms: Length of the lease as last written.
        valid_until_ms: Monotonic time until which the lease is proved.
        predecessors: Earlier holders that may still renew task leases.
    """

    def __init__(
        self,
        cell: str,
        epoch: int,
        version: int,
        sent_at_ms: int,
        ttl_ms: int,
        predecessors: tuple[str, ...],
    ) -> None:
        self.cell = cell
        self.epoch = epoch
        self.epoch_version = version
        self.lease_version = version
        self.ttl_ms = ttl_ms
        self.valid_until_ms = lease_times.compute_valid_until(
            sent_at_ms, ttl_ms
        )
        self.predecessors = predecessors


class CellLease(NamedTuple):
    """What holding a lease needs.

    Attributes:
        holder: Host id and incarnation of this process.
        on_acquired: Called with each new tenure.
        on_superseded: Called when another holder has taken the cell.
        stopping: Set to release the lease and end the thread.
    """

    client: tableclient.TableClient
    cell: str
    holder: str
    on_acquired: Callable[[Tenure], None]
    on_superseded: Callable[[], None]
    stopping: threading.Event


class _Seen:
    """The lease row as last seen, and when that version was first seen."""

    def __init__(self) -> None:
        self.version = -1
        self.first_seen_ms = 0


def check_tenure(
    tenure: Tenure, client: tableclient.TableClient
) -> dict[str, int]:
    """Return the row check that fences a write of this tenure.

    Raises:
        errors.LeaseLostError: The lease cannot be proved at this moment.
    """
    if client.clock.now_ms() >= tenure.valid_until_ms:
        raise errors.LeaseLostError(tenure.cell, tenure.epoch)
    return {f"epoch/{tenure.cell}": tenure.epoch_version}


def start_holding(lease: CellLease) -> threading.Thread:
    """Start the thread that takes and renews the lease; return it."""
    thread = threading.Thread(
        target=_run_lease,
        args=(lease,),
        name=f"cell-lease-{lease.cell}",
        daemon=True,
    )
    thread.start()
    return thread


def _run_lease(lease: CellLease) -> None:
    seen = _Seen()
    last: Tenure | None = None
    while not lease.stopping.is_set():
        tenure = _try_acquire(lease, seen, last)
        if tenure is None:
            lease.stopping.wait(_POLL_INTERVAL_MS / 1000)
            continue
        last = tenure
        logs.log_event("cell_acquired", cell=lease.cell, epoch=tenure.epoch)
        lease.on_acquired(tenure)
        _keep_renewing(lease, tenure)
    if last is not None:
        _release(lease, last)


def _try_acquire(
    lease: CellLease, seen: _Seen, last: Tenure | None
) -> Tenure | None:
    """Take the lease if it is free or lapsed; return the new tenure."""
    lease_key, epoch_key = f"lease/{lease.cell}", f"epoch/{lease.cell}"
    try:
        rows = tableclient.read_rows(lease.client, [lease_key, epoch_key])
    except errors.StoreUnavailableError:
        return None
    row = rows.get(lease_key)
    epoch_row = rows.get(epoch_key)
    if row is not None and last is not None and row.value["epoch"] > last.epoch:
        lease.on_superseded()
    if row is not None and not _is_free(lease, row, seen):
        return None
    value = {"epoch": 0, "holder": "", "predecessors": []}
    if row is not None:
        value = row.value
    return _write_takeover(
        lease,
        value,
        {
            lease_key: row.version if row else 0,
            epoch_key: epoch_row.version if epoch_row else 0,
        },
    )


def _is_free(lease: CellLease, row: tableclient.Row, seen: _Seen) -> bool:
    now = lease.client.clock.now_ms()
    if row.version != seen.version:
        seen.version, seen.first_seen_ms = row.version, now
    if row.value["released"] or row.value["holder"] == lease.holder:
        return True
    lapsed_at = lease_times.compute_lapsed_at(
        seen.first_seen_ms, row.value["ttl_ms"]
    )
    return now >= lapsed_at


def _write_takeover(
    lease: CellLease, value: dict[str, Any], checks: dict[str, int]
) -> Tenure | None:
    clock = lease.client.clock
    epoch = value["epoch"] + 1
    predecessors = set(value["predecessors"])
    if value["holder"] and not value.get("released"):
        predecessors.add(value["holder"])
    predecessors.discard(lease.holder)
    ttl_ms = lease_times.DEFAULT_TTL_MS
    sent_at_ms = clock.now_ms()
    row = _make_lease_row(lease, epoch, ttl_ms, sorted(predecessors))
    lease_key, epoch_key = checks
    try:
        version = tableclient.commit_transaction(
            lease.client,
            tableclient.Transaction(
                checks, {lease_key: row, epoch_key: {"epoch": epoch}}
            ),
            sent_at_ms + _ACQUIRE_TIMEOUT_MS,
        )
    except (errors.WriteConflictError, errors.StoreError):
        return None
    return Tenure(
        lease.cell,
        epoch,
        version,
        sent_at_ms,
        ttl_ms,
        tuple(sorted(predecessors)),
    )


def _make_lease_row(
    lease: CellLease,
    epoch: int,
    ttl_ms: int,
    predecessors: list[str],
    released: bool = False,
) -> dict[str, Any]:
    return {
        "holder": lease.holder,
        "epoch": epoch,
        "ttl_ms": ttl_ms,
        "released": released,
        "predecessors": predecessors,
    }


def _keep_renewing(lease: CellLease, tenure: Tenure) -> None:
    """Renew until the lease cannot be proved or the process stops."""
    clock = lease.client.clock
    while not lease.stopping.wait(lease_times.RENEW_INTERVAL_MS / 1000):
        sent_at_ms = clock.now_ms()
        if sent_at_ms >= tenure.valid_until_ms:
            break
        try:
            _renew(lease, tenure, sent_at_ms)
        except errors.WriteConflictError:
            tenure.valid_until_ms = 0
            lease.on_superseded()
            break
        except errors.StoreError as error:
            logs.log_event(
                "cell_renewal_failed",
                "WARNING",
                cell=lease.cell,
                epoch=tenure.epoch,
                detail=error,
            )
    logs.log_event("cell_lease_ended", cell=lease.cell, epoch=tenure.epoch)


def _renew(lease: CellLease, tenure: Tenure, sent_at_ms: int) -> None:
    clock = lease.client.clock
    version = tableclient.commit_transaction(
        lease.client,
        tableclient.Transaction(
            {f"lease/{lease.cell}": tenure.lease_version},
            {
                f"lease/{lease.cell}": _make_lease_row(
                    lease,
                    tenure.epoch,
                    tenure.ttl_ms,
                    list(tenure.predecessors),
                )
            },
        ),
        tenure.valid_until_ms,
    )
    tenure.lease_version = version
    tenure.valid_until_ms = lease_times.compute_valid_until(
        sent_at_ms, tenure.ttl_ms
    )
    tenure.ttl_ms = lease_times.choose_ttl(clock.now_ms() - sent_at_ms)


def _release(lease: CellLease, tenure: Tenure) -> None:
    tenure.valid_until_ms = 0
    try:
        tableclient.commit_transaction(
            lease.client,
            tableclient.Transaction(
                {f"lease/{lease.cell}": tenure.lease_version},
                {
                    f"lease/{lease.cell}": _make_lease_row(
                        lease,
                        tenure.epoch,
                        tenure.ttl_ms,
                        list(tenure.predecessors),
                        released=True,
                    )
                },
            ),
            lease.client.clock.now_ms() + _ACQUIRE_TIMEOUT_MS,
        )
    except (errors.WriteConflictError, errors.StoreError) as error:
        logs.log_event("cell_release_failed", "WARNING", detail=error)
