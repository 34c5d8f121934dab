"""A small deployment of real processes, for the scripts of the cases.

It has the hosts of the product, started by the command of the deploy file,
and stand-ins of the store and of the runners, all on loopback addresses.
"""

from collections.abc import Callable
import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any
from typing import NamedTuple

STANDINS = pathlib.Path(__file__).resolve().parent
ROOT = STANDINS.parents[1]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
SERVICE = "appraisal-desk"
HOST_NAME = "shop.example"
PREFIX = "/quotes/"
KEY = "key-1"
_READY_TIMEOUT_S = 20
# A script may take 120 s.
_MAX_PLAY_S = 115
_MIN_PORT, _MAX_PORT = 20_000, 32_000

# Bounds of the two small sites; the first differs between them.
_SETTINGS = """\
node_name={name}
role=host
machine_class=frontend
serves=frontend
ip_address=127.0.0.1
zone=llanelli-a
region=cymru-south
zones.llanelli-a=cymru-south
listen_addresses.front_addr=127.0.0.1:{front}
listen_addresses.readiness_addr=127.0.0.1:{readiness}
internal_port_range={internal},{last_internal}
bootstrap=true
limits.cpu_share=0.537
limits.cpu_cores=2
limits.memory_limit_mb=300
limits.file_descriptors=4100
heartbeat_interval_ms=1500
contracts=base,drain,config,cost,recover,sched,tenants,platform
bounds.contact_timeout_ms=3000
bounds.ack_timeout_ms=4000
bounds.drain_timeout_ms=2000
bounds.grace_period_s=6
bounds.config_apply_ms=2000
bounds.strict_revocation=true
bounds.revocation_ms=5000
bounds.max_hold_ms={max_hold_ms}
bounds.stop_timeout_ms=900
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
commands=call
platform.address=127.0.0.1:{store}
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.transaction_timeout_ms=3.0
platform.part_writes_per_s=300
platform.max_row_bytes=65536
platform.cross_partition=true
platform.history_s=20
"""


class Answer(NamedTuple):
    """The answer to a client's call; status 0 if there was none."""

    status: int
    body: Any


class Case:
    """A deployment, and the record of what is sent, answered and run.

    Attributes:
        events: Events of the runners in the order of their arrival.
        trouble: Whether the disruption is played.
    """

    def __init__(self, record: pathlib.Path, max_hold_ms: int = 6_000) -> None:
        self.record = record.open("w", encoding="utf-8")
        self.started_at = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.max_hold_ms = max_hold_ms
        self.directory = pathlib.Path(tempfile.mkdtemp())
        self.lock = threading.Lock()
        self.events: list[dict[str, Any]] = []
        self.processes: list[subprocess.Popen] = []
        self.readiness: dict[int, int] = {}
        self.store_port = find_free_ports(1)[0]


def run(
    play: Callable[[Case], bool], record: pathlib.Path, **terms: int
) -> int:
    """Play a case; return its exit code.

    Args:
        play: Plays the case; returns whether the rule held.
        record: File to which the record is written.
        terms: Further arguments of `Case`.
    """
    case = Case(record, **terms)
    # The processes are ended, too, if the script is told to stop or takes
    # too long.
    signal.signal(signal.SIGTERM, _stop)
    signal.signal(signal.SIGALRM, _stop)
    signal.alarm(_MAX_PLAY_S)
    note(case, "the case begins", trouble=case.trouble)
    try:
        held = play(case)
    except Exception as error:  # noqa: BLE001 - any error means: not run
        note(case, "could not run", error=repr(error))
        return COULD_NOT_RUN
    finally:
        for process in case.processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in case.processes:
            process.wait()
        shutil.rmtree(case.directory, ignore_errors=True)
    note(case, "the rule held" if held else "THE RULE WAS BROKEN")
    return HELD if held else BROKEN


def _stop(number: int, frame: object) -> None:
    sys.exit(COULD_NOT_RUN)


def note(case: Case, what: str, **values: object) -> None:
    """Add a line to the record."""
    with case.lock:
        seconds = time.monotonic() - case.started_at
        details = json.dumps(values) if values else ""
        case.record.write(f"{seconds:8.3f}  {what}  {details}\n")
        case.record.flush()


def find_free_ports(count: int) -> list[int]:
    """Return free ports that follow each other.

    They are below those that the kernel gives to outgoing connections, which
    could take one before its server starts.
    """
    while True:
        first = random.randrange(_MIN_PORT, _MAX_PORT - count)
        ports = list(range(first, first + count))
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in ports:
                probe = stack.enter_context(socket.socket())
                probe.bind(("127.0.0.1", port))
            return ports


def start_store(case: Case) -> None:
    """Start the store and write the first configuration to it."""
    _start_standin(case, "store.py", "--port", str(case.store_port))
    wait_until(
        lambda: _is_listening(case.store_port), _READY_TIMEOUT_S, "the store"
    )
    write_configuration(case, 1, (KEY, "key-2"))


def write_configuration(
    case: Case, version: int, keys: tuple[str, ...], max_attempts: int = 2
) -> None:
    """Write a configuration as the operator does."""
    configuration = {
        "version": version,
        "routes": [
            {
                "name": f"r-{name}",
                "host": HOST_NAME,
                "path_prefix": f"/{name}/",
                "kind": "non_idempotent",
                "timeout_ms": 3000,
                "target_latency_ms": 1000,
                "priority": priority,
                "service": SERVICE,
                "max_attempts": max_attempts,
                "slowdown_factor": 3.0,
                "public": False,
            }
            for priority, name in enumerate(("urgent", "quotes", "bulk"))
        ],
        "services": [{"name": SERVICE, "rejects_overload": False}],
        "limits": {},
        "tenants": [
            {
                "name": "t-1",
                "api_keys": list(keys),
                "guaranteed": {"gpu": 8},
            }
        ],
    }
    row = {"table": "op", "key": "config", "value": json.dumps(configuration)}
    control_store(case, "put", row)
    note(case, "configuration acknowledged", version=version, keys=keys)


