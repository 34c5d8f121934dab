"""Holding the lease under which one host decides for the fleet.

The lease row is renewed often; the epoch row changes only at a takeover, so
that the owner's writes can be conditional on it. The epoch is also the fence
of the orders to workers: once a worker has seen a newer one, an earlier owner
can change nothing there.

Hosts that wait for the lease look at it seldom, so that many hosts cost the
store little: with many of them one looks soon after it is free.
"""

from collections.abc import Callable
import json
import threading
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import tenure as lease_times
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import ports

TABLE = "cell"
EPOCH_KEY = ports.RowKey(TABLE, "epoch")
_LEASE_KEY = ports.RowKey(TABLE, "lease")
# Renewals do not wait for the transactions of the jobs, which take long in
# turn when the store is slow.
_LEASE_PART = "lease"
TTL_MS = 1_300
RENEW_MS = 350
# An owner whose lease is not proved any more keeps the leases of workers for
# this long, so that running work outlasts a short outage of the store.
CARETAKER_MS = 4_000
# A renewal whose answer is lost leaves time for another within the lease.
_CALL_MS = 500
_WATCH_MS = 1_100
_RETRY_MS = 100
# Hosts with fewer processors than this leave a free lease to the others for a
# while, as deciding for a large fleet takes much of one.
_ENOUGH_PROCESSORS = 1.0
_PATIENCE_MS = 700


class Tenure:
    """One host's time as owner.

    Attributes:
        epoch_version: Version of the epoch row.
        lease_version: Version of the lease row as last known.
        proved_until_ms: Monotonic time until which the lease is proved.
        ended: Set when the tenure is over.
    """

    def __init__(self, epoch: int, version: int, sent_ms: int) -> None:
        self.epoch = epoch
        self.epoch_version = version
        self.lease_version = version
        self.proved_until_ms = lease_times.compute_valid_until(sent_ms, TTL_MS)
        self.ended = threading.Event()


class Ownership(NamedTuple):
    """What holding the lease needs.

    Attributes:
        holder: Name of this host; one process at a time bears it.
        processors: Processors that this host may use.
        lease_key: See `make_lease_key`.
        on_acquired: Called with each new tenure.
        stopping: Set to hand the lease over and stop.
    """

    store: ports.Store
    clock: clocks.Clock
    holder: str
    processors: float
    lease_key: ports.RowKey
    on_acquired: Callable[[Tenure], object]
    stopping: threading.Event


class _Seen(NamedTuple):
    """The lease row as last seen, and when its version was first seen."""

    version: int
    since_ms: int


def is_proved(tenure: Tenure, clock: clocks.Clock) -> bool:
    """Return whether the lease is proved at this moment."""
    return not tenure.ended.is_set() and (
        clock.now_ms() < tenure.proved_until_ms
    )


def may_hold_workers(tenure: Tenure, clock: clocks.Clock) -> bool:
    """Return whether the owner may still renew the leases of workers."""
    return not tenure.ended.is_set() and (
        clock.now_ms() < tenure.proved_until_ms + CARETAKER_MS
    )


def make_lease_key(parts_together: bool) -> ports.RowKey:
    """Return the row of the lease.

    Args:
        parts_together: Whether the store allows transactions on rows of
            several parts, as a takeover then is one.
    """
    if parts_together:
        return _LEASE_KEY._replace(part=_LEASE_PART)
    return _LEASE_KEY


def start_holding(ownership: Ownership) -> threading.Thread:
    """Start the thread that takes and renews the lease; return it."""
    thread = threading.Thread(
        target=_run, args=(ownership,), name="ownership", daemon=True
    )
    thread.start()
    return thread


def _run(ownership: Ownership) -> None:
    seen = _Seen(-1, 0)
    while not ownership.stopping.is_set():
        try:
            seen = _watch_once(ownership, seen)
        except errors.StoreError as error:
            logs.log_event("lease_unread", "WARNING", detail=error)
            ownership.stopping.wait(_RETRY_MS / 1000)


def _watch_once(ownership: Ownership, seen: _Seen) -> _Seen:
    """Read the lease; take it if it is free, else wait for a change."""
    lease = _read_row(ownership, ownership.lease_key)
    now_ms = ownership.clock.now_ms()
    version = lease.version if lease else 0
    value = json.loads(lease.value) if lease and lease.value else None
    if version != seen.version:
        seen = _Seen(version, now_ms)
    free_ms = _get_free_ms(ownership, value, seen)
    if now_ms >= free_ms:
        tenure = _take(ownership, lease, _read_row(ownership, EPOCH_KEY))
        if tenure is not None:
            _hold(ownership, tenure)
        return _Seen(-1, 0)
    ownership.stopping.wait(min(_WATCH_MS, free_ms - now_ms) / 1000)
    return seen


