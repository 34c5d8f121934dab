import random

import hypothesis
from hypothesis import strategies as st
import pytest

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import shares
from cyclamenshelf_daemon import membership
from cyclamenshelf_daemon import messages

_LOCAL = membership.Local(False, 1, {}, {})


class Net:
    """Hosts on one fake clock; `versions` and `epochs` record the hooks."""

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
        return membership.take_gossip(self.hosts[receiver], gossip)

    def get_status(self, observer, host_id):
        statuses = membership.list_members(self.hosts[observer])
        return statuses.get(shares.make_key(host_id))


@pytest.mark.parametrize(
    ("silent_ms", "expected"),
    [(2_999, "live"), (3_000, "suspect"), (7_999, "suspect"), (8_000, "dead")],
)
def test_silent_host_is_suspect_then_dead(silent_ms, expected):
    net = Net("a", "b")
    net.send("b", "a")
    net.now_ms += silent_ms
    assert net.get_status("a", "b") == expected


def test_listed_host_that_was_never_heard_dies():
    net = Net("a")
    membership.seed_hosts(net.hosts["a"], ["a", "b"])
    assert net.get_status("a", "b") == "live"
    net.now_ms += membership.DEAD_MS
    assert net.get_status("a", "b") == "dead"
    assert net.get_status("a", "a") is None


def test_one_way_cut_is_bridged_by_another_host():
    net = Net("a", "b", "c")
    for _ in range(10):
        net.send("b", "c")
        net.send("c", "a")
        net.now_ms += 1_000
    assert net.get_status("a", "b") == "live"


def test_dead_host_is_not_passed_on():
    # Otherwise hosts would keep telling new ones of it for ever.
    net = Net("a", "b", "c")
    net.send("b", "a")
    net.now_ms += membership.SUSPECT_MS
    net.send("a", "c")
    assert net.get_status("c", "b") is None


def test_old_incarnation_that_arrives_late_never_comes_back():
    net = Net("a", "b")
    late = membership.make_gossip(net.hosts["b"], _LOCAL)._replace(counter=999)
    net.hosts["b"] = net.make_host("b", incarnation=2)
    net.send("b", "a")
    net.now_ms += membership.DEAD_MS
    assert not membership.take_gossip(net.hosts["a"], late)
    relayed = messages.MemberEntry(shares.make_key("b"), 1, 1_000, False)
    other = messages.Gossip("c", 1, 1, messages.State.LIVE, 1, (relayed,))
    membership.take_gossip(net.hosts["a"], other)
    assert net.get_status("a", "b") == "dead"


@hypothesis.given(
    st.lists(st.integers(0, 5), min_size=1, max_size=20),
)
def test_lost_repeated_and_reordered_messages_leave_the_newest(order):
    net = Net("a", "b")
    sent = [
        membership.make_gossip(
            net.hosts["b"], membership.Local(False, index, {}, {"shop": index})
        )
        for index in range(6)
    ]
    for index in order:
        membership.take_gossip(net.hosts["a"], sent[index])
    assert membership.sum_queue_depths(net.hosts["a"], "shop") == max(order)
    # The hook is called only for messages that bring something new.
    assert net.versions == sorted(set(net.versions))


def test_leaving_host_is_reported_directly_and_by_others():
    net = Net("a", "b", "c")
    net.send("b", "c", _LOCAL._replace(leaving=True))
    net.send("c", "a")
    assert net.get_status("a", "b") == net.get_status("c", "b") == "leaving"


def test_only_the_incarnation_that_reported_an_epoch_acknowledged_it():
    # D3: a task's fate must not be concluded from another process's word.
    net = Net("a", "b", "c")
    membership.note_own_epoch(net.hosts["a"], "north", 7)

    def check(holder, epoch=7):
        return membership.has_acknowledged(
            net.hosts["a"], holder, "north", epoch
        )

    net.send("a", "c")
    net.send("c", "b")
    holder = membership.make_holder("b", 1)
    assert not check(holder)
    net.send("b", "a")
    assert check(holder) and not check(holder, epoch=8)
    assert not check(membership.make_holder("b", 2))
    assert not check("b") and not check("b/no-number")
    net.hosts["b"] = net.make_host("b", incarnation=2)
    net.send("b", "a")
    assert not check(membership.make_holder("b", 2))
    assert check(holder)


def test_newer_epoch_is_reported_only_after_the_hook_has_returned():
    net = Net("a", "b")
    membership.note_own_epoch(net.hosts["a"], "north", 7)
    host = net.hosts["b"]
    host.hooks = host.hooks._replace(
        on_newer_epoch=lambda *_: net.epochs.append(
            membership.get_epoch(host, "north")
        )
    )
    net.send("a", "b")
    net.send("a", "b")
    assert net.epochs == [0]
    assert membership.get_epoch(host, "north") == 7
    assert membership.get_owner(host, "north") == "a"


def test_own_cell_is_recorded_beside_many_others():
    net = Net("a")
    entries = tuple(messages.EpochEntry(cell, 1, 1) for cell in range(4))
    gossip = messages.Gossip("b", 1, 1, messages.State.LIVE, 1, (), entries)
    membership.take_gossip(net.hosts["a"], gossip)
    membership.note_own_epoch(net.hosts["a"], "north", 3)
    assert membership.get_epoch(net.hosts["a"], "north") == 3
    sent = membership.make_gossip(net.hosts["a"], _LOCAL).epochs
    assert shares.make_key("north") in {entry.cell for entry in sent}


def test_mark_on_leaving_backend_spreads_and_ends():
    # Hosts that pass a mark to and fro must not keep it alive.
    net = Net("a", "b")
    membership.mark_leaving(net.hosts["a"], "backend-1")
    for _ in range(31):
        net.send("a", "b")
        net.send("b", "a")
        if net.now_ms == 0:
            assert membership.is_leaving(net.hosts["b"], "backend-1")
        net.now_ms += 1_000
    assert not membership.is_leaving(net.hosts["a"], "backend-1")
    assert not membership.is_leaving(net.hosts["b"], "backend-1")
    assert not membership.make_gossip(net.hosts["a"], _LOCAL).leaving
