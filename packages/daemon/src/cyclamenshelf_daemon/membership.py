"""Gossip-based membership and shared state of the entry hosts.

The state is eventually consistent and may be outdated, with one guarantee: an
incarnation that reported an epoch no longer acts under a lower one, because it
reports an epoch only after `Hooks.on_newer_epoch` has returned False.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import enum
import random
import secrets
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import shares
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import messages

SUSPECT_MS = 3_000
DEAD_MS = 8_000
# Dead hosts that are no longer listed are removed after this time, so that
# replaced hosts do not accumulate.
_REMOVE_AFTER_MS = 600_000
_MAX_ACKNOWLEDGED = 256

# A report that a backend server is leaving expires, so that a server that
# returns is used again.
_LEAVING_VALIDITY_MS = 30_000
# Age added each time a host relays a report; without it, delayed messages
# could keep a report alive indefinitely.
_LEAVING_HOP_MS = 1_000
_MAX_LEAVING_REPORTS = 64


class Status(enum.StrEnum):
    """Status of another host, derived from its heartbeats."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


class LocalState(NamedTuple):
    """State that this host reports about itself.

    Attributes:
        demand: Thousandths of a request per second by account key.
        queue_depths: Queued jobs by account name.
    """

    leaving: bool
    config_version: int
    demand: dict[int, int]
    queue_depths: dict[str, int]


class Hooks(NamedTuple):
    """Callbacks for received state.

    Attributes:
        on_newer_epoch: Called with a cell and an epoch newer than the last
            recorded one, by one thread at a time; returns whether the process
            may still act under a lower epoch. This host reports the epoch
            only after a call that returned False.
        on_version: Called with the configuration version of another host.
        on_demand: Called with a host key, its demand and the current
            monotonic time.
    """

    on_newer_epoch: Callable[[str, int], bool]
    on_version: Callable[[int], None]
    on_demand: Callable[[int, dict[int, int], int], None]


class Member:
    """The newest recorded incarnation of another host.

    Attributes:
        last_advanced_ms: When the heartbeat last advanced, by a higher counter
            or a new incarnation.
        direct_counter: Counter of the newest message that the host itself
            sent, without the heartbeats that other hosts relayed.
    """

    def __init__(self, incarnation: int, counter: int, now_ms: int) -> None:
        self.incarnation = incarnation
        self.counter = counter
        self.last_advanced_ms = now_ms
        self.direct_counter = -1
        self.leaving = False
        self.config_version = 0
        self.queue_depths: dict[int, int] = {}


class Membership:
    """Recorded state of all hosts, cell epochs and leaving backend servers.

    Attributes:
        superseded: Whether a later process under this host id was reported.
        names: Host ids by key, of listed hosts and of senders.
        listed: Keys of the hosts in the host list.
        epochs: Newest epoch and its owner by cell key.
        acknowledged: Reported epochs by cell key, for each host key and
            incarnation; the incarnations that reported least recently are
            dropped.
        leaving_reports: When each backend server was last seen leaving, by
            its key.
    """

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        cells: Iterable[str],
        hooks: Hooks,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.host_id = host_id
        self.key = shares.make_key(host_id)
        self.incarnation = incarnation
        self.cells = {shares.make_key(cell): cell for cell in cells}
        self.hooks = hooks
        self.clock = clock
        self.rng = rng
        self.lock = threading.Lock()
        self.epoch_lock = threading.Lock()
        self.counter = 0
        self.superseded = False
        self.members: dict[int, Member] = {}
        self.names: dict[int, str] = {self.key: host_id}
        self.listed: frozenset[int] = frozenset()
        self.epochs: dict[int, messages.EpochEntry] = {}
        self.acknowledged: collections.OrderedDict[
            tuple[int, int], dict[int, int]
        ] = collections.OrderedDict()
        self.leaving_reports: dict[int, int] = {}


