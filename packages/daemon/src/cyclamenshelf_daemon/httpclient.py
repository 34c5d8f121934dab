"""HTTP calls whose errors say whether the request may have been received."""

import json
from typing import Any
from typing import NamedTuple

import urllib3

from cyclamenshelf_core import jsontexts

_MAX_POOLS = 512
_CONNECT_TIMEOUT_MS = 1_000


class HttpResult(NamedTuple):
    """The response to a call; header names are case-insensitive."""

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes


class HttpFailureError(Exception):
    """A call received no valid response.

    Attributes:
        sent: Whether the server may have received the request.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


def make_pool(connections: int = 16) -> urllib3.PoolManager:
    """Return a pool that keeps up to `connections` open for each server."""
    return urllib3.PoolManager(
        num_pools=_MAX_POOLS, maxsize=connections, retries=False
    )


def call(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_ms: int,
    connect_ms: int = _CONNECT_TIMEOUT_MS,
) -> HttpResult:
    """Send a request once and return the complete response.

    Raises:
        HttpFailureError: No complete response was received.
    """
    timeout = urllib3.Timeout(
        connect=min(timeout_ms, connect_ms) / 1000,
        read=timeout_ms / 1000,
    )
    try:
        response = pool.request(
            method, url, body=body, headers=headers, timeout=timeout
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        raise HttpFailureError(type(error).__name__, sent=False) from error
    except urllib3.exceptions.HTTPError as error:
        raise HttpFailureError(type(error).__name__, sent=True) from error
    return HttpResult(response.status, response.headers, response.data)


def call_json(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    value: Any = None,
    *,
    timeout_ms: int,
) -> tuple[int, Any]:
    """Send a JSON body and return the status and the decoded response.

    Raises:
        HttpFailureError: No complete response was received, or it is not JSON.
    """
    result = call(
        pool,
        method,
        url,
        body=None if value is None else json.dumps(value).encode(),
        headers={"Content-Type": "application/json"},
        timeout_ms=timeout_ms,
    )
    try:
        return result.status, jsontexts.decode(result.body)
    except ValueError as error:
        raise HttpFailureError("response is not JSON", sent=True) from error
