"""The lease under which one host owns the scheduling of the fleet.

The lease row is renewed often; the epoch row changes only when another host
acquires the lease, so that the owner's writes can be conditional on it. The
epoch is also the fencing token of orders to workers: once a worker has seen a
newer epoch, it rejects the orders of an earlier owner.

Hosts that wait for the lease poll it rarely, which keeps the load on the store
low; where there are many hosts, one of them polls soon after the lease becomes
available.
"""

from collections.abc import Callable
import json
import threading
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core import tenure as lease_times
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import ports

TABLE = "cell"
EPOCH_KEY = ports.RowKey(TABLE, "epoch")
_LEASE_KEY = ports.RowKey(TABLE, "lease")
# The lease has its own partition, so that renewals do not queue behind the
# transactions of jobs, which take long when the store is slow.
_LEASE_PART = "lease"
TTL_MS = 1_300
RENEW_MS = 350
# A former owner whose lease is no longer valid renews the leases of workers for
# this long, so that running tasks survive a short outage of the store.
GRACE_MS = 4_000
# Short enough for a second renewal within the lease if a response is lost.
_CALL_TIMEOUT_MS = 500
_POLL_MS = 1_100
_RETRY_MS = 100
# Hosts with fewer processors than this wait before they acquire an available
# lease, so that other hosts can acquire it first: scheduling a large fleet uses
# much of one processor.
_MIN_PROCESSORS = 1.0
_FEW_PROCESSORS_DELAY_MS = 700


class Tenure:
    """The period during which one host is the owner.

    Attributes:
        epoch_version: Version of the epoch row.
        lease_version: Last known version of the lease row.
        valid_until_ms: Monotonic time until which the lease is known to be
            held.
        ended: Set when the tenure has ended.
    """

    def __init__(self, epoch: int, version: int, sent_ms: int) -> None:
        self.epoch = epoch
        self.epoch_version = version
        self.lease_version = version
        self.valid_until_ms = lease_times.compute_valid_until(sent_ms, TTL_MS)
        self.ended = threading.Event()


class OwnershipContext(NamedTuple):
    """What the lease thread needs.

    Attributes:
        holder: Name of this host; only one process at a time uses it.
        processors: Number of processors that this host may use.
        lease_key: See `make_lease_key`.
        on_acquired: Called with each new tenure.
        stopping: Set to release the lease and stop.
    """

    store: ports.Store
    clock: clocks.Clock
    holder: str
    processors: float
    lease_key: ports.RowKey
    on_acquired: Callable[[Tenure], object]
    stopping: threading.Event


class _LeaseRow(TypedDict):
    holder: str
    epoch: NotRequired[int]
    released: bool


class _EpochRow(TypedDict):
    epoch: int


class _ObservedLease(NamedTuple):
    """The last read version of the lease row, and when it was first read."""

    version: int
    since_ms: int


def is_lease_valid(tenure: Tenure, clock: clocks.Clock) -> bool:
    """Return whether the lease is held at this moment."""
    return not tenure.ended.is_set() and (
        clock.now_ms() < tenure.valid_until_ms
    )


def may_renew_worker_leases(tenure: Tenure, clock: clocks.Clock) -> bool:
    """Return whether the host may still renew the leases of workers."""
    return not tenure.ended.is_set() and (
        clock.now_ms() < tenure.valid_until_ms + GRACE_MS
    )


def make_lease_key(cross_part_transactions: bool) -> ports.RowKey:
    """Return the key of the lease row.

    Args:
        cross_part_transactions: Whether the store allows transactions across
            partitions. Acquiring the lease is one if the lease row has its
            own partition, as it also writes the epoch row.
    """
    if cross_part_transactions:
        return _LEASE_KEY._replace(part=_LEASE_PART)
    return _LEASE_KEY


def start_lease_thread(context: OwnershipContext) -> threading.Thread:
    """Start the thread that acquires and renews the lease; return it."""
    thread = threading.Thread(
        target=supervision.run_until_stopped,
        args=("ownership_failed", context.stopping, _run, context),
        name="ownership",
        daemon=True,
    )
    thread.start()
    return thread


