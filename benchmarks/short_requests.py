"""Measure short requests of small accounts beside a flooding one.

A daemon, stand-ins and load generators run as processes on loopback. Each
account sends at the same small rate in the calm part; in the flooded part one
account sends at `--factor` times the capacity of the backend servers. Arrivals
are Poisson, and a latency counts from the scheduled arrival.

Usage:
  short_requests [options]

Options:
  --seed=N        Seed of the arrivals [default: 1].
  --seconds=N     Length of each part [default: 30].
  --factor=N      Flood, as a multiple of the capacity [default: 20].
  --run-ms=N      Run time of a request [default: 200].
  --backends=N    Backend servers [default: 4].
  --slots=N       Slots of each [default: 4].
  --threads=N     Threads of the callers' server [default: 64].
  --checkout=DIR  Run the daemon of another checkout.
"""

import hashlib
import json
import math
import multiprocessing
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import docopt
import hdrh.histogram
import urllib3
import yaml

from cyclamenshelf_standin import backendservice
from cyclamenshelf_standin import platform as platforms

ACCOUNTS = ("bulk", "small1", "small2", "small3")
_CALM_LOAD = 0.3  # Fraction of the capacity, all accounts together.
_FLOOD_PROCESSES = 4
_MAX_IN_FLIGHT = 96  # Concurrent requests of one load generator.
_WARM_UP_S = 3
_SPAWN_CONTEXT = multiprocessing.get_context("spawn")


def make_plans():
    """Return the plans list; the token of each account is its name."""
    return yaml.safe_dump(
        {
            "accounts": {
                name: {
                    "plan": "standard",
                    "token_sha256": [hashlib.sha256(name.encode()).hexdigest()],
                }
                for name in ACCOUNTS
            }
        }
    )


def serve_standins(backends, slots, connection, stopping):
    """Run the platform's stand-ins until `stopping` is set.

    Sends their URLs on the connection, and at the end the number of requests
    that the backend servers ran.
    """
    platform = platforms.start_platform(
        workers=0,
        backends=0,
        plans=make_plans(),
        allowances=platforms.DEFAULT_ALLOWANCES.replace("1000\n", "1000000\n"),
    )
    states = [
        backendservice.Backend(f"b{index}", slots) for index in range(backends)
    ]
    servers = []
    for state in states:
        server = backendservice.start_backend(state, threads=4 * slots)
        servers.append(server)
        platform.hosts.hosts[state.id] = {
            "id": state.id,
            "kind": "backend",
            "state": "live",
            "address": f"http://127.0.0.1:{server.port}/{state.id}",
            "service": platforms.SERVICE,
            "slots": slots,
        }
    connection.send(
        (platform.table_url, platform.objects_url, platform.hosts_url)
    )
    stopping.wait()
    for server in servers:
        server.stop()
    platforms.stop_platform(platform)
    connection.send(sum(len(state.records) for state in states))


