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
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import tenure as lease_times
from cyclamenshelf_core.failover import candidates
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.failover import handover
from cyclamenshelf_daemon.tasks.failover import leaserows

TTL_MS = 1_300
RENEW_MS = 350
# A former owner whose lease is no longer valid renews the leases of workers for
# this long, so that running tasks survive a short outage of the store.
GRACE_MS = 4_000
_POLL_MS = 1_100
_RETRY_MS = 100
# After a restart of all hosts the lease may become available at any moment, so
# preferred hosts poll it more often for a while.
_STARTUP_MS = 3_000
_STARTUP_POLL_MS = 150
# An owner offers the ownership after this many failed renewals in a row, as a
# single rejection may mean nothing, or after one without an answer, which has
# used up most of the lease.
_OFFER_AFTER_FAILURES = 2
_UNANSWERED_LEFT_MS = 400


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
        capacity: What this host may use.
        lease_key: See `leaserows.make_lease_key`.
        on_acquired: Called with each new tenure.
        stopping: Set to release the lease and stop.
        offers: Receives the offers of owners that do not reach the store.
        offer: Offers the ownership to other hosts. Arguments: the epoch and
            the last known version of the lease row.
    """

    store: ports.Store
    clock: clocks.Clock
    holder: str
    capacity: candidates.HostCapacity
    lease_key: ports.RowKey
    on_acquired: Callable[[Tenure], object]
    stopping: threading.Event
    offers: handover.OfferInbox
    offer: Callable[[int, int], None] = lambda epoch, lease_version: None


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
    started_ms = context.clock.now_ms()
    while not context.stopping.is_set():
        starting = context.clock.now_ms() - started_ms < _STARTUP_MS
        try:
            observed = _poll_lease(context, observed, starting)
        except errors.StoreError as error:
            logs.log_event("lease_unread", "WARNING", detail=error)
            context.stopping.wait(_RETRY_MS / 1000)


def _poll_lease(
    context: OwnershipContext, observed: _ObservedLease, starting: bool
) -> _ObservedLease:
    """Read the lease; acquire it if it is available or offered, else wait.

    Args:
        context: What the lease thread needs.
        observed: The version of the lease row that was read last.
        starting: Whether this process has started a short time ago.
    """
    context.offers.wake.clear()
    lease = leaserows.read_row(context.store, context.lease_key)
    now_ms = context.clock.now_ms()
    version = lease.version if lease else 0
    value = leaserows.decode_lease(lease)
    if version != observed.version:
        observed = _ObservedLease(version, now_ms)
    if _is_inherited(context, value) and not _is_preferred(context):
        _release_inherited(context, lease, value)
        return _ObservedLease(-1, 0)
    available_ms = _get_available_ms(context, value, observed)
    if now_ms >= available_ms or _is_offered(context, lease, value):
        tenure = _acquire(
            context,
            lease,
            leaserows.read_row(context.store, leaserows.EPOCH_KEY),
        )
        if tenure is not None:
            _renew_until_ended(context, tenure)
        return _ObservedLease(-1, 0)
    poll_ms = _POLL_MS
    if starting and _is_preferred(context):
        poll_ms = _STARTUP_POLL_MS
    context.offers.wake.wait(min(poll_ms, available_ms - now_ms) / 1000)
    return observed


def _is_preferred(context: OwnershipContext) -> bool:
    return candidates.is_preferred(context.capacity)


def _is_inherited(
    context: OwnershipContext, value: leaserows.LeaseRow | None
) -> bool:
    """Return whether an ended process of this host holds the lease."""
    return (
        value is not None
        and value["holder"] == context.holder
        and not value["released"]
    )


def _release_inherited(
    context: OwnershipContext, lease: ports.Row, value: leaserows.LeaseRow
) -> None:
    """Release the lease of an ended process of this host.

    Other hosts, which are better suited, need not wait until it expires.

    Raises:
        errors.StoreError: The row was not written, or the outcome is unknown.
    """
    row = leaserows.encode_lease(
        context.holder, value.get("epoch", 0), released=True
    )
    try:
        context.store.commit(
            ports.Transaction(
                {context.lease_key: lease.version}, {context.lease_key: row}
            ),
            leaserows.CALL_TIMEOUT_MS,
        )
    except errors.WriteConflictError:
        return  # Another host has acquired it.
    logs.log_event("inherited_lease_released", epoch=value.get("epoch", 0))


def _is_offered(
    context: OwnershipContext,
    lease: ports.Row | None,
    value: leaserows.LeaseRow | None,
) -> bool:
    """Return whether the holder offers the lease and has not renewed it since.

    The store may have carried out a renewal without answering the holder, which
    then reaches it.
    """
    offer = context.offers.take(context.clock.now_ms())
    return (
        offer is not None
        and lease is not None
        and value is not None
        and value.get("epoch") == offer.epoch
        and lease.version == offer.lease_version
    )


def _get_available_ms(
    context: OwnershipContext,
    value: leaserows.LeaseRow | None,
    observed: _ObservedLease,
) -> int:
    """Return the monotonic time from which this host may acquire the lease."""
    if _is_inherited(context, value):
        return observed.since_ms
    delay_ms = candidates.get_acquire_delay_ms(context.capacity)
    if value is None or value["released"]:
        return observed.since_ms + delay_ms
    return (
        lease_times.compute_takeover_time(observed.since_ms, TTL_MS) + delay_ms
    )


def _acquire(
    context: OwnershipContext, lease: ports.Row | None, epoch: ports.Row | None
) -> Tenure | None:
    last_epoch = leaserows.decode_epoch(epoch)
    sent_ms = context.clock.now_ms()
    checks = {
        context.lease_key: lease.version if lease else 0,
        leaserows.EPOCH_KEY: epoch.version if epoch else 0,
    }
    puts = {
        context.lease_key: leaserows.encode_lease(
            context.holder, last_epoch + 1
        ),
        leaserows.EPOCH_KEY: leaserows.encode_epoch(last_epoch + 1),
    }
    try:
        version = context.store.commit(
            ports.Transaction(checks, puts), leaserows.CALL_TIMEOUT_MS
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
    lease = leaserows.read_row(context.store, context.lease_key)
    if lease is None or leaserows.decode_lease(lease) != leaserows.make_lease(
        context.holder, epoch
    ):
        return None
    return lease.version


def _renew_until_ended(context: OwnershipContext, tenure: Tenure) -> None:
    """Renew the lease until the tenure ends or the host stops."""
    unproved_since_ms: int | None = None
    failures = 0
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
            failures = 0 if renewed else failures + 1
            if _should_offer(tenure, context.clock, failures):
                supervision.run_logged(
                    "ownership_offer_failed",
                    context.offer,
                    tenure.epoch,
                    tenure.lease_version,
                )
            tenure.ended.wait(max(0, pause_ms) / 1000)
        lost = tenure.ended.is_set()
        if not lost:
            _release(context, tenure)
    finally:
        tenure.ended.set()
    logs.log_event("tenure_ended", epoch=tenure.epoch, lost=lost)


def _should_offer(tenure: Tenure, clock: clocks.Clock, failures: int) -> bool:
    """Return whether to offer the ownership after renewals that failed.

    Once the lease has expired for everybody, an offer is of no use.
    """
    left_ms = tenure.valid_until_ms - clock.now_ms()
    if not failures or left_ms < -TTL_MS:
        return False
    return failures >= _OFFER_AFTER_FAILURES or left_ms < _UNANSWERED_LEFT_MS


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
    row = leaserows.encode_lease(context.holder, tenure.epoch, released)
    # Acquiring the lease also writes this row, so checking its version is
    # sufficient.
    transaction = ports.Transaction(
        {context.lease_key: tenure.lease_version},
        {context.lease_key: row},
    )
    try:
        tenure.lease_version = context.store.commit(
            transaction, leaserows.CALL_TIMEOUT_MS
        )
    except errors.WriteConflictError:
        _resolve_conflict(context, tenure)
        return
    tenure.valid_until_ms = lease_times.compute_valid_until(sent_ms, TTL_MS)


def _resolve_conflict(context: OwnershipContext, tenure: Tenure) -> None:
    """Check whether this tenure or another owner wrote the conflicting row."""
    lease = leaserows.read_row(context.store, context.lease_key)
    value = leaserows.decode_lease(lease)
    if lease is None or value is None or value.get("epoch") != tenure.epoch:
        tenure.ended.set()
        return
    tenure.lease_version = lease.version
