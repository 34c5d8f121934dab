"""Runs the stand-in platform and daemons as separate processes."""

from collections.abc import Callable
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import Any
from typing import NamedTuple

from testing import cells
import yaml

from cyclamenshelf_daemon import httpclient
from cyclamenshelf_standin import platform as platforms

CELL = "demo"
_CALL_TIMEOUT_MS = 25_000
_RETRY_DELAY_S = 0.1
_FINAL_STATES = ("succeeded", "failed", "cancelled", "rejected")


class PlatformProcess(NamedTuple):
    process: subprocess.Popen
    urls: dict[str, str]


class DaemonProcess(NamedTuple):
    name: str
    process: subprocess.Popen
    url: str
    operator_url: str


class Fleet:
    """A platform process and daemon processes, which tests stop and restart.

    Attributes:
        daemons: Last started process by host id.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.processes: list[subprocess.Popen] = []
        self.daemons: dict[str, DaemonProcess] = {}
        self.pool = httpclient.make_pool(64)
        self.platform = self._start_platform()

    def _spawn(self, name: str, *command: str, **options: Any) -> Any:
        with open(self.directory / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", *command], stderr=log, **options
            )
        self.processes.append(process)
        return process

    def _start_platform(self) -> PlatformProcess:
        process = self._spawn(
            "platform",
            "cyclamenshelf_standin.platform",
            "--workers=8",
            "--backends=4",
            stdout=subprocess.PIPE,
        )
        return PlatformProcess(process, json.loads(process.stdout.readline()))

    def start_daemon(self, name: str) -> DaemonProcess:
        """Start a daemon, add it to the host list and wait for readiness."""
        ports = pick_ports(3)
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._make_settings(name, ports)))
        process = self._spawn(
            name, "cyclamenshelf_daemon.main", f"--settings={path}"
        )
        daemon = DaemonProcess(
            name,
            process,
            f"http://127.0.0.1:{ports[0]}",
            f"http://127.0.0.1:{ports[1]}",
        )
        self.daemons[name] = daemon
        self.call(
            "PUT",
            f"{self.platform.urls['hosts_url']}/v1/hosts/{name}",
            {
                "kind": "entry",
                "state": "live",
                "address": f"127.0.0.1:{ports[2]}",
                "data_centre": "dc0",
            },
        )
        cells.wait_until(lambda: self.is_ready(daemon), f"{name} is ready")
        return daemon

    def _make_settings(self, name: str, ports: list[int]) -> dict[str, Any]:
        key_file = self.directory / "peer.key"
        key_file.write_text("a shared key for tests")
        urls = self.platform.urls
        return {
            "host_id": name,
            "data_centre": "dc0",
            "cell": CELL,
            "listen_host": "127.0.0.1",
            "caller_port": ports[0],
            "operator_port": ports[1],
            "peer_port": ports[2],
            "caller_threads": 32,
            "table_url": urls["table_url"],
            "objects_url": urls["objects_url"],
            "hosts_url": urls["hosts_url"],
            "peer_key_file": str(key_file),
            "operator_token_sha256": platforms.DEMO_OPERATOR_SHA256,
        }

    def call(self, method: str, url: str, value: Any = None) -> Any:
        return httpclient.call_json(
            self.pool, method, url, value, timeout_ms=_CALL_TIMEOUT_MS
        )[1]

    def is_ready(self, daemon: DaemonProcess) -> bool:
        try:
            return (
                httpclient.call(
                    self.pool,
                    "GET",
                    daemon.operator_url + "/readyz",
                    timeout_ms=2_000,
                ).status
                == 200
            )
        except httpclient.HttpFailureError:
            return False

    def set_table_faults(self, **faults: Any) -> None:
        self.call("PUT", self.platform.urls["table_url"] + "/faults", faults)

    def read_lease(self) -> dict[str, Any]:
        url = f"{self.platform.urls['table_url']}/v1/rows?prefix=lease/"
        rows = self.call("GET", url)["rows"]
        return rows[0]["value"] if rows else {}

    def find_owner(self) -> DaemonProcess:
        """Wait until a daemon holds the cell lease and return that daemon."""

        def find_holder() -> DaemonProcess | None:
            lease = self.read_lease()
            if not lease or lease["released"]:
                return None
            return self.daemons.get(lease["holder"].partition("/")[0])

        return cells.wait_until(find_holder, "a daemon owns the cell")

    def list_runs(self) -> dict[str, dict[int, list[dict[str, Any]]]]:
        url = self.platform.urls["workers_url"] + "/records"
        return cells.group_runs(self.call("GET", url)["records"])

    def list_rows(self, prefix: str) -> list[dict[str, Any]]:
        url = f"{self.platform.urls['table_url']}/v1/rows"
        return self.call("GET", f"{url}?prefix={prefix}&limit=1000")["rows"]

    def stop(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait(cells.LIMIT_S)


def pick_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def send_signal(daemon: DaemonProcess, signal_number: signal.Signals) -> None:
    os.kill(daemon.process.pid, signal_number)


def terminate(daemon: DaemonProcess) -> int:
    """Stop a daemon with SIGTERM and return its exit code."""
    send_signal(daemon, signal.SIGTERM)
    return daemon.process.wait(cells.LIMIT_S)


class Outcome(NamedTuple):
    """Final state of a job as its caller received it."""

    key: str
    body: dict[str, Any]
    job: dict[str, Any]
    answer: bytes


class Caller:
    """A client that retries a request on the daemons in turn, with one key."""

    def __init__(self, fleet: Fleet, first_daemon: int = 0) -> None:
        self.fleet = fleet
        self.daemon_index = first_daemon

    def send_request(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        key: str = "",
        is_done: Callable[[int, Any], bool] = lambda status, body: status < 300,
    ) -> bytes:
        deadline = time.monotonic() + 4 * cells.LIMIT_S
        last_result: Any = None
        while time.monotonic() < deadline:
            daemons = list(self.fleet.daemons.values())
            self.daemon_index += 1
            daemon = daemons[self.daemon_index % len(daemons)]
            try:
                result = httpclient.call(
                    self.fleet.pool,
                    method,
                    daemon.url + path,
                    body=None if body is None else json.dumps(body).encode(),
                    headers={
                        "Authorization": f"Bearer {platforms.DEMO_TOKEN}",
                        "Idempotency-Key": key,
                    },
                    timeout_ms=_CALL_TIMEOUT_MS,
                )
                last_result = result.status, result.body[:300]
                if is_done(result.status, result.body):
                    return result.body
                assert result.status not in (400, 401, 409, 422), last_result
            except httpclient.HttpFailureError as failure:
                last_result = failure
            time.sleep(_RETRY_DELAY_S)
        raise AssertionError(
            f"{method} {path} did not succeed; last result: {last_result}"
        )

    def submit(self, key: str, body: dict) -> dict[str, Any]:
        return json.loads(self.send_request("POST", "/v1/jobs", body, key))

    def wait_for_end(self, job_id: str) -> dict[str, Any]:
        def has_ended(status: int, content: bytes) -> bool:
            return (
                status == 200 and json.loads(content)["state"] in _FINAL_STATES
            )

        return json.loads(
            self.send_request(
                "GET", f"/v1/jobs/{job_id}?wait_ms=2000", is_done=has_ended
            )
        )

    def run_job(self, key: str, body: dict) -> Outcome:
        job = self.wait_for_end(self.submit(key, body)["job_id"])
        answer = b""
        if job["state"] == "succeeded":
            answer = self.send_request(
                "GET", f"/v1/jobs/{job['job_id']}/answer"
            )
        return Outcome(key, body, job, answer)


class ReadinessMonitor:
    """Polls the readiness of a daemon as the platform's load balancer does."""

    def __init__(self, fleet: Fleet, daemon: DaemonProcess) -> None:
        self.ready = True
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self._poll, args=(fleet, daemon), daemon=True
        )
        self.thread.start()

    def _poll(self, fleet: Fleet, daemon: DaemonProcess) -> None:
        while not self.stopped.wait(0.1):
            self.ready = fleet.is_ready(daemon)
