"""Client of the platform's object store."""

from typing import Any
from typing import NamedTuple
import urllib.parse

import urllib3

from cyclamenshelf_core import errors
from cyclamenshelf_core import jsontexts
from cyclamenshelf_daemon import httpclient

_CALL_TIMEOUT_MS = 3_000
_STORE = "objects"


class ObjectClient(NamedTuple):
    """Access to the object store at a base URL."""

    pool: urllib3.PoolManager
    url: str


def put_object(client: ObjectClient, key: str, content: bytes) -> None:
    """Write an object; writing the same content again is harmless.

    Raises:
        errors.StoreUnavailableError: The store did not receive the write.
        errors.OutcomeUnknownError: The object may or may not have been
            written.
    """
    _write(client, "PUT", key, content)


def put_object_if_absent(
    client: ObjectClient, key: str, content: bytes
) -> bool:
    """Write an object unless one exists; return whether it was written.

    Raises:
        errors.StoreUnavailableError: The store did not receive the write.
        errors.OutcomeUnknownError: The object may or may not have been
            written.
    """
    result = _write(client, "PUT", key, content, {"If-None-Match": "*"})
    return result.status != 412


def get_object(client: ObjectClient, key: str) -> bytes | None:
    """Return the content of an object, or None if it does not exist.

    Raises:
        errors.StoreUnavailableError: The store is unavailable.
    """
    result = _read(client, "/" + urllib.parse.quote(key))
    return None if result.status == 404 else result.body


def delete_object(client: ObjectClient, key: str) -> None:
    """Delete an object; deleting an absent object is not an error.

    Raises:
        errors.StoreError: The store did not confirm the deletion.
    """
    _write(client, "DELETE", key)


def list_objects(
    client: ObjectClient, prefix: str, limit: int, after: str = ""
) -> list[str]:
    """Return the first keys greater than `after` with a prefix, in key order.

    Raises:
        errors.StoreUnavailableError: The store is unavailable.
    """
    query = urllib.parse.urlencode(
        {"prefix": prefix, "after": after, "limit": limit}
    )
    try:
        response: Any = jsontexts.decode(_read(client, "?" + query).body)
        return list(map(str, response["keys"]))
    except (ValueError, KeyError, TypeError) as error:
        raise errors.StoreUnavailableError(
            _STORE, "response to a listing is malformed"
        ) from error


def _write(
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
        raise errors.OutcomeUnknownError(
            _STORE, f"unexpected status {result.status}"
        )
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
        raise errors.StoreUnavailableError(
            _STORE, f"unexpected status {result.status}"
        )
    return result
