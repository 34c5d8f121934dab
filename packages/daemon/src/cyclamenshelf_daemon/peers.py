"""The UDP socket between entry hosts, with one thread for each peer.

The receive thread checks a datagram and hands it to the thread of the peer
that sent it. That thread handles what its peer sent and sends what its peer
is to get.
"""

import collections
from collections.abc import Callable
import contextlib
import random
import socket
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import shares
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import membership as memberships
from cyclamenshelf_daemon import messages

_QUEUE_LIMIT = 256
_RECEIVE_PAUSE_MS = 100

Address = tuple[str, int]


class PeerContext(NamedTuple):
    """What the messages between entry hosts are built on.

    Attributes:
        get_entries: Returns the listed entry hosts, this one included.
        get_local: Returns what this host reports of itself; called once a
            round.
        on_hint: Called with the kind and the job id of a received hint.
        on_present: Called each round with the keys of the present hosts.
    """

    key: bytes
    membership: memberships.Membership
    get_entries: Callable[[], dict[str, hostlist.EntryHost]]
    get_local: Callable[[], memberships.Local]
    on_hint: Callable[[messages.HintKind, str], None]
    on_present: Callable[[frozenset[int]], None]
    clock: clocks.Clock
    chooser: random.Random


class Inbox:
    """A bounded queue of datagrams to send and messages to handle."""

    def __init__(self, limit: int = _QUEUE_LIMIT) -> None:
        self.limit = limit
        self.condition = threading.Condition()
        self.items: collections.deque[bytes | messages.Message] = (
            collections.deque()
        )
        self.closed = False


class Peer:
    """Another entry host and the work of its thread."""

    def __init__(self, host_id: str, address: Address) -> None:
        self.host_id = host_id
        self.address = address
        self.inbox = Inbox()


class Peers:
    """The socket, the peers by key, and counters.

    Attributes:
        turns: Peers left to send gossip to before each is sent to again.
        counters: Datagrams and bytes by direction, and drops by reason.
    """

    def __init__(self, context: PeerContext, sock: socket.socket) -> None:
        self.context = context
        self.sock = sock
        self.lock = threading.Lock()
        self.peers: dict[int, Peer] = {}
        self.turns: list[int] = []
        self.counters: collections.Counter[str] = collections.Counter()
        self.stopped = threading.Event()


def start_peers(context: PeerContext, host: str, port: int) -> Peers:
    """Bind the socket, start receiving and start the gossip rounds."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, port))
    peers = Peers(context, sock)
    for target, name in (
        (_receive, "peer-receive"),
        (_run_rounds, "peer-rounds"),
    ):
        threading.Thread(
            target=target, args=(peers,), name=name, daemon=True
        ).start()
    return peers


def stop_peers(peers: Peers) -> None:
    """End the threads and close the socket."""
    peers.stopped.set()
    with peers.lock:
        for peer in peers.peers.values():
            close_inbox(peer.inbox)
    # Wakes the receive thread, which a close alone would not. An unconnected
    # socket reports ENOTCONN, but its reader is woken all the same.
    with contextlib.suppress(OSError):
        peers.sock.shutdown(socket.SHUT_RDWR)
    peers.sock.close()


def send_hint(
    peers: Peers, kind: messages.HintKind, cell: str, job_id: str
) -> None:
    """Tell other hosts about a job, if they are known.

    The end of a job is sent to all present hosts; the rest to the owner of
    the cell.
    """
    membership = peers.context.membership
    if kind is messages.HintKind.ENDED:
        targets = memberships.list_present(membership)
    else:
        owner = memberships.get_owner(membership, cell)
        targets = frozenset([shares.make_key(owner)] if owner else [])
    if not targets:
        return
    hint = messages.JobHint(
        membership.host_id, shares.make_key(cell), job_id, kind
    )
    _post_datagram(
        peers, targets, messages.encode_message(hint, peers.context.key)
    )


def run_round(peers: Peers) -> None:
    """Follow the host list and send this round's gossip."""
    context = peers.context
    entries = context.get_entries()
    memberships.seed_hosts(context.membership, entries)
    _update_peers(peers, entries)
    context.on_present(memberships.list_present(context.membership))
    gossip = memberships.make_gossip(context.membership, context.get_local())
    _post_datagram(
        peers,
        choose_targets(peers),
        messages.encode_message(gossip, context.key),
    )


def choose_targets(peers: Peers) -> frozenset[int]:
    """Return the peers to send gossip to.

    Peers are taken from a shuffled list that is used up before it is filled
    again, which bounds the time in which every peer has been sent to.
    """
    with peers.lock:
        known = list(peers.peers)
    targets: set[int] = set()
    count = min(shares.PEERS_PER_ROUND, len(known))
    while len(targets) < count:
        if not peers.turns:
            peers.turns = peers.context.chooser.sample(known, len(known))
        target = peers.turns.pop()
        if target in known:
            targets.add(target)
    return frozenset(targets)


