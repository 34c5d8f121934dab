"""Which entry hosts are present, and what they know, by gossip.

Everything here is a hint, with one exception: an incarnation that reported an
epoch has stopped acting under lower ones, because it reports an epoch only
after `Hooks.on_newer_epoch` has returned.
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
# Unlisted hosts are forgotten so that replaced hosts do not add up.
_FORGET_MS = 600_000
_MAX_ACKNOWLEDGED = 256

# A mark ends by itself, so that a backend server that returns is used again.
_MARK_MS = 30_000
# Added by each host that passes a mark on: delayed messages cannot keep one
# alive for ever.
_MARK_HOP_MS = 1_000
_MAX_MARKS = 64


class Status(enum.StrEnum):
    """What is concluded about another host."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


class Local(NamedTuple):
    """What this host reports of itself.

    Attributes:
        demand: Thousandths of a request per second by account key.
        queue_depths: Queued jobs by account name.
    """

    leaving: bool
    config_version: int
    demand: dict[int, int]
    queue_depths: dict[str, int]


class Hooks(NamedTuple):
    """Where news is sent.

    Attributes:
        on_newer_epoch: Called with a cell and an epoch newer than the one
            known here, by one thread at a time; returns whether the process
            may still act under a lower epoch. This host reports the epoch
            only after a call that returned False.
        on_version: Called with the configuration version of another host.
        on_demand: Called with a host key, its demand and the time.
    """

    on_newer_epoch: Callable[[str, int], bool]
    on_version: Callable[[int], None]
    on_demand: Callable[[int, dict[int, int], int], None]


class Member:
    """The newest incarnation known of another host.

    Attributes:
        advanced_at_ms: When a new counter was last heard.
        direct_counter: Counter of the newest message from the host itself.
    """

    def __init__(self, incarnation: int, counter: int, now_ms: int) -> None:
        self.incarnation = incarnation
        self.counter = counter
        self.advanced_at_ms = now_ms
        self.direct_counter = -1
        self.leaving = False
        self.config_version = 0
        self.queue_depths: dict[int, int] = {}


class Membership:
    """What this host knows of all hosts, cells and leaving servers.

    Attributes:
        names: Host ids by key, of listed hosts and of senders.
        listed: Keys of the hosts in the host list.
        epochs: Newest epoch and its owner by cell key.
        acknowledged: Reported epochs by cell key, by host key and
            incarnation; the oldest incarnations are dropped.
        marks: When a backend server was seen leaving, by its key.
    """

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        cells: Iterable[str],
        hooks: Hooks,
        clock: clocks.Clock,
        chooser: random.Random,
    ) -> None:
        self.host_id = host_id
        self.key = shares.make_key(host_id)
        self.incarnation = incarnation
        self.cells = {shares.make_key(cell): cell for cell in cells}
        self.hooks = hooks
        self.clock = clock
        self.chooser = chooser
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
        self.marks: dict[int, int] = {}


def make_incarnation(clock: clocks.Clock) -> int:
    """Return the number of a process that starts now.

    Later processes of a host have higher numbers; the random bits tell apart
    those that start within a millisecond. A host whose wall clock was set
    back is ignored by its peers until the clock has passed the earlier start.
    """
    return clock.wall_ms() << 16 | secrets.randbits(16)


def make_holder(host_id: str, incarnation: int) -> str:
    """Return the name of a process as it stands in lease rows."""
    return f"{host_id}/{incarnation:016x}"


