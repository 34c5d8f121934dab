"""Stand-in of the platform's store: rows in tables, transactions and a feed.

It follows PROTOCOL.md. The operator and the runners write by calls of their
own, below `/standin/`. Each port given serves the same rows. A port can be
told to answer slowly, with 503 or not at all, as the store does for some
machines.
"""

import argparse
import base64
import json
import sys
import threading
import time
from typing import Any

import jsonserver

_MAX_ENTRIES = 100
_MAX_PAGE_ROWS = 500
_ENTRY_LIFETIME_S = 4.5
_PROTECTED_TABLES = ("op", "servers")

Key = tuple[str, str, str]


class Store:
    """The rows, and all changes in the order of their versions."""

    def __init__(self) -> None:
        self.rows: dict[Key, tuple[int, str]] = {}
        self.changes: list[tuple[int, Key, str | None]] = []
        self.version = 0
        self.written_s: dict[Key, float] = {}
        self.changed = threading.Condition()

    def apply(self, writes: dict[Key, str], removals: list[Key]) -> int:
        """Write and remove rows at one new version; the lock is held."""
        self.version += 1
        for key, value in writes.items():
            self.rows[key] = (self.version, value)
            self.changes.append((self.version, key, value))
        for key in removals:
            if self.rows.pop(key, None) is not None:
                self.changes.append((self.version, key, None))
        self.changed.notify_all()
        return self.version


def _encode_row(key: Key, version: int, value: str | None) -> dict[str, Any]:
    row: dict[str, Any] = {
        "table": key[0],
        "part": key[1],
        "key": key[2],
        "row_version": version,
    }
    return row | ({"deleted": True} if value is None else {"value": value})


def _decode_key(entry: dict[str, Any]) -> Key:
    return (entry["table"], entry.get("part", ""), entry["key"])


def _get_now_ms() -> int:
    return int(time.monotonic() * 1000)


def _transact(store: Store, body: dict[str, Any]) -> jsonserver.Response:
    expected = {
        _decode_key(entry): entry["row_version"]
        for entry in body.get("expected_revision") or ()
    }
    writes = {
        _decode_key(entry): entry["value"] for entry in body.get("writes") or ()
    }
    removals = [_decode_key(entry) for entry in body.get("remove") or ()]
    keys = {*expected, *writes, *removals}
    parts = {key[1] for key in keys}
    if len(expected) + len(writes) + len(removals) > _MAX_ENTRIES or (
        len(parts) > 1 and not body.get("cross_partition")
    ):
        return jsonserver.Response(400, {})
    if any(key[0] in _PROTECTED_TABLES for key in (*writes, *removals)):
        return jsonserver.Response(403, {})
    with store.changed:
        current = {key: store.rows.get(key, (0, ""))[0] for key in expected}
        if current != expected:
            rows = [
                _encode_row(key, *store.rows[key])
                for key in expected
                if key in store.rows
            ]
            return jsonserver.Response(412, {"rows": rows})
        version = store.apply(writes, removals)
    return jsonserver.Response(
        200, {"row_version": version, "now_ms": _get_now_ms()}
    )


def _read(store: Store, query: dict[str, str]) -> jsonserver.Response:
    limit = min(_MAX_PAGE_ROWS, int(query.get("limit", _MAX_PAGE_ROWS)))
    first, last = query.get("from", ""), query.get("target")
    with store.changed:
        rows = sorted(
            (key, row)
            for key, row in store.rows.items()
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= first
            and (last is None or key[2] < last)
        )
        version = store.version
    page = [_encode_row(key, *row) for key, row in rows[:limit]]
    return jsonserver.Response(
        200,
        {
            "rows": page,
            "has_more": len(rows) > limit,
            "row_version": version,
            "now_ms": _get_now_ms(),
        },
    )


def _follow(store: Store, query: dict[str, str]) -> jsonserver.Response:
    after, table = int(query["after"]), query["table"]
    until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
    with store.changed:
        while True:
            rows = [
                _encode_row(key, version, value)
                for version, key, value in store.changes
                if version > after and key[0] == table
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                break
            store.changed.wait(left_s)
        version = store.version
    return jsonserver.Response(
        200, {"rows": rows, "row_version": version, "now_ms": _get_now_ms()}
    )


def _put(store: Store, body: dict[str, Any]) -> jsonserver.Response:
    """Write a row for the operator or a runner."""
    key = _decode_key(body)
    value = base64.b64encode(json.dumps(body["content"]).encode()).decode()
    with store.changed:
        store.written_s[key] = time.monotonic()
        version = store.apply({key: value}, [])
    return jsonserver.Response(200, {"row_version": version})


def _expire_entries(store: Store) -> None:
    """Remove entries of runners that have not written for long."""
    while True:
        time.sleep(0.2)
        before_s = time.monotonic() - _ENTRY_LIFETIME_S
        with store.changed:
            expired = [
                key
                for key in store.rows
                if key[0] == "servers" and store.written_s[key] < before_s
            ]
            if expired:
                store.apply({}, expired)


def main() -> None:
    """Serve the store until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("ports", type=int, nargs="+")
    arguments = parser.parse_args()
    store = Store()
    modes: dict[int, str] = {}
    last_writer = {"port": 0}

    def handle(port: int, request: jsonserver.Request) -> jsonserver.Response:
        if request.path == "/standin/put":
            return _put(store, request.body)
        if request.path == "/standin/mode":
            modes[request.body["port"]] = request.body["mode"]
            return jsonserver.Response(200, {})
        if request.path == "/standin/last-writer":
            return jsonserver.Response(200, dict(last_writer))
        if modes.get(port) == "busy":
            return jsonserver.Response(503, {})
        if modes.get(port) == "silent":
            time.sleep(60)
            raise ConnectionAbortedError
        if request.path == "/api/rows-tx":
            if request.body.get("expected_revision"):
                last_writer["port"] = port
            return _transact(store, request.body)
        if request.path == "/api/rows-get":
            return _read(store, request.query)
        if request.path == "/api/rows-feed":
            return _follow(store, request.query)
        return jsonserver.Response(404, {})

    for port in arguments.ports:
        jsonserver.start_server(
            ("127.0.0.1", port),
            lambda request, port=port: handle(port, request),
        )
    threading.Thread(target=_expire_entries, args=(store,), daemon=True).start()
    print("ready", flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    main()
