"""An entry host of the task scheduler: starts and connects its components."""

from collections.abc import Callable
import random
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import planstate
from cyclamenshelf_core import progresspages
from cyclamenshelf_core.failover import candidates
from cyclamenshelf_core.pacing import control
from cyclamenshelf_core.stopping import losses
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon import webserver
from cyclamenshelf_daemon.tasks import adaptivetimeout
from cyclamenshelf_daemon.tasks import cachedlists
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import members as memberships
from cyclamenshelf_daemon.tasks import owner as owners
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues
from cyclamenshelf_daemon.tasks import relay as relays
from cyclamenshelf_daemon.tasks import submission
from cyclamenshelf_daemon.tasks import unresolvedjobs
from cyclamenshelf_daemon.tasks.admission import knownbacklog
from cyclamenshelf_daemon.tasks.admission import overloadcheck
from cyclamenshelf_daemon.tasks.evacuation import requests
from cyclamenshelf_daemon.tasks.failover import handover
from cyclamenshelf_daemon.tasks.failover import leaserows

# Cached lists that were not confirmed for this long may have been replaced.
MAX_LISTS_AGE_MS = 2_500
# A host that has not reached the store for this long reports that it is not
# ready for callers.
_READY_AGE_MS = 2_200
_LISTS_WAIT_MS = 1_000
_PEER_CONNECTIONS = 4


class HostContext(NamedTuple):
    """Settings and services that the composition root provides.

    Attributes:
        holder: Name of this host; only one process at a time uses it.
        data_centre: Data centre in which this host runs.
        peer_address: Address at which this host accepts calls that other
            hosts relay.
        capacity: What this host may use.
        cross_part_transactions: See `leaserows.make_lease_key`.
        lists_key: Key of the row of the operators' lists.
        decode_lists: Returns the lists of that row, or None if it is invalid.
        workers_table: See `ownerstate.OwnerContext`.
        decode_worker: See `ownerstate.OwnerContext`.
        decode_evacuation: See `evacuation.requests.Requests`; the rows are in
            the table of the lists.
        lease_ms: Duration of the leases of workers.
        max_lease_ms: See `ownerstate.OwnerContext`.
        keep_ended_ms: How long the rows of ended jobs are kept.
        registry: Keeps the host's metrics.
        advise: See `ownerstate.OwnerContext`.
        max_row_bytes: Size of the largest row that the store accepts.
        evacuation_ms: Time after the request to empty a data centre from which
            no task may be started there; None if no limit is set.
        stop_terms: See `ownerstate.OwnerContext`.
        pacing_terms: See `ownerstate.OwnerContext`.
        remote_penalty: See `ownerstate.OwnerContext`.
    """

    store: ports.Store
    workers: ports.WorkerClient
    clock: clocks.Clock
    holder: str
    data_centre: str
    peer_address: str
    capacity: candidates.HostCapacity
    cross_part_transactions: bool
    lists_key: ports.RowKey
    decode_lists: Callable[[ports.Row], queues.Lists | None]
    workers_table: str
    decode_worker: Callable[[ports.Row], ports.WorkerInfo | None]
    decode_evacuation: Callable[[ports.Row], str | None]
    lease_ms: int
    max_lease_ms: int
    keep_ended_ms: int
    registry: metrics.Metrics
    advise: ports.Advise | None = None
    max_row_bytes: int = progresspages.DEFAULT_MAX_ROW_BYTES
    evacuation_ms: int | None = None
    stop_terms: losses.StopTerms = losses.DEFAULT_TERMS
    pacing_terms: control.PacingTerms | None = None
    remote_penalty: float = planstate.NO_OUTLOOK.remote_penalty


