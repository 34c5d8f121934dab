"""Offers of the ownership between hosts."""

import json
import random
import types

import pytest
from testing.daemon.tasks import conftest

from cyclamenshelf_core.failover import candidates
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import webserver
from cyclamenshelf_daemon.tasks import host as hosts
from cyclamenshelf_daemon.tasks import members as memberships
from cyclamenshelf_daemon.tasks.failover import handover


def make_request(body):
    return webserver.Request("POST", handover.PATH, {}, {}, body)


@pytest.fixture
def receivers():
    """Servers of two preferred hosts and one of low capacity, by name."""
    received = {}
    servers = []
    peers = {}
    for name, capacity in (
        ("strong1", conftest.PREFERRED_CAPACITY),
        ("strong2", conftest.PREFERRED_CAPACITY),
        ("weak", candidates.HostCapacity(1.0, 5.0)),
    ):
        received[name] = []

        def handle(request, requests=received[name]):
            requests.append(request)
            return webserver.make_json(200, {})

        server = webserver.start_server(
            "127.0.0.1", 0, handle, threads=1, stop_timeout_s=0
        )
        servers.append(server)
        address = f"127.0.0.1:{server.port}"
        peers[name] = memberships.Member(name, address, "dc", *capacity)
    members = memberships.Members(memberships.Member("me", "h:1", "dc"))
    members.peers = peers
    yield members, received
    for server in servers:
        server.stop()


def test_ownership_is_offered_to_hosts_fit_for_it_and_not_too_often(
    receivers, manual_clock
):
    members, received = receivers
    offer = handover.make_offer(
        members, httpclient.make_pool(1), manual_clock.clock, random.Random(1)
    )
    offer(4, 17)
    offer(4, 17)
    conftest.wait_until(
        lambda: received["strong1"] and received["strong2"], "offers"
    )
    bodies = [json.loads(request.body) for request in received["strong1"]]
    assert bodies == [{"epoch": 4, "lease_version": 17}]
    assert len(received["strong2"]) == 1
    assert not received["weak"]


def test_received_offer_wakes_the_lease_thread(manual_clock):
    inbox = handover.OfferInbox()
    body = b'{"epoch": 4, "lease_version": 17}'
    response = handover.handle_request(
        inbox, manual_clock.clock, make_request(body)
    )
    assert response.status == 200
    assert inbox.wake.is_set()
    offer = inbox.take(manual_clock.clock.now_ms())
    assert (offer.epoch, offer.lease_version) == (4, 17)


@pytest.mark.parametrize("body", [b"", b"[]", b'{"epoch": "4"}'])
def test_malformed_offer_is_rejected(manual_clock, body):
    inbox = handover.OfferInbox()
    response = handover.handle_request(
        inbox, manual_clock.clock, make_request(body)
    )
    assert response.status == 400
    assert not inbox.wake.is_set()


@pytest.mark.parametrize(
    ("method", "headers", "is_offer"),
    [
        ("POST", {}, True),
        ("POST", {"x-relayed": "1"}, False),
        ("GET", {}, False),
    ],
)
def test_only_a_request_of_a_host_itself_is_an_offer(
    manual_clock, method, headers, is_offer
):
    # A relayed call has the path that its caller has chosen.
    inbox = handover.OfferInbox()
    lists = types.SimpleNamespace(
        clock=manual_clock.clock,
        copy=types.SimpleNamespace(confirmed_ms=manual_clock.clock.now_ms()),
    )
    host = types.SimpleNamespace(
        offers=inbox,
        cached_lists=lists,
        relay=types.SimpleNamespace(cached_lists=lists),
    )
    body = b'{"epoch": 4, "lease_version": 17}'
    hosts.handle_peer_request(
        host,
        webserver.Request(method, handover.PATH, {}, headers, body),
        lambda: webserver.make_json(404, {}),
    )
    assert inbox.wake.is_set() is is_offer
