"""The lease of a cell, held as a row of the table service.

The lease row changes with each renewal. The epoch row changes only at a
takeover, so that the owner can make every write conditional on its version.
"""

from collections.abc import Callable
import threading
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import errors
from cyclamenshelf_core import tenure as lease_times
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon import tableclient

# Interval at which each host that is not the owner reads the lease row. At
# 300 ms the reads took 0.5% of a core, a third of the whole control budget.
_POLL_INTERVAL_MS = 600
_ACQUIRE_TIMEOUT_MS = 2_000
# Total time for a renewal, derived from the longest lease. The timeout of a
# single send shrinks with the lease, so that a lost packet does not make a
# short lease expire.
_RENEW_TIMEOUT_MS = lease_times.MAX_TTL_MS // 4
_MIN_SEND_TIMEOUT_MS = 2_000
# After abandoning a tenure, this host leaves the cell to others for this long.
_ABANDONED_PAUSE_MS = 5_000


class Tenure:
    """The period during which one holder owns a cell.

    Attributes:
        epoch: Number of this tenure; incremented by each takeover.
        epoch_version: Version of the epoch row.
        lease_version: Version of the lease row as last written.
        ttl_ms: Length of the lease as last written.
        valid_until_ms: Monotonic time until which the lease is known to be
            held.
        predecessors: Earlier holders that may still renew task leases.
        abandoned: Set when the owner cannot continue; the lease is then
            released.
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
        self.abandoned = threading.Event()


class CellLease(NamedTuple):
    """Parameters and callbacks of a lease thread.

    Attributes:
        holder: Host id and incarnation of this process.
        on_acquired: Called with each new tenure.
        on_tenure_ended: Called when a tenure has ended. The lease is released
            afterwards, unless another holder has already acquired it.
        stopping: Set to release the lease and end the thread.
    """

    client: tableclient.TableClient
    cell: str
    holder: str
    on_acquired: Callable[[Tenure], None]
    on_tenure_ended: Callable[[], None]
    stopping: threading.Event


class _LeaseObservation:
    """Version of the lease row as last read, and when it was first read."""

    def __init__(self) -> None:
        self.version = -1
        self.first_read_ms = 0


def check_tenure(
    tenure: Tenure, client: tableclient.TableClient
) -> dict[str, int]:
    """Return the expected row versions that fence a write of this tenure.

    Raises:
        errors.LeaseLostError: The lease may have expired.
    """
    if client.clock.now_ms() >= tenure.valid_until_ms:
        raise errors.LeaseLostError(tenure.cell, tenure.epoch)
    return {f"epoch/{tenure.cell}": tenure.epoch_version}


def start_lease_thread(lease: CellLease) -> threading.Thread:
    """Start the thread that acquires and renews the lease; return it."""
    thread = threading.Thread(
        target=_run_lease,
        args=(lease,),
        name=f"cell-lease-{lease.cell}",
        daemon=True,
    )
    thread.start()
    return thread


def _run_lease(lease: CellLease) -> None:
    observation = _LeaseObservation()
    while not lease.stopping.is_set():
        supervision.run_logged(
            "cell_lease_failed", _acquire_and_hold, lease, observation
        )
        lease.stopping.wait(_POLL_INTERVAL_MS / 1000)


def _acquire_and_hold(lease: CellLease, observation: _LeaseObservation) -> None:
    """Try to acquire the lease; if acquired, hold it until the tenure ends."""
    tenure = _try_acquire(lease, observation)
    if tenure is None:
        return
    logs.log_event("cell_acquired", cell=lease.cell, epoch=tenure.epoch)
    held = True
    try:
        lease.on_acquired(tenure)
        held = _renew_until_ended(lease, tenure)
    finally:
        lease.on_tenure_ended()
        if held:
            _release(lease, tenure)
        logs.log_event("cell_lease_ended", cell=lease.cell, epoch=tenure.epoch)
    if held:
        lease.stopping.wait(_ABANDONED_PAUSE_MS / 1000)


def _try_acquire(
    lease: CellLease, observation: _LeaseObservation
) -> Tenure | None:
    """Acquire the lease if it is free or expired; return the new tenure."""
    lease_key, epoch_key = f"lease/{lease.cell}", f"epoch/{lease.cell}"
    sent_at_ms = lease.client.clock.now_ms()
    try:
        rows = tableclient.read_rows(lease.client, [lease_key, epoch_key])
    except errors.StoreUnavailableError:
        return None
    row = rows.get(lease_key)
    epoch_row = rows.get(epoch_key)
    if row is not None and not _is_free(lease, row, observation):
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
        lease_times.choose_ttl(lease.client.clock.now_ms() - sent_at_ms),
    )


def _is_free(
    lease: CellLease, row: tableclient.Row, observation: _LeaseObservation
) -> bool:
    now = lease.client.clock.now_ms()
    if row.version != observation.version:
        observation.version, observation.first_read_ms = row.version, now
    if row.value["released"] or row.value["holder"] == lease.holder:
        return True
    expires_at_ms = lease_times.compute_takeover_time(
        observation.first_read_ms, row.value["ttl_ms"]
    )
    return now >= expires_at_ms


def _write_takeover(
    lease: CellLease,
    value: dict[str, Any],
    checks: dict[str, int],
    ttl_ms: int,
) -> Tenure | None:
    clock = lease.client.clock
    epoch = value["epoch"] + 1
    predecessors = set(value["predecessors"])
    if value["holder"] and not value.get("released"):
        predecessors.add(value["holder"])
    predecessors.discard(lease.holder)
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


def _renew_until_ended(lease: CellLease, tenure: Tenure) -> bool:
    """Renew until the tenure ends; return whether the row may still be held.

    A lease that expired while the table was unreachable is renewed like any
    other: the write is conditional on the row version, so it succeeds only if
    no other holder has acquired the cell since.
    """
    clock = lease.client.clock
    wait_ms = lease_times.RENEW_INTERVAL_MS
    while not lease.stopping.wait(wait_ms / 1000):
        if tenure.abandoned.is_set():
            return True
        sent_at_ms = clock.now_ms()
        if not renew_once(lease, tenure):
            return False
        spent_ms = clock.now_ms() - sent_at_ms
        wait_ms = max(0, lease_times.RENEW_INTERVAL_MS - spent_ms)
    return True


def renew_once(lease: CellLease, tenure: Tenure) -> bool:
    """Try to renew; return False if another holder has acquired the cell."""
    clock = lease.client.clock
    sent_at_ms = clock.now_ms()
    try:
        renew(lease, tenure)
    except errors.WriteConflictError:
        if not _refresh_version(lease, tenure):
            tenure.valid_until_ms = 0
            return False
    except errors.StoreError as error:
        logs.log_event(
            "cell_renewal_failed",
            "WARNING",
            cell=lease.cell,
            epoch=tenure.epoch,
            detail=error,
        )
    tenure.ttl_ms = lease_times.choose_ttl(clock.now_ms() - sent_at_ms)
    return True


def renew(lease: CellLease, tenure: Tenure) -> None:
    """Write the lease row again and extend the tenure by its ttl.

    Raises:
        errors.WriteConflictError: The row is not at the expected version.
        errors.StoreError: Not written, or the outcome is unknown.
    """
    sent_at_ms = lease.client.clock.now_ms()
    ttl_ms = tenure.ttl_ms
    valid_until_ms = lease_times.compute_valid_until(sent_at_ms, ttl_ms)
    # The write may be applied although its response is lost. Another host then
    # waits for the ttl in that row, which may end before the current lease.
    tenure.valid_until_ms = min(tenure.valid_until_ms, valid_until_ms)
    tenure.lease_version = _write_row(lease, tenure, ttl_ms)
    tenure.valid_until_ms = valid_until_ms


def _write_row(
    lease: CellLease, tenure: Tenure, ttl_ms: int, released: bool = False
) -> int:
    key = f"lease/{lease.cell}"
    row = _make_lease_row(
        lease, tenure.epoch, ttl_ms, list(tenure.predecessors), released
    )
    return tableclient.commit_transaction(
        lease.client,
        tableclient.Transaction({key: tenure.lease_version}, {key: row}),
        lease.client.clock.now_ms() + _RENEW_TIMEOUT_MS,
        max(_MIN_SEND_TIMEOUT_MS, ttl_ms // 4),
    )


def _refresh_version(lease: CellLease, tenure: Tenure) -> bool:
    """Record the version of the row; return whether this tenure wrote it.

    After a write whose response was lost, the row still belongs to this tenure
    but has a version that the holder has not recorded.
    """
    key = f"lease/{lease.cell}"
    try:
        row = tableclient.read_rows(lease.client, [key]).get(key)
    except errors.StoreUnavailableError:
        return True  # The next renewal detects the conflict again.
    if row is None or (row.value["holder"], row.value["epoch"]) != (
        lease.holder,
        tenure.epoch,
    ):
        return False
    tenure.lease_version = row.version
    return True


def _release(lease: CellLease, tenure: Tenure) -> None:
    tenure.valid_until_ms = 0
    try:
        try:
            _write_row(lease, tenure, tenure.ttl_ms, released=True)
        except errors.WriteConflictError:
            if _refresh_version(lease, tenure):
                _write_row(lease, tenure, tenure.ttl_ms, released=True)
    except (errors.WriteConflictError, errors.StoreError) as error:
        logs.log_event("cell_release_failed", "WARNING", detail=error)
