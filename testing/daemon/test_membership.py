import random

import hypothesis
from hypothesis import strategies as st
import pytest

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import shares
from cyclamenshelf_daemon import membership
from cyclamenshelf_daemon import messages

_LOCAL = membership.LocalState(False, 1, {}, {})


class FakeNetwork:
    """Hosts that share a fake clock.

    `versions` and `epochs` record the calls of the hooks.
    """

    def __init__(self, *host_ids):
        self.now_ms = 0
        self.clock = clocks.Clock(
            lambda: self.now_ms, lambda: self.now_ms, lambda _: None
        )
        self.versions, self.epochs = [], []
        self.hosts = {host_id: self.make_host(host_id) for host_id in host_ids}

    def make_host(self, host_id, incarnation=1):
        return membership.Membership(
            host_id,
            incarnation,
            ["north"],
            membership.Hooks(
                lambda cell, epoch: self.epochs.append((host_id, cell, epoch)),
                self.versions.append,
                lambda *_: None,
            ),
            self.clock,
            random.Random(0),
        )

    def send(self, sender, receiver, local=_LOCAL):
        gossip = membership.make_gossip(self.hosts[sender], local)
        return membership.merge_gossip(self.hosts[receiver], gossip)

    def get_status(self, observer, host_id):
        statuses = membership.list_members(self.hosts[observer])
        return statuses.get(shares.make_key(host_id))


@pytest.mark.parametrize(
    ("elapsed_ms", "expected"),
    [(2_999, "live"), (3_000, "suspect"), (7_999, "suspect"), (8_000, "dead")],
)
def test_host_without_heartbeats_is_suspect_then_dead(elapsed_ms, expected):
    network = FakeNetwork("a", "b")
    network.send("b", "a")
    network.now_ms += elapsed_ms
    assert network.get_status("a", "b") == expected


def test_listed_host_that_never_sent_a_heartbeat_becomes_dead():
    network = FakeNetwork("a")
    membership.update_listed_hosts(network.hosts["a"], ["a", "b"])
    assert network.get_status("a", "b") == "live"
    network.now_ms += membership.DEAD_MS
    assert network.get_status("a", "b") == "dead"
    assert network.get_status("a", "a") is None


def test_relayed_heartbeats_keep_a_host_live_across_a_one_way_partition():
    # Guards against marking a host dead when only its direct messages are lost.
    network = FakeNetwork("a", "b", "c")
    for _ in range(10):
        network.send("b", "c")
        network.send("c", "a")
        network.now_ms += 1_000
    assert network.get_status("a", "b") == "live"


def test_dead_host_is_not_relayed():
    # Otherwise hosts would report removed hosts to new ones indefinitely.
    network = FakeNetwork("a", "b", "c")
    network.send("b", "a")
    network.now_ms += membership.SUSPECT_MS
    network.send("a", "c")
    assert network.get_status("c", "b") is None


def test_delayed_message_of_an_old_incarnation_is_ignored():
    # Neither a direct nor a relayed heartbeat of an earlier process may make a
    # dead host live again, however high its counter is.
    network = FakeNetwork("a", "b")
    delayed = membership.make_gossip(network.hosts["b"], _LOCAL)._replace(
        counter=999
    )
    network.hosts["b"] = network.make_host("b", incarnation=2)
    network.send("b", "a")
    network.now_ms += membership.DEAD_MS
    assert not membership.merge_gossip(network.hosts["a"], delayed)
    relayed = messages.MemberEntry(shares.make_key("b"), 1, 1_000, False)
    other = messages.Gossip("c", 1, 1, messages.State.LIVE, 1, (relayed,))
    membership.merge_gossip(network.hosts["a"], other)
    assert network.get_status("a", "b") == "dead"


@hypothesis.given(
    st.lists(st.integers(0, 5), min_size=1, max_size=20),
)
def test_lost_repeated_and_reordered_messages_leave_the_newest(order):
    network = FakeNetwork("a", "b")
    sent = [
        membership.make_gossip(
            network.hosts["b"],
            membership.LocalState(False, index, {}, {"shop": index}),
        )
        for index in range(6)
    ]
    for index in order:
        membership.merge_gossip(network.hosts["a"], sent[index])
    assert membership.sum_queue_depths(network.hosts["a"], "shop") == max(order)
    # The hook is called only for messages that bring something new.
    assert network.versions == sorted(set(network.versions))


def test_leaving_host_is_reported_directly_and_by_others():
    network = FakeNetwork("a", "b", "c")
    network.send("b", "c", _LOCAL._replace(leaving=True))
    network.send("c", "a")
    assert (
        network.get_status("a", "b")
        == network.get_status("c", "b")
        == "leaving"
    )


def test_only_the_incarnation_that_reported_an_epoch_acknowledged_it():
    # D3: the outcome of a task must not be concluded from the report of another
    # process.
    network = FakeNetwork("a", "b", "c")
    membership.record_own_epoch(network.hosts["a"], "north", 7)

    def check(holder, epoch=7):
        return membership.has_acknowledged(
            network.hosts["a"], holder, "north", epoch
        )

    network.send("a", "c")
    network.send("c", "b")
    holder = membership.format_holder("b", 1)
    assert not check(holder)
    network.send("b", "a")
    assert check(holder) and not check(holder, epoch=8)
    assert not check(membership.format_holder("b", 2))
    assert not check("b") and not check("b/no-number")
    network.hosts["b"] = network.make_host("b", incarnation=2)
    network.send("b", "a")
    assert not check(membership.format_holder("b", 2))
    assert check(holder)


def test_newer_epoch_is_recorded_only_after_the_hook_has_returned():
    # An epoch that is recorded is also reported, which must not happen while
    # this process still acts under a lower one.
    network = FakeNetwork("a", "b")
    membership.record_own_epoch(network.hosts["a"], "north", 7)
    host = network.hosts["b"]
    host.hooks = host.hooks._replace(
        on_newer_epoch=lambda *_: network.epochs.append(
            membership.get_epoch(host, "north")
        )
    )
    network.send("a", "b")
    network.send("a", "b")
    assert network.epochs == [0]
    assert membership.get_epoch(host, "north") == 7
    assert membership.get_owner(host, "north") == "a"


def test_own_cell_is_recorded_when_the_epoch_table_is_full():
    # Epochs of other cells must not displace that of the own cell.
    network = FakeNetwork("a")
    entries = tuple(messages.EpochEntry(cell, 1, 1) for cell in range(4))
    gossip = messages.Gossip("b", 1, 1, messages.State.LIVE, 1, (), entries)
    membership.merge_gossip(network.hosts["a"], gossip)
    membership.record_own_epoch(network.hosts["a"], "north", 3)
    assert membership.get_epoch(network.hosts["a"], "north") == 3
    sent = membership.make_gossip(network.hosts["a"], _LOCAL).epochs
    assert shares.make_key("north") in {entry.cell for entry in sent}


def test_report_of_a_leaving_backend_spreads_and_expires():
    # Two hosts that relay a report to each other must not keep it alive.
    network = FakeNetwork("a", "b")
    membership.record_leaving(network.hosts["a"], "backend-1")
    for _ in range(31):
        network.send("a", "b")
        network.send("b", "a")
        if network.now_ms == 0:
            assert membership.is_leaving(network.hosts["b"], "backend-1")
        network.now_ms += 1_000
    assert not membership.is_leaving(network.hosts["a"], "backend-1")
    assert not membership.is_leaving(network.hosts["b"], "backend-1")
    assert not membership.make_gossip(network.hosts["a"], _LOCAL).leaving