def make_incarnation(clock: clocks.Clock) -> int:
    """Return the incarnation number of a process that starts now.

    Later processes of a host get higher numbers; the random bits distinguish
    processes that start within the same millisecond. If the wall clock of a
    host is set back, its peers ignore a restarted process until the clock has
    passed the start time of the earlier one.
    """
    return clock.wall_ms() << 16 | secrets.randbits(16)


def format_holder(host_id: str, incarnation: int) -> str:
    """Return the holder name of a process as stored in lease rows."""
    return f"{host_id}/{incarnation:016x}"


def update_listed_hosts(
    membership: Membership, host_ids: Iterable[str]
) -> None:
    """Update the membership from the host list.

    A listed host counts as present until `DEAD_MS` have passed without a
    heartbeat. Hosts that are no longer listed are removed once they have sent
    no heartbeat for `_REMOVE_AFTER_MS`.
    """
    now_ms = membership.clock.now_ms()
    names = {shares.make_key(host_id): host_id for host_id in host_ids}
    names.pop(membership.key, None)
    with membership.lock:
        membership.names |= names
        membership.listed = frozenset(names)
        for key in names.keys() - membership.members.keys():
            membership.members[key] = Member(0, 0, now_ms)
        for key, member in list(membership.members.items()):
            elapsed_ms = now_ms - member.last_advanced_ms
            if key not in names and elapsed_ms > _REMOVE_AFTER_MS:
                del membership.members[key]
                membership.names.pop(key, None)


def make_gossip(membership: Membership, local: LocalState) -> messages.Gossip:
    """Increment the heartbeat counter and return the message of this round."""
    now_ms = membership.clock.now_ms()
    with membership.lock:
        membership.counter += 1
        return messages.Gossip(
            membership.host_id,
            membership.incarnation,
            membership.counter,
            messages.State.LEAVING if local.leaving else messages.State.LIVE,
            local.config_version,
            _choose_members(membership, now_ms),
            tuple(membership.epochs.values())[: messages.MAX_EPOCHS],
            local.demand,
            _list_leaving_ages(membership, now_ms),
            {
                shares.make_key(account): depth
                for account, depth in _select_longest_queues(local.queue_depths)
            },
        )


def merge_gossip(membership: Membership, gossip: messages.Gossip) -> bool:
    """Merge a received message; return False if it is outdated."""
    now_ms = membership.clock.now_ms()
    sender = shares.make_key(gossip.sender)
    with membership.lock:
        for entry in gossip.members:
            _record_heartbeat(membership, entry, now_ms)
        _record_heartbeat(
            membership,
            messages.MemberEntry(
                sender,
                gossip.incarnation,
                gossip.counter,
                gossip.state is messages.State.LEAVING,
            ),
            now_ms,
        )
        member = membership.members.get(sender)
        if (
            member is None
            or gossip.incarnation != member.incarnation
            or gossip.counter <= member.direct_counter
        ):
            return False
        member.direct_counter = gossip.counter
        member.config_version = gossip.config_version
        member.queue_depths = gossip.queue_depths
        membership.names[sender] = gossip.sender
        _record_acknowledged(membership, sender, gossip)
        _merge_leaving_reports(membership, gossip.leaving, now_ms)
    for epoch in gossip.epochs:
        _merge_epoch(membership, epoch)
    membership.hooks.on_version(gossip.config_version)
    membership.hooks.on_demand(sender, gossip.demand, now_ms)
    return True


def record_own_epoch(membership: Membership, cell: str, epoch: int) -> None:
    """Record the epoch under which this process acquired a cell."""
    key = shares.make_key(cell)
    _record_epoch(membership, messages.EpochEntry(key, membership.key, epoch))


def get_epoch(membership: Membership, cell: str) -> int:
    """Return the newest recorded epoch of a cell, or 0 if there is none."""
    with membership.lock:
        entry = membership.epochs.get(shares.make_key(cell))
        return entry.epoch if entry else 0


def get_owner(membership: Membership, cell: str) -> str | None:
    """Return the id of the host that owns a cell under its newest epoch.

    Returns None if no epoch, or no id for its owner, is recorded.
    """
    with membership.lock:
        entry = membership.epochs.get(shares.make_key(cell))
        return membership.names.get(entry.owner) if entry else None


