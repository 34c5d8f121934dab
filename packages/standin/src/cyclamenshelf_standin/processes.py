"""Starts daemons as separate local processes for tests and benchmarks."""

import json
import pathlib
import socket
import subprocess
import sys
import time
from typing import NamedTuple

import yaml

from cyclamenshelf_daemon import httpclient
from cyclamenshelf_standin import platform as platforms

_START_TIMEOUT_S = 20
_POLL_INTERVAL_S = 0.05
_CALL_TIMEOUT_MS = 2_000
PEER_KEY = "key of the stand-ins"


class DaemonProcess(NamedTuple):
    """A daemon process, its settings and the addresses of its HTTP APIs."""

    host_id: str
    process: subprocess.Popen
    caller_url: str
    operator_url: str
    settings_path: pathlib.Path


def start_daemon(
    platform: platforms.Platform,
    directory: pathlib.Path,
    host_id: str,
    *,
    cell: str = "c0",
    caller_threads: int = 16,
) -> DaemonProcess:
    """Start a daemon, register it as an entry host and wait until it is ready.

    Args:
        platform: The stand-ins of the platform that the daemon uses.
        directory: Directory to which its settings, key and log are written.
        host_id: Its id in the host list.
        cell: The cell whose lease it tries to hold.
        caller_threads: Maximum number of concurrent requests of callers.
    """
    ports = find_free_ports(3)
    key_path = directory / "peer.key"
    key_path.write_text(PEER_KEY)
    settings_path = directory / f"{host_id}.yaml"
    settings = {
        "host_id": host_id,
        "data_centre": "dc0",
        "cell": cell,
        "listen_host": "127.0.0.1",
        "caller_port": ports[0],
        "operator_port": ports[1],
        "peer_port": ports[2],
        "caller_threads": caller_threads,
        "table_url": platform.table_url,
        "objects_url": platform.objects_url,
        "hosts_url": platform.hosts_url,
        "peer_key_file": str(key_path),
        "operator_token_sha256": platforms.DEMO_OPERATOR_SHA256,
    }
    settings_path.write_text(yaml.safe_dump(settings))
    register_entry_host(platform, host_id, ports[2])
    daemon = DaemonProcess(
        host_id,
        spawn_daemon(settings_path, directory / f"{host_id}.log"),
        f"http://127.0.0.1:{ports[0]}",
        f"http://127.0.0.1:{ports[1]}",
        settings_path,
    )
    wait_until_ready(daemon)
    return daemon


def restart_daemon(daemon: DaemonProcess) -> DaemonProcess:
    """Restart a terminated daemon with the same settings."""
    log_path = daemon.settings_path.with_suffix(".log")
    restarted = daemon._replace(
        process=spawn_daemon(daemon.settings_path, log_path)
    )
    wait_until_ready(restarted)
    return restarted


def spawn_daemon(
    settings_path: pathlib.Path, log_path: pathlib.Path
) -> subprocess.Popen:
    """Start a daemon process that appends its log to a file."""
    with open(log_path, "ab") as log:
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "cyclamenshelf_daemon.main",
                f"--settings={settings_path}",
            ],
            stderr=log,
        )


def register_entry_host(
    platform: platforms.Platform, host_id: str, peer_port: int
) -> None:
    """Add a daemon to the platform's host list as an entry host."""
    with platform.hosts.lock:
        platform.hosts.hosts[host_id] = {
            "id": host_id,
            "kind": "entry",
            "state": "live",
            "address": f"127.0.0.1:{peer_port}",
            "data_centre": "dc0",
        }


def wait_until_ready(daemon: DaemonProcess) -> None:
    """Wait until the daemon's readiness check succeeds.

    Raises:
        TimeoutError: The daemon did not become ready in time.
    """
    pool = httpclient.make_pool()
    deadline = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            result = httpclient.call(
                pool,
                "GET",
                daemon.operator_url + "/readyz",
                timeout_ms=_CALL_TIMEOUT_MS,
            )
        except httpclient.HttpFailureError:
            time.sleep(_POLL_INTERVAL_S)
            continue
        if result.status == 200:
            return
    raise TimeoutError(f"daemon {daemon.host_id} did not become ready in time")


def read_status(daemon: DaemonProcess) -> dict:
    """Return the response of the operator API's status endpoint."""
    result = httpclient.call(
        httpclient.make_pool(),
        "GET",
        daemon.operator_url + "/v1/status",
        headers={"Authorization": f"Bearer {platforms.DEMO_OPERATOR_TOKEN}"},
        timeout_ms=_CALL_TIMEOUT_MS,
    )
    return json.loads(result.body)


def find_free_ports(count: int) -> list[int]:
    """Return TCP ports that were free when checked.

    Another process may bind them before the caller does.
    """
    sockets = [socket.socket() for _ in range(count)]
    for bound_socket in sockets:
        bound_socket.bind(("127.0.0.1", 0))
    ports = [bound_socket.getsockname()[1] for bound_socket in sockets]
    for bound_socket in sockets:
        bound_socket.close()
    return ports