def seed_hosts(membership: Membership, host_ids: Iterable[str]) -> None:
    """Take the hosts of the host list.

    A listed host counts as present until it has been silent for `DEAD_MS`.
    Dead hosts that are no longer listed are forgotten after a while.
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
            silent_ms = now_ms - member.advanced_at_ms
            if key not in names and silent_ms > _FORGET_MS:
                del membership.members[key]
                membership.names.pop(key, None)


def make_gossip(membership: Membership, local: Local) -> messages.Gossip:
    """Advance the own heartbeat and return the message of this round."""
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
            _list_marks(membership, now_ms),
            {
                shares.make_key(account): depth
                for account, depth in _take_highest(local.queue_depths)
            },
        )


def take_gossip(membership: Membership, gossip: messages.Gossip) -> bool:
    """Take in a message; return False if a newer one was taken before."""
    now_ms = membership.clock.now_ms()
    sender = shares.make_key(gossip.sender)
    with membership.lock:
        for entry in gossip.members:
            _note_heartbeat(membership, entry, now_ms)
        _note_heartbeat(
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
        _note_acknowledged(membership, sender, gossip)
        _note_marks(membership, gossip.leaving, now_ms)
    for epoch in gossip.epochs:
        _take_epoch(membership, epoch)
    membership.hooks.on_version(gossip.config_version)
    membership.hooks.on_demand(sender, gossip.demand, now_ms)
    return True


def note_own_epoch(membership: Membership, cell: str, epoch: int) -> None:
    """Record that this process has taken a cell."""
    key = shares.make_key(cell)
    _record_epoch(membership, messages.EpochEntry(key, membership.key, epoch))


def get_epoch(membership: Membership, cell: str) -> int:
    """Return the newest epoch known of a cell; 0 if none is known."""
    with membership.lock:
        entry = membership.epochs.get(shares.make_key(cell))
        return entry.epoch if entry else 0


def get_owner(membership: Membership, cell: str) -> str | None:
    """Return the id of the host that took the newest known epoch."""
    with membership.lock:
        entry = membership.epochs.get(shares.make_key(cell))
        return membership.names.get(entry.owner) if entry else None


def has_been_replaced(membership: Membership, holder: str) -> bool:
    """Return whether a later process of the holder's host was heard of.

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
    """Return whether this very process reported the epoch or a higher one.

    Args:
        membership: What this host knows.
        holder: Name of the process as `make_holder` returns it.
        cell: The cell.
        epoch: The least epoch that is asked for.
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
            key: _judge(member, now_ms)
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
    """Return the queued jobs of an account as other hosts report them."""
    key = shares.make_key(account)
    now_ms = membership.clock.now_ms()
    with membership.lock:
        return sum(
            member.queue_depths.get(key, 0)
            for member in membership.members.values()
            if _judge(member, now_ms) is not Status.DEAD
        )


def mark_leaving(membership: Membership, backend_id: str) -> None:
    """Record that this host has seen a backend server leaving."""
    now_ms = membership.clock.now_ms()
    with membership.lock:
        _set_mark(membership, shares.make_key(backend_id), now_ms)


def is_leaving(membership: Membership, backend_id: str) -> bool:
    """Return whether any host has lately seen the backend server leaving."""
    seen_ms = membership.marks.get(shares.make_key(backend_id))
    return (
        seen_ms is not None and membership.clock.now_ms() - seen_ms < _MARK_MS
    )


def _judge(member: Member, now_ms: int) -> Status:
    silent_ms = now_ms - member.advanced_at_ms
    if silent_ms >= DEAD_MS:
        return Status.DEAD
    if silent_ms >= SUSPECT_MS:
        return Status.SUSPECT
    return Status.LEAVING if member.leaving else Status.LIVE


def _choose_members(
    membership: Membership, now_ms: int
) -> tuple[messages.MemberEntry, ...]:
    """Return some members to pass on; silent ones are left out."""
    heard = [
        messages.MemberEntry(
            key, member.incarnation, member.counter, member.leaving
        )
        for key, member in membership.members.items()
        if member.incarnation and now_ms - member.advanced_at_ms < SUSPECT_MS
    ]
    count = min(len(heard), messages.MAX_MEMBERS)
    return tuple(membership.chooser.sample(heard, count))


def _take_highest(depths: dict[str, int]) -> list[tuple[str, int]]:
    ordered = sorted(depths.items(), key=lambda item: -item[1])
    return ordered[: messages.MAX_ACCOUNTS]


def _note_heartbeat(
    membership: Membership, entry: messages.MemberEntry, now_ms: int
) -> None:
    """Take a heartbeat if it is newer than what is known."""
    if entry.host == membership.key:
        _check_own(membership, entry)
        return
    member = membership.members.get(entry.host)
    if member is None or entry.incarnation > member.incarnation:
        member = Member(entry.incarnation, entry.counter, now_ms)
        membership.members[entry.host] = member
    elif entry.incarnation < member.incarnation:
        return
    elif entry.counter > member.counter:
        member.counter = entry.counter
        member.advanced_at_ms = now_ms
    member.leaving = member.leaving or entry.leaving


def _check_own(membership: Membership, entry: messages.MemberEntry) -> None:
    """Report another process under the own host id, once."""
    if entry.incarnation > membership.incarnation and not membership.superseded:
        membership.superseded = True
        logs.log_event(
            "incarnation_superseded",
            "WARNING",
            own=membership.incarnation,
            heard=entry.incarnation,
        )


def _note_acknowledged(
    membership: Membership, sender: int, gossip: messages.Gossip
) -> None:
    process = (sender, gossip.incarnation)
    reported = membership.acknowledged.setdefault(process, {})
    membership.acknowledged.move_to_end(process)
    for entry in gossip.epochs:
        reported[entry.cell] = max(entry.epoch, reported.get(entry.cell, 0))
    while len(membership.acknowledged) > _MAX_ACKNOWLEDGED:
        membership.acknowledged.popitem(last=False)


def _take_epoch(membership: Membership, entry: messages.EpochEntry) -> None:
    # Serialized, so that no thread records an epoch while another is still
    # in the hook for it.
    with membership.epoch_lock:
        with membership.lock:
            known = membership.epochs.get(entry.cell)
        if known is not None and known.epoch >= entry.epoch:
            return
        cell = membership.cells.get(entry.cell)
        if cell is not None and membership.hooks.on_newer_epoch(
            cell, entry.epoch
        ):
            return  # Reported only once the old tenure has ended here.
        _record_epoch(membership, entry)


def _record_epoch(membership: Membership, entry: messages.EpochEntry) -> None:
    with membership.lock:
        known = membership.epochs.get(entry.cell)
        if known is None and not _has_room(membership, entry.cell):
            return
        if known is None or entry.epoch > known.epoch:
            membership.epochs[entry.cell] = entry


def _has_room(membership: Membership, cell: int) -> bool:
    """Return whether a cell may be added; own cells always may."""
    others = membership.epochs.keys() - membership.cells.keys()
    return cell in membership.cells or (
        len(others) < messages.MAX_EPOCHS - len(membership.cells)
    )


def _note_marks(
    membership: Membership, ages_ms: dict[int, int], now_ms: int
) -> None:
    for key, age_ms in ages_ms.items():
        _set_mark(membership, key, now_ms - age_ms - _MARK_HOP_MS)


def _set_mark(membership: Membership, key: int, seen_ms: int) -> None:
    marks = membership.marks
    marks[key] = max(seen_ms, marks.get(key, seen_ms))
    if len(marks) > _MAX_MARKS:
        del marks[min(marks, key=lambda mark: marks[mark])]


def _list_marks(membership: Membership, now_ms: int) -> dict[int, int]:
    """Return the ages of the youngest marks; forget those that ended."""
    ages_ms = {
        key: max(0, now_ms - seen_ms)
        for key, seen_ms in membership.marks.items()
    }
    for key, age_ms in ages_ms.items():
        if age_ms >= _MARK_MS:
            del membership.marks[key]
    valid = [item for item in ages_ms.items() if item[1] < _MARK_MS]
    valid.sort(key=lambda item: item[1])
    return dict(valid[: messages.MAX_LEAVING])