def _run(context: OwnershipContext) -> None:
    observed = _ObservedLease(-1, 0)
    while not context.stopping.is_set():
        try:
            observed = _poll_lease(context, observed)
        except errors.StoreError as error:
            logs.log_event("lease_unread", "WARNING", detail=error)
            context.stopping.wait(_RETRY_MS / 1000)


def _poll_lease(
    context: OwnershipContext, observed: _ObservedLease
) -> _ObservedLease:
    """Read the lease; acquire it if it is available, else wait."""
    lease = _read_row(context, context.lease_key)
    now_ms = context.clock.now_ms()
    version = lease.version if lease else 0
    value = _decode_lease(lease)
    if version != observed.version:
        observed = _ObservedLease(version, now_ms)
    available_ms = _get_available_ms(context, value, observed)
    if now_ms >= available_ms:
        tenure = _acquire(context, lease, _read_row(context, EPOCH_KEY))
        if tenure is not None:
            _renew_until_ended(context, tenure)
        return _ObservedLease(-1, 0)
    context.stopping.wait(min(_POLL_MS, available_ms - now_ms) / 1000)
    return observed


def _read_row(context: OwnershipContext, key: ports.RowKey) -> ports.Row | None:
    rows = context.store.read_row(key, _CALL_TIMEOUT_MS).rows
    return rows[0] if rows else None


def _decode_lease(row: ports.Row | None) -> _LeaseRow | None:
    """Return the lease in a row, or None if there is none.

    A row that cannot be decoded is taken for the lease of an unknown holder,
    which has to expire.
    """
    if row is None or not row.value:
        return None
    try:
        return jsontexts.decode(row.value, _LeaseRow)
    except errors.InvalidTextError as error:
        logs.log_event("lease_unreadable", "WARNING", detail=error)
        return {"holder": "", "released": False}


def _get_available_ms(
    context: OwnershipContext,
    value: _LeaseRow | None,
    observed: _ObservedLease,
) -> int:
    """Return the monotonic time from which this host may acquire the lease."""
    if value is not None and value["holder"] == context.holder:
        # An earlier process of this host, which has ended, held the lease.
        return observed.since_ms
    delay_ms = 0
    if context.processors < _MIN_PROCESSORS:
        delay_ms = _FEW_PROCESSORS_DELAY_MS
    if value is None or value["released"]:
        return observed.since_ms + delay_ms
    return (
        lease_times.compute_takeover_time(observed.since_ms, TTL_MS) + delay_ms
    )


def _acquire(
    context: OwnershipContext, lease: ports.Row | None, epoch: ports.Row | None
) -> Tenure | None:
    last_epoch = 0
    if epoch is not None and epoch.value:
        last_epoch = jsontexts.decode(epoch.value, _EpochRow)["epoch"]
    sent_ms = context.clock.now_ms()
    checks = {
        context.lease_key: lease.version if lease else 0,
        EPOCH_KEY: epoch.version if epoch else 0,
    }
    puts = {
        context.lease_key: _encode_lease(context, last_epoch + 1),
        EPOCH_KEY: json.dumps({"epoch": last_epoch + 1}).encode(),
    }
    try:
        version = context.store.commit(
            ports.Transaction(checks, puts), _CALL_TIMEOUT_MS
        )
    except (errors.WriteConflictError, errors.StoreError) as error:
        logs.log_event("lease_not_taken", epoch=last_epoch + 1, detail=error)
        if not isinstance(error, errors.OutcomeUnknownError):
            return None
        version = _find_own_lease(context, last_epoch + 1)
        if version is None:
            return None
    logs.log_event("lease_taken", epoch=last_epoch + 1, version=version)
    return Tenure(last_epoch + 1, version, sent_ms)


def _find_own_lease(context: OwnershipContext, epoch: int) -> int | None:
    """Return the version of the lease if this host holds it, else None.

    A slow store may respond to each attempt too late, although it carries them
    out.

    Raises:
        errors.StoreUnavailableError: The store did not respond.
    """
    lease = _read_row(context, context.lease_key)
    if lease is None or _decode_lease(lease) != _make_lease(context, epoch):
        return None
    return lease.version


