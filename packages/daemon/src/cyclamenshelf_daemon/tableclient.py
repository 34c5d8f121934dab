"""Client of the platform's table service.

A write whose response is lost is retried with the same transaction id and the
same expected versions, until its outcome is known or the deadline passes. A
conflict after such a retry is resolved by reading the rows back, to tell
whether an earlier attempt was applied.
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
_SCAN_PAGE_ROWS = 1_000
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
    """Writes that are applied atomically.

    Attributes:
        checks: Expected row version by key; 0 means absent.
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
    """Apply a transaction and return its revision, the new version of its rows.

    Args:
        client: The table service.
        transaction: The writes. Each put needs a check; without one, a retry
            could apply the transaction a second time unnoticed.
        give_up_ms: Monotonic time after which no call is retried.
        call_timeout_ms: Timeout of each call.

    Raises:
        errors.WriteConflictError: A row has another version than expected;
            nothing was written.
        errors.StoreUnavailableError: The service did not receive the
            transaction.
        errors.OutcomeUnknownError: The transaction may or may not have been
            applied.
    """
    body = _encode_transaction(transaction)
    may_be_applied = False
    backoff_ms = _FIRST_BACKOFF_MS
    while True:
        remaining_ms = max(1, give_up_ms - client.clock.now_ms())
        try:
            status, response = httpclient.call_json(
                client.pool,
                "POST",
                f"{client.url}/v1/transactions",
                body,
                timeout_ms=min(call_timeout_ms, remaining_ms),
            )
            if status == 200:
                return int(response["revision"])
            if status == 409:
                actual_versions = {
                    str(row["key"]): int(row["version"])
                    for row in response["failed"]
                }
                return _resolve_conflict(
                    client,
                    transaction,
                    body["id"],
                    actual_versions,
                    may_be_applied,
                )
            may_be_applied = True
        except httpclient.HttpFailureError as failure:
            may_be_applied = may_be_applied or failure.sent
        except (KeyError, TypeError, ValueError):
            may_be_applied = True  # Not a response of the table service.
        if client.clock.now_ms() + backoff_ms >= give_up_ms:
            if may_be_applied:
                raise errors.OutcomeUnknownError(
                    _STORE, "write not confirmed before the deadline"
                )
            raise errors.StoreUnavailableError(
                _STORE, "the service did not receive the write"
            )
        client.clock.sleep_ms(random.randint(1, backoff_ms))
        backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)


def read_rows(client: TableClient, keys: list[str]) -> dict[str, Row]:
    """Return the rows that exist, by key.

    Raises:
        errors.StoreUnavailableError: The service is unavailable.
    """
    rows: dict[str, Row] = {}
    for start in range(0, len(keys), MAX_ROWS):
        found = _request_rows(
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
        errors.StoreUnavailableError: The service is unavailable.
    """
    after = ""
    while True:
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": _SCAN_PAGE_ROWS}
        )
        rows = _request_rows(client, "GET", f"/v1/rows?{query}")
        yield from rows
        if len(rows) < _SCAN_PAGE_ROWS:
            return
        after = rows[-1].key


def _encode_transaction(transaction: Transaction) -> dict[str, Any]:
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
    actual_versions: dict[str, int],
    may_be_applied: bool,
) -> int:
    """Return the revision if an earlier attempt was applied, else raise."""
    if may_be_applied:
        try:
            rows = read_rows(client, list(transaction.puts))
        except errors.StoreUnavailableError as error:
            raise errors.OutcomeUnknownError(
                _STORE, "reading the rows back after a conflict failed"
            ) from error
        for row in rows.values():
            if row.transaction == transaction_id:
                return row.version
    raise errors.WriteConflictError(actual_versions)


def _request_rows(
    client: TableClient, method: str, path: str, value: Any = None
) -> list[Row]:
    try:
        status, response = httpclient.call_json(
            client.pool,
            method,
            client.url + path,
            value,
            timeout_ms=_CALL_TIMEOUT_MS,
        )
    except httpclient.HttpFailureError as failure:
        raise errors.StoreUnavailableError(_STORE, str(failure)) from failure
    if status != 200:
        raise errors.StoreUnavailableError(
            _STORE, f"expected status 200 to a read, got {status}"
        )
    try:
        return [_decode_row(row) for row in response["rows"]]
    except (KeyError, TypeError) as error:
        raise errors.StoreUnavailableError(
            _STORE, f"response to a read is malformed: {error}"
        ) from error


def _decode_row(row: dict[str, Any]) -> Row:
    return Row(row["key"], row["version"], row["transaction"], row["value"])
