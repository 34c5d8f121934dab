"""Composition root: creates and connects the components of a daemon."""

import collections
from collections.abc import Callable
import random
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import model
from cyclamenshelf_core import shares as rate_shares
from cyclamenshelf_daemon import acceptance
from cyclamenshelf_daemon import callerapi
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import cellowner
from cyclamenshelf_daemon import configuration
from cyclamenshelf_daemon import groupcommit
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import leaving
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import lookup
from cyclamenshelf_daemon import membership as memberships
from cyclamenshelf_daemon import messages
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import operatorapi
from cyclamenshelf_daemon import peers as peer_messages
from cyclamenshelf_daemon import routing
from cyclamenshelf_daemon import settings as settings_files
from cyclamenshelf_daemon import tableclient
from cyclamenshelf_daemon import waiters as job_waiters
from cyclamenshelf_daemon import webserver

# A backend server accepts about 60 connections, shared by up to 9 entry hosts.
_CONNECTIONS_PER_BACKEND = 6
_DRAIN_MS = 2_000


class CellRole:
    """Ownership of the cell by this process.

    Attributes:
        newest_epoch: Newest epoch of the cell that a peer has reported.
        owner: Owner of the cell, or None while this process has no tenure.
        stopping_owners: Owners of earlier tenures whose threads may still run.
        queue_depths: Queued jobs by account, counted each gossip round.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.newest_epoch = 0
        self.owner: cellowner.CellOwner | None = None
        self.stopping_owners: list[cellowner.CellOwner] = []
        self.queue_depths: dict[str, int] = {}


class Daemon(NamedTuple):
    """A running daemon."""

    caller_server: webserver.Server
    operator_server: webserver.Server
    peers: peer_messages.Peers
    lists: configuration.Configuration
    role: CellRole
    lease_thread: threading.Thread
    lease_stopping: threading.Event
    draining: threading.Event
    clock: clocks.Clock


def start_daemon(
    settings: settings_files.Settings,
    secrets: settings_files.Secrets,
    clock: clocks.Clock,
    request_drain: Callable[[], None],
) -> Daemon:
    """Start all components of a daemon.

    Args:
        settings: Validated settings.
        secrets: Secrets read from the files that the settings name.
        clock: Clock of the process.
        request_drain: Called when an operator requests a drain and exit.
    """
    pool = httpclient.make_pool()
    table = tableclient.TableClient(pool, settings.table_url, clock)
    objects = objectclient.ObjectClient(pool, settings.objects_url)
    committer = groupcommit.GroupCommitter(table)
    host_list = hostlist.HostList(pool, settings.hosts_url, clock)
    lists = configuration.Configuration(table, clock)
    role = CellRole()
    draining, lease_stopping = threading.Event(), threading.Event()
    shares = rate_shares.Shares(clock.now_ms())
    waiters = job_waiters.Waiters(settings.caller_threads // 3)
    router = routing.Router(
        httpclient.make_pool(_CONNECTIONS_PER_BACKEND),
        host_list,
        clock,
        routing.make_limits(settings.caller_threads),
        get_lists=lambda: lists.lists,
        admit=lambda account: _admit_request(
            shares, lists.lists, clock, account
        ),
    )
    groupcommit.start_committing(committer)
    hostlist.start_polling(host_list)
    configuration.start_polling(lists)

    membership = memberships.Membership(
        settings.host_id,
        memberships.make_incarnation(clock),
        [settings.cell],
        memberships.Hooks(
            on_newer_epoch=lambda cell, epoch: _step_down(role, epoch),
            on_version=lambda version: configuration.request_version(
                lists, version
            ),
            on_demand=lambda host, demand, now_ms: rate_shares.record_report(
                shares, host, demand, now_ms
            ),
        ),
        clock,
        random.Random(),
    )
    peers = peer_messages.start_peers(
        peer_messages.PeerContext(
            secrets.peer_key,
            membership,
            get_entries=lambda: host_list.hosts.entries,
            get_local_state=lambda: memberships.LocalState(
                draining.is_set(),
                lists.lists.version,
                rate_shares.close_round(shares, clock.now_ms()),
                _count_queued(role),
            ),
            on_hint=lambda kind, job_id: _handle_hint(
                role, waiters, kind, job_id
            ),
            on_present=lambda present: rate_shares.update_hosts(
                shares, present
            ),
            clock=clock,
            rng=random.Random(),
        ),
        settings.listen_host,
        settings.peer_port,
    )

    host_list.observers.append(
        lambda hosts: _exchange_leaving(router, membership, hosts)
    )

    owner_context = cellowner.OwnerContext(
        table,
        committer,
        objects,
        pool,
        host_list,
        clock,
        get_lists=lambda: lists.lists,
        has_left=lambda holder, epoch: (
            holder.partition("/")[0] not in host_list.hosts.entries
            or memberships.has_been_superseded(membership, holder)
            or memberships.has_acknowledged(
                membership, holder, settings.cell, epoch
            )
        ),
        on_ended=lambda job_id: _announce_end(
            waiters, peers, settings.cell, job_id
        ),
    )
    holder = memberships.format_holder(settings.host_id, membership.incarnation)
    lease = celllease.CellLease(
        table,
        settings.cell,
        holder,
        on_acquired=lambda tenure: _start_owner(
            role, membership, owner_context, tenure
        ),
        on_tenure_ended=lambda: _stop_owner(role),
        stopping=lease_stopping,
    )
    acceptance_context = acceptance.AcceptanceContext(
        settings.cell,
        table,
        committer,
        objects,
        host_list,
        clock,
        get_lists=lambda: lists.lists,
        get_queue_depth=lambda account: max(
            role.queue_depths.get(account, 0),
            memberships.sum_queue_depths(membership, account),
        ),
        on_job_changed=lambda kind, job_id: _announce_job(
            role, peers, settings.cell, kind, job_id
        ),
    )
    caller_context = callerapi.CallerContext(
        acceptance_context,
        lookup.LookupContext(settings.cell, table, objects, clock, waiters),
        router,
        get_lists=lambda: lists.lists,
    )
    operator_context = operatorapi.OperatorContext(
        settings.host_id,
        settings.cell,
        settings.operator_port,
        settings.operator_token_sha256,
        threading.BoundedSemaphore(settings.operator_threads - 1),
        lists,
        host_list,
        table,
        clock,
        draining,
        get_owner=lambda: role.owner,
        get_members=lambda: peer_messages.list_members(peers),
        get_peer_counters=lambda: peer_messages.read_counters(peers),
        cancel_job=lambda job: acceptance.cancel_job(acceptance_context, job),
        request_drain=request_drain,
    )
    running = Daemon(
        webserver.start_server(
            settings.listen_host,
            settings.caller_port,
            callerapi.make_handler(caller_context),
            threads=settings.caller_threads,
        ),
        webserver.start_server(
            settings.listen_host,
            settings.operator_port,
            operatorapi.make_handler(operator_context),
            threads=settings.operator_threads,
        ),
        peers,
        lists,
        role,
        celllease.start_lease_thread(lease),
        lease_stopping,
        draining,
        clock,
    )
    logs.log_event("daemon_started", port=running.caller_server.port)
    return running


def stop_daemon(running: Daemon) -> None:
    """Complete the open requests, release the cell and stop the daemon."""
    logs.log_event("drain_started")
    running.draining.set()
    if running.role.owner is None:
        # A host that is about to stop must not acquire the cell.
        running.lease_stopping.set()
    running.clock.sleep_ms(_DRAIN_MS)
    running.caller_server.stop()
    owner = running.role.owner
    if owner is not None:
        cellowner.drain_owner(owner)
    running.lease_stopping.set()
    running.lease_thread.join()
    running.operator_server.stop()
    peer_messages.stop_peers(running.peers)
    logs.log_event("drain_ended")


def _start_owner(
    role: CellRole,
    membership: memberships.Membership,
    context: cellowner.OwnerContext,
    tenure: celllease.Tenure,
) -> None:
    """Start the owner of the cell, unless a peer has reported a newer epoch.

    This process may have acknowledged that epoch and must then not act under a
    lower one. The next lease renewal ends the tenure.
    """
    with role.lock:
        if role.newest_epoch > tenure.epoch:
            return
        _stop_owner_locked(role)
        role.owner = cellowner.start_owner(context, tenure)
    memberships.record_own_epoch(membership, tenure.cell, tenure.epoch)


def _step_down(role: CellRole, epoch: int) -> bool:
    """Stop an owner of a lower epoch; return whether one is still stopping.

    The epoch must not be acknowledged while an owner is still stopping: for the
    next owner, the acknowledgement means that this process no longer renews
    anything under a lower epoch.
    """
    with role.lock:
        role.newest_epoch = max(role.newest_epoch, epoch)
        if role.owner is not None and role.owner.tenure.epoch < epoch:
            _stop_owner_locked(role)
        role.stopping_owners = [
            owner for owner in role.stopping_owners if not owner.ended.is_set()
        ]
        return bool(role.stopping_owners)


def _stop_owner(role: CellRole) -> None:
    with role.lock:
        _stop_owner_locked(role)


def _stop_owner_locked(role: CellRole) -> None:
    """Stop the owner. The caller must hold the lock."""
    if role.owner is not None:
        cellowner.stop_owner(role.owner)
        role.stopping_owners.append(role.owner)
        role.owner = None
    role.stopping_owners = [
        owner for owner in role.stopping_owners if not owner.ended.is_set()
    ]


def _announce_job(
    role: CellRole,
    peers: peer_messages.Peers,
    cell: str,
    kind: str,
    job_id: str,
) -> None:
    """Notify the cell owner, local or remote, of a change to a job."""
    if role.owner is not None:
        _notify_owner(role)
    else:
        peer_messages.send_hint(
            peers, messages.HintKind[kind.upper()], cell, job_id
        )


def _announce_end(
    waiters: job_waiters.Waiters,
    peers: peer_messages.Peers,
    cell: str,
    job_id: str,
) -> None:
    """Wake the callers that wait for a job on this and the other hosts."""
    job_waiters.notify(waiters, job_id)
    peer_messages.send_hint(peers, messages.HintKind.ENDED, cell, job_id)


def _handle_hint(
    role: CellRole,
    waiters: job_waiters.Waiters,
    kind: messages.HintKind,
    job_id: str,
) -> None:
    if kind is messages.HintKind.ENDED:
        job_waiters.notify(waiters, job_id)
    else:
        _notify_owner(role)


def _exchange_leaving(
    router: routing.Router,
    membership: memberships.Membership,
    hosts: hostlist.Hosts,
) -> None:
    """Exchange the reports of leaving backend servers with the other hosts."""
    for backend_name in routing.list_leaving(router):
        memberships.record_leaving(membership, backend_name)
    reported = [
        backend_name
        for backend_name in map(leaving.format_mark, hosts.backends.values())
        if memberships.is_leaving(membership, backend_name)
    ]
    routing.mark_leaving(router, reported)


def _admit_request(
    shares: rate_shares.Shares,
    lists: model.Lists,
    clock: clocks.Clock,
    account: str,
) -> bool:
    """Return whether this host's share of the account rate admits a request."""
    rate_per_s = model.get_plan(lists, account).request_rate_per_s
    return rate_shares.admit_request(
        shares, account, rate_per_s, clock.now_ms()
    )


def _count_queued(role: CellRole) -> dict[str, int]:
    """Return the queued jobs by account; none unless this host is the owner.

    The result is also stored in `role.queue_depths`.
    """
    owner = role.owner
    depths: collections.Counter[str] = collections.Counter()
    if owner is not None:
        depths.update(
            job.account
            for job in list(owner.jobs.values())
            if job.state is model.JobState.QUEUED
        )
    role.queue_depths = depths
    return depths


def _notify_owner(role: CellRole) -> None:
    owner = role.owner
    if owner is not None:
        cellowner.wake_poller(owner)
