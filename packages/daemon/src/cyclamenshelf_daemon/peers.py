"""UDP messages between entry hosts, with one thread for each peer.

The receive thread verifies a datagram and adds its message to the queue of
the peer that sent it. The thread of that peer handles the messages from the
peer and sends the datagrams addressed to it.
"""

import collections
from collections.abc import Callable
import contextlib
import random
import socket
import threading
from typing import NamedTuple

from cyclamenshelf_core import addresses
from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import shares
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import membership as memberships
from cyclamenshelf_daemon import messages
from cyclamenshelf_daemon import supervision

_QUEUE_LIMIT = 256
_RECEIVE_RETRY_MS = 100

Address = tuple[str, int]


class PeerContext(NamedTuple):
    """Dependencies of the peer messages.

    Attributes:
        get_entries: Returns the listed entry hosts, including this one.
        get_local_state: Returns the state that this host reports about
            itself; called once a round.
        on_hint: Called with the kind and the job id of a received hint.
        on_present: Called each round with the keys of the other hosts that
            are not dead.
    """

    key: bytes
    membership: memberships.Membership
    get_entries: Callable[[], dict[str, hostlist.EntryHost]]
    get_local_state: Callable[[], memberships.LocalState]
    on_hint: Callable[[messages.HintKind, str], None]
    on_present: Callable[[frozenset[int]], None]
    clock: clocks.Clock
    rng: random.Random


class PeerQueue:
    """A bounded queue of datagrams to send and received messages to handle."""

    def __init__(self, limit: int = _QUEUE_LIMIT) -> None:
        self.limit = limit
        self.condition = threading.Condition()
        self.items: collections.deque[bytes | messages.Message] = (
            collections.deque()
        )
        self.closed = False


class Peer:
    """Another entry host and the queue of its thread."""

    def __init__(self, host_id: str, address: Address) -> None:
        self.host_id = host_id
        self.address = address
        self.queue = PeerQueue()


class Peers:
    """The socket, the peers by key, and counters.

    Attributes:
        pending_targets: Peers not yet sent gossip in the current cycle.
        counters: Datagrams and bytes by direction, and drops by reason.
    """

    def __init__(self, context: PeerContext, sock: socket.socket) -> None:
        self.context = context
        self.sock = sock
        self.lock = threading.Lock()
        self.peers: dict[int, Peer] = {}
        self.pending_targets: list[int] = []
        self.counters: collections.Counter[str] = collections.Counter()
        self.stopped = threading.Event()


def start_peers(context: PeerContext, host: str, port: int) -> Peers:
    """Bind the socket and start the receive and gossip threads."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, port))
    peers = Peers(context, sock)
    for target, name in (
        (_run_receiver, "peer-receive"),
        (_run_rounds, "peer-rounds"),
    ):
        threading.Thread(
            target=supervision.run_until_stopped,
            args=("peers_failed", peers.stopped, target, peers),
            name=name,
            daemon=True,
        ).start()
    return peers


def stop_peers(peers: Peers) -> None:
    """Stop the threads and close the socket."""
    peers.stopped.set()
    with peers.lock:
        for peer in peers.peers.values():
            close_queue(peer.queue)
    # Wakes the receive thread, which closing the socket alone would not do. On
    # an unconnected socket the call fails with ENOTCONN, but wakes the reader.
    with contextlib.suppress(OSError):
        peers.sock.shutdown(socket.SHUT_RDWR)
    peers.sock.close()


def send_hint(
    peers: Peers, kind: messages.HintKind, cell: str, job_id: str
) -> None:
    """Send a hint about a job to the other hosts that need it.

    The end of a job is sent to all hosts that are not dead, any other hint to
    the owner of the cell. Without a recipient, the hint is dropped.
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
    _enqueue_datagram(
        peers, targets, messages.encode_message(hint, peers.context.key)
    )


def run_round(peers: Peers) -> None:
    """Apply the host list and send the gossip of this round."""
    context = peers.context
    entries = context.get_entries()
    memberships.update_listed_hosts(context.membership, entries)
    _update_peers(peers, entries)
    context.on_present(memberships.list_present(context.membership))
    gossip = memberships.make_gossip(
        context.membership, context.get_local_state()
    )
    _enqueue_datagram(
        peers,
        choose_targets(peers),
        messages.encode_message(gossip, context.key),
    )


def choose_targets(peers: Peers) -> frozenset[int]:
    """Return the peers to send gossip to.

    Targets are drawn from a shuffled list of all peers, which is refilled only
    when it is empty. This bounds the time between two messages to a peer.
    """
    with peers.lock:
        keys = list(peers.peers)
    targets: set[int] = set()
    count = min(shares.PEERS_PER_ROUND, len(keys))
    while len(targets) < count:
        if not peers.pending_targets:
            peers.pending_targets = peers.context.rng.sample(keys, len(keys))
        target = peers.pending_targets.pop()
        if target in keys:
            targets.add(target)
    return frozenset(targets)


