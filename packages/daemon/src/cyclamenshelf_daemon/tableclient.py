"""Calls to the platform's table service.

A write whose answer is lost is sent again with the same id and the same
expected versions, and read back, until its outcome is certain.
"""

from collections.abc import Iterator
import random
from typing import Any
from typing import NamedTuple
import urllib.parse
import uuid

import urllib3

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import httpclient

MAX_ROWS = 100
_SCAN_ROWS = 1_000
_CALL_TIMEOUT_MS = 2_000
_FIRST_BACKOFF_MS = 20
_MAX_BACKOFF_MS = 1_000
_STORE = "table"


class TableClient(NamedTuple):
    """Access to the table service at a base URL."""

    pool: urllib3.PoolManager
    url: str
    clock: clocks.Clock


class Row(NamedTuple):
    """A row; `transaction` is the id of the transaction that wrote it."""

    key: str
    version: int
    transaction: str
    value: Any


class Transaction(NamedTuple):
    """Writes that happen together, or not at all.

    Attributes:
        checks: Expected version by key; 0 means absent.
        puts: New value by key.
        deletes: Keys to delete.
    """

    checks: dict[str, int]
    puts: dict[str, Any]
    deletes: tuple[str, ...] = ()


def commit_transaction(
    client: TableClient,
    transaction: Transaction,
    give_up_ms: int,
    call_timeout_ms: int = _CALL_TIMEOUT_MS,
) -> int:
    """Apply a transaction and return its revision, the new row version.

    Args:
        client: The table service.
        transaction: The writes; each put has a check, or an outcome could
            not be told apart from a second application.
        give_up_ms: Monotonic time after which nothing is sent again.
        call_timeout_ms: How long each send waits for its answer.

    Raises:
        errors.WriteConflictError: A row differs; nothing was written.
        errors.StoreUnavailableError: The service did not take the transaction.
        errors.OutcomeUnknownError: The transaction may or may not be applied.
    """
    body = _encode(transaction)
    unknown = False
    backoff_ms = _FIRST_BACKOFF_MS
    while True:
        left_ms = max(1, give_up_ms - client.clock.now_ms())
        try:
            status, answer = httpclient.call_json(
                client.pool,
                "POST",
                f"{client.url}/v1/transactions",
                body,
                timeout_ms=min(call_timeout_ms, left_ms),
            )
            if status == 200:
                return int(answer["revision"])
            if status == 409:
                failed = {
                    str(row["key"]): int(row["version"])
                    for row in answer["failed"]
                }
                return _resolve_conflict(
                    client, transaction, body["id"], failed, unknown
                )
            unknown = True
        except httpclient.HttpFailureError as failure:
            unknown = unknown or failure.sent
        except (KeyError, TypeError, ValueError):
            unknown = True  # Not an answer of the table service.
        if client.clock.now_ms() + backoff_ms >= give_up_ms:
            if unknown:
                raise errors.OutcomeUnknownError(_STORE, "no answer to a write")
            raise errors.StoreUnavailableError(_STORE, "write not taken")
        client.clock.sleep_ms(random.randint(1, backoff_ms))
        backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)


def read_rows(client: TableClient, keys: list[str]) -> dict[str, Row]:
    """Return the rows that exist, by key.

    Raises:
        errors.StoreUnavailableError: The service did not answer.
    """
    rows: dict[str, Row] = {}
    for start in range(0, len(keys), MAX_ROWS):
        found = _read(
            client,
            "POST",
            "/v1/rows:get",
            {"keys": keys[start : start + MAX_ROWS]},
        )
        rows |= {row.key: row for row in found}
    return rows


def scan_rows(client: TableClient, prefix: str) -> Iterator[Row]:
    """Yield the rows whose keys have a prefix, in key order.

    Raises:
        errors.StoreUnavailableError: The service did not answer.
    """
    after = ""
    while True:
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": _SCAN_ROWS}
        )
        rows = _read(client, "GET", f"/v1/rows?{query}")
        yield from rows
        if len(rows) < _SCAN_ROWS:
            return
        after = rows[-1].key


def _encode(transaction: Transaction) -> dict[str, Any]:
    return {
        "id": uuid.uuid4().hex,
        "checks": [
            {"key": key, "version": version}
            for key, version in transaction.checks.items()
        ],
        "puts": [
            {"key": key, "value": value}
            for key, value in transaction.puts.items()
        ],
        "deletes": list(transaction.deletes),
    }


def _resolve_conflict(
    client: TableClient,
    transaction: Transaction,
    transaction_id: str,
    failed: dict[str, int],
    unknown: bool,
) -> int:
    """Return the revision if an earlier send was applied, else raise."""
    if unknown:
        try:
            rows = read_rows(client, list(transaction.puts))
        except errors.StoreUnavailableError as error:
            raise errors.OutcomeUnknownError(
                _STORE, "read-back failed"
            ) from error
        for row in rows.values():
            if row.transaction == transaction_id:
                return row.version
    raise errors.WriteConflictError(failed)


def _read(
    client: TableClient, method: str, path: str, value: Any = None
) -> list[Row]:
    try:
        status, answer = httpclient.call_json(
            client.pool,
            method,
            client.url + path,
            value,
            timeout_ms=_CALL_TIMEOUT_MS,
        )
    except httpclient.HttpFailureError as failure:
        raise errors.StoreUnavailableError(_STORE, str(failure)) from failure
    if status != 200:
        raise errors.StoreUnavailableError(_STORE, f"status {status} to a read")
    try:
        return [_decode(row) for row in answer["rows"]]
    except (KeyError, TypeError) as error:
        raise errors.StoreUnavailableError(
            _STORE, f"answer to a read lacks {error}"
        ) from error


def _decode(row: dict[str, Any]) -> Row:
    return Row(row["key"], row["version"], row["transaction"], row["value"])
