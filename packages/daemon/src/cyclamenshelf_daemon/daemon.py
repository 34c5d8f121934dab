"""The composition root: wires the parts of a daemon together."""

import threading
from typing import NamedTuple
import uuid

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon import acceptance
from cyclamenshelf_daemon import callerapi
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import cellowner
from cyclamenshelf_daemon import configuration
from cyclamenshelf_daemon import groupcommit
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import lookup
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import operatorapi
from cyclamenshelf_daemon import routing
from cyclamenshelf_daemon import settings as settings_files
from cyclamenshelf_daemon import tableclient
from cyclamenshelf_daemon import webserver

_DRAIN_MS = 2_000


class CellRole:
    """The owner of the cell, while this process is that owner."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.owner: cellowner.CellOwner | None = None


class Daemon(NamedTuple):
    """A running daemon."""

    caller_server: webserver.Server
    operator_server: webserver.Server
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
    stopping: threading.Event | None = None,
) -> Daemon:
    """Start all parts of a daemon.

    Args:
        settings: Checked settings.
        secrets: Secrets that the settings name.
        clock: Clock of the process.
        stopping: Set when an operator asks the process to drain and exit.
    """
    stopping = stopping or threading.Event()
    pool = httpclient.make_pool()
    table = tableclient.TableClient(pool, settings.table_url, clock)
    objects = objectclient.ObjectClient(pool, settings.objects_url)
    committer = groupcommit.GroupCommitter(table)
    host_list = hostlist.HostList(pool, settings.hosts_url, clock)
    lists = configuration.Configuration(table, clock)
    role = CellRole()
    draining, lease_stopping = threading.Event(), threading.Event()
    groupcommit.start_committing(committer)
    hostlist.start_polling(host_list)
    configuration.start_polling(lists)

    owner_context = cellowner.OwnerContext(
        table,
        committer,
        objects,
        pool,
        host_list,
        clock,
        get_lists=lambda: lists.lists,
        has_left=lambda holder: (
            holder.partition("/")[0] not in host_list.hosts.entries
        ),
        on_ended=lambda job_id: None,
    )
    holder = f"{settings.host_id}/{uuid.uuid4().hex}"
    lease = celllease.CellLease(
        table,
        settings.cell,
        holder,
        on_acquired=lambda tenure: _replace_owner(
            role, cellowner.start_owner(owner_context, tenure)
        ),
        on_superseded=lambda: _replace_owner(role, None),
        stopping=lease_stopping,
    )
    accepting = acceptance.AcceptanceContext(
        settings.cell,
        table,
        committer,
        objects,
        host_list,
        clock,
        get_lists=lambda: lists.lists,
        on_changed=lambda kind, job_id: _notice_job(role),
    )
    caller_context = callerapi.CallerContext(
        accepting,
        lookup.LookupContext(settings.cell, table, objects, clock),
        routing.Router(pool, host_list, clock),
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
        get_members=lambda: None,
        cancel_job=lambda job: acceptance.cancel_job(accepting, job),
        request_drain=stopping.set,
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
        lists,
        role,
        celllease.start_holding(lease),
        lease_stopping,
        draining,
        clock,
    )
    logs.log_event("daemon_started", port=running.caller_server.port)
    return running


def stop_daemon(running: Daemon) -> None:
    """Drain: answer every open request, hand over the cell, then return."""
    logs.log_event("drain_started")
    running.draining.set()
    running.clock.sleep_ms(_DRAIN_MS)
    running.caller_server.stop()
    owner = running.role.owner
    if owner is not None:
        cellowner.wait_for_operations(owner)
    running.lease_stopping.set()
    running.lease_thread.join()
    running.operator_server.stop()
    logs.log_event("drain_ended")


def _replace_owner(role: CellRole, owner: cellowner.CellOwner | None) -> None:
    with role.lock:
        if role.owner is not None:
            cellowner.stop_owner(role.owner)
        role.owner = owner


def _notice_job(role: CellRole) -> None:
    owner = role.owner
    if owner is not None:
        cellowner.notice_job(owner)
