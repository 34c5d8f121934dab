"""Sends one request to a backend server and reads its response.

A response of up to `MAX_BUFFERED_BYTES` is read completely before anything is
sent to the caller. A longer one is streamed in chunks with the backend server's
Content-Length; if it is truncated, the connection to the caller is closed.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

import urllib3

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import webserver

MAX_BUFFERED_BYTES = 1024 * 1024
_CHUNK_BYTES = 64 * 1024
_CONNECT_TIMEOUT_MS = 1_000
_MAX_RETRY_AFTER_MS = 60_000
_STATUSES_WITHOUT_BODY = (204, 304)


class ExchangeError(Exception):
    """No complete response was received.

    Attributes:
        sent: Whether the backend server may have received the request.
        timed_out: Whether the deadline of the exchange had passed.
    """

    def __init__(
        self, detail: str, *, sent: bool = True, timed_out: bool = False
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.timed_out = timed_out


class BackendResponse(NamedTuple):
    """A backend server's response.

    Attributes:
        body: The complete body, or a stream of a longer one.
        length: Length of the complete body in bytes.
        slots_free: Free slots that the server reported, or None.
    """

    status: int
    headers: urllib3.HTTPHeaderDict
    body: "bytes | ResponseStream"
    length: int
    slots_free: int | None


class ResponseStream:
    """An iterator over a long response that reads each chunk on demand.

    Attributes:
        on_end: Called once at the end: with True if the response was complete,
            False if it was not, None if the caller disconnected first.
    """

    def __init__(
        self, response: urllib3.BaseHTTPResponse, chunks: Iterator[bytes]
    ) -> None:
        self.response = response
        self.chunks = chunks
        self.on_end: Callable[[bool | None], None] = lambda complete: None
        self.ended = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self.chunks)
        except StopIteration:
            self._finish(True)
            raise
        except ExchangeError as error:
            self._finish(False)
            logs.log_event("answer_broken_off", "WARNING", detail=error)
            raise webserver.ConnectionDroppedError from error

    def close(self) -> None:
        """End the stream; cheroot calls this after it sent the last chunk."""
        self._finish(None)

    def _finish(self, complete: bool | None) -> None:
        if not self.ended:
            self.ended = True
            if not complete:
                self.response.close()
            self.on_end(complete)


def send_request(
    pool: urllib3.PoolManager,
    url: str,
    body: bytes,
    headers: dict[str, str],
    deadline_ms: int,
    clock: clocks.Clock,
) -> BackendResponse:
    """Send a request once and return the response.

    Raises:
        ExchangeError: No complete response was received before the deadline.
    """
    remaining_ms = deadline_ms - clock.now_ms()
    if remaining_ms <= 0:
        raise ExchangeError(
            "deadline passed before the request was sent",
            sent=False,
            timed_out=True,
        )
    timeout = urllib3.Timeout(
        connect=min(remaining_ms, _CONNECT_TIMEOUT_MS) / 1000,
        read=remaining_ms / 1000,
    )
    try:
        response = pool.request(
            "POST",
            url,
            body=body,
            headers=headers,
            timeout=timeout,
            redirect=False,
            preload_content=False,
            decode_content=False,
        )
    except urllib3.exceptions.HTTPError as error:
        raise _convert_error(error) from error
    return _read_response(response, headers["X-Request-Id"], deadline_ms, clock)


def read_retry_after(response: BackendResponse) -> int | None:
    """Return the Retry-After of a response in milliseconds, if it has one."""
    text = response.headers.get("Retry-After", "")
    if not text.isdecimal() or len(text) > 9:
        return None
    return min(int(text) * 1000, _MAX_RETRY_AFTER_MS)


def _read_response(
    response: urllib3.BaseHTTPResponse,
    request_id: str,
    deadline_ms: int,
    clock: clocks.Clock,
) -> BackendResponse:
    try:
        length = _read_length(response)
        if response.headers.get("X-Request-Id", request_id) != request_id:
            raise ExchangeError("response belongs to another request")
    except ExchangeError:
        response.close()
        raise
    chunks = _read_chunks(response, length, deadline_ms, clock)
    if length is not None and length > MAX_BUFFERED_BYTES:
        body: bytes | ResponseStream = ResponseStream(response, chunks)
    else:
        body = _read_buffered(response, chunks)
        length = len(body)
    slots_free = response.headers.get("X-Slots-Free", "")
    return BackendResponse(
        response.status,
        response.headers,
        body,
        length,
        int(slots_free)
        if slots_free.isdecimal() and len(slots_free) < 9
        else None,
    )


def _read_length(response: urllib3.BaseHTTPResponse) -> int | None:
    """Return the declared length, or None for chunked transfer.

    A response without either is refused: one that ends when its connection
    closes cannot be told from a truncated one.
    """
    if response.status in _STATUSES_WITHOUT_BODY:
        return 0
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return None
    text = response.headers.get("Content-Length", "")
    if not text.isdecimal() or len(text) > 15:
        raise ExchangeError(f"expected a Content-Length, got {text!r:.40}")
    return int(text)


def _read_chunks(
    response: urllib3.BaseHTTPResponse,
    length: int | None,
    deadline_ms: int,
    clock: clocks.Clock,
) -> Iterator[bytes]:
    """Yield the body; raise ExchangeError if it is truncated or too late."""
    total = 0
    while total != length:
        remaining_ms = deadline_ms - clock.now_ms()
        if remaining_ms <= 0:
            raise ExchangeError(
                "deadline passed while reading the response", timed_out=True
            )
        _set_read_timeout(response, remaining_ms)
        try:
            chunk = response.read1(_CHUNK_BYTES, decode_content=False)
        except urllib3.exceptions.HTTPError as error:
            raise _convert_error(error) from error
        if not chunk and length is not None:
            raise ExchangeError(f"expected {length} bytes, got {total}")
        if not chunk:
            break
        total += len(chunk)
        yield chunk
    response.release_conn()


def _set_read_timeout(
    response: urllib3.BaseHTTPResponse, remaining_ms: int
) -> None:
    """Limit a read from the server to the time before the deadline."""
    sock = getattr(response.connection, "sock", None)
    if sock is not None:
        sock.settimeout(remaining_ms / 1000)


def _read_buffered(
    response: urllib3.BaseHTTPResponse, chunks: Iterator[bytes]
) -> bytes:
    body = bytearray()
    try:
        for chunk in chunks:
            body += chunk
            if len(body) > MAX_BUFFERED_BYTES:
                raise ExchangeError("long response without a Content-Length")
    except ExchangeError:
        response.close()
        raise
    return bytes(body)


def _convert_error(error: urllib3.exceptions.HTTPError) -> ExchangeError:
    """Return an error that says whether the request may have been sent."""
    connect_failed = isinstance(
        error,
        urllib3.exceptions.NewConnectionError
        | urllib3.exceptions.ConnectTimeoutError,
    )
    timed_out = isinstance(error, urllib3.exceptions.ReadTimeoutError)
    return ExchangeError(
        type(error).__name__, sent=not connect_failed, timed_out=timed_out
    )
