"""Relaying of calls from a host that cannot reach the store."""

import random

import pytest
from testing.daemon.tasks import fakestore

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import webserver
from cyclamenshelf_daemon.tasks import cachedlists
from cyclamenshelf_daemon.tasks import members
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import relay
from cyclamenshelf_daemon.tasks.failover import handover

TIMEOUT_MS = 3_000
LOCAL_RESPONSE = webserver.Response(200, b"here")
LOCAL = members.Member("me", "127.0.0.1:1", "dc1")


def make_request(method="POST"):
    headers = {"host": "h", "authorization": "Bearer k", "connection": "close"}
    return webserver.Request(method, "/q/1", {"x": "1"}, headers, b"{}")


class Peer:
    """Another host that records the requests it receives.

    Attributes:
        status: Status of its responses.
        drop: Whether it drops the connection instead of responding.
    """

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
def relay_context(manual_clock):
    """A host whose lists were just confirmed."""
    store = fakestore.FakeStore().store
    cached_lists = cachedlists.CachedLists(
        ports.RowKey("op", "config"),
        lambda row: None,
        store,
        manual_clock.clock,
    )
    cached_lists.copy.confirmed_ms = manual_clock.clock.now_ms()
    pool = httpclient.make_pool(1)
    yield relay.Relay(
        members.Members(LOCAL),
        cached_lists,
        pool,
        manual_clock.clock,
        random.Random(1),
    )
    pool.clear()


@pytest.fixture
def add_peer(relay_context):
    created = []

    def add(name, **values):
        peer = Peer(name, **values)
        created.append(peer)
        relay_context.members.peers[name] = peer.member
        return peer

    yield add
    for peer in created:
        peer.server.stop()


def fail_store_down(timeout_ms):
    raise errors.StoreDownError("down")


def fail_outcome_unknown(timeout_ms):
    raise errors.OutcomeUnknownError("table", "lost")


def send_call(relay_context, handle_locally, method="POST"):
    return relay.handle_call(
        relay_context, make_request(method), TIMEOUT_MS, handle_locally
    )


def test_host_that_reaches_the_store_handles_the_call_locally(
    relay_context, add_peer
):
    peer = add_peer("p")
    assert (
        send_call(relay_context, lambda timeout_ms: LOCAL_RESPONSE)
        is LOCAL_RESPONSE
    )
    assert not peer.requests


@pytest.mark.parametrize(
    "handle_locally", [fail_store_down, fail_outcome_unknown]
)
def test_call_that_fails_locally_is_handled_by_a_peer(
    relay_context, add_peer, handle_locally
):
    peer = add_peer("p")
    assert send_call(relay_context, handle_locally).body == b"p"
    (request,) = peer.requests
    assert (request.method, request.path) == ("POST", "/q/1")
    assert request.query == {"x": "1"}
    assert request.headers["authorization"] == "Bearer k"
    assert request.headers["host"] == "h"


def test_host_without_the_store_calls_a_peer_first(
    relay_context, add_peer, manual_clock
):
    add_peer("p")
    manual_clock.advance(2_000)
    assert (
        send_call(relay_context, lambda timeout_ms: LOCAL_RESPONSE).body == b"p"
    )


def test_relayed_call_is_marked_whatever_its_path(
    relay_context, add_peer, manual_clock
):
    # A caller could otherwise forge the offer of an owner, also by a path that
    # only becomes that of offers on its way.
    peer = add_peer("p")
    manual_clock.advance(2_000)
    request = make_request()._replace(path="/a/../ownership-offer")
    relay.handle_call(
        relay_context, request, TIMEOUT_MS, lambda timeout_ms: LOCAL_RESPONSE
    )
    (received,) = peer.requests
    assert received.path == handover.PATH
    assert received.headers[relay.RELAYED_HEADER.lower()] == "1"


def test_host_without_the_store_or_peers_handles_the_call_locally(
    relay_context, manual_clock
):
    manual_clock.advance(2_000)
    assert (
        send_call(relay_context, lambda timeout_ms: LOCAL_RESPONSE)
        is LOCAL_RESPONSE
    )


def test_next_peer_is_called_if_a_peer_rejects_the_call(
    relay_context, add_peer
):
    add_peer("near", status=503)
    add_peer("far", data_centre="dc2")
    assert send_call(relay_context, fail_store_down).body == b"far"


def test_call_is_rejected_only_if_no_host_may_have_stored_the_job(
    relay_context, add_peer
):
    # Guards against rejecting a job that runs after all: a rejection tells the
    # caller that the job never will.
    peer = add_peer("p", status=503)
    with pytest.raises(errors.StoreDownError):
        send_call(relay_context, fail_store_down)
    with pytest.raises(errors.OutcomeUnknownError):
        send_call(relay_context, fail_outcome_unknown)
    peer.status = 401
    with pytest.raises(errors.OutcomeUnknownError):
        send_call(relay_context, fail_outcome_unknown)
    peer.status = 504
    with pytest.raises(errors.OutcomeUnknownError):
        send_call(relay_context, fail_store_down)


def test_outcome_is_unknown_if_a_peer_drops_the_connection(
    relay_context, add_peer
):
    peer = add_peer("p")
    peer.drop = True
    with pytest.raises(errors.OutcomeUnknownError):
        send_call(relay_context, fail_store_down)
    # The peer is not called again for a while.
    with pytest.raises(errors.StoreDownError):
        send_call(relay_context, fail_store_down)
    assert len(peer.requests) == 1


def test_stopped_peer_is_excluded_for_a_while(relay_context, add_peer):
    stopped_peer = add_peer("gone")
    stopped_peer.server.stop()
    add_peer("far", data_centre="dc2")
    assert send_call(relay_context, fail_store_down).body == b"far"
    assert "gone" in relay_context.members.unresponsive_until_ms


def test_hosts_discover_each_other_through_the_store():
    store = fakestore.FakeStore().store
    other = members.Member("other", "127.0.0.1:2", "dc2")
    local_members, other_members = (
        members.Members(LOCAL),
        members.Members(other),
    )
    for host_members in (local_members, other_members, local_members):
        members.refresh(host_members, store)
    assert local_members.peers == {"other": other}
    assert other_members.peers == {"me": LOCAL}
    key = ports.RowKey(members.TABLE, "odd")
    store.commit(ports.Transaction({}, {key: b"[]"}), 0)
    members.refresh(local_members, store)
    assert local_members.peers == {"other": other}


def test_peer_without_the_store_rejects_a_relayed_call_at_once(
    relay_context, manual_clock
):
    # Guards against multiplying the load of an outage: with the store
    # unreachable from all hosts, each call became four.
    assert (
        relay.handle_relayed_call(relay_context, lambda: LOCAL_RESPONSE)
        is LOCAL_RESPONSE
    )
    manual_clock.advance(2_000)
    with pytest.raises(errors.ConfigurationUnconfirmedError):
        relay.handle_relayed_call(relay_context, lambda: LOCAL_RESPONSE)


def test_refusal_of_a_peer_under_overload_is_not_asked_of_the_next_one(
    relay_context, add_peer, manual_clock
):
    peers = [add_peer("p", status=429), add_peer("q", status=429)]
    manual_clock.advance(10_000)
    response = send_call(relay_context, fail_store_down)
    assert response.status == 429
    assert sum(len(peer.requests) for peer in peers) == 1
