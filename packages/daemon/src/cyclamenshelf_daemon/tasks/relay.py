"""Relaying of calls to another host while the store is unreachable from here.

A host that cannot reach the store can neither confirm its lists nor store or
read a job. It still receives calls, as callers keep their connections and the
load balancer uses hosts that are not ready if too few are. Another host that
reaches the store admits and handles the call as its own.
"""

from collections.abc import Callable
import random
from typing import NamedTuple
import urllib.parse

import urllib3

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import webserver
from cyclamenshelf_daemon.tasks import cachedlists
from cyclamenshelf_daemon.tasks import members as memberships

# Lists older than this were not confirmed at the end of the last wait for
# changes.
_UNREACHABLE_AGE_MS = 1_600
_MAX_PEERS = 3
# Share of the timeout for handling a call locally if there are peers.
_LOCAL_TIMEOUT_SHARE = 0.6
_CONNECT_MS = 300
# Minimum time to call a peer, and the time reserved for sending the response.
_MIN_PEER_TIMEOUT_MS = 150
_RESPONSE_MARGIN_MS = 100
# Statuses with which a peer responds if it did nothing, and if the outcome is
# unknown.
_NOT_DONE_STATUS = 503
_OUTCOME_UNKNOWN_STATUS = 504
# Marks a relayed call: its path is its caller's.
RELAYED_HEADER = "X-Relayed"
# Headers that apply to a single connection and are not relayed.
_CONNECTION_HEADERS = frozenset(
    {"connection", "content-length", "keep-alive", "transfer-encoding"}
)
_RELAYED_HEADERS = ("Content-Type", "Retry-After")
# Errors after which a call is relayed.
_RELAYED_ERRORS = (
    errors.ConfigurationUnconfirmedError,
    errors.StoreDownError,
    errors.OutcomeUnknownError,
)


class Relay(NamedTuple):
    """What relaying calls needs."""

    members: memberships.Members
    cached_lists: cachedlists.CachedLists
    pool: urllib3.PoolManager
    clock: clocks.Clock
    generator: random.Random


def handle_call(
    relay: Relay,
    request: webserver.Request,
    timeout_ms: int,
    handle_locally: Callable[[int], webserver.Response],
) -> webserver.Response:
    """Handle a call locally, or through another host if the store is down.

    Args:
        relay: The other hosts.
        request: The call.
        timeout_ms: How long the caller waits for a response.
        handle_locally: Handles the call on this host within a timeout in ms.

    Raises:
        errors.RequestRefusedError: As `handle_locally`; neither this host nor
            a peer did anything.
        errors.OutcomeUnknownError: This host or a peer may have carried out
            the call.
    """
    deadline_ms = relay.clock.now_ms() + timeout_ms - _RESPONSE_MARGIN_MS
    failure: errors.CyclamenshelfError | None = None
    if not is_store_unreachable(relay):
        share = _LOCAL_TIMEOUT_SHARE if relay.members.peers else 1.0
        try:
            return handle_locally(int(timeout_ms * share))
        except _RELAYED_ERRORS as error:
            failure = error
    response, failure = _relay_to_peers(relay, request, deadline_ms, failure)
    if response is not None:
        return response
    if failure is not None:
        raise failure
    return handle_locally(timeout_ms)


def handle_relayed_call(
    relay: Relay, handle_locally: Callable[[], webserver.Response]
) -> webserver.Response:
    """Handle a call that another host has relayed.

    Raises:
        errors.ConfigurationUnconfirmedError: The store is unreachable from
            here too; an attempt would only add to its load.
    """
    if is_store_unreachable(relay):
        raise errors.ConfigurationUnconfirmedError(
            "the store is not reachable from this host"
        )
    return handle_locally()


def _relay_to_peers(
    relay: Relay,
    request: webserver.Request,
    deadline_ms: int,
    failure: errors.CyclamenshelfError | None,
) -> tuple[webserver.Response | None, errors.CyclamenshelfError | None]:
    """Return the first usable response of a peer, and the error to report.

    Args:
        relay: The other hosts.
        request: The call.
        deadline_ms: Monotonic time by which a response has to arrive.
        failure: Why this host could not handle the call; None if it did not
            try.
    """
    peers = memberships.choose_peers(
        relay.members, relay.clock.now_ms(), relay.generator
    )
    for peer in peers[:_MAX_PEERS]:
        remaining_ms = deadline_ms - relay.clock.now_ms()
        if remaining_ms < _MIN_PEER_TIMEOUT_MS:
            break
        try:
            response = _send_to_peer(relay, peer, request, remaining_ms)
        except errors.OutcomeUnknownError as error:
            failure = error
            continue
        # A rejection is not returned if an earlier attempt may have been
        # carried out, as it tells the caller that nothing was done.
        outcome_unknown = isinstance(failure, errors.OutcomeUnknownError)
        if response and (response.status < 400 or not outcome_unknown):
            return response, failure
    return None, failure


def is_store_unreachable(relay: Relay) -> bool:
    """Return whether the store seems to be unreachable from this host."""
    age_ms = cachedlists.get_age_ms(relay.cached_lists)
    return age_ms is None or age_ms > _UNREACHABLE_AGE_MS


def _send_to_peer(
    relay: Relay,
    peer: memberships.Member,
    request: webserver.Request,
    timeout_ms: int,
) -> webserver.Response | None:
    """Relay a call; return the response, or None if the peer did nothing.

    A call may be relayed more than once: submissions and cancellations are
    idempotent.

    Raises:
        errors.OutcomeUnknownError: The peer may have carried out the call.
    """
    query = urllib.parse.urlencode(request.query)
    path = urllib.parse.quote(request.path) + (f"?{query}" if query else "")
    headers = {
        name: value
        for name, value in request.headers.items()
        if name not in _CONNECTION_HEADERS
    } | {RELAYED_HEADER: "1"}
    try:
        result = httpclient.call(
            relay.pool,
            request.method,
            f"http://{peer.address}{path}",
            body=request.body or None,
            headers=headers,
            timeout_ms=timeout_ms,
            connect_ms=_CONNECT_MS,
        )
    except httpclient.HttpFailureError as failure:
        memberships.record_unresponsive(
            relay.members, peer, relay.clock.now_ms()
        )
        _log_relayed(relay, peer, request, str(failure))
        if failure.sent:
            raise errors.OutcomeUnknownError("peer", str(failure)) from failure
        return None
    _log_relayed(relay, peer, request, str(result.status))
    if result.status == _OUTCOME_UNKNOWN_STATUS:
        raise errors.OutcomeUnknownError(
            "peer", "the peer does not know the outcome"
        )
    if result.status == _NOT_DONE_STATUS:
        return None
    relayed_headers = tuple(
        (name, result.headers[name])
        for name in _RELAYED_HEADERS
        if name in result.headers
    )
    return webserver.Response(result.status, result.body, relayed_headers)


def _log_relayed(
    relay: Relay,
    peer: memberships.Member,
    request: webserver.Request,
    outcome: str,
) -> None:
    logs.log_event(
        "call_relayed",
        method=request.method,
        path=request.path,
        peer=peer.name,
        outcome=outcome,
        lists_age_ms=cachedlists.get_age_ms(relay.cached_lists),
    )
