"""A small deployment for a case: store, runners and hosts as processes.

The hosts are started with the command of the deploy file. Everything runs on
loopback addresses and ends with `stop`.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
from typing import NamedTuple

import jsonserver

ROOT = pathlib.Path(__file__).resolve().parents[2]
_STANDINS = pathlib.Path(__file__).resolve().parent
_START_TIMEOUT_S = 30
CALLER_HOST = "host.example"
PREFIX = "/q/"
KEY = "key-1"

# Exit codes of a case.
HELD = 0
BROKEN = 1
NOT_RUN = 2

# Bounds of the site pryce-exchange.
MAX_HOLD_MS = 6000
_SETTINGS = """\
node_name={name}
role=host
machine_class=frontend
serves=frontend
zone=z
region=r
ip_address=127.0.0.1
listen_addresses.front_addr=127.0.0.1:{front}
listen_addresses.readiness_addr=127.0.0.1:{readiness}
internal_port_range={internal},{internal_end}
limits.cpu_share=0.537
limits.cpu_cores=2
limits.memory_limit_mb=300
limits.link_mbps=1000.0
heartbeat_interval_ms=1500
bounds.max_hold_ms=6000
bounds.grace_period_s=6
bounds.status_s=120
bounds.stop_timeout_ms=900
bounds.restore_ms=100
bounds.remote_penalty=3
bounds.rate_interval_ms=100
bounds.disruption_ms=4000
commands=call
platform.address=127.0.0.1:{store}
platform.form=table
platform.cross_partition=true
platform.max_row_bytes=65536
platform.history_s=20
"""


class NotRunError(Exception):
    """The case could not run, for a reason that is no fault of the product."""


class Host(NamedTuple):
    """A host process and its ports."""

    name: str
    process: subprocess.Popen
    front: int
    readiness: int
    store_port: int


class Answer(NamedTuple):
    """The answer to a call; status None if there was none."""

    status: int | None
    body: Any


class Deployment:
    """All processes of a case, and its record."""

    def __init__(self, record: pathlib.Path) -> None:
        self.record = record
        self.record.write_text("", encoding="utf-8")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[subprocess.Popen] = []
        self.hosts: dict[str, Host] = {}
        self.runners: dict[str, subprocess.Popen] = {}
        self.store_port = 0

    def write(self, event: str, **fields: Any) -> None:
        """Append a line to the record."""
        line = {"at": round(time.time(), 3), "event": event}
        with self.record.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line | fields) + "\n")

    def start_store(self, more_ports: Iterable[int] = ()) -> None:
        """Start the store and write the operator's configuration."""
        self.store_port = jsonserver.find_free_ports(1)[0]
        ports = [self.store_port, *more_ports]
        process = subprocess.Popen(
            [sys.executable, str(_STANDINS / "store.py"), *map(str, ports)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.processes.append(process)
        if process.stdout is None or not process.stdout.readline():
            raise NotRunError("the store did not start")
        self.call_store("put", table="op", key="config", content=_make_config())

    def call_store(self, call: str, **body: Any) -> Any:
        """Make a call of the stand-in itself, which no host makes."""
        answer = _call(
            self.store_port, "POST", f"/standin/{call}", body, {}, 5.0
        )
        if answer.status != 200:
            raise NotRunError(f"the store answered {answer} to {call}")
        return answer.body

    def find_leader(self) -> Host:
        """Return the host that last wrote under a condition most often."""
        ports: collections.Counter[int] = collections.Counter()
        for _ in range(30):
            ports[self.call_store("last-writer")["port"]] += 1
            time.sleep(0.05)
        port = ports.most_common(1)[0][0]
        for host in self.hosts.values():
            if host.store_port == port:
                return host
        raise NotRunError("no host writes to the store")

    def kill_host(self, host: Host) -> None:
        """Kill a host's process."""
        host.process.kill()
        host.process.wait()
        self.write("host_killed", host=host.name)

    def start_runner(self, runner_id: str, rack: str) -> None:
        """Start a runner process."""
        self.write("runner_started", runner=runner_id)
        process = subprocess.Popen(
            [
                sys.executable,
                str(_STANDINS / "runner.py"),
                f"--id={runner_id}",
                f"--rack={rack}",
                f"--store-port={self.store_port}",
                f"--max-hold-ms={MAX_HOLD_MS}",
                f"--record={self.record}",
            ]
        )
        self.processes.append(process)
        self.runners[runner_id] = process

    def kill_runner(self, runner_id: str) -> None:
        """Kill a runner, as a crash does."""
        process = self.runners.pop(runner_id)
        process.kill()
        process.wait()
        self.write("runner_killed", runner=runner_id)

    def start_host(self, name: str, store_port: int | None = None) -> Host:
        """Start a host with the command of the deploy file; wait for it."""
        front, readiness = jsonserver.find_free_ports(2)
        internal = _find_port_pair()
        store_port = store_port or self.store_port
        path = self.directory / f"{name}.conf"
        path.write_text(
            _SETTINGS.format(
                name=name,
                front=front,
                readiness=readiness,
                internal=internal,
                internal_end=internal + 1,
                store=store_port,
            ),
            encoding="utf-8",
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["host"]["run"].split()
        log = (self.directory / f"{name}.log").open("ab")
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.directory),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "CYCLAMENSHELF_SETTINGS": str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes.append(process)
        host = Host(name, process, front, readiness, store_port)
        self.hosts[name] = host
        self.wait_for(lambda: is_ready(host), f"{name} is ready")
        self.write("host_started", host=name)
        return host

    def wait_for(
        self,
        condition: Callable[[], Any],
        description: str,
        timeout_s: float = _START_TIMEOUT_S,
    ) -> Any:
        """Wait until a condition holds, and return its value."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            value = condition()
            if value:
                return value
            time.sleep(0.05)
        raise NotRunError(f"not within {timeout_s} s: {description}")

    def call(
        self,
        host: Host,
        method: str,
        name: str,
        body: Any = None,
        timeout_s: float = 3.0,
    ) -> Answer:
        """Send a call of a client, and record it with its answer."""
        headers = {
            "Host": CALLER_HOST,
            "Authorization": f"Bearer {KEY}",
            "Cyclamenshelf-Deadline-Ms": str(int(timeout_s * 1000)),
        }
        answer = _call(
            host.front, method, PREFIX + name, body, headers, timeout_s
        )
        self.write(
            "call",
            host=host.name,
            method=method,
            job=name,
            body=body,
            status=answer.status,
            answer=answer.body,
        )
        return answer

    def list_events(self, event: str) -> list[dict[str, Any]]:
        """Return the recorded lines of one event."""
        lines = self.record.read_text(encoding="utf-8").splitlines()
        events = [json.loads(line) for line in lines]
        return [line for line in events if line["event"] == event]

    def find_runner(self, task: str) -> str | None:
        """Return the runner that is alive and runs a task."""
        ended = {
            (end["runner"], end["task"], end["run"])
            for end in self.list_events("end")
        }
        for start in reversed(self.list_events("start")):
            key = (start["runner"], start["task"], start["run"])
            if (
                start["task"] == task
                and key not in ended
                and start["runner"] in self.runners
            ):
                return start["runner"]
        return None

    def stop(self) -> None:
        """End all processes that the case has started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.directory}")
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def is_ready(host: Host) -> bool:
    """Return whether a host reports that it is ready for callers."""
    answer = _call(host.readiness, "GET", "/api/readiness", None, {}, 1.0)
    return answer.status == 200


def run_case(
    check: Callable[[Deployment, bool], bool], directory: pathlib.Path
) -> int:
    """Run a case and return its exit code.

    Args:
        check: Plays the case and returns whether the rule held. Arguments: the
            deployment, and whether the disruption is played.
        directory: Directory of the case, for its record.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # The time limit of a case ends it with this signal.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    deployment = Deployment(directory / "record.txt")
    try:
        held = check(deployment, trouble)
    except NotRunError as error:
        deployment.write("not_run", detail=str(error))
        print(f"not run: {error}")
        return NOT_RUN
    finally:
        deployment.stop()
    deployment.write("result", held=held)
    print("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN


def _find_port_pair() -> int:
    while True:
        port = jsonserver.find_free_ports(1)[0]
        try:
            with jsonserver.socket.socket() as sock:
                sock.bind(("127.0.0.1", port + 1))
        except OSError:
            continue
        return port


def _call(
    port: int,
    method: str,
    path: str,
    body: Any,
    headers: dict[str, str],
    timeout_s: float,
) -> Answer:
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=timeout_s
    )
    try:
        content = None if body is None else json.dumps(body)
        more = {"Content-Type": "application/json"} if content else {}
        connection.request(method, path, content, headers | more)
        response = connection.getresponse()
        text = response.read()
        return Answer(response.status, json.loads(text) if text else None)
    except (OSError, http.client.HTTPException, ValueError):
        return Answer(None, None)
    finally:
        connection.close()


def _make_config() -> dict[str, Any]:
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "host": CALLER_HOST,
                "path_prefix": PREFIX,
                "kind": "non_idempotent",
                "timeout_ms": 3000,
                "target_latency_ms": 1000,
                "priority": 1,
                "service": "svc",
                "max_attempts": 2,
                "slowdown_factor": 3.0,
                "public": False,
            }
        ],
        "services": [{"name": "svc", "rejects_overload": False}],
        "limits": {},
        "tenants": [
            {
                "name": "t",
                "api_keys": [KEY],
                "priority": 1,
                "guaranteed": {"gpu": 8},
            }
        ],
    }
