"""Fixtures for tests of the daemon against stand-in services."""

import contextlib
import hashlib
import random
import threading
import types

import pytest
from testing import cells

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import model
from cyclamenshelf_core import renewal
from cyclamenshelf_core import tenure as lease_times
from cyclamenshelf_daemon import callerapi
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import gangs
from cyclamenshelf_daemon import groupcommit
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import routing
from cyclamenshelf_daemon import webserver
from cyclamenshelf_daemon import workerlink
from cyclamenshelf_standin import backendservice
from cyclamenshelf_standin import platform as platforms

SERVICE = "shelfprice"


def make_lists(rate=100_000):
    accounts = {
        name: model.Account(
            name, "plan", (hashlib.sha256(name.encode()).hexdigest(),)
        )
        for name in ("a", "b", "c")
    }
    return model.Lists(
        1, accounts, {"plan": model.Plan("plan", 1, 9, 9, rate, ())}
    )


@pytest.fixture
def manual_clock():
    """A clock that only the test and calls to sleep advance."""
    current = types.SimpleNamespace(now_ms=1_000_000)

    def advance(duration_ms):
        current.now_ms += duration_ms

    clock = clocks.Clock(
        lambda: current.now_ms, lambda: current.now_ms, advance
    )
    return types.SimpleNamespace(clock=clock, advance=advance)


class Fleet:
    """Stand-in backend servers with a router and a host list for them."""

    def __init__(self, clock, slots=8, rate=100_000, threads=64):
        self.slots = slots
        self.pool = httpclient.make_pool(32)
        self.states, self.servers = {}, {}
        self.host_list = hostlist.HostList(self.pool, "", clock)
        self.lists = make_lists(rate)
        self.router = routing.Router(
            self.pool,
            self.host_list,
            clock,
            routing.make_limits(threads),
            lambda: self.lists,
            lambda account: True,
            random.Random(1),
        )

    def add_backend(self, backend_id, **faults):
        state = backendservice.Backend(backend_id, self.slots)
        state.__dict__.update(faults)
        self.states[backend_id] = state
        server = backendservice.start_backend(state)
        self.servers[backend_id] = server
        self.update_host_list(
            backend_id, f"http://127.0.0.1:{server.port}/{backend_id}"
        )
        return state

    def update_host_list(
        self, backend_id, address=None, leaving=False, incarnation=""
    ):
        """Add or replace a server in the host list, as a poll would."""
        backends = dict(self.host_list.hosts.backends)
        address = address or backends[backend_id].address
        backends[backend_id] = hostlist.Backend(
            backend_id, address, SERVICE, self.slots, leaving, incarnation
        )
        self.host_list.hosts = hostlist.Hosts({}, backends, {})
        for observe in self.host_list.observers:
            observe(self.host_list.hosts)

    def route(self, body=b"{}", account="a", **headers):
        prefixed = {"x-" + k.replace("_", "-"): v for k, v in headers.items()}
        request = webserver.Request("POST", "/", {}, prefixed, body)
        return routing.route_request(self.router, account, SERVICE, request)

    def list_run_ids(self):
        """Return the ids of the requests that the stand-ins ran."""
        return [
            record["request"]
            for state in self.states.values()
            for record in state.records
        ]

    @contextlib.contextmanager
    def serve(self, threads=64):
        context = callerapi.CallerContext(
            None, None, self.router, lambda: self.lists
        )
        server = webserver.start_server(
            "127.0.0.1",
            0,
            callerapi.make_handler(context),
            threads=threads,
            stop_timeout_s=0.5,
        )
        yield f"http://127.0.0.1:{server.port}/v1/services/{SERVICE}/requests"
        server.stop()


@pytest.fixture
def make_fleet():
    fleets = []

    def make(manual_clock=None, **options):
        clock = manual_clock.clock if manual_clock else None
        fleet = Fleet(clock or clocks.make_system_clock(), **options)
        if manual_clock:
            fleet.router.dispatcher.wait = lambda event, duration_ms: (
                manual_clock.advance(duration_ms)
            )
        fleets.append(fleet)
        return fleet

    yield make
    for fleet in fleets:
        fleet.pool.clear()
        for server in fleet.servers.values():
            server.stop()


@pytest.fixture
def short_leases(monkeypatch):
    """Shorten the leases so that a test can wait until they expire."""
    for module, name, value in (
        (lease_times, "DEFAULT_TTL_MS", 1_200),
        (lease_times, "RENEW_INTERVAL_MS", 300),
        (renewal, "MIN_LEASE_MS", 1_500),
        (renewal, "_CELL_TTLS_PER_LEASE", 0),
        (renewal, "MAX_LEASE_MS", 3_000),
        (renewal, "MAX_INTERVAL_MS", 1_000),
        (gangs, "_MAX_START_GRANT_MS", 3_000),
        (workerlink, "MAX_GRANT_MS", 3_200),
        (groupcommit, "_COMMIT_TIMEOUT_MS", 600),
        (groupcommit, "_FAILING_COMMIT_TIMEOUT_MS", 600),
        (celllease, "_ABANDONED_PAUSE_MS", 500),
    ):
        monkeypatch.setattr(module, name, value, raising=False)


@pytest.fixture
def platform(short_leases):
    running = platforms.start_platform(workers=4, racks=1, backends=0)
    yield running
    # Stopped in the background: nothing depends on it, and waiting for it would
    # take 0.5 s.
    for server in running.servers:
        threading.Thread(target=server.stop, daemon=True).start()


@pytest.fixture
def start_host(platform):
    hosts = []

    def start(name, **options):
        hosts.append(cells.start_host(platform, name, **options))
        return hosts[-1]

    yield start
    # Injected faults would only slow down the teardown.
    for faults in (platform.table_faults, platform.objects_faults):
        faults.update({"down": False, "hold_ms": 0, "delay_ms": 0})
    for host in hosts:
        host.pool.cut = ()
        host.stopping.set()
    for host in hosts:
        cells.stop_host(host)


@pytest.fixture
def host(start_host):
    """Return a host that owns the cell and has a response from every worker."""
    running = start_host("h0")
    wait_until_ready(running)
    return running


def wait_until_ready(host):
    cells.wait_until(
        lambda: (
            host.owners
            and len(host.owner.responding_workers) == 4
            and host.owner
        ),
        "the host owns the cell",
    )
