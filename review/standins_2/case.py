"""A small deployment of processes for a script of the review."""

import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

import wire

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
KEY = "key-of-tenant-a"
HOST = "counter.example"
PREFIX = "/appraise/"
DEADLINE_MS = 3_000
RETRIES = 4


class CaseError(Exception):
    """The case could not run."""


def find_ports(count: int) -> list[int]:
    """Return free ports on loopback, each followed by another free one."""
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            first = stack.enter_context(socket.socket())
            first.bind(("127.0.0.1", 0))
            port = first.getsockname()[1]
            second = stack.enter_context(socket.socket())
            try:
                second.bind(("127.0.0.1", port + 1))
            except (OSError, OverflowError):
                continue
            found.append(port)
    return found


class Deployment:
    """The store, runners and hosts of a case.

    Attributes:
        hosts: Address for clients of each host, by name.
        store: Address of the store.
        adviser: Address of the recommendation service; empty without one.
    """

    def __init__(self, record: pathlib.Path) -> None:
        record.write_text("", encoding="utf-8")
        os.environ["RECORD"] = str(record)
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.processes: dict[str, subprocess.Popen] = {}
        self.hosts: dict[str, str] = {}
        self.store = f"127.0.0.1:{find_ports(1)[0]}"
        self.runners = 0
        self.adviser = ""

    def close(self) -> None:
        """End all processes that this case has started."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start_process(
        self, name: str, command: list[str], environment: dict[str, str]
    ) -> None:
        """Start a process, whose output goes to the temporary folder."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case has started."""
        wire.record("case", "signal", process=name, signal=number.name)
        self.processes[name].send_signal(number)
        if number is signal.SIGKILL:
            self.processes.pop(name).wait()

    def start_store(self) -> None:
        """Start the store and write the first configuration."""
        command = [sys.executable, str(HERE / "store.py"), self.store]
        self.start_process("store", command, dict(os.environ))
        wait_until(lambda: can_connect(self.store), 10, "the store")

    def write_config(self, version: int, config: dict[str, Any]) -> None:
        """Write a configuration as the operator does."""
        value = base64.b64encode(
            json.dumps(config | {"version": version}).encode()
        )
        row = {
            "table": "op",
            "part": "",
            "key": "config",
            "value": value.decode(),
        }
        status, _ = wire.call(
            self.store,
            "POST",
            "/api/rows-tx",
            {"expected_revision": [], "writes": [row], "remove": []},
            {"X-Writer": "platform"},
        )
        wire.record("operator", "config", version=version, status=status)

    def start_runner(self, rack: str, kind: str = "a") -> str:
        """Start a runner and return its id."""
        self.runners += 1
        name = f"i-{self.runners:010x}"
        address = f"127.0.0.1:{find_ports(1)[0]}"
        command = [sys.executable, str(HERE / "runner.py"), "--id", name]
        command += ["--address", address, "--store", self.store]
        command += ["--rack", rack, "--kind", kind] + ["--advised"] * bool(
            self.adviser
        )
        self.start_process(name, command, dict(os.environ))
        wire.record("case", "runner", id=name, rack=rack, kind=kind)
        return name

    def start_adviser(self) -> None:
        """Start the recommendation service, before the runners and hosts."""
        self.adviser = f"127.0.0.1:{find_ports(1)[0]}"
        command = [sys.executable, str(HERE / "adviser.py"), self.adviser]
        self.start_process("adviser", command, dict(os.environ))
        wait_until(lambda: can_connect(self.adviser), 10, "the adviser")

    def start_host(self, name: str, store: str = "") -> None:
        """Start a host with the command of the deploy file."""
        caller, ready, internal = find_ports(3)
        settings = self.folder / f"{name}.conf"
        settings.write_text(
            make_settings(
                name,
                caller,
                ready,
                internal,
                store or self.store,
                self.adviser,
            ),
            encoding="utf-8",
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CYCLAMENSHELF_SETTINGS": str(settings),
        }
        self.start_process(
            name, deploy["roles"]["host"]["run"].split(), environment
        )
        self.hosts[name] = f"127.0.0.1:{caller}"
        readiness = f"127.0.0.1:{ready}"

        def is_ready() -> bool:
            with contextlib.suppress(OSError):
                return wire.call(readiness, "GET", "/api/readiness")[0] == 200
            return False

        wait_until(is_ready, 20, f"{name} is ready")
        wire.record("case", "host_ready", host=name)

    def start(self, hosts: int, racks: list[str]) -> None:
        """Start a whole deployment: the store, runners and hosts."""
        self.start_store()
        self.write_config(1, make_config())
        for rack in racks:
            self.start_runner(rack)
        for number in range(hosts):
            self.start_host(f"frontend-zone-a-{number + 1}")
        time.sleep(3)

    def call(
        self,
        host: str,
        method: str,
        name: str,
        value: Any = None,
        prefix: str = PREFIX,
    ) -> tuple[int, Any]:
        """Send one call of a client; status 0 says that none was answered."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Cyclamenshelf-Deadline-Ms": str(DEADLINE_MS),
        }
        try:
            status, answer = wire.call(
                self.hosts[host],
                method,
                prefix + name,
                value,
                headers,
                DEADLINE_MS / 1_000,
            )
        except OSError as error:
            status, answer = 0, {"detail": repr(error)}
        wire.record(
            "client",
            "call",
            host=host,
            method=method,
            name=name,
            status=status,
            answer=answer,
        )
        return status, answer

    def submit(
        self, name: str, job: dict[str, Any], prefix: str = PREFIX
    ) -> bool:
        """Hand a job in, with a client's retries; return if it is accepted."""
        names = list(self.hosts)
        for attempt in range(1 + RETRIES):
            host = names[attempt % len(names)]
            status, _ = self.call(host, "POST", name, job, prefix)
            if 200 <= status < 300:
                return True
            time.sleep(1 if status in (429, 503) else 0.1)
        return False

    def get_state(self, name: str, prefix: str = PREFIX) -> str:
        """Ask for the state of a job; empty if there is no answer."""
        for host in self.hosts:
            status, answer = self.call(host, "GET", name, prefix=prefix)
            if status == 200:
                return answer["state"]
            if status == 410:
                return "unknown"
        return ""


