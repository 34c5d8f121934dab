import queue
import random
import threading

import pytest

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import shares
from cyclamenshelf_daemon import daemon
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import membership
from cyclamenshelf_daemon import messages
from cyclamenshelf_daemon import peers as peer_messages

_KEY = b"shared"
_TIMEOUT_S = 20


class FakeSocket:
    """A socket that records the addresses of sent datagrams."""

    def __init__(self):
        self.sent = queue.Queue()

    def sendto(self, datagram, address):
        self.sent.put(address)

    def shutdown(self, how):
        pass

    def close(self):
        pass


def _make_entry(host_id, port):
    return {host_id: hostlist.EntryHost(host_id, f"127.0.0.1:{port}", False)}


class Host:
    """The peer messages of one host, on a fake socket."""

    def __init__(self, host_id, listed, clock=None):
        self.now_ms = 0
        clock = clock or clocks.Clock(
            lambda: self.now_ms, lambda: self.now_ms, lambda _: None
        )
        self.hints = queue.Queue()
        self.present = frozenset()
        self.entries = {}
        for index, other in enumerate(listed):
            self.entries |= _make_entry(other, index + 1)
        self.context = peer_messages.PeerContext(
            _KEY,
            membership.Membership(
                host_id,
                1,
                ["north"],
                membership.Hooks(
                    lambda *_: None, lambda _: None, lambda *_: None
                ),
                clock,
                random.Random(host_id),
            ),
            get_entries=lambda: self.entries,
            get_local_state=lambda: membership.LocalState(False, 1, {}, {}),
            on_hint=lambda *hint: self.hints.put(hint),
            on_present=lambda present: setattr(self, "present", present),
            clock=clock,
            rng=random.Random(host_id),
        )
        self.peers = peer_messages.Peers(self.context, FakeSocket())

    def pop_addresses(self, count):
        sent = self.peers.sock.sent
        return {sent.get(timeout=_TIMEOUT_S) for _ in range(count)}


@pytest.fixture
def host():
    host = Host("a", ["a", "b", "c"])
    yield host
    peer_messages.stop_peers(host.peers)


def _make_gossip(sender, epoch=0):
    cell, owner = shares.make_key("north"), shares.make_key(sender)
    epochs = (messages.EpochEntry(cell, owner, epoch),)
    return messages.Gossip(sender, 1, 1, messages.State.LIVE, 1, (), epochs)


def test_round_applies_changes_of_the_host_list(host):
    # Removed hosts must get no more messages, a changed address must be used,
    # and a malformed address must not affect the other hosts.
    peer_messages.run_round(host.peers)
    assert host.pop_addresses(2) == {("127.0.0.1", 2), ("127.0.0.1", 3)}
    assert host.present == {shares.make_key("b"), shares.make_key("c")}
    del host.entries["c"]
    host.entries |= _make_entry("b", 9) | _make_entry("bad", "x")
    peer_messages.run_round(host.peers)
    assert host.pop_addresses(1) == {("127.0.0.1", 9)}


@pytest.mark.parametrize(
    ("datagram", "reason"),
    [
        (b"junk", "unsigned"),
        (bytes(1_201), "oversized"),
        (messages.encode_message(_make_gossip("b"), b"other"), "unsigned"),
        (messages.encode_message(_make_gossip("z"), _KEY), "unlisted"),
    ],
)
def test_invalid_datagram_is_counted_and_dropped(host, datagram, reason):
    peer_messages.run_round(host.peers)
    peer_messages.receive_datagram(host.peers, datagram)
    counters = peer_messages.read_counters(host.peers)
    assert counters[f"dropped_{reason}"] == 1
    assert counters["received_bytes"] == len(datagram)


