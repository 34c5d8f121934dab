"""Calls to the platform's object store."""

import json
from typing import Any
from typing import NamedTuple
import urllib.parse

import urllib3

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import httpclient

_CALL_TIMEOUT_MS = 3_000
_STORE = "objects"


class ObjectClient(NamedTuple):
    """Access to the object store at a base URL."""

    pool: urllib3.PoolManager
    url: str


def put_object(client: ObjectClient, key: str, content: bytes) -> None:
    """Write an object; a second write of the same content does no harm.

    Raises:
        errors.StoreUnavailableError: The write was not taken.
        errors.OutcomeUnknownError: The object may or may not be written.
    """
    _call(client, "PUT", key, content)


def put_object_if_absent(
    client: ObjectClient, key: str, content: bytes
) -> bool:
    """Write an object unless one exists; return whether it was written.

    Raises:
        errors.StoreUnavailableError: The write was not taken.
        errors.OutcomeUnknownError: The object may or may not be written.
    """
    result = _call(client, "PUT", key, content, {"If-None-Match": "*"})
    return result.status != 412


def get_object(client: ObjectClient, key: str) -> bytes | None:
    """Return an object's content, or None where there is none.

    Raises:
        errors.StoreUnavailableError: The store did not answer.
    """
    result = _read(client, "/" + urllib.parse.quote(key))
    return None if result.status == 404 else result.body


def delete_object(client: ObjectClient, key: str) -> None:
    """Delete an object; one that is absent is no error.

    Raises:
        errors.StoreError: The store did not confirm.
    """
    _call(client, "DELETE", key)


def list_objects(
    client: ObjectClient, prefix: str, limit: int, after: str = ""
) -> list[str]:
    """Return the first keys over `after` that have a prefix, in key order.

    Raises:
        errors.StoreUnavailableError: The store did not answer.
    """
    query = urllib.parse.urlencode(
        {"prefix": prefix, "after": after, "limit": limit}
    )
    try:
        answer: Any = json.loads(_read(client, "?" + query).body)
        return list(map(str, answer["keys"]))
    except (ValueError, KeyError, TypeError) as error:
        raise errors.StoreUnavailableError(
            _STORE, "answer to a listing is malformed"
        ) from error


def _call(
    client: ObjectClient,
    method: str,
    key: str,
    content: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> httpclient.HttpResult:
    try:
        result = httpclient.call(
            client.pool,
            method,
            f"{client.url}/v1/objects/{urllib.parse.quote(key)}",
            body=content,
            headers=headers,
            timeout_ms=_CALL_TIMEOUT_MS,
        )
    except httpclient.HttpFailureError as failure:
        if failure.sent:
            raise errors.OutcomeUnknownError(_STORE, str(failure)) from failure
        raise errors.StoreUnavailableError(_STORE, str(failure)) from failure
    expected = (200, 404) if method == "DELETE" else (200, 412)
    if result.status not in expected:
        raise errors.OutcomeUnknownError(_STORE, f"status {result.status}")
    return result


def _read(client: ObjectClient, path: str) -> httpclient.HttpResult:
    try:
        result = httpclient.call(
            client.pool,
            "GET",
            f"{client.url}/v1/objects{path}",
            timeout_ms=_CALL_TIMEOUT_MS,
        )
    except httpclient.HttpFailureError as failure:
        raise errors.StoreUnavailableError(_STORE, str(failure)) from failure
    if result.status not in (200, 404):
        raise errors.StoreUnavailableError(_STORE, f"status {result.status}")
    return result
