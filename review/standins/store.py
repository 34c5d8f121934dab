"""Stand-in of the platform's store, by PROTOCOL.md; run as a process.

Calls under `/control/` stand for the operator and for the runners, which
write rows that the system may not write, and switch disruptions on.
"""

import argparse
import base64
import sys
import threading
import time
from typing import Any

import servers

_TRANSACTION_S = 0.003
_MAX_ENTRIES = 100
_MAX_CALL_BYTES = 1_000_000
_MAX_PAGE = 500
# An entry of a runner is removed after three silent heartbeat intervals.
_ENTRY_LIFETIME_S = 4.5
_PROTECTED = ("op", "servers")

Key = tuple[str, str, str]


class Store:
    """The rows and their history.

    Attributes:
        rows: Version and value by table, part and key.
        lose: How many of the next transactions that insert a row of the
            table `lose_table` are done and not answered.
    """

    def __init__(self, max_row_bytes: int) -> None:
        self.max_row_bytes = max_row_bytes
        self.version = 0
        self.rows: dict[Key, tuple[int, str]] = {}
        self.history: list[tuple[int, Key, str | None]] = []
        self.heartbeats: dict[str, float] = {}
        self.changed = threading.Condition()
        self.lose = 0
        self.lose_table = ""
        self.lost = 0


def _encode(key: Key, version: int, value: str | None) -> dict[str, Any]:
    row = {
        "table": key[0],
        "part": key[1],
        "key": key[2],
        "row_version": version,
    }
    return row | ({"deleted": True} if value is None else {"value": value})


def _get_key(row: dict[str, Any]) -> Key:
    return (row["table"], row.get("part", ""), row["key"])


def _apply(store: Store, puts: dict[Key, str], removed: list[Key]) -> None:
    """Apply a transaction; the caller holds the lock."""
    store.version += 1
    for key, value in puts.items():
        store.rows[key] = (store.version, value)
        store.history.append((store.version, key, value))
    for key in removed:
        if store.rows.pop(key, None):
            store.history.append((store.version, key, None))
    store.changed.notify_all()


def _answer(store: Store, **values: object) -> tuple[int, dict[str, Any]]:
    now_ms = int(time.monotonic() * 1000)
    return 200, {"row_version": store.version, "now_ms": now_ms} | values


def _commit(store: Store, body: dict[str, Any]) -> tuple | None:
    expected = body.get("expected_revision") or []
    writes, removed = body.get("writes") or [], body.get("remove") or []
    entries = [*expected, *writes, *removed]
    size = sum(len(row["value"]) for row in writes)
    if len(entries) > _MAX_ENTRIES or size > _MAX_CALL_BYTES:
        return 400, {"reason": "size"}
    if len({row.get("part", "") for row in entries}) > 1 and not body.get(
        "cross_partition"
    ):
        return 400, {"reason": "part"}
    if any(
        len(base64.b64decode(row["value"])) > store.max_row_bytes
        for row in writes
    ):
        return 400, {"reason": "row too large"}
    if any(row["table"] in _PROTECTED for row in [*writes, *removed]):
        return 403, {"reason": "table"}
    time.sleep(_TRANSACTION_S)
    with store.changed:
        if any(
            store.rows.get(_get_key(row), (0, ""))[0] != row["row_version"]
            for row in expected
        ):
            keys = [_get_key(row) for row in expected]
            current = [
                _encode(key, *store.rows[key])
                for key in keys
                if key in store.rows
            ]
            return 412, {"rows": current}
        _apply(
            store,
            {_get_key(row): row["value"] for row in writes},
            [_get_key(row) for row in removed],
        )
        if store.lose and any(
            row["table"] == store.lose_table and row["row_version"] == 0
            for row in expected
        ):
            store.lose -= 1
            store.lost += 1
            return None
        return _answer(store)


def _get_rows(store: Store, query: dict[str, str]) -> tuple:
    table, part = query["table"], query.get("part", "")
    limit = min(_MAX_PAGE, int(query.get("limit") or _MAX_PAGE))
    with store.changed:
        keys = sorted(
            key
            for key in store.rows
            if key[:2] == (table, part)
            and key[2] >= query.get("from", "")
            and ("target" not in query or key[2] < query["target"])
        )
        rows = [_encode(key, *store.rows[key]) for key in keys[:limit]]
        return _answer(store, rows=rows, has_more=len(keys) > limit)


def _follow(store: Store, query: dict[str, str]) -> tuple:
    table, after = query["table"], int(query["after"])
    deadline = time.monotonic() + min(30_000, int(query["wait_ms"])) / 1000
    with store.changed:
        while True:
            found = {
                key: (version, value)
                for version, key, value in store.history
                if version > after and key[0] == table
            }
            left = deadline - time.monotonic()
            if found or left <= 0:
                rows = [
                    _encode(key, *row)
                    for key, row in sorted(
                        found.items(), key=lambda item: item[1][0]
                    )
                ]
                return _answer(store, rows=rows)
            store.changed.wait(left)


def _control(store: Store, path: str, body: dict[str, Any]) -> tuple:
    with store.changed:
        if path == "/control/put":
            key = (body["table"], "", body["key"])
            value = base64.b64encode(body["value"].encode()).decode()
            if body["table"] == "servers":
                store.heartbeats[body["key"]] = time.monotonic()
            _apply(store, {key: value}, [])
        elif path == "/control/lose":
            store.lose, store.lose_table = body["count"], body["table"]
        elif path == "/control/beat":
            if ("servers", "", body["key"]) not in store.rows:
                return 404, {}
            store.heartbeats[body["key"]] = time.monotonic()
        return 200, {"row_version": store.version, "lost": store.lost}


def _expire_entries(store: Store) -> None:
    while True:
        time.sleep(0.2)
        silent = time.monotonic() - _ENTRY_LIFETIME_S
        with store.changed:
            for worker_id, beat in list(store.heartbeats.items()):
                if beat < silent:
                    del store.heartbeats[worker_id]
                    _apply(store, {}, [("servers", "", worker_id)])


def main() -> None:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--max-row-bytes", type=int, default=65_536)
    arguments = parser.parse_args()
    store = Store(arguments.max_row_bytes)

    def handle(
        path: str, query: dict[str, str], body: Any, headers: dict[str, str]
    ) -> tuple | None:
        if path == "/api/rows-tx":
            return _commit(store, body)
        if path == "/api/rows-get":
            return _get_rows(store, query)
        if path == "/api/rows-feed":
            return _follow(store, query)
        if path.startswith("/control/"):
            return _control(store, path, body)
        return 404, {}

    server = servers.start(arguments.port, handle)
    threading.Thread(target=_expire_entries, args=(store,), daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    sys.exit(main())
