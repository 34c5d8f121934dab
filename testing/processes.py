"""The stand-in platform and daemons as processes of their own."""

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
_TRY_TIMEOUT_MS = 25_000
_BETWEEN_TRIES_S = 0.1
_ENDED = ("succeeded", "failed", "cancelled", "rejected")


class PlatformProcess(NamedTuple):
    process: subprocess.Popen
    urls: dict[str, str]


class DaemonProcess(NamedTuple):
    name: str
    process: subprocess.Popen
    url: str
    operator_url: str


class Fleet:
    """A platform and its daemons; the daemons change as tests stop them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: list[subprocess.Popen] = []
        self.daemons: dict[str, DaemonProcess] = {}
        self.pool = httpclient.make_pool(64)
        self.platform = self._start_platform()

    def _spawn(self, name: str, *command: str, **options: Any) -> Any:
        with open(self.folder / f"{name}.log", "ab") as log:
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
        """Start a daemon, list it among the hosts, and wait until it serves."""
        ports = pick_ports(3)
        path = self.folder / f"{name}.yaml"
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
        key_file = self.folder / "peer.key"
        key_file.write_text("a key for tests")
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
            self.pool, method, url, value, timeout_ms=_TRY_TIMEOUT_MS
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
        """Wait until a daemon holds the lease and return it."""

        def find() -> DaemonProcess | None:
            lease = self.read_lease()
            if not lease or lease["released"]:
                return None
            return self.daemons.get(lease["holder"].partition("/")[0])

        return cells.wait_until(find, "a daemon owns the cell")

    def list_runs(self) -> dict[str, dict[int, list[dict[str, Any]]]]:
        url = self.platform.urls["workers_url"] + "/records"
        return cells.group_runs(self.call("GET", url)["records"])

    def list_rows(self, prefix: str) -> list[dict[str, Any]]:
        url = f"{self.platform.urls['table_url']}/v1/rows"
        return self.call("GET", f"{url}?prefix={prefix}&limit=1000")["rows"]

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait(cells.LIMIT_S)


def pick_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def send_signal(daemon: DaemonProcess, number: signal.Signals) -> None:
    os.kill(daemon.process.pid, number)


def terminate(daemon: DaemonProcess) -> int:
    """Stop a daemon as planned and return its exit code."""
    send_signal(daemon, signal.SIGTERM)
    return daemon.process.wait(cells.LIMIT_S)


class Outcome(NamedTuple):
    """What a caller was told of its job in the end."""

    key: str
    body: dict[str, Any]
    job: dict[str, Any]
    answer: bytes


class Caller:
    """Tries the daemons in turn, with the same key, until it is answered."""

    def __init__(self, fleet: Fleet, first: int = 0) -> None:
        self.fleet = fleet
        self.turn = first

    def ask(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        key: str = "",
        done: Callable[[int, Any], bool] = lambda status, body: status < 300,
    ) -> bytes:
        give_up = time.monotonic() + 4 * cells.LIMIT_S
        last: Any = None
        while time.monotonic() < give_up:
            daemons = list(self.fleet.daemons.values())
            self.turn += 1
            daemon = daemons[self.turn % len(daemons)]
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
                    timeout_ms=_TRY_TIMEOUT_MS,
                )
                last = result.status, result.body[:300]
                if done(result.status, result.body):
                    return result.body
                assert result.status not in (400, 401, 409, 422), last
            except httpclient.HttpFailureError as failure:
                last = failure
            time.sleep(_BETWEEN_TRIES_S)
        raise AssertionError(f"{method} {path} not answered; last: {last}")

    def submit(self, key: str, body: dict) -> dict[str, Any]:
        return json.loads(self.ask("POST", "/v1/jobs", body, key))

    def wait_for_end(self, job_id: str) -> dict[str, Any]:
        def has_ended(status: int, content: bytes) -> bool:
            return status == 200 and json.loads(content)["state"] in _ENDED

        return json.loads(
            self.ask("GET", f"/v1/jobs/{job_id}?wait_ms=2000", done=has_ended)
        )

    def run_job(self, key: str, body: dict) -> Outcome:
        job = self.wait_for_end(self.submit(key, body)["job_id"])
        answer = b""
        if job["state"] == "succeeded":
            answer = self.ask("GET", f"/v1/jobs/{job['job_id']}/answer")
        return Outcome(key, body, job, answer)


class Watch:
    """Polls readiness as the platform's balancer does."""

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
