"""Offers of the ownership by an owner that the store does not answer.

Without an offer, other hosts wait until the lease has expired. The offer is
only a hint: a host that receives it reads the lease and acquires it under the
usual conditions, and the epoch fences the former owner.
"""

from collections.abc import Callable
import random
import threading
from typing import NamedTuple
from typing import TypedDict

import urllib3

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core.failover import candidates
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon import webserver
from cyclamenshelf_daemon.tasks import members as memberships

PATH = "/ownership-offer"
# An older offer says nothing of the owner's state now.
_MAX_OFFER_AGE_MS = 1_000
# Hosts that get an offer, and the time to the next one to other hosts.
_OFFERED_HOSTS = 3
_OFFER_INTERVAL_MS = 300
_CALL_TIMEOUT_MS = 300


class Offer(NamedTuple):
    """The ownership that an owner offers to other hosts.

    Attributes:
        epoch: Epoch of the owner.
        lease_version: Version of the lease row that the owner wrote last. A
            newer one shows that the store has carried out a later renewal.
        received_ms: Monotonic time at which the offer arrived.
    """

    epoch: int
    lease_version: int
    received_ms: int


class _OfferBody(TypedDict):
    epoch: int
    lease_version: int


class OfferInbox:
    """The latest offer to this host.

    Attributes:
        wake: Set when an offer arrives or the host stops, to end a wait.
    """

    def __init__(self) -> None:
        self.wake = threading.Event()
        self._offer: Offer | None = None

    def put(self, offer: Offer) -> None:
        """Keep an offer and end the wait for the lease."""
        self._offer = offer
        self.wake.set()

    def take(self, now_ms: int) -> Offer | None:
        """Remove and return the latest offer unless it is too old."""
        offer, self._offer = self._offer, None
        if offer is None or now_ms - offer.received_ms > _MAX_OFFER_AGE_MS:
            return None
        return offer


def handle_request(
    inbox: OfferInbox, clock: clocks.Clock, request: webserver.Request
) -> webserver.Response:
    """Keep the offer that another host has sent."""
    try:
        body = jsontexts.decode(request.body, _OfferBody)
    except errors.InvalidTextError:
        return webserver.make_json(400, {"reason": "no ownership offer"})
    offer = Offer(body["epoch"], body["lease_version"], clock.now_ms())
    logs.log_event(
        "ownership_offer_received",
        epoch=offer.epoch,
        lease_version=offer.lease_version,
    )
    inbox.put(offer)
    return webserver.make_json(200, {})


def make_offer(
    members: memberships.Members,
    pool: urllib3.PoolManager,
    clock: clocks.Clock,
    generator: random.Random,
) -> Callable[[int, int], None]:
    """Return a function that offers the ownership to other hosts.

    It takes the epoch and the last known version of the lease row, does not
    wait for responses, and skips offers that follow another one closely.
    """
    offered_ms: int | None = None

    def offer(epoch: int, lease_version: int) -> None:
        nonlocal offered_ms
        now_ms = clock.now_ms()
        if offered_ms is not None and now_ms - offered_ms < _OFFER_INTERVAL_MS:
            return
        offered_ms = now_ms
        peers = _choose_peers(members, now_ms, generator)
        logs.log_event(
            "ownership_offered",
            "WARNING",
            epoch=epoch,
            lease_version=lease_version,
            hosts=",".join(peer.name for peer in peers),
        )
        body: _OfferBody = {"epoch": epoch, "lease_version": lease_version}
        for peer in peers:
            threading.Thread(
                target=supervision.run_logged,
                args=("ownership_offer_failed", _send, pool, peer, body),
                name="ownership-offer",
                daemon=True,
            ).start()

    return offer


def _choose_peers(
    members: memberships.Members, now_ms: int, generator: random.Random
) -> list[memberships.Member]:
    peers = {
        peer.name: peer
        for peer in memberships.choose_peers(members, now_ms, generator)
    }
    names = candidates.choose_successors(
        {name: memberships.get_capacity(peer) for name, peer in peers.items()},
        _OFFERED_HOSTS,
        generator,
    )
    return [peers[name] for name in names]


def _send(
    pool: urllib3.PoolManager, peer: memberships.Member, body: _OfferBody
) -> None:
    httpclient.call_json(
        pool,
        "POST",
        f"http://{peer.address}{PATH}",
        body,
        timeout_ms=_CALL_TIMEOUT_MS,
    )
