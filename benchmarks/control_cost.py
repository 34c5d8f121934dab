"""Measure what a quiet daemon costs, at several numbers of entry hosts.

Starts the stand-ins of the platform and the daemons as processes of their own
on loopback, lets them settle, and reports for each daemon its CPU share, its
resident memory and the traffic of its gossip socket.

Usage:
  control_cost.py [--hosts=LIST] [--seconds=N] [--settle=N] [--threads=N]

Options:
  --hosts=LIST  Numbers of daemons, in turn [default: 3,6,9,18].
  --seconds=N   Length of each measurement [default: 60].
  --settle=N    Seconds before each measurement [default: 15].
  --threads=N   Threads for callers of each daemon [default: 32].
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple
import urllib.request

import docopt
import yaml

from cyclamenshelf_standin import platform as platforms
from cyclamenshelf_standin import processes as standin_processes

_BUDGET = "budget: cpu 1.40% of a core, memory 128 MB, traffic 6 KB/s"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PORTS_PER_DAEMON = 3
_START_TIMEOUT_S = 60
# Length of the UDP and IPv4 headers of a datagram.
_UDP_IP_HEADER_BYTES = 28


class Daemon(NamedTuple):
    """A daemon process, its host id and the ports that others connect to."""

    host_id: str
    process: subprocess.Popen
    operator_port: int
    peer_port: int


class Sample(NamedTuple):
    """Resource usage of one daemon at one time; CPU and bytes are totals."""

    cpu_s: float
    memory_mb: float
    threads: int
    sent_bytes: int
    received_bytes: int


class Cost(NamedTuple):
    """Resource usage of one daemon over a measurement."""

    cpu_percent: float
    memory_mb: float
    threads: int
    sent_bytes_per_s: float
    received_bytes_per_s: float


def main():
    arguments = docopt.docopt(__doc__)
    print(_BUDGET)
    for text in arguments["--hosts"].split(","):
        with tempfile.TemporaryDirectory() as directory:
            measure_fleet(
                pathlib.Path(directory),
                int(text),
                seconds=int(arguments["--seconds"]),
                settle_s=int(arguments["--settle"]),
                threads=int(arguments["--threads"]),
            )


def measure_fleet(directory, host_count, *, seconds, settle_s, threads):
    processes = []
    try:
        platform = subprocess.Popen(
            [sys.executable, "-m", "cyclamenshelf_standin.platform"],
            stdout=subprocess.PIPE,
        )
        processes.append(platform)
        urls = json.loads(platform.stdout.readline())
        (directory / "key").write_text("key of the benchmark")
        # All at once, as a port is free again once its search has ended.
        ports = standin_processes.find_free_ports(
            _PORTS_PER_DAEMON * host_count
        )
        daemons = []
        for index in range(host_count):
            first = _PORTS_PER_DAEMON * index
            daemon = start_daemon(
                directory,
                f"entry-{index:02}",
                ports[first : first + _PORTS_PER_DAEMON],
                urls,
                threads,
            )
            daemons.append(daemon)
            processes.append(daemon.process)
        for daemon in daemons:
            wait_until_ready(daemon)
            register_host(urls["hosts_url"], daemon)
        time.sleep(settle_s)
        before, started = take_samples(daemons), time.monotonic()
        time.sleep(seconds)
        after, ended = take_samples(daemons), time.monotonic()
        print_costs(host_count, compute_costs(before, after, ended - started))
    finally:
        for process in reversed(processes):
            process.kill()
            process.wait()


def start_daemon(directory, host_id, ports, urls, threads):
    caller_port, operator_port, peer_port = ports
    path = directory / f"{host_id}.yaml"
    path.write_text(
        yaml.safe_dump(
            {
                "host_id": host_id,
                "data_centre": "dc0",
                "cell": "north",
                "listen_host": "127.0.0.1",
                "caller_port": caller_port,
                "operator_port": operator_port,
                "peer_port": peer_port,
                "caller_threads": threads,
                "table_url": urls["table_url"],
                "objects_url": urls["objects_url"],
                "hosts_url": urls["hosts_url"],
                "peer_key_file": str(directory / "key"),
                "operator_token_sha256": platforms.DEMO_OPERATOR_SHA256,
            }
        )
    )
    with open(directory / f"{host_id}.log", "wb") as log:
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "cyclamenshelf_daemon.main",
                f"--settings={path}",
            ],
            stderr=log,
        )
    return Daemon(host_id, process, operator_port, peer_port)


def wait_until_ready(daemon):
    deadline_s = time.monotonic() + _START_TIMEOUT_S
    while True:
        try:
            return read_json(daemon, "/readyz")
        except OSError:
            if daemon.process.poll() is not None:
                raise RuntimeError(f"{daemon.host_id} has ended") from None
            if time.monotonic() > deadline_s:
                raise
            time.sleep(0.1)


def register_host(hosts_url, daemon):
    host = {
        "kind": "entry",
        "state": "live",
        "address": f"127.0.0.1:{daemon.peer_port}",
        "data_centre": "dc0",
    }
    request = urllib.request.Request(
        f"{hosts_url}/v1/hosts/{daemon.host_id}",
        json.dumps(host).encode(),
        method="PUT",
    )
    urllib.request.urlopen(request).close()


def read_json(daemon, path):
    url = f"http://127.0.0.1:{daemon.operator_port}{path}"
    request = urllib.request.Request(
        url,
        headers={"Authorization": f"Bearer {platforms.DEMO_OPERATOR_TOKEN}"},
    )
    with urllib.request.urlopen(request) as response:
        return json.load(response)


def take_samples(daemons):
    return [read_sample(daemon) for daemon in daemons]


def read_sample(daemon):
    counters = read_json(daemon, "/v1/peers")["counters"]
    pid = daemon.process.pid
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    stat_fields = stat.rpartition(")")[2].split()
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    status_fields = dict(line.split(":\t", 1) for line in status.splitlines())
    traffic = [
        counters.get(f"{direction}_bytes", 0)
        + _UDP_IP_HEADER_BYTES * counters.get(f"{direction}_datagrams", 0)
        for direction in ("sent", "received")
    ]
    return Sample(
        (int(stat_fields[11]) + int(stat_fields[12])) / _TICKS_PER_S,
        int(status_fields["VmRSS"].split()[0]) / 1024,
        int(status_fields["Threads"]),
        *traffic,
    )


def compute_costs(before, after, elapsed_s):
    return [
        Cost(
            100 * (last.cpu_s - first.cpu_s) / elapsed_s,
            last.memory_mb,
            last.threads,
            (last.sent_bytes - first.sent_bytes) / elapsed_s,
            (last.received_bytes - first.received_bytes) / elapsed_s,
        )
        for first, last in zip(before, after, strict=True)
    ]


def print_costs(host_count, costs):
    """Print the median and maximum over the daemons of a fleet on one line."""
    fields = [f"hosts={host_count}"]
    for name in Cost._fields:
        ordered = sorted(getattr(cost, name) for cost in costs)
        fields.append(
            f"{name}={ordered[len(ordered) // 2]:.2f}/{ordered[-1]:.2f}"
        )
    print(" ".join(fields), flush=True)


if __name__ == "__main__":
    main()
