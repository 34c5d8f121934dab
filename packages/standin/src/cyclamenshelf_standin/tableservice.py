"""Stand-in for the platform's transactional table service."""

import bisect
import json
import threading
from typing import Any

from cyclamenshelf_daemon import webserver

MAX_TRANSACTION_ROWS = 100
MAX_SCAN_ROWS = 1_000


class Table:
    """Rows by key and counters of the operations on them.

    Attributes:
        rows: Rows by key.
        keys: Keys of all rows, sorted.
        revision: Increases by 1 with every transaction; a written row gets
            it as its version.
        transactions: Number of applied transactions.
        rows_written: Number of rows that were put or deleted.
        reads: Number of get and scan requests.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.rows: dict[str, dict[str, Any]] = {}
        self.keys: list[str] = []
        self.revision = 0
        self.transactions = 0
        self.rows_written = 0
        self.reads = 0


def make_handler(table: Table) -> webserver.Handler:
    """Return an HTTP handler that serves the table."""

    def transact(request: webserver.Request) -> webserver.Response:
        body = json.loads(request.body)
        rows = len(body.get("puts", [])) + len(body.get("deletes", []))
        if rows > MAX_TRANSACTION_ROWS:
            return webserver.make_json(400, {"code": "too_many_rows"})
        with table.lock:
            failed_checks = _find_failed_checks(table, body.get("checks", []))
            if failed_checks:
                return webserver.make_json(409, {"failed": failed_checks})
            apply_transaction(table, body)
            return webserver.make_json(200, {"revision": table.revision})

    def get_rows(request: webserver.Request) -> webserver.Response:
        keys = json.loads(request.body)["keys"]
        with table.lock:
            table.reads += 1
            rows = [table.rows[key] for key in keys if key in table.rows]
        return webserver.make_json(200, {"rows": rows})

    def scan_rows(request: webserver.Request) -> webserver.Response:
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        limit = min(int(request.query.get("limit", "100")), MAX_SCAN_ROWS)
        with table.lock:
            table.reads += 1
            start = bisect.bisect_left(table.keys, prefix)
            if after:
                start = max(start, bisect.bisect_right(table.keys, after))
            rows = []
            for key in table.keys[start : start + limit]:
                if not key.startswith(prefix):
                    break
                rows.append(table.rows[key])
        return webserver.make_json(200, {"rows": rows})

    def get_stats(request: webserver.Request) -> webserver.Response:
        return webserver.make_json(
            200,
            {
                "transactions": table.transactions,
                "rows_written": table.rows_written,
                "reads": table.reads,
            },
        )

    return webserver.make_router(
        [
            ("POST", "/v1/transactions", transact),
            ("POST", "/v1/rows:get", get_rows),
            ("GET", "/v1/rows", scan_rows),
            ("GET", "/stats", get_stats),
        ]
    )


def _find_failed_checks(table: Table, checks: list[dict]) -> list[dict]:
    current_rows = [
        {
            "key": check["key"],
            "version": table.rows.get(check["key"], {"version": 0})["version"],
        }
        for check in checks
    ]
    return [
        row
        for row, check in zip(current_rows, checks, strict=True)
        if row["version"] != check["version"]
    ]


def apply_transaction(table: Table, body: dict[str, Any]) -> None:
    """Apply puts and deletes without version checks.

    The caller must hold the lock of the table.
    """
    table.revision += 1
    table.transactions += 1
    for put in body.get("puts", []):
        key = put["key"]
        if key not in table.rows:
            bisect.insort(table.keys, key)
        table.rows[key] = {
            "key": key,
            "version": table.revision,
            "transaction": body["id"],
            "value": put["value"],
        }
        table.rows_written += 1
    for key in body.get("deletes", []):
        if table.rows.pop(key, None) is not None:
            table.keys.pop(bisect.bisect_left(table.keys, key))
            table.rows_written += 1