def take_datagram(peers: Peers, datagram: bytes) -> None:
    """Check a datagram and hand its message to the thread of its sender."""
    _count(peers, received_datagrams=1, received_bytes=len(datagram))
    try:
        message = messages.decode_message(datagram, peers.context.key)
    except messages.InvalidMessageError as error:
        _count(peers, **{f"dropped_{error.reason}": 1})
        return
    with peers.lock:
        peer = peers.peers.get(shares.make_key(message.sender))
    if peer is None:
        _count(peers, dropped_unlisted=1)
        return
    _post(peers, peer, message)


def handle_message(peers: Peers, message: messages.Message) -> None:
    """Act on a received message."""
    context = peers.context
    if isinstance(message, messages.Gossip):
        if not memberships.take_gossip(context.membership, message):
            _count(peers, dropped_outdated=1)
    elif (
        message.kind is messages.HintKind.ENDED
        or message.cell in context.membership.cells
    ):
        context.on_hint(message.kind, message.job_id)


def list_members(peers: Peers) -> list[dict[str, str]]:
    """Return the other entry hosts and their states, by name."""
    membership = peers.context.membership
    states = {
        membership.names.get(key, f"{key:08x}"): status
        for key, status in memberships.list_members(membership).items()
    }
    return [{"host": name, "state": states[name]} for name in sorted(states)]


def read_counters(peers: Peers) -> dict[str, int]:
    """Return the counts of messages and bytes, and of dropped ones."""
    with peers.lock:
        return dict(peers.counters)


def put_item(inbox: Inbox, item: bytes | messages.Message) -> bool:
    """Append an item; return whether the oldest was dropped for it."""
    with inbox.condition:
        full = len(inbox.items) >= inbox.limit
        if full:
            inbox.items.popleft()
        inbox.items.append(item)
        inbox.condition.notify()
        return full


def take_item(inbox: Inbox) -> bytes | messages.Message | None:
    """Wait for the oldest item; return None once the inbox is closed."""
    with inbox.condition:
        while not inbox.items and not inbox.closed:
            inbox.condition.wait()
        return None if inbox.closed else inbox.items.popleft()


def close_inbox(inbox: Inbox) -> None:
    """End the thread that takes from the inbox."""
    with inbox.condition:
        inbox.closed = True
        inbox.condition.notify()


def _run_rounds(peers: Peers) -> None:
    while not peers.stopped.is_set():
        run_round(peers)
        peers.context.clock.sleep_ms(shares.ROUND_MS)


def _receive(peers: Peers) -> None:
    while not peers.stopped.is_set():
        try:
            # One byte over the limit, so that a longer datagram is noticed.
            datagram = peers.sock.recv(messages.MAX_DATAGRAM_BYTES + 1)
        except OSError as error:
            if not peers.stopped.is_set():
                logs.log_event("peer_receive_failed", "WARNING", detail=error)
                peers.context.clock.sleep_ms(_RECEIVE_PAUSE_MS)
            continue
        if not peers.stopped.is_set():
            take_datagram(peers, datagram)


def _run_peer(peers: Peers, peer: Peer) -> None:
    while True:
        item = take_item(peer.inbox)
        if item is None:
            return
        if isinstance(item, bytes):
            _send(peers, peer, item)
        else:
            handle_message(peers, item)


def _send(peers: Peers, peer: Peer, datagram: bytes) -> None:
    try:
        peers.sock.sendto(datagram, peer.address)
    except OSError:
        _count(peers, dropped_send_failed=1)
        return
    _count(peers, sent_datagrams=1, sent_bytes=len(datagram))


def _update_peers(peers: Peers, entries: dict[str, hostlist.EntryHost]) -> None:
    """Start and end threads so that each listed host has one."""
    addresses = _read_addresses(peers, entries)
    with peers.lock:
        for key, peer in list(peers.peers.items()):
            if addresses.get(peer.host_id) != peer.address:
                close_inbox(peer.inbox)
                del peers.peers[key]
        for host_id, address in addresses.items():
            key = shares.make_key(host_id)
            if key not in peers.peers:
                peers.peers[key] = Peer(host_id, address)
                threading.Thread(
                    target=_run_peer,
                    args=(peers, peers.peers[key]),
                    name=f"peer-{host_id}",
                    daemon=True,
                ).start()


def _read_addresses(
    peers: Peers, entries: dict[str, hostlist.EntryHost]
) -> dict[str, Address]:
    """Return the UDP addresses of the other hosts, by host id."""
    addresses: dict[str, Address] = {}
    for host_id, entry in entries.items():
        host, _, port = entry.address.rpartition(":")
        if host_id == peers.context.membership.host_id:
            continue
        if host and port.isdecimal() and 0 < int(port) < 65_536:
            addresses[host_id] = (host, int(port))
        else:
            _count(peers, dropped_bad_address=1)
    return addresses


def _post_datagram(
    peers: Peers, targets: frozenset[int], datagram: bytes
) -> None:
    with peers.lock:
        chosen = [
            peers.peers[target] for target in targets if target in peers.peers
        ]
    for peer in chosen:
        _post(peers, peer, datagram)


def _post(peers: Peers, peer: Peer, item: bytes | messages.Message) -> None:
    if put_item(peer.inbox, item):
        _count(peers, dropped_queue_full=1)


def _count(peers: Peers, **changes: int) -> None:
    with peers.lock:
        peers.counters.update(changes)
