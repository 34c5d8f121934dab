"""An entry host of the task scheduler: starts and connects its components."""

from collections.abc import Callable
import random
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import planstate
from cyclamenshelf_core import progresspages
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import metrics
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
        processors: Number of processors that this host may use.
        cross_part_transactions: See `ownership.make_lease_key`.
        lists_key: Key of the row of the operators' lists.
        decode_lists: Returns the lists of that row, or None if it is invalid.
        workers_table: See `ownerstate.OwnerContext`.
        decode_worker: See `ownerstate.OwnerContext`.
        lease_ms: Duration of the leases of workers.
        max_lease_ms: See `ownerstate.OwnerContext`.
        keep_ended_ms: How long the rows of ended jobs are kept.
        registry: Keeps the host's metrics.
        advise: See `ownerstate.OwnerContext`.
        max_row_bytes: Size of the largest row that the store accepts.
        remote_penalty: See `ownerstate.OwnerContext`.
    """

    store: ports.Store
    workers: ports.WorkerClient
    clock: clocks.Clock
    holder: str
    data_centre: str
    peer_address: str
    processors: float
    cross_part_transactions: bool
    lists_key: ports.RowKey
    decode_lists: Callable[[ports.Row], queues.Lists | None]
    workers_table: str
    decode_worker: Callable[[ports.Row], ports.WorkerInfo | None]
    lease_ms: int
    max_lease_ms: int
    keep_ended_ms: int
    registry: metrics.Metrics
    advise: ports.Advise | None = None
    max_row_bytes: int = progresspages.DEFAULT_MAX_ROW_BYTES
    remote_penalty: float = planstate.NO_OUTLOOK.remote_penalty


class Host(NamedTuple):
    """A running host.

    Attributes:
        unresolved_jobs: Jobs whose insert had no answer.
        leaving: Set when the host is about to shut down.
        stopping: Set to stop its threads and release its ownership.
    """

    cached_lists: cachedlists.CachedLists
    state_cache: jobstates.JobStateCache
    submission_context: submission.SubmissionContext
    unresolved_jobs: unresolvedjobs.UnresolvedJobs
    owner_thread: threading.Thread
    relay: relays.Relay
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
        context.lease_ms,
        context.max_lease_ms,
        context.keep_ended_ms,
        context.registry,
        context.advise,
        context.max_row_bytes,
        context.remote_penalty,
    )
    owner_thread = ownership.start_lease_thread(
        ownership.OwnershipContext(
            store,
            clock,
            context.holder,
            context.processors,
            ownership.make_lease_key(context.cross_part_transactions),
            lambda tenure: owners.start_owner(owner_context, tenure),
            stopping=stopping,
        )
    )
    members = memberships.Members(
        memberships.Member(
            context.holder, context.peer_address, context.data_centre
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
        ),
        unresolvedjobs.UnresolvedJobs(),
        owner_thread,
        relays.Relay(
            members,
            cached_lists,
            httpclient.make_pool(_PEER_CONNECTIONS),
            clock,
            random.Random(),
        ),
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


def hand_over(host: Host, timeout_ms: int) -> None:
    """Release the ownership, so that another host can take over at once."""
    host.leaving.set()
    host.stopping.set()
    host.owner_thread.join(timeout_ms / 1000)
    logs.log_event("host_handed_over", ended=not host.owner_thread.is_alive())