class Host(NamedTuple):
    """A running host.

    Attributes:
        unresolved_jobs: Jobs whose insert had no answer.
        offers: Receives the offers of owners that do not reach the store.
        leaving: Set when the host is about to shut down.
        stopping: Set to stop its threads and release its ownership.
    """

    cached_lists: cachedlists.CachedLists
    state_cache: jobstates.JobStateCache
    submission_context: submission.SubmissionContext
    unresolved_jobs: unresolvedjobs.UnresolvedJobs
    owner_thread: threading.Thread
    relay: relays.Relay
    offers: handover.OfferInbox
    leaving: threading.Event
    stopping: threading.Event


def start_host(context: HostContext) -> Host:
    """Start the threads of a host; return the host."""
    store, clock = context.store, context.clock
    stopping = threading.Event()
    cached_lists = cachedlists.CachedLists(
        context.lists_key, context.decode_lists, store, clock
    )
    following.start_following(
        cached_lists.copy, store, clock, stopping, _LISTS_WAIT_MS
    )
    owner_context = ownerstate.OwnerContext(
        store,
        context.workers,
        clock,
        context.workers_table,
        context.decode_worker,
        lambda: cached_lists.lists,
        requests.Requests(
            cached_lists.copy,
            context.decode_evacuation,
            clock,
            context.evacuation_ms,
        ),
        context.lease_ms,
        context.max_lease_ms,
        context.keep_ended_ms,
        context.registry,
        context.advise,
        context.max_row_bytes,
        context.stop_terms,
        context.pacing_terms,
        context.remote_penalty,
    )
    members = memberships.Members(
        memberships.Member(
            context.holder,
            context.peer_address,
            context.data_centre,
            *context.capacity,
        )
    )
    generator = random.Random()
    peer_pool = httpclient.make_pool(_PEER_CONNECTIONS)
    offers = handover.OfferInbox()
    owner_thread = ownership.start_lease_thread(
        ownership.OwnershipContext(
            store,
            clock,
            context.holder,
            context.capacity,
            leaserows.make_lease_key(context.cross_part_transactions),
            lambda tenure: owners.start_owner(owner_context, tenure),
            stopping,
            offers,
            handover.make_offer(members, peer_pool, clock, generator),
        )
    )
    memberships.start_refreshing(members, store, clock, stopping)
    logs.log_event("host_started", holder=context.holder)
    return Host(
        cached_lists,
        jobstates.JobStateCache(),
        submission.SubmissionContext(
            store,
            cached_lists,
            clock,
            adaptivetimeout.AdaptiveTimeout(),
            context.max_row_bytes,
            overloadcheck.OverloadContext(
                knownbacklog.KnownBacklog(),
                clock,
                lambda: 1 + len(members.peers),
                context.registry,
                random.Random(),
            ),
        ),
        unresolvedjobs.UnresolvedJobs(),
        owner_thread,
        relays.Relay(members, cached_lists, peer_pool, clock, generator),
        offers,
        threading.Event(),
        stopping,
    )


def is_ready(host: Host) -> bool:
    """Return whether the host is ready for new callers."""
    age_ms = cachedlists.get_age_ms(host.cached_lists)
    return (
        not host.leaving.is_set()
        and host.cached_lists.lists.row_version > 0
        and age_ms is not None
        and age_ms < _READY_AGE_MS
    )


def handle_peer_request(
    host: Host,
    request: webserver.Request,
    handle_call: Callable[[], webserver.Response],
) -> webserver.Response:
    """Handle a request of another host: an offer or a call that it relays."""
    # A relayed call has the path that its caller has chosen.
    relayed = relays.RELAYED_HEADER.lower() in request.headers
    is_offer = request.method == "POST" and request.path == handover.PATH
    if is_offer and not relayed:
        return handover.handle_request(
            host.offers, host.cached_lists.clock, request
        )
    return relays.handle_relayed_call(host.relay, handle_call)


def hand_over(host: Host, timeout_ms: int) -> None:
    """Release the ownership, so that another host can take over at once."""
    host.leaving.set()
    host.stopping.set()
    host.offers.wake.set()
    host.owner_thread.join(timeout_ms / 1000)
    logs.log_event("host_handed_over", ended=not host.owner_thread.is_alive())