def receive_datagram(peers: Peers, datagram: bytes) -> None:
    """Verify a datagram and queue its message for the thread of its sender."""
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
    _enqueue(peers, peer, message)


def handle_message(peers: Peers, message: messages.Message) -> None:
    """Process a received message."""
    context = peers.context
    if isinstance(message, messages.Gossip):
        if not memberships.merge_gossip(context.membership, message):
            _count(peers, dropped_outdated=1)
    elif (
        message.kind is messages.HintKind.ENDED
        or message.cell in context.membership.cells
    ):
        context.on_hint(message.kind, message.job_id)


def list_members(peers: Peers) -> list[dict[str, str]]:
    """Return the other entry hosts and their states, sorted by name."""
    membership = peers.context.membership
    states = {
        membership.names.get(key, f"{key:08x}"): status
        for key, status in memberships.list_members(membership).items()
    }
    return [{"host": name, "state": states[name]} for name in sorted(states)]


def read_counters(peers: Peers) -> dict[str, int]:
    """Return the counts of datagrams and bytes, and of drops by reason."""
    with peers.lock:
        return dict(peers.counters)


def put_item(peer_queue: PeerQueue, item: bytes | messages.Message) -> bool:
    """Append an item; return whether the oldest was dropped to make space."""
    with peer_queue.condition:
        full = len(peer_queue.items) >= peer_queue.limit
        if full:
            peer_queue.items.popleft()
        peer_queue.items.append(item)
        peer_queue.condition.notify()
        return full


def get_item(peer_queue: PeerQueue) -> bytes | messages.Message | None:
    """Wait for the oldest item; return None once the queue is closed."""
    with peer_queue.condition:
        while not peer_queue.items and not peer_queue.closed:
            peer_queue.condition.wait()
        return None if peer_queue.closed else peer_queue.items.popleft()


def close_queue(peer_queue: PeerQueue) -> None:
    """Close the queue, which ends its consuming thread."""
    with peer_queue.condition:
        peer_queue.closed = True
        peer_queue.condition.notify()


def _run_rounds(peers: Peers) -> None:
    while not peers.stopped.is_set():
        run_round(peers)
        peers.context.clock.sleep_ms(shares.ROUND_MS)


def _run_receiver(peers: Peers) -> None:
    while not peers.stopped.is_set():
        try:
            # Reads one byte over the limit, to detect oversized datagrams.
            datagram = peers.sock.recv(messages.MAX_DATAGRAM_BYTES + 1)
        except OSError as error:
            if not peers.stopped.is_set():
                logs.log_event("peer_receive_failed", "WARNING", detail=error)
                peers.context.clock.sleep_ms(_RECEIVE_RETRY_MS)
            continue
        if not peers.stopped.is_set():
            receive_datagram(peers, datagram)


def _run_peer(peers: Peers, peer: Peer) -> None:
    while True:
        item = get_item(peer.queue)
        if item is None:
            return
        supervision.run_logged("peer_failed", _handle_item, peers, peer, item)


def _handle_item(
    peers: Peers, peer: Peer, item: bytes | messages.Message
) -> None:
    """Send a datagram, or process a received message."""
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
    """Start and stop threads so that each listed peer has exactly one."""
    listed = _parse_addresses(peers, entries)
    with peers.lock:
        for key, peer in list(peers.peers.items()):
            if listed.get(peer.host_id) != peer.address:
                close_queue(peer.queue)
                del peers.peers[key]
        for host_id, address in listed.items():
            key = shares.make_key(host_id)
            if key not in peers.peers:
                peers.peers[key] = Peer(host_id, address)
                threading.Thread(
                    target=_run_peer,
                    args=(peers, peers.peers[key]),
                    name=f"peer-{host_id}",
                    daemon=True,
                ).start()


def _parse_addresses(
    peers: Peers, entries: dict[str, hostlist.EntryHost]
) -> dict[str, Address]:
    """Return the UDP addresses of the other listed hosts, by host id."""
    found: dict[str, Address] = {}
    for host_id, entry in entries.items():
        if host_id == peers.context.membership.host_id:
            continue
        address = addresses.parse_address(entry.address)
        if address is None:
            _count(peers, dropped_bad_address=1)
        else:
            found[host_id] = address
    return found


def _enqueue_datagram(
    peers: Peers, targets: frozenset[int], datagram: bytes
) -> None:
    with peers.lock:
        chosen = [
            peers.peers[target] for target in targets if target in peers.peers
        ]
    for peer in chosen:
        _enqueue(peers, peer, datagram)


def _enqueue(peers: Peers, peer: Peer, item: bytes | messages.Message) -> None:
    if put_item(peer.queue, item):
        _count(peers, dropped_queue_full=1)


def _count(peers: Peers, **changes: int) -> None:
    with peers.lock:
        peers.counters.update(changes)