def has_been_superseded(membership: Membership, holder: str) -> bool:
    """Return whether a later process on the host of the holder was reported.

    A host id names one machine, which runs one process at a time.
    """
    host_id, _, text = holder.rpartition("/")
    try:
        incarnation = int(text, 16)
    except ValueError:
        return False
    key = shares.make_key(host_id)
    with membership.lock:
        if key == membership.key:
            return membership.incarnation > incarnation
        member = membership.members.get(key)
        return member is not None and member.incarnation > incarnation


def has_acknowledged(
    membership: Membership, holder: str, cell: str, epoch: int
) -> bool:
    """Return whether a process itself reported an epoch or a higher one.

    Reports of other incarnations of the same host do not count.

    Args:
        membership: Membership of this host.
        holder: Name of the process as `format_holder` returns it.
        cell: Id of the cell.
        epoch: Lowest epoch that counts.
    """
    host_id, _, text = holder.rpartition("/")
    try:
        incarnation = int(text, 16)
    except ValueError:
        return False
    with membership.lock:
        reported = membership.acknowledged.get(
            (shares.make_key(host_id), incarnation), {}
        )
        return reported.get(shares.make_key(cell), 0) >= epoch


def list_members(membership: Membership) -> dict[int, Status]:
    """Return the status of every other host, by key."""
    now_ms = membership.clock.now_ms()
    with membership.lock:
        return {
            key: _get_status(member, now_ms)
            for key, member in membership.members.items()
        }


def list_present(membership: Membership) -> frozenset[int]:
    """Return the keys of the other hosts that are not dead."""
    return frozenset(
        key
        for key, status in list_members(membership).items()
        if status is not Status.DEAD
    )


def sum_queue_depths(membership: Membership, account: str) -> int:
    """Return the total queue depth that other hosts report for an account."""
    key = shares.make_key(account)
    now_ms = membership.clock.now_ms()
    with membership.lock:
        return sum(
            member.queue_depths.get(key, 0)
            for member in membership.members.values()
            if _get_status(member, now_ms) is not Status.DEAD
        )


def record_leaving(membership: Membership, backend_id: str) -> None:
    """Record that this host has observed a backend server leaving."""
    now_ms = membership.clock.now_ms()
    with membership.lock:
        _record_leaving_report(membership, shares.make_key(backend_id), now_ms)


def is_leaving(membership: Membership, backend_id: str) -> bool:
    """Return whether an unexpired report of the server leaving exists."""
    seen_ms = membership.leaving_reports.get(shares.make_key(backend_id))
    return (
        seen_ms is not None
        and membership.clock.now_ms() - seen_ms < _LEAVING_VALIDITY_MS
    )


def _get_status(member: Member, now_ms: int) -> Status:
    elapsed_ms = now_ms - member.last_advanced_ms
    if elapsed_ms >= DEAD_MS:
        return Status.DEAD
    if elapsed_ms >= SUSPECT_MS:
        return Status.SUSPECT
    return Status.LEAVING if member.leaving else Status.LIVE


def _choose_members(
    membership: Membership, now_ms: int
) -> tuple[messages.MemberEntry, ...]:
    """Return a random sample of responsive members to relay."""
    responsive = [
        messages.MemberEntry(
            key, member.incarnation, member.counter, member.leaving
        )
        for key, member in membership.members.items()
        if member.incarnation and now_ms - member.last_advanced_ms < SUSPECT_MS
    ]
    count = min(len(responsive), messages.MAX_MEMBERS)
    return tuple(membership.rng.sample(responsive, count))


def _select_longest_queues(depths: dict[str, int]) -> list[tuple[str, int]]:
    ordered = sorted(depths.items(), key=lambda item: -item[1])
    return ordered[: messages.MAX_ACCOUNTS]