def _read_row(ownership: Ownership, key: ports.RowKey) -> ports.Row | None:
    rows = ownership.store.read_row(key, _CALL_MS).rows
    return rows[0] if rows else None


def _get_free_ms(
    ownership: Ownership, value: dict[str, Any] | None, seen: _Seen
) -> int:
    """Return the monotonic time from which this host may take the lease."""
    if value is not None and value["holder"] == ownership.holder:
        # It is of an earlier process of this host, which is gone.
        return seen.since_ms
    patience_ms = 0
    if ownership.processors < _ENOUGH_PROCESSORS:
        patience_ms = _PATIENCE_MS
    if value is None or value["released"]:
        return seen.since_ms + patience_ms
    return (
        lease_times.compute_takeover_time(seen.since_ms, TTL_MS) + patience_ms
    )


def _take(
    ownership: Ownership, lease: ports.Row | None, epoch: ports.Row | None
) -> Tenure | None:
    number = 0
    if epoch is not None and epoch.value:
        number = json.loads(epoch.value)["epoch"]
    sent_ms = ownership.clock.now_ms()
    checks = {
        ownership.lease_key: lease.version if lease else 0,
        EPOCH_KEY: epoch.version if epoch else 0,
    }
    puts = {
        ownership.lease_key: _make_row(ownership, number + 1),
        EPOCH_KEY: json.dumps({"epoch": number + 1}).encode(),
    }
    try:
        version = ownership.store.commit(
            ports.Transaction(checks, puts), _CALL_MS
        )
    except (errors.WriteConflictError, errors.StoreError) as error:
        logs.log_event("lease_not_taken", epoch=number + 1, detail=error)
        return None
    logs.log_event("lease_taken", epoch=number + 1, version=version)
    return Tenure(number + 1, version, sent_ms)


def _make_row(
    ownership: Ownership, epoch: int, released: bool = False
) -> bytes:
    return json.dumps(
        {
            "holder": ownership.holder,
            "epoch": epoch,
            "released": released,
        }
    ).encode()


def _hold(ownership: Ownership, tenure: Tenure) -> None:
    """Renew the lease until the tenure ends or the host stops."""
    try:
        ownership.on_acquired(tenure)
        while not ownership.stopping.is_set() and not tenure.ended.is_set():
            started_ms = ownership.clock.now_ms()
            renewed = supervision.run_logged(
                "lease_renewal_failed", _renew, ownership, tenure, False
            )
            spent_ms = ownership.clock.now_ms() - started_ms
            pause_ms = RENEW_MS - spent_ms if renewed else _RETRY_MS
            tenure.ended.wait(max(0, pause_ms) / 1000)
        lost = tenure.ended.is_set()
        if not lost:
            _hand_over(ownership, tenure)
    finally:
        tenure.ended.set()
    logs.log_event("tenure_ended", epoch=tenure.epoch, lost=lost)


def _hand_over(ownership: Ownership, tenure: Tenure) -> None:
    """Release the lease, and decide on until another host has taken it.

    What the owner does meanwhile is fenced like that of any earlier owner,
    so a planned stop leaves no time in which nobody decides.
    """
    supervision.run_logged(
        "lease_release_failed", _renew, ownership, tenure, True
    )
    left_ms = tenure.proved_until_ms - ownership.clock.now_ms()
    tenure.ended.wait(max(0, left_ms) / 1000)


def _renew(ownership: Ownership, tenure: Tenure, released: bool) -> None:
    """Write the lease row once.

    Raises:
        errors.StoreError: Not written, or the outcome is unknown.
    """
    sent_ms = ownership.clock.now_ms()
    row = _make_row(ownership, tenure.epoch, released)
    # A takeover changes this row too, so its version is condition enough.
    transaction = ports.Transaction(
        {ownership.lease_key: tenure.lease_version},
        {ownership.lease_key: row},
    )
    try:
        tenure.lease_version = ownership.store.commit(transaction, _CALL_MS)
    except errors.WriteConflictError:
        _settle(ownership, tenure)
        return
    tenure.proved_until_ms = lease_times.compute_valid_until(sent_ms, TTL_MS)


def _settle(ownership: Ownership, tenure: Tenure) -> None:
    """Tell an earlier write of this tenure from another owner's."""
    lease = _read_row(ownership, ownership.lease_key)
    value = json.loads(lease.value) if lease and lease.value else {}
    if lease is None or value.get("epoch") != tenure.epoch:
        tenure.ended.set()
        return
    tenure.lease_version = lease.version
