"""All stand-ins of the platform, in one process.

Run with `python -m cyclamenshelf_standin.platform`.

Usage:
  platform [options]

Options:
  --port-base=N  First of five TCP ports; 0 picks free ones [default: 0].
  --workers=N    Number of workers [default: 8].
  --racks=N      Number of racks they stand in [default: 2].
  --backends=N   Number of backend servers [default: 4].

The chosen ports are printed as one line of JSON.
"""

import hashlib
import json
import threading
from typing import NamedTuple

import docopt

from cyclamenshelf_daemon import webserver
from cyclamenshelf_standin import backendservice
from cyclamenshelf_standin import faults
from cyclamenshelf_standin import hostservice
from cyclamenshelf_standin import objectstore
from cyclamenshelf_standin import tableservice
from cyclamenshelf_standin import workerservice

DEMO_TOKEN = "demo-token"
DEMO_OPERATOR_TOKEN = "demo-operator"
DEMO_OPERATOR_SHA256 = hashlib.sha256(DEMO_OPERATOR_TOKEN.encode()).hexdigest()
_THREADS_PER_SERVER = 24
_ACCELERATORS_PER_WORKER = 8
_SLOTS_PER_BACKEND = 8
SERVICE = "shelfprice"

DEFAULT_PLANS = f"""\
accounts:
  demo:
    plan: standard
    token_sha256: [{hashlib.sha256(DEMO_TOKEN.encode()).hexdigest()}]
"""

DEFAULT_ALLOWANCES = """\
plans:
  standard:
    weight: 1
    max_queued_jobs: 10000
    max_accelerators: 1000
    request_rate_per_s: 1000
    guarantees: []
"""


class Platform(NamedTuple):
    """Addresses, state and HTTP servers of the running stand-ins."""

    table_url: str
    objects_url: str
    hosts_url: str
    workers_url: str
    backends_url: str
    table: tableservice.Table
    objects: objectstore.ObjectStore
    hosts: hostservice.HostRegistry
    workers: dict[str, workerservice.Worker]
    backends: dict[str, backendservice.Backend]
    table_faults: faults.Faults
    objects_faults: faults.Faults
    hosts_faults: faults.Faults
    servers: tuple[webserver.Server, ...]


def start_platform(
    *,
    workers: int = 8,
    racks: int = 2,
    backends: int = 4,
    accelerators: int = _ACCELERATORS_PER_WORKER,
    port_base: int = 0,
    plans: str = DEFAULT_PLANS,
    allowances: str = DEFAULT_ALLOWANCES,
) -> Platform:
    """Start all stand-ins and store the first version of the configuration."""
    table, objects = tableservice.Table(), objectstore.ObjectStore()
    hosts = hostservice.HostRegistry()
    worker_states = {
        f"w{index}": workerservice.Worker(f"w{index}", accelerators)
        for index in range(workers)
    }
    backend_states = {
        f"b{index}": backendservice.Backend(f"b{index}", _SLOTS_PER_BACKEND)
        for index in range(backends)
    }
    service_faults = [faults.Faults() for _ in range(3)]
    handlers = [
        faults.wrap_handler(handler, handler_faults)
        for handler, handler_faults in zip(
            (
                tableservice.make_handler(table),
                objectstore.make_handler(objects),
                hostservice.make_handler(hosts),
            ),
            service_faults,
            strict=True,
        )
    ]
    handlers.append(workerservice.make_handler(worker_states))
    handlers.append(backendservice.make_handler(backend_states))
    servers = tuple(
        webserver.start_server(
            "127.0.0.1",
            port_base + index if port_base else 0,
            handler,
            threads=_THREADS_PER_SERVER,
            stop_timeout_s=0.1,
        )
        for index, handler in enumerate(handlers)
    )
    urls = [f"http://127.0.0.1:{server.port}" for server in servers]
    _store_configuration(table, plans, allowances)
    _register_hosts(hosts, worker_states, backend_states, racks, urls)
    return Platform(
        *urls,
        table,
        objects,
        hosts,
        worker_states,
        backend_states,
        *service_faults,
        servers,
    )


def stop_platform(platform: Platform) -> None:
    """Stop the HTTP servers of all stand-ins."""
    for server in platform.servers:
        server.stop()


def _store_configuration(
    table: tableservice.Table, plans: str, allowances: str
) -> None:
    value = {
        "version": 1,
        "plans": plans,
        "allowances": allowances,
        "author": "stand-in",
        "time_ms": 0,
    }
    tableservice.apply_transaction(
        table,
        {
            "id": "initial",
            "puts": [
                {"key": "config/current", "value": value},
                {"key": "config/head", "value": {"version": 1}},
                {"key": "config/history/00000001", "value": value},
            ],
        },
    )


def _register_hosts(
    hosts: hostservice.HostRegistry,
    workers: dict[str, workerservice.Worker],
    backends: dict[str, backendservice.Backend],
    racks: int,
    urls: list[str],
) -> None:
    for index, worker in enumerate(workers.values()):
        hosts.hosts[worker.id] = {
            "id": worker.id,
            "kind": "worker",
            "state": "live",
            "address": f"{urls[3]}/{worker.id}",
            "data_centre": "dc0",
            "rack": f"r{index * racks // len(workers)}",
            "accelerators": worker.accelerators,
        }
    for backend in backends.values():
        hosts.hosts[backend.id] = {
            "id": backend.id,
            "kind": "backend",
            "state": "live",
            "address": f"{urls[4]}/{backend.id}",
            "data_centre": "dc0",
            "service": SERVICE,
            "slots": backend.slots,
        }


def _main() -> None:
    arguments = docopt.docopt(__doc__)
    platform = start_platform(
        port_base=int(arguments["--port-base"]),
        workers=int(arguments["--workers"]),
        racks=int(arguments["--racks"]),
        backends=int(arguments["--backends"]),
    )
    print(
        json.dumps(
            {
                name: getattr(platform, name)
                for name in platform._fields
                if name.endswith("_url")
            }
        ),
        flush=True,
    )
    threading.Event().wait()


if __name__ == "__main__":
    _main()