def _record_heartbeat(
    membership: Membership, entry: messages.MemberEntry, now_ms: int
) -> None:
    """Record a heartbeat if it is newer than the last recorded one."""
    if entry.host == membership.key:
        _check_own_incarnation(membership, entry)
        return
    member = membership.members.get(entry.host)
    if member is None or entry.incarnation > member.incarnation:
        member = Member(entry.incarnation, entry.counter, now_ms)
        membership.members[entry.host] = member
    elif entry.incarnation < member.incarnation:
        return
    elif entry.counter > member.counter:
        member.counter = entry.counter
        member.last_advanced_ms = now_ms
    member.leaving = member.leaving or entry.leaving


def _check_own_incarnation(
    membership: Membership, entry: messages.MemberEntry
) -> None:
    """Log a later process under the own host id, once."""
    if entry.incarnation > membership.incarnation and not membership.superseded:
        membership.superseded = True
        logs.log_event(
            "incarnation_superseded",
            "WARNING",
            own=membership.incarnation,
            heard=entry.incarnation,
        )


def _record_acknowledged(
    membership: Membership, sender: int, gossip: messages.Gossip
) -> None:
    process = (sender, gossip.incarnation)
    reported = membership.acknowledged.setdefault(process, {})
    membership.acknowledged.move_to_end(process)
    for entry in gossip.epochs:
        reported[entry.cell] = max(entry.epoch, reported.get(entry.cell, 0))
    while len(membership.acknowledged) > _MAX_ACKNOWLEDGED:
        membership.acknowledged.popitem(last=False)


def _merge_epoch(membership: Membership, entry: messages.EpochEntry) -> None:
    # Serialized, so that no thread records an epoch while another thread still
    # runs the hook for it.
    with membership.epoch_lock:
        with membership.lock:
            current = membership.epochs.get(entry.cell)
        if current is not None and current.epoch >= entry.epoch:
            return
        cell = membership.cells.get(entry.cell)
        if cell is not None and membership.hooks.on_newer_epoch(
            cell, entry.epoch
        ):
            return  # Not reported until the earlier tenure has ended here.
        _record_epoch(membership, entry)


def _record_epoch(membership: Membership, entry: messages.EpochEntry) -> None:
    with membership.lock:
        current = membership.epochs.get(entry.cell)
        if current is None and not _can_add_cell(membership, entry.cell):
            return
        if current is None or entry.epoch > current.epoch:
            membership.epochs[entry.cell] = entry


def _can_add_cell(membership: Membership, cell: int) -> bool:
    """Return whether a cell fits in the epoch table; own cells always do."""
    others = membership.epochs.keys() - membership.cells.keys()
    return cell in membership.cells or (
        len(others) < messages.MAX_EPOCHS - len(membership.cells)
    )


def _merge_leaving_reports(
    membership: Membership, ages_ms: dict[int, int], now_ms: int
) -> None:
    for key, age_ms in ages_ms.items():
        _record_leaving_report(
            membership, key, now_ms - age_ms - _LEAVING_HOP_MS
        )


def _record_leaving_report(
    membership: Membership, key: int, seen_ms: int
) -> None:
    leaving_reports = membership.leaving_reports
    leaving_reports[key] = max(seen_ms, leaving_reports.get(key, seen_ms))
    if len(leaving_reports) > _MAX_LEAVING_REPORTS:
        del leaving_reports[
            min(leaving_reports, key=lambda server: leaving_reports[server])
        ]


def _list_leaving_ages(membership: Membership, now_ms: int) -> dict[int, int]:
    """Return the ages of the newest reports and delete expired ones."""
    ages_ms = {
        key: max(0, now_ms - seen_ms)
        for key, seen_ms in membership.leaving_reports.items()
    }
    for key, age_ms in ages_ms.items():
        if age_ms >= _LEAVING_VALIDITY_MS:
            del membership.leaving_reports[key]
    valid = [item for item in ages_ms.items() if item[1] < _LEAVING_VALIDITY_MS]
    valid.sort(key=lambda item: item[1])
    return dict(valid[: messages.MAX_LEAVING])
