import contextlib
import hashlib
import random
import types

import pytest

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import model
from cyclamenshelf_daemon import callerapi
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import routing
from cyclamenshelf_daemon import webserver
from cyclamenshelf_standin import backendservice

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
    """A clock that the test moves; sleeping moves it too."""
    time = types.SimpleNamespace(now_ms=1_000_000)

    def move(duration_ms):
        time.now_ms += duration_ms

    clock = clocks.Clock(lambda: time.now_ms, lambda: time.now_ms, move)
    return types.SimpleNamespace(clock=clock, move=move)


class Fleet:
    """Backend stand-ins, the router before them and its listed hosts."""

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

    def add(self, backend_id, **faults):
        state = backendservice.Backend(backend_id, self.slots)
        state.__dict__.update(faults)
        self.states[backend_id] = state
        server = backendservice.start_backend(state)
        self.servers[backend_id] = server
        self.show(backend_id, f"http://127.0.0.1:{server.port}/{backend_id}")
        return state

    def show(self, backend_id, address=None, leaving=False, incarnation=""):
        """Put an entry into the host list as a poll would."""
        backends = dict(self.host_list.hosts.backends)
        address = address or backends[backend_id].address
        backends[backend_id] = hostlist.Backend(
            backend_id, address, SERVICE, self.slots, leaving, incarnation
        )
        self.host_list.hosts = hostlist.Hosts({}, backends, {})
        for observe in self.host_list.observers:
            observe(self.host_list.hosts)

    def route(self, body=b"{}", account="a", **headers):
        named = {"x-" + k.replace("_", "-"): v for k, v in headers.items()}
        request = webserver.Request("POST", "/", {}, named, body)
        return routing.route_request(self.router, account, SERVICE, request)

    def ran(self):
        """Return the request ids that the stand-ins recorded as run."""
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
                manual_clock.move(duration_ms)
            )
        fleets.append(fleet)
        return fleet

    yield make
    for fleet in fleets:
        fleet.pool.clear()
        for server in fleet.servers.values():
            server.stop()