def make_settings(
    name: str,
    caller: int,
    ready: int,
    internal: int,
    store: str,
    adviser: str,
) -> str:
    """Return a settings file in the format of DEPLOY.md."""
    return "\n".join(
        [
            f"node_name={name}",
            "role=host",
            "machine_class=frontend",
            "serves=frontend",
            "ip_address=127.0.0.1",
            "zone=zone-a",
            "region=region",
            "zones.zone-a=region",
            f"listen_addresses.front_addr=127.0.0.1:{caller}",
            f"listen_addresses.readiness_addr=127.0.0.1:{ready}",
            f"internal_port_range={internal},{internal + 1}",
            "bootstrap=true",
            "limits.cpu_share=0.537",
            "limits.cpu_cores=2",
            "limits.memory_limit_mb=300",
            "limits.file_descriptors=4100",
            "bounds.grace_period_s=6",
            "bounds.max_hold_ms=6000",
            "bounds.status_s=120",
            "commands=call",
            f"recommendation={adviser}",
            f"platform.address={store}",
            "platform.form=table",
            "platform.max_row_bytes=65536",
            "platform.cross_partition=true",
            "platform.history_s=20",
            "",
        ]
    )


def make_config() -> dict[str, Any]:
    """Return a configuration with one queue, one service and one tenant."""
    return {
        "routes": [
            {
                "name": "drive-diagnostic",
                "host": HOST,
                "path_prefix": PREFIX,
                "kind": "non_idempotent",
                "timeout_ms": 3_000,
                "target_latency_ms": 1_000,
                "priority": 1,
                "service": "appraisal-desk",
                "max_attempts": 2,
                "slowdown_factor": 3.0,
                "public": False,
            }
        ],
        "services": [{"name": "appraisal-desk", "rejects_overload": False}],
        "limits": {},
        "tenants": [
            {
                "name": "tenant-a",
                "api_keys": [KEY],
                "guaranteed": {"gpu": 8},
            }
        ],
    }


def can_connect(address: str) -> bool:
    """Return whether a server listens at an address."""
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError):
        socket.create_connection((host, int(port)), 0.5).close()
        return True
    return False


def wait_until(
    condition: Any, timeout_s: float, what: str, pause_s: float = 0.05
) -> Any:
    """Wait for a condition and return its value.

    Raises:
        CaseError: It did not come true in time.
    """
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        if value := condition():
            return value
        time.sleep(pause_s)
    raise CaseError(f"not within {timeout_s} s: {what}")


def read_events(**wanted: Any) -> list[dict[str, Any]]:
    """Return the recorded events whose fields have these values."""
    with open(os.environ["RECORD"], encoding="utf-8") as file:
        events = [json.loads(line) for line in file if line.endswith("}\n")]
    return [
        event
        for event in events
        if all(event.get(name) == value for name, value in wanted.items())
    ]


def run(record: pathlib.Path, play: Any) -> int:
    """Play a case in a new deployment; return its exit code.

    Args:
        record: The file for what was sent, answered and run.
        play: Returns how the rule was broken, or an empty text.
    """
    deployment = Deployment(record)
    try:
        broken = play(deployment)
    except Exception as error:  # noqa: BLE001 - no verdict on the rule
        wire.record("case", "could_not_run", detail=repr(error))
        print("the case could not run:", error)
        return NOT_RUN
    finally:
        if folder := os.environ.get("KEEP_LOGS", ""):
            shutil.copytree(deployment.folder, folder, dirs_exist_ok=True)
        deployment.close()
    wire.record("case", "verdict", broken=broken)
    print("broken:" if broken else "held", broken)
    return BROKEN if broken else HELD
