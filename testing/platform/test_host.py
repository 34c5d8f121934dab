"""A host as a process of its own, on stand-ins of the platform."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import pytest
from testing.platform import standin
import urllib3

ROOT = pathlib.Path(__file__).parents[2]
JOB = "00000000000000a1"
LIMIT_S = 30
GRACE_S = 6
BODY = {"specification": "x", "steps": [{"count": 2, "cpu": 500, "gpu": 1}]}


class Site:
    """A store, a runner, and the hosts that a test starts."""

    def __init__(self, directory):
        self.directory = directory
        self.store = standin.StoreServer()
        self.runner = standin.RunnerServer("i-1")
        self.store.fake.put("servers", "i-1", self.runner.make_entry())
        self.store.fake.put("servers", "i-2", b'{"state":"ready"}')
        self.store.fake.put("op", "config", standin.make_config())
        self.pool = urllib3.PoolManager(retries=False)
        self.hosts = []
        self.ports = {}
        self.stores = {}

    def start(self, name, own_store=False):
        """Start a host; it may have a way of its own to the one store."""
        self.stores[name] = self.store
        if own_store:
            self.stores[name] = standin.StoreServer(self.store.fake)
        callers, readiness = find_port(), find_port()
        metrics = find_port_pair()
        path = self.directory / f"{name}.conf"
        path.write_text(
            f"node_name={name}\n"
            "zone=z\n"
            "ip_address=127.0.0.1\n"
            f"listen_addresses.front_addr=127.0.0.1:{callers}\n"
            f"listen_addresses.readiness_addr=127.0.0.1:{readiness}\n"
            f"internal_port_range={metrics},{metrics + 1}\n"
            f"platform.address={self.stores[name].address}\n"
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
        self.hosts.append(process)
        self.ports[name] = (callers, readiness, metrics)
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

    def call(self, name, method, path=f"/q/{JOB}", body=None, key="key-1"):
        response = self.pool.request(
            method,
            f"http://127.0.0.1:{self.ports[name][0]}{path}",
            body=body and json.dumps(body),
            headers={
                "Host": "host.example",
                "Authorization": f"Bearer {key}",
                "Content-Type": "application/json",
            },
        )
        return response.status, json.loads(response.data or b"{}")

    def wait_for_peers(self, name):
        """Wait until a host has read its row beside that of another."""
        read = self.stores[name].count_reads
        wait_until(lambda: len(self.list_hosts()) > 1, "hosts are listed")
        seen = read("hosts")
        wait_until(lambda: read("hosts") > seen, f"{name} reads them")
        time.sleep(0.1)

    def list_hosts(self):
        return self.store.fake.read("hosts", 0).rows

    def wait_for_state(self, name, state):
        wait_until(
            lambda: self.call(name, "GET") == (200, {"state": state}), state
        )


def wait_until(condition, what):
    give_up = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < give_up, f"not within {LIMIT_S} s: {what}"
        time.sleep(0.02)


def find_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def find_port_pair():
    """Return a free port whose next one is free too."""
    while True:
        port = find_port()
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port + 1))
            return port


@pytest.fixture
def site(tmp_path):
    made = Site(tmp_path)
    yield made
    for host in made.hosts:
        host.kill()
        host.wait()
    made.pool.clear()
    for store in {made.store, *made.stores.values()}:
        store.server.stop()
    made.runner.server.stop()


def test_job_is_served_by_any_host_and_survives_its_owner(site):
    owner = site.start("a")
    site.start("b")
    assert site.call("b", "POST", body=BODY)[0] == 200
    assert site.call("a", "POST", body=BODY)[0] == 200
    worker = site.runner.worker
    wait_until(lambda: len(worker.running) == 2, "both tasks run")
    site.wait_for_state("b", "running")
    owner.kill()
    wait_until(lambda: worker.epoch == 2, "the other host took over")
    for name in list(worker.running):
        worker.end(name)
    site.wait_for_state("b", "completed")
    assert len(worker.started) == 2
    assert set(site.runner.expected) == {"i-1"}


def test_refusals_and_look_ups(site):
    site.start("a")
    assert site.call("a", "GET")[0] == 410
    assert site.call("a", "DELETE")[0] == 410
    assert site.call("a", "GET", "/q/") == (200, {"pending": 0})
    assert site.call("a", "GET", "/other/")[0] == 404
    assert site.call("a", "POST", body=BODY, key="no")[0] == 401
    assert site.call("a", "POST", body={"steps": []})[0] == 400
    site.store.fake.put("op", "config", standin.make_config(9, ("key-2",)))
    wait_until(
        lambda: site.call("a", "GET", key="key-1")[0] == 401,
        "the lists are in force",
    )
    assert site.call("a", "POST", body=BODY, key="key-2")[0] == 200
    assert site.call("a", "POST", body=BODY, key="key-1")[0] == 401
    assert site.call("a", "DELETE", key="key-2")[0] == 200
    text = site.pool.request(
        "GET", f"http://127.0.0.1:{site.ports['a'][2]}/metrics"
    ).data.decode()
    assert 'cyclamenshelf_events_total{event="job_stored"} 1' in text
    assert 'cyclamenshelf_calls_ms_count{method="POST",status="200"} 1' in text


def test_host_that_the_store_refuses_refuses_truly(site):
    site.start("a")
    site.store.busy = True
    status, _ = site.call("a", "POST", body=BODY)
    assert status == 503
    wait_until(lambda: site.get_readiness("a") == 503, "not ready")
    wait_until(lambda: site.call("a", "GET")[0] == 503, "keyed calls end")
    site.store.busy = False
    wait_until(lambda: site.get_readiness("a") == 200, "ready again")
    assert site.call("a", "GET")[0] == 410
    assert not site.runner.worker.started


def test_stopped_host_hands_over_and_ends_by_itself(site):
    # Two hosts of a recorded day were killed at the end of the grace time.
    owner = site.start("a")
    site.start("b")
    wait_until(lambda: site.runner.worker.epoch == 1, "a owns")
    owner.send_signal(signal.SIGTERM)
    wait_until(lambda: site.runner.worker.epoch == 2, "b owns")
    assert site.call("a", "POST", body=BODY)[0] == 200
    assert owner.wait(LIMIT_S) == 0
    site.wait_for_state("b", "running")


def test_host_that_the_store_refuses_answers_through_another(site):
    # Callers of hosts that were cut off were told 503 for as long, though
    # other hosts served.
    site.start("a")
    site.start("b", own_store=True)
    site.wait_for_peers("b")
    assert site.call("a", "POST", body=BODY)[0] == 200
    site.stores["b"].busy = True
    assert site.call("b", "GET")[1]["state"] in ("queued", "running")
    job = "/q/00000000000000b2"
    assert site.call("b", "POST", job, body=BODY)[0] == 200
    assert site.call("a", "GET", job)[0] == 200
    assert site.call("b", "POST", job, body=BODY, key="no")[0] == 401
    assert site.call("b", "DELETE", job)[0] == 200
