"""HTTP test servers for the platform's store, adviser and workers.

They implement the part of the platform's documented API that the adapter uses.
"""

import base64
import json
import threading

from testing.daemon.tasks import fakefleet
from testing.daemon.tasks import fakestore

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import webserver
from cyclamenshelf_daemon.tasks import ports

SERVER_THREADS = 32


# Ends in one response of a worker.
MAX_LISTED_ENDS = 500


class StoreServer:
    """A server of the platform's store API.

    Attributes:
        fake_store: Holds the rows; several servers can share one.
        busy: Whether every call is rejected with status 503.
        reads: Tables of all reads, in order.
    """

    def __init__(self, fake_store=None):
        self.fake_store = fake_store or fakestore.FakeStore()
        self.busy = False
        self.reads = []
        self.server = webserver.start_server(
            "127.0.0.1",
            0,
            self.handle,
            threads=SERVER_THREADS,
            stop_timeout_s=0,
        )

    @property
    def address(self):
        return f"127.0.0.1:{self.server.port}"

    def count_reads(self, table):
        return self.reads.count(table)

    def handle(self, request):
        if self.busy:
            return webserver.make_json(503, {})
        return {
            "/api/rows-tx": self.handle_transaction,
            "/api/rows-get": self.read,
            "/api/rows-feed": self.follow,
        }[request.path](request)

    def handle_transaction(self, request):
        body = json.loads(request.body)
        checks = {
            decode_key(row): row["row_version"]
            for row in body["expected_revision"]
        }
        entries = [
            *body["expected_revision"],
            *body["writes"],
            *body["remove"],
        ]
        parts = {row["part"] for row in entries}
        if len(parts) > 1 and not body.get("cross_partition"):
            return webserver.make_json(400, {})
        transaction = ports.Transaction(
            checks,
            {
                decode_key(row): base64.b64decode(row["value"])
                for row in body["writes"]
            },
            tuple(decode_key(row) for row in body["remove"]),
        )
        try:
            version = self.fake_store.commit(transaction, 0)
        except errors.WriteConflictError:
            current = [
                self.fake_store.rows[k]
                for k in checks
                if k in self.fake_store.rows
            ]
            return webserver.make_json(
                412, {"rows": [encode_row(row) for row in current]}
            )
        except errors.WriteRejectedError:
            return webserver.make_json(400, {})
        return webserver.make_json(200, {"row_version": version, "now_ms": 1})

    def read(self, request):
        query = request.query
        self.reads.append(query["table"])
        reading = self.fake_store.read(query["table"], 0, query.get("part", ""))
        rows = sorted(
            (
                row
                for row in reading.rows
                if row.key.key >= query.get("from", "")
                and row.key.key < query.get("target", "\x7f")
            ),
            key=lambda row: row.key.key,
        )
        limit = min(500, int(query.get("limit", 500)))
        return webserver.make_json(
            200,
            {
                "rows": [encode_row(row) for row in rows[:limit]],
                "has_more": len(rows) > limit,
                "row_version": reading.version,
                "now_ms": 1,
            },
        )

    def follow(self, request):
        query = request.query
        try:
            reading = self.fake_store.follow(
                query["table"], int(query["after"]), int(query["wait_ms"])
            )
        except errors.HistoryLostError:
            return webserver.make_json(410, {})
        return webserver.make_json(
            200,
            {
                "rows": [encode_row(row) for row in reading.rows],
                "row_version": reading.version,
                "now_ms": 1,
            },
        )


class AdviserServer:
    """A recommendation service that approves the first worker of a request.

    Attributes:
        status: Status code of the next responses.
        bodies: Decoded bodies of all requests, in order.
    """

    def __init__(self):
        self.status = 200
        self.bodies = []
        self.server = webserver.start_server(
            "127.0.0.1", 0, self.handle, threads=2, stop_timeout_s=0
        )

    @property
    def url(self):
        return f"http://127.0.0.1:{self.server.port}"

    def handle(self, request):
        assert (request.method, request.path) == ("POST", "/api/advise")
        body = json.loads(request.body)
        self.bodies.append(body)
        approved = [[body["workers"][0], "c81e-7a21d94b"]]
        return webserver.make_json(
            self.status, {"approved": approved, "validity_ms": 3000}
        )


