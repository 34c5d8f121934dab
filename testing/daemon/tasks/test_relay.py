"""Calls to a host that the store is away from, through other hosts."""

import random

import pytest
from testing.daemon.tasks import fakestore

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import webserver
from cyclamenshelf_daemon.tasks import knownlists
from cyclamenshelf_daemon.tasks import members
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import relay

LIMIT_MS = 3_000
HERE = webserver.Response(200, b"here")
ME = members.Member("me", "127.0.0.1:1", "dc1")


def make_call(method="POST"):
    headers = {"host": "h", "authorization": "Bearer k", "connection": "close"}
    return webserver.Request(method, "/q/1", {"x": "1"}, headers, b"{}")


class Peer:
    """Another host, with the status of its next answers."""

    def __init__(self, name, data_centre="dc1", status=200):
        self.name = name
        self.status = status
        self.requests = []
        self.drop = False
        self.server = webserver.start_server(
            "127.0.0.1", 0, self.handle, threads=2, stop_timeout_s=0
        )
        address = f"127.0.0.1:{self.server.port}"
        self.member = members.Member(name, address, data_centre)

    def handle(self, request):
        self.requests.append(request)
        if self.drop:
            raise webserver.ConnectionDroppedError
        return webserver.Response(self.status, self.name.encode())


@pytest.fixture
def made(manual_clock):
    """A host whose lists were just confirmed."""
    store = fakestore.FakeStore().store
    known = knownlists.KnownLists(
        ports.RowKey("op", "config"),
        lambda row: None,
        store,
        manual_clock.clock,
    )
    known.copy.confirmed_ms = manual_clock.clock.now_ms()
    pool = httpclient.make_pool(1)
    yield relay.Relay(
        members.Members(ME), known, pool, manual_clock.clock, random.Random(1)
    )
    pool.clear()


@pytest.fixture
def add_peer(made):
    peers = []

    def add(name, **values):
        peer = Peer(name, **values)
        peers.append(peer)
        made.members.others[name] = peer.member
        return peer

    yield add
    for peer in peers:
        peer.server.stop()


def refuse(limit_ms):
    raise errors.StoreDownError("down")


def lose(limit_ms):
    raise errors.OutcomeUnknownError("table", "lost")


def answer(made, answer_here, method="POST"):
    return relay.answer_call(made, make_call(method), LIMIT_MS, answer_here)


def test_host_that_reaches_the_store_asks_nobody(made, add_peer):
    peer = add_peer("p")
    assert answer(made, lambda limit_ms: HERE) is HERE
    assert not peer.requests


@pytest.mark.parametrize("answer_here", [refuse, lose])
def test_call_that_fails_here_is_answered_by_a_peer(
    made, add_peer, answer_here
):
    peer = add_peer("p")
    assert answer(made, answer_here).body == b"p"
    (request,) = peer.requests
    assert (request.method, request.path) == ("POST", "/q/1")
    assert request.query == {"x": "1"}
    assert request.headers["authorization"] == "Bearer k"
    assert request.headers["host"] == "h"


def test_cut_off_host_asks_a_peer_first(made, add_peer, manual_clock):
    add_peer("p")
    manual_clock.move(2_000)
    assert answer(made, lambda limit_ms: HERE).body == b"p"


def test_cut_off_host_without_peers_answers_itself(made, manual_clock):
    manual_clock.move(2_000)
    assert answer(made, lambda limit_ms: HERE) is HERE


def test_peer_that_is_refused_too_is_passed_over(made, add_peer):
    add_peer("near", status=503)
    add_peer("far", data_centre="dc2")
    assert answer(made, refuse).body == b"far"


def test_refusal_is_said_only_if_nobody_may_have_stored_the_job(made, add_peer):
    # A refusal says that the job never runs.
    peer = add_peer("p", status=503)
    with pytest.raises(errors.StoreDownError):
        answer(made, refuse)
    with pytest.raises(errors.OutcomeUnknownError):
        answer(made, lose)
    peer.status = 401
    with pytest.raises(errors.OutcomeUnknownError):
        answer(made, lose)
    peer.status = 504
    with pytest.raises(errors.OutcomeUnknownError):
        answer(made, refuse)


def test_peer_that_drops_the_call_may_have_stored_the_job(made, add_peer):
    peer = add_peer("p")
    peer.drop = True
    with pytest.raises(errors.OutcomeUnknownError):
        answer(made, refuse)
    # It is not asked again for a while.
    with pytest.raises(errors.StoreDownError):
        answer(made, refuse)
    assert len(peer.requests) == 1


def test_peer_that_is_gone_is_avoided(made, add_peer):
    gone = add_peer("gone")
    gone.server.stop()
    add_peer("far", data_centre="dc2")
    assert answer(made, refuse).body == b"far"
    assert "gone" in made.members.avoided


def test_hosts_find_each_other_through_the_store():
    store = fakestore.FakeStore().store
    other = members.Member("other", "127.0.0.1:2", "dc2")
    mine, theirs = members.Members(ME), members.Members(other)
    for known in (mine, theirs, mine):
        members.refresh(known, store)
    assert mine.others == {"other": other}
    assert theirs.others == {"me": ME}
    key = ports.RowKey(members.TABLE, "odd")
    store.commit(ports.Transaction({}, {key: b"[]"}), 0)
    members.refresh(mine, store)
    assert mine.others == {"other": other}


def test_host_that_is_cut_off_too_refuses_a_peer_at_once(made, manual_clock):
    # With the store away from all, each call became four.
    assert relay.answer_peer(made, lambda: HERE) is HERE
    manual_clock.move(2_000)
    with pytest.raises(errors.ConfigurationUnconfirmedError):
        relay.answer_peer(made, lambda: HERE)