def start_daemon(urls, directory, threads, checkout):
    """Start a daemon process; return it with the port for callers."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    key = pathlib.Path(directory, "key")
    key.write_text("key of the benchmark", encoding="utf-8")
    values = {
        "host_id": "e0",
        "data_centre": "dc0",
        "cell": "c0",
        "listen_host": "127.0.0.1",
        "caller_port": port,
        "operator_port": 0,
        "peer_port": 0,
        "caller_threads": threads,
        "table_url": urls[0],
        "objects_url": urls[1],
        "hosts_url": urls[2],
        "peer_key_file": str(key),
        "operator_token_sha256": platforms.DEMO_OPERATOR_SHA256,
    }
    settings_path = pathlib.Path(directory, "settings.yaml")
    settings_path.write_text(yaml.safe_dump(values), encoding="utf-8")
    environment = dict(os.environ)
    if checkout:
        environment["PYTHONPATH"] = os.pathsep.join(
            str(path) for path in pathlib.Path(checkout).glob("packages/*/src")
        )
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "cyclamenshelf_daemon.main",
            f"--settings={settings_path}",
        ],
        env=environment,
        stderr=subprocess.DEVNULL,
    )
    return process, port


def send_load(port, account, rate, seconds, run_ms, seed, results):
    """Send requests with Poisson arrivals; put their outcomes on `results`."""
    rng = random.Random(seed)
    pool = urllib3.PoolManager(maxsize=_MAX_IN_FLIGHT, retries=False)
    url = f"http://127.0.0.1:{port}/v1/services/{platforms.SERVICE}/requests"
    headers = {"Authorization": f"Bearer {account}"}
    body = json.dumps({"run_ms": run_ms, "answer": "price"})
    latencies_us, statuses = [], []
    in_flight = threading.BoundedSemaphore(_MAX_IN_FLIGHT)

    def send_request(arrival_s):
        try:
            response = pool.request(
                "POST", url, body=body, headers=headers, timeout=20
            )
            succeeded = response.status == 200 and response.data == b"price"
            statuses.append("answered" if succeeded else str(response.status))
            if succeeded:
                latency_s = time.monotonic() - arrival_s
                latencies_us.append(int(latency_s * 1e6))
        except urllib3.exceptions.HTTPError as error:
            statuses.append(type(error).__name__)
        finally:
            in_flight.release()

    started_s = time.monotonic()
    arrival_s, arrivals = started_s, 0
    while True:
        arrival_s += rng.expovariate(rate)
        if arrival_s > started_s + seconds:
            break
        arrivals += 1
        time.sleep(max(0, arrival_s - time.monotonic()))
        if in_flight.acquire(blocking=False):
            threading.Thread(target=send_request, args=(arrival_s,)).start()
        else:
            statuses.append("unsent")
    for _ in range(_MAX_IN_FLIGHT):
        in_flight.acquire()
    results.put((account, arrivals, latencies_us, statuses))


def run_part(port, rates, seconds, run_ms, seed):
    """Run one part; return arrivals, latencies and statuses by account."""
    results = _SPAWN_CONTEXT.Queue()
    load_arguments = []
    for index, (account, rate) in enumerate(rates.items()):
        parts = _FLOOD_PROCESSES if rate > 200 else 1
        load_arguments += [
            (
                port,
                account,
                rate / parts,
                seconds,
                run_ms,
                seed * 100 + 10 * index + part,
                results,
            )
            for part in range(parts)
        ]
    processes = [
        _SPAWN_CONTEXT.Process(target=send_load, args=arguments)
        for arguments in load_arguments
    ]
    for process in processes:
        process.start()
    totals = {
        account: [0, hdrh.histogram.HdrHistogram(1, 60_000_000, 3), {}]
        for account in rates
    }
    for _ in processes:
        account, arrivals, latencies_us, statuses = results.get()
        total = totals[account]
        total[0] += arrivals
        for latency_us in latencies_us:
            total[1].record_value(latency_us)
        for status in statuses:
            total[2][status] = total[2].get(status, 0) + 1
    for process in processes:
        process.join()
    return totals


def get_answered_share(statuses, arrivals):
    """Return the share of the requests that were answered."""
    return divide(statuses.get("answered", 0), arrivals)


def divide(value, base):
    """Return the ratio; not a number if the base is 0."""
    return value / base if base else math.nan


def report(part, totals, seconds):
    """Print throughput and latency, one line per account."""
    for account, (arrivals, histogram, statuses) in totals.items():
        print(
            f"{part:7} {account:7} sent {arrivals / seconds:7.1f}/s "
            f"answered {get_answered_share(statuses, arrivals):7.2%} "
            f"p50 {histogram.get_value_at_percentile(50) / 1000:7.1f} ms "
            f"p99 {histogram.get_value_at_percentile(99) / 1000:7.1f} ms "
            f"{statuses}"
        )


def report_ratios(calm, flooded):
    """Print flooded-to-calm ratios of the small accounts' results."""
    for account in ACCOUNTS[1:]:
        answered = [
            get_answered_share(totals[account][2], totals[account][0])
            for totals in (calm, flooded)
        ]
        p99 = [
            totals[account][1].get_value_at_percentile(99)
            for totals in (calm, flooded)
        ]
        print(
            f"ratio   {account:7} throughput {divide(*answered[::-1]):.3f} "
            f"p99 {divide(*p99[::-1]):.2f}"
        )


def main():
    arguments = docopt.docopt(__doc__)
    seed, seconds = int(arguments["--seed"]), int(arguments["--seconds"])
    run_ms, slots = int(arguments["--run-ms"]), int(arguments["--slots"])
    backends = int(arguments["--backends"])
    capacity = backends * slots * 1000 / run_ms
    print(f"seed {seed}, {seconds} s each, capacity {capacity:.0f}/s")
    connection, child_connection = _SPAWN_CONTEXT.Pipe()
    stopping = _SPAWN_CONTEXT.Event()
    standins = _SPAWN_CONTEXT.Process(
        target=serve_standins,
        args=(backends, slots, child_connection, stopping),
    )
    standins.start()
    urls = connection.recv()
    calm_rates = dict.fromkeys(ACCOUNTS, capacity * _CALM_LOAD / len(ACCOUNTS))
    flood_rates = {"bulk": capacity * int(arguments["--factor"])}
    try:
        with tempfile.TemporaryDirectory() as directory:
            daemon, port = start_daemon(
                urls,
                directory,
                int(arguments["--threads"]),
                arguments["--checkout"],
            )
            try:
                time.sleep(_WARM_UP_S)
                run_part(port, calm_rates, _WARM_UP_S, run_ms, seed)
                calm = run_part(port, calm_rates, seconds, run_ms, seed)
                report("calm", calm, seconds)
                flooded = run_part(
                    port, calm_rates | flood_rates, seconds, run_ms, seed
                )
                report("flooded", flooded, seconds)
                print(f"daemon cpu {read_cpu_s(daemon.pid):.1f} s")
            finally:
                daemon.send_signal(signal.SIGTERM)
                daemon.wait()
        report_ratios(calm, flooded)
    finally:
        stopping.set()
        print(f"requests run by the stand-ins {connection.recv()}")
        standins.join()


def read_cpu_s(pid):
    """Return the processor time that a process has used."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(stat[13]) + int(stat[14])) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    main()