def _make_lease(
    context: OwnershipContext, epoch: int, released: bool = False
) -> _LeaseRow:
    return {"holder": context.holder, "epoch": epoch, "released": released}


def _encode_lease(
    context: OwnershipContext, epoch: int, released: bool = False
) -> bytes:
    return json.dumps(_make_lease(context, epoch, released)).encode()


def _renew_until_ended(context: OwnershipContext, tenure: Tenure) -> None:
    """Renew the lease until the tenure ends or the host stops."""
    unproved_since_ms: int | None = None
    try:
        context.on_acquired(tenure)
        while not context.stopping.is_set() and not tenure.ended.is_set():
            started_ms = context.clock.now_ms()
            renewed = supervision.run_logged(
                "lease_renewal_failed", _renew, context, tenure, False
            )
            spent_ms = context.clock.now_ms() - started_ms
            pause_ms = RENEW_MS - spent_ms if renewed else _RETRY_MS
            unproved_since_ms = _log_proof(
                tenure, context.clock, unproved_since_ms
            )
            tenure.ended.wait(max(0, pause_ms) / 1000)
        lost = tenure.ended.is_set()
        if not lost:
            _release(context, tenure)
    finally:
        tenure.ended.set()
    logs.log_event("tenure_ended", epoch=tenure.epoch, lost=lost)


def _log_proof(
    tenure: Tenure, clock: clocks.Clock, unproved_since_ms: int | None
) -> int | None:
    """Log when the lease is no longer proved, and when it is again.

    Args:
        tenure: The tenure.
        clock: The clock.
        unproved_since_ms: Monotonic time since which the lease is not proved,
            or None if it was proved at the last call.

    Returns:
        The same after this call.
    """
    now_ms = clock.now_ms()
    if tenure.ended.is_set():
        return None
    if is_lease_valid(tenure, clock):
        if unproved_since_ms is not None:
            logs.log_event(
                "lease_proved_again",
                epoch=tenure.epoch,
                unproved_ms=now_ms - unproved_since_ms,
                grace_exceeded=now_ms - unproved_since_ms >= GRACE_MS,
            )
        return None
    if unproved_since_ms is None:
        logs.log_event(
            "lease_unproved", "WARNING", epoch=tenure.epoch, grace_ms=GRACE_MS
        )
        return tenure.valid_until_ms
    return unproved_since_ms


def _release(context: OwnershipContext, tenure: Tenure) -> None:
    """Release the lease, and stay the owner until another host acquires it.

    The writes and orders of this owner are fenced as those of any earlier
    owner are, so a planned shutdown leaves no gap without an owner.
    """
    supervision.run_logged(
        "lease_release_failed", _renew, context, tenure, True
    )
    remaining_ms = tenure.valid_until_ms - context.clock.now_ms()
    tenure.ended.wait(max(0, remaining_ms) / 1000)


def _renew(context: OwnershipContext, tenure: Tenure, released: bool) -> None:
    """Write the lease row once.

    Raises:
        errors.StoreError: The row was not written, or the outcome is unknown.
    """
    sent_ms = context.clock.now_ms()
    row = _encode_lease(context, tenure.epoch, released)
    # Acquiring the lease also writes this row, so checking its version is
    # sufficient.
    transaction = ports.Transaction(
        {context.lease_key: tenure.lease_version},
        {context.lease_key: row},
    )
    try:
        tenure.lease_version = context.store.commit(
            transaction, _CALL_TIMEOUT_MS
        )
    except errors.WriteConflictError:
        _resolve_conflict(context, tenure)
        return
    tenure.valid_until_ms = lease_times.compute_valid_until(sent_ms, TTL_MS)


def _resolve_conflict(context: OwnershipContext, tenure: Tenure) -> None:
    """Check whether this tenure or another owner wrote the conflicting row."""
    lease = _read_row(context, context.lease_key)
    value = _decode_lease(lease)
    if lease is None or value is None or value.get("epoch") != tenure.epoch:
        tenure.ended.set()
        return
    tenure.lease_version = lease.version