def control_store(case: Case, name: str, body: dict[str, Any]) -> Any:
    """Call the store as the operator, or as who plays the disruption."""
    return _call(case.store_port, "POST", f"/control/{name}", body, 5).body


def start_worker(
    case: Case, worker_id: str, port: int, *arguments: str
) -> subprocess.Popen:
    """Start a life of a runner; its events go to the record."""
    process = _start_standin(
        case,
        "worker.py",
        *("--id", worker_id, "--port", str(port)),
        *("--store", f"127.0.0.1:{case.store_port}"),
        *("--max-hold-ms", str(case.max_hold_ms)),
        *arguments,
    )
    threading.Thread(
        target=_read_events, args=(case, process), daemon=True
    ).start()
    wait_until(lambda: _is_listening(port), _READY_TIMEOUT_S, worker_id)
    return process


def start_proxy(case: Case, target: int) -> tuple[subprocess.Popen, int]:
    """Start a link to a port; return its process and its own port."""
    port = find_free_ports(1)[0]
    process = _start_standin(
        case, "proxy.py", "--port", str(port), "--target", str(target)
    )
    wait_until(lambda: _is_listening(port), _READY_TIMEOUT_S, "the link")
    return process, port


def _start_standin(case: Case, name: str, *arguments: str) -> subprocess.Popen:
    process = subprocess.Popen(
        [sys.executable, str(STANDINS / name), *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    case.processes.append(process)
    return process


def _read_events(case: Case, process: subprocess.Popen) -> None:
    for line in process.stdout or ():
        event = json.loads(line)
        event["at"] = event["at"] - case.started_at
        with case.lock:
            case.events.append(event)
        note(case, "runner", **event)


def start_host(case: Case, name: str) -> int:
    """Start a host by the deploy file; return its port for clients."""
    front, readiness, *internal = find_free_ports(6)
    path = case.directory / f"{name}.conf"
    path.write_text(
        _SETTINGS.format(
            name=name,
            front=front,
            readiness=readiness,
            internal=internal[0],
            last_internal=internal[-1],
            store=case.store_port,
            max_hold_ms=case.max_hold_ms,
        ),
        encoding="utf-8",
    )
    environment = {
        "PATH": os.environ["PATH"],
        "CYCLAMENSHELF_SETTINGS": str(path),
        "PYTHONPATH": str(ROOT / "target" / "deps"),
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    process = subprocess.Popen(
        ["python3", "platform/serve.py"],
        cwd=ROOT,
        env=environment,
        stdout=subprocess.PIPE,
        text=True,
    )
    case.processes.append(process)
    threading.Thread(
        target=_read_log, args=(case, name, process), daemon=True
    ).start()
    wait_until(
        lambda: (
            _call(readiness, "GET", "/api/readiness", None, 1).status == 200
        ),
        _READY_TIMEOUT_S,
        name,
    )
    return front


def _read_log(case: Case, name: str, process: subprocess.Popen) -> None:
    for line in process.stdout or ():
        note(case, f"log of {name}: {line.strip().partition(' ')[2]}")


def call(
    case: Case,
    port: int,
    method: str,
    job_id: str,
    body: Any = None,
    key: str = KEY,
    prefix: str = PREFIX,
) -> Answer:
    """Call a host as a client does, and record the call and its answer."""
    note(case, f"client sends {method} {prefix}{job_id}", key=key, body=body)
    answer = _call(
        port,
        method,
        prefix + job_id,
        body,
        4,
        {
            "Host": HOST_NAME,
            "Authorization": f"Bearer {key}",
            "Cyclamenshelf-Deadline-Ms": "3000",
        },
    )
    note(
        case,
        f"client gets {answer.status} to {method} {job_id}",
        body=answer.body,
    )
    return answer


def _call(
    port: int,
    method: str,
    path: str,
    body: Any,
    timeout_s: float,
    headers: dict[str, str] | None = None,
) -> Answer:
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=timeout_s
    )
    content = None if body is None else json.dumps(body)
    headers = {"Content-Type": "application/json"} | (headers or {})
    try:
        connection.request(method, path, content, headers)
        response = connection.getresponse()
        return Answer(response.status, json.loads(response.read() or "null"))
    except (OSError, http.client.HTTPException):
        return Answer(0, None)
    finally:
        connection.close()


def _is_listening(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), timeout=1).close()
    except OSError:
        return False
    return True


def wait_until(
    condition: Callable[[], bool], timeout_s: float, what: str
) -> None:
    """Wait for a condition.

    Raises:
        TimeoutError: It did not come about.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(what)
        time.sleep(0.02)


def find_events(
    case: Case, event: str, job_id: str = "", **values: object
) -> list[dict[str, Any]]:
    """Return the runners' events of a kind, those of a job's tasks only."""
    with case.lock:
        return [
            found
            for found in case.events
            if found["event"] == event
            and found.get("task", "").startswith(job_id)
            and all(found.get(name) == v for name, v in values.items())
        ]


def kill(case: Case, process: subprocess.Popen, what: str) -> None:
    """Kill a process as a crash does."""
    note(case, f"SIGKILL to {what}")
    process.send_signal(signal.SIGKILL)
    process.wait()


def get_seconds(case: Case) -> float:
    """Return the time since the start of the case."""
    return time.monotonic() - case.started_at


def control_worker(case: Case, port: int, body: dict[str, Any]) -> None:
    """Switch a disruption of a runner on."""
    note(case, "disruption of a runner", **body)
    _call(port, "POST", "/control", body, 5)
