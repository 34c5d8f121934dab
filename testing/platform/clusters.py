"""Host processes that run against test servers of the platform."""

import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import time

from testing.platform import standin
import urllib3

ROOT = pathlib.Path(__file__).parents[2]
JOB_ID = "00000000000000a1"
TIMEOUT_S = 30
# For thousands of tasks, which are started one by one.
LONG_TIMEOUT_S = 120
GRACE_S = 6


class Cluster:
    """A store, a worker and the host processes that a test starts.

    Attributes:
        ports: By host name, its ports for callers, readiness and metrics.
        store_servers: The store server that each host uses, by host name.
    """

    def __init__(self, directory):
        self.directory = directory
        self.store_server = standin.StoreServer()
        self.worker_server = standin.WorkerServer("i-1")
        self.store_server.fake_store.put(
            "servers", "i-1", self.worker_server.make_entry()
        )
        self.store_server.fake_store.put("servers", "i-2", b'{"state":"ready"}')
        self.store_server.fake_store.put("op", "config", standin.make_config())
        self.pool = urllib3.PoolManager(retries=False)
        self.processes = []
        self.ports = {}
        self.store_servers = {}

    def start_host(self, name, own_store_server=False):
        """Start a host and wait until it is ready.

        Args:
            name: Name of the host.
            own_store_server: Whether the host gets a server of its own, which
                serves the rows of the shared store and can fail separately.
        """
        self.store_servers[name] = self.store_server
        if own_store_server:
            self.store_servers[name] = standin.StoreServer(
                self.store_server.fake_store
            )
        caller_port, readiness_port = find_free_port(), find_free_port()
        internal_port = find_free_port_pair()
        path = self.directory / f"{name}.conf"
        path.write_text(
            f"node_name={name}\n"
            "zone=z\n"
            "ip_address=127.0.0.1\n"
            f"listen_addresses.front_addr=127.0.0.1:{caller_port}\n"
            f"listen_addresses.readiness_addr=127.0.0.1:{readiness_port}\n"
            f"internal_port_range={internal_port},{internal_port + 1}\n"
            f"platform.address={self.store_servers[name].address}\n"
            "platform.cross_partition=true\n"
            "limits.cpu_share=0.537\n"
            "limits.cpu_cores=2\n"
            "bounds.max_hold_ms=10000\n"
            f"bounds.grace_period_s={GRACE_S}\n"
            "bounds.status_s=120\n"
        )
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform" / "serve.py")],
            env=os.environ | {"CYCLAMENSHELF_SETTINGS": str(path)},
            stdout=subprocess.DEVNULL,
        )
        self.processes.append(process)
        self.ports[name] = (caller_port, readiness_port, internal_port)
        wait_until(lambda: self.get_readiness(name) == 200, f"{name} is ready")
        return process

    def get_readiness(self, name):
        port = self.ports[name][1]
        try:
            return self.pool.request(
                "GET", f"http://127.0.0.1:{port}/api/readiness"
            ).status
        except urllib3.exceptions.HTTPError:
            return None

    def call(
        self, name, method, path=f"/q/{JOB_ID}", body=None, key="key-1", text=""
    ):
        """Call a host with a JSON value, or a text, as body."""
        response = self.pool.request(
            method,
            f"http://127.0.0.1:{self.ports[name][0]}{path}",
            body=text or (body and json.dumps(body)),
            headers={
                "Host": "host.example",
                "Authorization": f"Bearer {key}",
                "Content-Type": "application/json",
            },
        )
        return response.status, json.loads(response.data or b"{}")

    def wait_for_peers(self, name):
        """Wait until a host has read the row of another host beside its own."""
        count_reads = self.store_servers[name].count_reads
        wait_until(
            lambda: len(self.list_hosts()) > 1, "the store lists several hosts"
        )
        earlier_reads = count_reads("hosts")
        wait_until(
            lambda: count_reads("hosts") > earlier_reads,
            f"{name} reads the list of hosts",
        )
        time.sleep(0.1)

    def list_hosts(self):
        return self.store_server.fake_store.read("hosts", 0).rows

    def wait_for_state(self, name, state):
        wait_until(
            lambda: self.call(name, "GET") == (200, {"state": state}), state
        )


def wait_until(condition, description, timeout_s=TIMEOUT_S):
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, (
            f"timed out after {timeout_s} s: {description}"
        )
        time.sleep(0.02)


def find_free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def find_free_port_pair():
    """Return a free port that is followed by another free port."""
    while True:
        port = find_free_port()
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port + 1))
            return port