class WorkerServer:
    """A server of the platform's worker API, backed by a fake worker.

    Attributes:
        worker: Decides on the response to each request.
        expected: Worker ids that requests expected to reach, in order.
    """

    def __init__(self, worker_id):
        self.worker = fakefleet.FakeWorker(worker_id)
        self.expected = []
        self.changed = threading.Event()
        self.server = webserver.start_server(
            "127.0.0.1", 0, self.handle, threads=8, stop_timeout_s=0
        )

    def make_entry(self, **values):
        """Return the entry that the worker writes about itself to the store."""
        return make_worker_entry(f"127.0.0.1:{self.server.port}", **values)

    def handle(self, request):
        self.expected.append(request.headers["cyclamenshelf-expected-instance"])
        body = json.loads(request.body)
        endpoint = {
            "/api/run-start": self.start,
            "/api/run-stop": self.stop,
            "/api/pace": self.pace,
            "/api/hold": self.hold,
        }[request.path]
        return endpoint(body)

    def start(self, body):
        order = ports.StartOrder(
            self.worker.info,
            body["task"],
            body["run"],
            body["specification"],
            body.get("checkpoint", ""),
            body["deadline_ms"],
            body["fencing_token"],
            body.get("ticket", ""),
        )
        return encode_refusal(self.worker.start(order, 0))

    def stop(self, body):
        order = ports.StopOrder(
            self.worker.info, body["task"], body["run"], body["fencing_token"]
        )
        return encode_refusal(self.worker.stop(order, 0))

    def pace(self, body):
        order = ports.PaceOrder(
            self.worker.info,
            body["task"],
            body["run"],
            body["percent"],
            body["fencing_token"],
        )
        return encode_refusal(self.worker.pace(order, 0))

    def hold(self, body):
        renewal = ports.Renewal(
            self.worker.info,
            body["fencing_token"],
            body.get("deadline_ms"),
            body["last_seen"],
            body["wait_ms"],
        )
        response = self.worker.renew(lambda is_new: renewal)
        if isinstance(response, ports.Refusal):
            return encode_refusal(response)
        return webserver.make_json(
            200,
            {
                "clock_ms": response.clock_ms,
                "born": response.started_ms,
                "running": [
                    [run.name, run.run, run.checkpoint, 100, run.reading]
                    for run in response.running
                ],
                "finished": [
                    list(run) for run in response.ended[:MAX_LISTED_ENDS]
                ],
            },
        )


def make_worker_entry(address, **values):
    """Return the entry of a worker in the store."""
    return json.dumps(
        {
            "service": "svc",
            "address": address,
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": 32_000,
                "memory_request_mb": 64_000,
                "gpu": 8,
            },
            "labels": ["a", "r1-3"],
            "clock_ms": 1,
            "sequence": 4,
            "born": 1,
        }
        | values
    ).encode()


REASONS = {
    ports.Refusal.FENCED: "fence",
    ports.Refusal.OLD: "old",
    ports.Refusal.NO_ROOM: "room",
    ports.Refusal.LATE: "late",
    ports.Refusal.NO_TICKET: "ticket",
}


def encode_refusal(refusal):
    if refusal is None:
        return webserver.make_json(200, {"clock_ms": 1})
    return webserver.make_json(409, {"clock_ms": 1, "reason": REASONS[refusal]})


def decode_key(row):
    return ports.RowKey(row["table"], row["key"], row["part"])


def encode_row(row):
    encoded = {
        "table": row.key.table,
        "part": row.key.part,
        "key": row.key.key,
        "row_version": row.version,
    }
    if row.value is None:
        return encoded | {"deleted": True}
    return encoded | {"value": base64.b64encode(row.value).decode()}


def make_config(version=7, keys=("key-1",)):
    """Return the value of the row that operators write to the store."""
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": "r-1",
                    "host": "host.example",
                    "path_prefix": "/q/",
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
                    "api_keys": list(keys),
                    "priority": 1,
                    "guaranteed": {"gpu": 8},
                }
            ],
        }
    ).encode()
