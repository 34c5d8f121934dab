"""An entry host of the task scheduler: wires its parts together."""

from collections.abc import Callable
import random
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import calltimes
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import knownlists
from cyclamenshelf_daemon.tasks import members as memberships
from cyclamenshelf_daemon.tasks import owner as owners
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues
from cyclamenshelf_daemon.tasks import relay as relays
from cyclamenshelf_daemon.tasks import submission

# Lists that were not confirmed for this long may be out of force.
MAX_LISTS_AGE_MS = 2_500
# A host that has not reached the store for this long asks for no callers.
_READY_AGE_MS = 2_200
_LISTS_WAIT_MS = 1_000
_PEER_CONNECTIONS = 4


class HostContext(NamedTuple):
    """What the outside provides.

    Attributes:
        holder: Name of this host; one process at a time bears it.
        data_centre: Where this host is.
        peer_address: Where this host takes calls of other hosts.
        processors: Processors that this host may use.
        parts_together: See `ownership.make_lease_key`.
        lists_key: Row of the operators' lists.
        decode_lists: Returns the lists of that row, or None.
        workers_table: See `ownerstate.OwnerContext`.
        decode_worker: See `ownerstate.OwnerContext`.
        lease_ms: Length of the leases of workers.
        keep_ended_ms: How long the rows of ended jobs are kept.
        advise: See `ownerstate.OwnerContext`.
    """

    store: ports.Store
    workers: ports.Workers
    clock: clocks.Clock
    holder: str
    data_centre: str
    peer_address: str
    processors: float
    parts_together: bool
    lists_key: ports.RowKey
    decode_lists: Callable[[ports.Row], queues.Lists | None]
    workers_table: str
    decode_worker: Callable[[ports.Row], ports.WorkerInfo | None]
    lease_ms: int
    keep_ended_ms: int
    advise: ports.Advise | None = None


class Host(NamedTuple):
    """A running host.

    Attributes:
        leaving: Set when the host is about to stop.
        stopping: Set to end its threads and hand over what it owns.
    """

    known: knownlists.KnownLists
    states: jobstates.JobStates
    submissions: submission.Submissions
    owner_thread: threading.Thread
    relay: relays.Relay
    leaving: threading.Event
    stopping: threading.Event


def start_host(context: HostContext) -> Host:
    """Start the threads of a host."""
    store, clock = context.store, context.clock
    stopping = threading.Event()
    known = knownlists.KnownLists(
        context.lists_key, context.decode_lists, store, clock
    )
    following.start_following(
        known.copy, store, clock, stopping, _LISTS_WAIT_MS
    )
    owner_context = ownerstate.OwnerContext(
        store,
        context.workers,
        clock,
        context.workers_table,
        context.decode_worker,
        lambda: known.lists,
        context.lease_ms,
        context.keep_ended_ms,
        context.advise,
    )
    owner_thread = ownership.start_holding(
        ownership.Ownership(
            store,
            clock,
            context.holder,
            context.processors,
            ownership.make_lease_key(context.parts_together),
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
        known,
        jobstates.JobStates(),
        submission.Submissions(store, known, clock, calltimes.CallTimes()),
        owner_thread,
        relays.Relay(
            members,
            known,
            httpclient.make_pool(_PEER_CONNECTIONS),
            clock,
            random.Random(),
        ),
        threading.Event(),
        stopping,
    )


def is_ready(host: Host) -> bool:
    """Return whether the host wants new callers."""
    age_ms = knownlists.get_age_ms(host.known)
    return (
        not host.leaving.is_set()
        and host.known.lists.row_version > 0
        and age_ms is not None
        and age_ms < _READY_AGE_MS
    )


def hand_over(host: Host, timeout_ms: int) -> None:
    """End what the host owns, so that another host takes over at once."""
    host.leaving.set()
    host.stopping.set()
    host.owner_thread.join(timeout_ms / 1000)
    logs.log_event("host_handed_over", ended=not host.owner_thread.is_alive())
