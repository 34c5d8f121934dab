"""Answering calls through another host while the store is away from this one.

A host that cannot reach the store can neither confirm its lists nor store or
read a job. Callers keep coming, as their connections stay, and the balancer
uses hosts that are not ready where too few are. Another host that does reach
the store admits and answers the call as its own.
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
from cyclamenshelf_daemon.tasks import knownlists
from cyclamenshelf_daemon.tasks import members as memberships

# Lists of this age were not confirmed at the end of the last wait for changes.
_CUT_AGE_MS = 1_600
_MAX_PEERS = 3
# Part of the time for an answer here, if there are others to ask.
_SHARE_HERE = 0.6
_CONNECT_MS = 300
# Least time for a peer to answer, and to pass the answer on.
_LEAST_MS = 150
_ANSWER_MS = 100
# What a peer answers if nothing was done, and if that is not known.
_NOT_DONE = 503
_UNKNOWN = 504
# Headers of one connection, which are not passed on.
_OWN_HEADERS = frozenset(
    {"connection", "content-length", "keep-alive", "transfer-encoding"}
)
_ANSWER_HEADERS = ("Content-Type", "Retry-After")
# Why a call is passed on.
_FAILURES = (
    errors.ConfigurationUnconfirmedError,
    errors.StoreDownError,
    errors.OutcomeUnknownError,
)


class Relay(NamedTuple):
    """What passing on calls needs."""

    members: memberships.Members
    known: knownlists.KnownLists
    pool: urllib3.PoolManager
    clock: clocks.Clock
    generator: random.Random


def answer_call(
    relay: Relay,
    request: webserver.Request,
    limit_ms: int,
    answer_here: Callable[[int], webserver.Response],
) -> webserver.Response:
    """Answer a call here, or through another host if the store is away.

    Args:
        relay: The other hosts.
        request: The call.
        limit_ms: How long its caller waits.
        answer_here: Answers it on this host within a time limit in ms.

    Raises:
        errors.RequestRefusedError: As `answer_here`; nothing was done here
            or by another host.
        errors.OutcomeUnknownError: It may have been done here or there.
    """
    give_up_ms = relay.clock.now_ms() + limit_ms - _ANSWER_MS
    failure: errors.CyclamenshelfError | None = None
    if not is_cut(relay):
        share = _SHARE_HERE if relay.members.others else 1.0
        try:
            return answer_here(int(limit_ms * share))
        except _FAILURES as error:
            failure = error
    response, failure = _ask_peers(relay, request, give_up_ms, failure)
    if response is not None:
        return response
    if failure is not None:
        raise failure
    return answer_here(limit_ms)


def answer_peer(
    relay: Relay, answer_here: Callable[[], webserver.Response]
) -> webserver.Response:
    """Answer a call that another host has passed on.

    Raises:
        errors.ConfigurationUnconfirmedError: The store is away from here too;
            a try would only add to the calls that it gets.
    """
    if is_cut(relay):
        raise errors.ConfigurationUnconfirmedError("the store is away")
    return answer_here()


def _ask_peers(
    relay: Relay,
    request: webserver.Request,
    give_up_ms: int,
    failure: errors.CyclamenshelfError | None,
) -> tuple[webserver.Response | None, errors.CyclamenshelfError | None]:
    """Return the first answer of a peer, or what to tell the caller.

    Args:
        relay: The other hosts.
        request: The call.
        give_up_ms: Monotonic time by which an answer has to be there.
        failure: Why there is no answer from here.
    """
    peers = memberships.choose_peers(
        relay.members, relay.clock.now_ms(), relay.generator
    )
    for peer in peers[:_MAX_PEERS]:
        left_ms = give_up_ms - relay.clock.now_ms()
        if left_ms < _LEAST_MS:
            break
        try:
            response = _send(relay, peer, request, left_ms)
        except errors.OutcomeUnknownError as error:
            failure = error
            continue
        # A refusal is not passed on if an earlier try may have been done.
        unknown = isinstance(failure, errors.OutcomeUnknownError)
        if response and (response.status < 400 or not unknown):
            return response, failure
    return None, failure


def is_cut(relay: Relay) -> bool:
    """Return whether the store seems to be out of this host's reach."""
    age_ms = knownlists.get_age_ms(relay.known)
    return age_ms is None or age_ms > _CUT_AGE_MS


def _send(
    relay: Relay,
    peer: memberships.Member,
    request: webserver.Request,
    timeout_ms: int,
) -> webserver.Response | None:
    """Pass a call on; return the answer, or None if nothing was done.

    A call may be passed on again: a job or a cancellation is stored once.

    Raises:
        errors.OutcomeUnknownError: The peer may have done it.
    """
    query = urllib.parse.urlencode(request.query)
    path = urllib.parse.quote(request.path) + (f"?{query}" if query else "")
    headers = {
        name: value
        for name, value in request.headers.items()
        if name not in _OWN_HEADERS
    }
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
        memberships.note_silent(relay.members, peer, relay.clock.now_ms())
        _log(relay, peer, request, str(failure))
        if failure.sent:
            raise errors.OutcomeUnknownError("peer", str(failure)) from failure
        return None
    _log(relay, peer, request, str(result.status))
    if result.status == _UNKNOWN:
        raise errors.OutcomeUnknownError("peer", "not known there")
    if result.status == _NOT_DONE:
        return None
    kept = tuple(
        (name, result.headers[name])
        for name in _ANSWER_HEADERS
        if name in result.headers
    )
    return webserver.Response(result.status, result.body, kept)


def _log(
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
        lists_age_ms=knownlists.get_age_ms(relay.known),
    )
