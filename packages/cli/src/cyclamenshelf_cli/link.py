"""HTTP client for entry hosts over slow or unreliable connections."""

import json
import random
import time
from typing import Any
from typing import NamedTuple

import urllib3

from cyclamenshelf_cli import exitcodes
from cyclamenshelf_core import jsontexts

# Long enough for several retransmissions of a lost SYN packet.
_CONNECT_TIMEOUT_S = 7.0
_MAX_ROUNDS = 2
_MAX_RETRY_DELAY_S = 1.0


class Client(NamedTuple):
    """The entry hosts to try, in order, and the connection settings."""

    urls: tuple[str, ...]
    headers: dict[str, str]
    timeout: urllib3.Timeout
    pool: urllib3.PoolManager

    def __repr__(self) -> str:
        # The headers contain the credential, which must never be printed.
        return f"Client(urls={self.urls})"


class Response(NamedTuple):
    """The response of a host, with its decoded JSON body."""

    url: str
    status: int
    value: dict[str, Any]


class _CallState:
    """State of one call across hosts and retries.

    Attributes:
        may_be_applied: Whether an earlier attempt may have been applied.
        last_error: The last retryable error response: 421, or 500 and above.
        transport_failures: Why each host returned no complete response, by
            URL.
    """

    def __init__(self) -> None:
        self.may_be_applied = False
        self.last_error: Response | None = None
        self.transport_failures: dict[str, str] = {}


def make_client(
    urls: tuple[str, ...], credential: str, timeout_s: float
) -> Client:
    """Return a client for the given entry hosts."""
    return Client(
        urls,
        {
            "Authorization": f"Bearer {credential}",
            "Content-Type": "application/json",
        },
        urllib3.Timeout(
            connect=_choose_connect_timeout(timeout_s), read=timeout_s
        ),
        # Redirects are not followed: one could send the credential to
        # another server.
        urllib3.PoolManager(retries=False),
    )


def _choose_connect_timeout(timeout_s: float) -> float:
    """Return the connect timeout, which also limits sending the body."""
    return min(timeout_s, max(_CONNECT_TIMEOUT_S, timeout_s / 4))


def fetch(client: Client, path: str) -> Response:
    """Send a GET request and return the first successful response.

    Raises:
        exitcodes.CommandFailedError: No host responds, or the request is
            refused.
    """
    return _call(client, "GET", path, None, is_command=False)


def post_query(client: Client, path: str, body: dict[str, Any]) -> Response:
    """Send a read-only POST request and return the first successful response.

    Raises:
        exitcodes.CommandFailedError: No host responds, or the request is
            refused.
    """
    return _call(client, "POST", path, body, is_command=False)


def send_command(
    client: Client, method: str, path: str, body: dict[str, Any]
) -> Response:
    """Send an idempotent command, with retries, and return its response.

    Raises:
        exitcodes.CommandFailedError: The command was not executed, or its
            outcome is unknown; the exit code distinguishes the two.
    """
    return _call(client, method, path, body, is_command=True)


def send_command_once(
    client: Client, path: str, body: dict[str, Any]
) -> Response:
    """Send a command once, to the first host only, and return its response.

    Raises:
        exitcodes.CommandFailedError: The command was not executed, or its
            outcome is unknown; the exit code distinguishes the two.
    """
    single_host_client = client._replace(urls=client.urls[:1])
    return _call(
        single_host_client, "POST", path, body, is_command=True, max_rounds=1
    )


def _call(
    client: Client,
    method: str,
    path: str,
    body: dict[str, Any] | None,
    *,
    is_command: bool,
    max_rounds: int = _MAX_ROUNDS,
) -> Response:
    call_state = _CallState()
    for round_number in range(max_rounds):
        if round_number:
            time.sleep(random.uniform(0, _MAX_RETRY_DELAY_S))
        urls = list(client.urls)
        for url in urls:
            response = _send(client, method, url, path, body, call_state)
            if response is None:
                continue
            if response.status < 300:
                return response
            owner_url = response.value.get("operator_url")
            if response.status == 421 and owner_url and owner_url not in urls:
                urls.append(owner_url)
            if not _is_retryable_elsewhere(response):
                raise _make_refusal_error(
                    response, is_command and call_state.may_be_applied
                )
            call_state.last_error = response
            if response.value.get("run") == "unknown" or response.status == 500:
                call_state.may_be_applied = True
        if not call_state.transport_failures and _is_permanent(
            call_state.last_error
        ):
            break
    raise _make_call_error(call_state, is_command)


def _send(
    client: Client,
    method: str,
    url: str,
    path: str,
    body: dict[str, Any] | None,
    call_state: _CallState,
) -> Response | None:
    """Return the response of one host.

    On a transport failure, record it in `call_state` and return None.
    """
    try:
        http_response = client.pool.request(
            method,
            url + path,
            body=None if body is None else json.dumps(body).encode(),
            headers=client.headers,
            timeout=client.timeout,
        )
        value = jsontexts.decode(http_response.data)
        if not isinstance(value, dict):
            raise ValueError("expected a JSON object")
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ):
        call_state.transport_failures[url] = "no connection"
        return None
    except (urllib3.exceptions.HTTPError, ValueError):
        call_state.transport_failures[url] = "connected, but no whole answer"
        call_state.may_be_applied = True
        return None
    call_state.transport_failures.pop(url, None)
    return Response(url, http_response.status, value)


def _is_retryable_elsewhere(response: Response) -> bool:
    return response.status >= 500 or response.status == 421


def _is_permanent(error_response: Response | None) -> bool:
    """Return whether another round of the hosts would give the same error.

    Only responses of 500 and above count as temporary.
    """
    return error_response is not None and error_response.status < 500


def _make_call_error(
    call_state: _CallState, is_command: bool
) -> exitcodes.CommandFailedError:
    if is_command and call_state.may_be_applied:
        return exitcodes.CommandFailedError(
            exitcodes.OUTCOME_UNKNOWN,
            "outcome unknown: the command may or may not be carried out",
            call_state.last_error.value if call_state.last_error else None,
        )
    if call_state.last_error is not None:
        return _make_refusal_error(call_state.last_error, False)
    failed_hosts = ", ".join(
        f"{url} ({reason})"
        for url, reason in call_state.transport_failures.items()
    )
    return exitcodes.CommandFailedError(
        exitcodes.NO_RESPONSE, f"no host answers: {failed_hosts}"
    )


def _make_refusal_error(response: Response, may_be_applied: bool) -> Exception:
    """Return the exception for an error response.

    Args:
        response: The error response.
        may_be_applied: Whether an earlier attempt of the same command may
            have been applied; an error response to a later attempt does not
            rule that out.
    """
    code = response.value.get("code", f"status {response.status}")
    message = f"{code}: {response.value.get('message', '')}"
    exit_code = exitcodes.REFUSED
    if code == "configuration_conflict":
        # The host compares the command with the configuration history, so a
        # conflict also means that no earlier attempt was applied.
        exit_code = exitcodes.CONFLICT
    elif may_be_applied:
        exit_code = exitcodes.OUTCOME_UNKNOWN
    return exitcodes.CommandFailedError(exit_code, message, response.value)