@pytest.mark.parametrize(
    ("kind", "ports"),
    [
        (messages.HintKind.ACCEPTED, {3}),
        (messages.HintKind.CANCEL, {3}),
        (messages.HintKind.ENDED, {2, 3}),
    ],
)
def test_hint_is_sent_to_the_owner_or_to_all_hosts(host, kind, ports):
    peer_messages.run_round(host.peers)
    host.pop_addresses(2)
    if kind is not messages.HintKind.ENDED:
        # Dropped, because no owner is recorded yet.
        peer_messages.send_hint(host.peers, kind, "north", "j-0")
    peer_messages.handle_message(host.peers, _make_gossip("c", epoch=4))
    peer_messages.send_hint(host.peers, kind, "north", "j-0")
    sent = host.pop_addresses(len(ports))
    assert sent == {("127.0.0.1", port) for port in ports}
    assert host.peers.sock.sent.empty()


def test_hint_for_another_cell_is_ignored(host):
    for cell in ("south", "north"):
        hint = messages.JobHint(
            "b", shares.make_key(cell), cell, messages.HintKind.ACCEPTED
        )
        peer_messages.handle_message(host.peers, hint)
    assert host.hints.get_nowait() == (messages.HintKind.ACCEPTED, "north")
    assert host.hints.empty()


def test_full_queue_drops_its_oldest_item():
    peer_queue = peer_messages.PeerQueue(limit=2)
    dropped = [
        peer_messages.put_item(peer_queue, item) for item in (b"1", b"2", b"3")
    ]
    assert dropped == [False, False, True]
    remaining = [peer_messages.get_item(peer_queue) for _ in range(2)]
    assert remaining == [b"2", b"3"]


@pytest.mark.parametrize("hosts", [9, 18, 30])
def test_no_host_is_marked_dead_without_faults(hosts):
    # Guards against messages with too few members: three of them per round must
    # relay enough heartbeats at the target fleet size.
    now_ms = 0
    clock = clocks.Clock(lambda: now_ms, lambda: now_ms, lambda _: None)
    fleet = {
        shares.make_key(name): Host(name, [], clock)
        for name in (f"e{index}" for index in range(hosts))
    }
    for key, host in fleet.items():
        host.peers.peers = dict.fromkeys(fleet.keys() - {key})
    for step in range(60 * hosts):
        now_ms = step * shares.ROUND_MS // hosts
        host = list(fleet.values())[step % hosts]
        gossip = membership.make_gossip(
            host.context.membership, host.context.get_local_state()
        )
        for target in peer_messages.choose_targets(host.peers):
            membership.merge_gossip(fleet[target].context.membership, gossip)
        if step > 10 * hosts:
            present = membership.list_present(host.context.membership)
            assert len(present) == hosts - 1


def test_hint_arrives_over_loopback_after_invalid_datagrams():
    # Invalid datagrams must not end the receive thread.
    hint_received, running = threading.Event(), []
    hosts = [Host("a", []), Host("b", [])]
    for host in hosts:
        context = host.context._replace(
            clock=clocks.make_system_clock(),
            on_hint=lambda kind, job_id: hint_received.set(),
        )
        running.append(peer_messages.start_peers(context, "127.0.0.1", 0))
    ports = [peers.sock.getsockname()[1] for peers in running]
    hosts[0].entries |= _make_entry("b", ports[1])
    hosts[1].entries |= _make_entry("a", ports[0])
    for _ in range(400):
        running[0].sock.sendto(b"junk", ("127.0.0.1", ports[1]))
        peer_messages.send_hint(
            running[0], messages.HintKind.ENDED, "north", "j-0"
        )
        if hint_received.wait(0.05):
            break
    for peers in running:
        peer_messages.stop_peers(peers)
    assert hint_received.is_set()
    assert running[1].counters["dropped_unsigned"]


def test_owner_does_not_start_below_an_acknowledged_epoch():
    # The process commits a takeover and is paused. Before it starts the owner,
    # another host acquires the cell, and the gossip of this host reports it.
    role = daemon.CellRole()
    daemon._step_down(role, 5)

    class Tenure:
        cell, epoch = "north", 4

    daemon._start_owner(role, None, None, Tenure)
    assert role.owner is None
