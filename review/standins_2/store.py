"""The platform's store: rows with versions, transactions and a feed.

It follows the section "The platform's metadata store" of PROTOCOL.md. The
tables `op` and `servers` are written by the operator and the runners only.
"""

import base64
import json
import sys
import threading
import time
from typing import Any
import urllib.parse

import wire

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_ROW_BYTES = 65_536
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
PROTECTED = ("op", "servers")
# A runner's entry is removed after three heartbeat intervals of silence.
ENTRY_S = 4.5

Key = tuple[str, str, str]


class Loss:
    """Writes that are not answered, and done later.

    Attributes:
        key: Key of a row whose inserts are lost; empty for none.
        until_s: End of the disruption.
        delay_s: How much later such a write is done.
        writes: Number of writes during the disruption.
        lost: How many of them were lost.
    """

    key = ""
    until_s = 0.0
    delay_s = 0.0
    writes = 0
    lost = 0


changed = threading.Condition()
rows: dict[Key, dict[str, Any]] = {}
history: list[dict[str, Any]] = []
written_s: dict[Key, float] = {}
version = 1


def stamp(answer: dict[str, Any]) -> dict[str, Any]:
    """Add what all answers about rows contain."""
    now_ms = int(time.monotonic() * 1_000)
    return {"row_version": version, "now_ms": now_ms} | answer


def get_key(entry: dict[str, Any]) -> Key:
    """Return the key of a row in a call."""
    return entry["table"], entry.get("part", ""), entry["key"]


def apply(writes: list[dict[str, Any]], removed: list[Key]) -> None:
    """Apply a transaction; the caller holds the lock."""
    global version
    version += 1
    for entry in writes:
        table, part, key = get_key(entry)
        row = {
            "table": table,
            "part": part,
            "key": key,
            "value": entry["value"],
            "row_version": version,
        }
        rows[table, part, key] = row
        written_s[table, part, key] = time.monotonic()
        history.append(row)
    for table, part, key in removed:
        if rows.pop((table, part, key), None) is not None:
            history.append(
                {
                    "table": table,
                    "part": part,
                    "key": key,
                    "row_version": version,
                    "deleted": True,
                }
            )
    changed.notify_all()


def transact(headers: dict[str, str], body: bytes) -> tuple[int, Any]:
    """Answer a call of `rows-tx`."""
    call = json.loads(body)
    expected = call.get("expected_revision") or []
    writes, removed = call.get("writes") or [], call.get("remove") or []
    entries = [*expected, *writes, *removed]
    if len(entries) > MAX_ENTRIES or len(body) > MAX_CALL_BYTES:
        wire.record("store", "refused", reason="size of the call")
        return 400, {}
    for entry in writes:
        if len(base64.b64decode(entry["value"])) > MAX_ROW_BYTES:
            wire.record(
                "store",
                "refused",
                reason="a row is larger than max_row_bytes",
                row="/".join(get_key(entry)),
                bytes=len(base64.b64decode(entry["value"])),
            )
            return 400, {}
    parts = {entry.get("part", "") for entry in entries}
    if len(parts) > 1 and not call.get("cross_partition"):
        return 400, {}
    if headers.get("x-writer") != "platform" and any(
        entry["table"] in PROTECTED for entry in [*writes, *removed]
    ):
        return 403, {}
    if time.monotonic() < Loss.until_s:
        Loss.writes += 1
        if any(entry["key"] == Loss.key for entry in writes):
            Loss.lost += 1
            wire.record("store", "write_unanswered", key=Loss.key)
            threading.Thread(
                target=carry_out_late,
                args=(Loss.delay_s, expected, writes, removed),
                daemon=True,
            ).start()
            return 0, {}
    return carry_out(expected, writes, removed)


def carry_out(
    expected: list[dict[str, Any]],
    writes: list[dict[str, Any]],
    removed: list[dict[str, Any]],
) -> tuple[int, Any]:
    """Carry out a transaction if its condition holds."""
    with changed:
        found = [rows[k] for k in map(get_key, expected) if k in rows]
        for entry in expected:
            row = rows.get(get_key(entry), {"row_version": 0})
            if row["row_version"] != entry["row_version"]:
                return 412, stamp({"rows": found})
        apply(writes, [get_key(entry) for entry in removed])
        return 200, stamp({})


def carry_out_late(
    delay_s: float,
    expected: list[dict[str, Any]],
    writes: list[dict[str, Any]],
    removed: list[dict[str, Any]],
) -> None:
    """Carry out a transaction whose answer is lost, some seconds later."""
    time.sleep(delay_s)
    status, _ = carry_out(expected, writes, removed)
    wire.record("store", "carried_out_late", key=Loss.key, status=status)


def lose(body: bytes) -> tuple[int, Any]:
    """Begin to lose the answers to inserts of a row, for the case."""
    order = json.loads(body)
    Loss.key, Loss.delay_s = order["key"], order["delay_s"]
    Loss.writes = Loss.lost = 0
    Loss.until_s = time.monotonic() + order["for_s"]
    return 200, {}


def get_rows(query: dict[str, str]) -> tuple[int, Any]:
    """Answer a call of `rows-get`."""
    limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
    start, end = query.get("from", ""), query.get("target")
    with changed:
        matching = sorted(
            (
                row
                for (table, part, key), row in rows.items()
                if table == query["table"]
                and part == query.get("part", "")
                and key >= start
                and (end is None or key < end)
            ),
            key=lambda row: row["key"].encode(),
        )
        page: list[dict[str, Any]] = []
        size = 0
        for row in matching[:limit]:
            size += len(row["value"])
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(row)
        more = len(page) < len(matching)
        return 200, stamp({"rows": page, "has_more": more})


def feed(query: dict[str, str]) -> tuple[int, Any]:
    """Answer a call of `rows-feed`."""
    table, after = query["table"], int(query["after"])

    def find() -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = []
        for row in reversed(history):
            if row["row_version"] <= after:
                break
            if row["table"] == table:
                found.append(row)
        return found[::-1]

    with changed:
        changed.wait_for(find, int(query["wait_ms"]) / 1_000)
        return 200, stamp({"rows": find()})


def handle(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, Any]:
    """Answer a call."""
    path, _, text = path.partition("?")
    query = dict(urllib.parse.parse_qsl(text))
    if (method, path) == ("POST", "/api/rows-tx"):
        return transact(headers, body)
    if (method, path) == ("POST", "/case/lose"):
        return lose(body)
    if (method, path) == ("GET", "/case/lost"):
        return 200, {"writes": Loss.writes, "lost": Loss.lost}
    if (method, path) == ("GET", "/api/rows-get"):
        return get_rows(query)
    if (method, path) == ("GET", "/api/rows-feed"):
        return feed(query)
    return 404, {}


def main() -> None:
    """Serve at the address in the first argument."""
    wire.serve(sys.argv[1], handle)
    while True:
        time.sleep(0.2)
        now_s = time.monotonic()
        with changed:
            silent = [
                key
                for key in rows
                if key[0] == "servers" and now_s - written_s[key] > ENTRY_S
            ]
            if silent:
                apply([], silent)
                for key in silent:
                    wire.record("store", "entry_removed", runner=key[2])


if __name__ == "__main__":
    main()
