"""Discovery of the other entry hosts through rows that each host writes."""

import json
import random
import threading
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

from cyclamenshelf_core import addresses
from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core.failover import candidates
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import ports

TABLE = "hosts"
_REFRESH_MS = 5_000
_RETRY_MS = 500
_CALL_TIMEOUT_MS = 900
# A host that did not respond is not called again for this long.
_UNRESPONSIVE_MS = 5_000


class Member(NamedTuple):
    """An entry host and the address at which it accepts relayed calls.

    Attributes:
        processors: Number of processors that it may use; 0 if not known.
        link_mbps: Rate of its network link in Mbit/s; 0 if not known.
    """

    name: str
    address: str
    data_centre: str
    processors: float = 0.0
    link_mbps: float = 0.0


class _MemberRow(TypedDict):
    name: str
    address: str
    data_centre: str
    # Missing in rows of earlier versions.
    processors: NotRequired[float]
    link_mbps: NotRequired[float]


class Members:
    """The entry hosts as last read from the store.

    Attributes:
        local: This host.
        peers: The other hosts by name.
        unresponsive_until_ms: Monotonic time until which a host is not called,
            by name.
    """

    def __init__(self, local: Member) -> None:
        self.local = local
        self.peers: dict[str, Member] = {}
        self.unresponsive_until_ms: dict[str, int] = {}
        self.lock = threading.Lock()


def start_refreshing(
    members: Members,
    store: ports.Store,
    clock: clocks.Clock,
    stopping: threading.Event,
) -> threading.Thread:
    """Start the thread that reads the hosts and maintains this host's row."""
    thread = threading.Thread(
        target=_run,
        args=(members, store, clock, stopping),
        name="members",
        daemon=True,
    )
    thread.start()
    return thread


def choose_peers(
    members: Members, now_ms: int, generator: random.Random
) -> list[Member]:
    """Return the hosts to call, those in the same data centre first."""
    with members.lock:
        usable = [
            member
            for member in members.peers.values()
            if members.unresponsive_until_ms.get(member.name, 0) <= now_ms
        ]
    generator.shuffle(usable)
    usable.sort(
        key=lambda member: member.data_centre != members.local.data_centre
    )
    return usable


def get_capacity(member: Member) -> candidates.HostCapacity:
    """Return what a host may use."""
    return candidates.HostCapacity(member.processors, member.link_mbps)


def record_unresponsive(members: Members, member: Member, now_ms: int) -> None:
    """Exclude a host that did not respond from calls for a while."""
    with members.lock:
        members.unresponsive_until_ms[member.name] = now_ms + _UNRESPONSIVE_MS


def refresh(members: Members, store: ports.Store) -> None:
    """Read the hosts; write this host's row if it is missing or outdated.

    Raises:
        errors.StoreError: A call to the store failed.
    """
    listed = {
        member.name: member
        for row in store.read(TABLE, _CALL_TIMEOUT_MS).rows
        if (member := _decode(row)) is not None
    }
    own = listed.pop(members.local.name, None)
    with members.lock:
        members.peers = listed
    if own != members.local:
        key = ports.RowKey(TABLE, members.local.name)
        value = json.dumps(members.local._asdict()).encode()
        store.commit(ports.Transaction({}, {key: value}), _CALL_TIMEOUT_MS)
        logs.log_event("host_listed", address=members.local.address)


def _run(
    members: Members,
    store: ports.Store,
    clock: clocks.Clock,
    stopping: threading.Event,
) -> None:
    while not stopping.is_set():
        read = supervision.run_logged("members_unread", refresh, members, store)
        # A host that has just written its row may not have read the rows of
        # hosts that started at the same time.
        found_peers = read and members.peers
        stopping.wait((_REFRESH_MS if found_peers else _RETRY_MS) / 1000)


def _decode(row: ports.Row) -> Member | None:
    try:
        fields = jsontexts.decode(row.value or b"", _MemberRow)
    except errors.InvalidTextError:
        return None
    if addresses.parse_address(fields["address"]) is None:
        return None
    return Member(**fields)
