"""Polling client of the platform's host list.

The service answers 304 while the list is unchanged, so that polling it each
second is cheap regardless of the number of hosts.
"""

from collections.abc import Callable
import threading
from typing import Annotated
from typing import Any
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

import msgspec
import urllib3

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core import model
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision

# A poll starts each second and takes at most one, so that a change is read at
# most 2 s after the list shows it. Leaving hosts must be noticed within 3 s.
_POLL_INTERVAL_MS = 1_000
_CALL_TIMEOUT_MS = 1_000

_Count = Annotated[int, msgspec.Meta(ge=0, le=jsontexts.MAX_NUMBER)]


class Backend(NamedTuple):
    """A backend server as the host list describes it.

    Attributes:
        incarnation: Changes when a server restarts under the same id; empty
            if the list has none.
    """

    id: str
    address: str
    service: str
    slots: int
    leaving: bool
    incarnation: str = ""


class EntryHost(NamedTuple):
    """An entry host as the host list describes it."""

    id: str
    address: str
    leaving: bool


class Hosts(NamedTuple):
    """Content of the host list; leaving workers are omitted."""

    workers: dict[str, model.Worker]
    backends: dict[str, Backend]
    entries: dict[str, EntryHost]


class _Entry(TypedDict):
    id: str
    address: str
    state: str


class _WorkerEntry(_Entry):
    data_centre: str
    rack: str
    accelerators: _Count


class _BackendEntry(_Entry):
    service: str
    slots: _Count
    incarnation: NotRequired[str | int]


class HostList:
    """The last host list that was read.

    It stays in force while the service is unavailable.

    Attributes:
        observers: Called with the hosts after each successful poll, changed
            or not, in the thread that polled.
    """

    def __init__(
        self, pool: urllib3.PoolManager, url: str, clock: clocks.Clock
    ) -> None:
        self.pool = pool
        self.url = url
        self.clock = clock
        self.hosts = Hosts({}, {}, {})
        self.read_at_ms: int | None = None
        self.etag = ""
        self.observers: list[Callable[[Hosts], None]] = []
        self.log_limiter = logs.EventLimiter()


def start_polling(host_list: HostList) -> None:
    """Read the list once, then poll it in a background thread."""
    refresh_hosts(host_list)
    threading.Thread(
        target=supervision.run_until_stopped,
        args=("host_list_failed", threading.Event(), _poll, host_list),
        name="host-list",
        daemon=True,
    ).start()


def refresh_hosts(host_list: HostList) -> None:
    """Read the list; keep the last one if the service is unavailable."""
    try:
        result = httpclient.call(
            host_list.pool,
            "GET",
            host_list.url + "/v1/hosts",
            headers={"If-None-Match": host_list.etag},
            timeout_ms=_CALL_TIMEOUT_MS,
        )
        if result.status == 200:
            entries = jsontexts.decode(result.body)["hosts"]
            hosts = _decode_hosts(host_list, entries)
    except (
        httpclient.HttpFailureError,
        ValueError,
        KeyError,
        TypeError,
    ) as error:
        logs.log_event("host_list_failed", "WARNING", detail=repr(error))
        return
    if result.status not in (200, 304):
        logs.log_event("host_list_failed", "WARNING", detail=result.status)
        return
    if result.status == 200:
        host_list.hosts = hosts
        host_list.etag = result.headers.get("ETag", "")
    host_list.read_at_ms = host_list.clock.now_ms()
    for observe in host_list.observers:
        observe(host_list.hosts)


def _poll(host_list: HostList) -> None:
    """Read the list, and wait for the rest of the interval."""
    started_ms = host_list.clock.now_ms()
    refresh_hosts(host_list)
    elapsed_ms = host_list.clock.now_ms() - started_ms
    host_list.clock.sleep_ms(max(0, _POLL_INTERVAL_MS - elapsed_ms))


def _decode_hosts(host_list: HostList, entries: list[Any]) -> Hosts:
    """Decode the entries one by one; one that is malformed changes nothing.

    Another program may have written it. A host that was listed before stays
    listed as it was.
    """
    hosts = Hosts({}, {}, {})
    for entry in entries:
        try:
            _add_host(hosts, entry)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            _keep_host(hosts, host_list.hosts, entry)
            logs.log_limited(
                host_list.log_limiter,
                host_list.clock.now_ms(),
                "host_entry_unreadable",
                "WARNING",
                detail=repr(error),
            )
    return hosts


def _add_host(hosts: Hosts, entry: dict[str, Any]) -> None:
    kind = entry["kind"]
    if kind == "worker":
        worker = msgspec.convert(entry, _WorkerEntry)
        if worker["state"] == "live":
            hosts.workers[worker["id"]] = model.Worker(
                worker["id"],
                worker["address"],
                worker["data_centre"],
                worker["rack"],
                worker["accelerators"],
            )
    elif kind == "backend":
        backend = msgspec.convert(entry, _BackendEntry)
        hosts.backends[backend["id"]] = Backend(
            backend["id"],
            backend["address"],
            backend["service"],
            backend["slots"],
            backend["state"] == "leaving",
            str(backend.get("incarnation", "")),
        )
    elif kind == "entry":
        host = msgspec.convert(entry, _Entry)
        hosts.entries[host["id"]] = EntryHost(
            host["id"], host["address"], host["state"] == "leaving"
        )
    elif not isinstance(kind, str):
        raise TypeError(f"expected a kind of host, got {kind!r}")


def _keep_host(hosts: Hosts, previous: Hosts, entry: Any) -> None:
    host_id = entry.get("id") if isinstance(entry, dict) else None
    if not isinstance(host_id, str):
        return
    for known, kept in zip(previous, hosts, strict=True):
        if host_id in known:
            kept[host_id] = known[host_id]
