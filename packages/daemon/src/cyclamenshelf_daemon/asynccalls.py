"""HTTP calls that one thread makes, with many of them under way at once.

A thread for each call costs several switches between threads a call, and each
of them may wait for the interpreter lock. Here a call is a few callbacks of one
event loop. Connections are kept open and used again.
"""

import asyncio
import collections
from collections.abc import Callable
import threading
from typing import NamedTuple

import httptools

from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import logs

# Open connections to all servers together. Beyond this, those that have been
# idle for the longest are closed: a small host has 1,638 descriptors.
_MAX_CONNECTIONS = 600
_MAX_BODY_BYTES = 1_000_000
_FIRST_FINAL_STATUS = 200

Address = tuple[str, int]


class Call(NamedTuple):
    """A request to a server.

    Attributes:
        address: IP address and port of the server, as in `10.0.0.1:80`.
        request: The whole request; see `encode_post`.
        timeout_ms: Time for the connection and the response together.
    """

    address: str
    request: bytes
    timeout_ms: int


class Response(NamedTuple):
    """A complete response to a call."""

    status: int
    body: bytes


# Called with the response, or with the reason why there is none.
OnResult = Callable[[Response | httpclient.HttpFailureError], None]


class Client(NamedTuple):
    """Makes calls in a thread of its own.

    Attributes:
        call: Makes a call; returns at once. The function that it is given is
            called in the client's thread, and must not wait.
        close: Ends the thread; calls that are under way get no result.
    """

    call: Callable[[Call, OnResult], None]
    close: Callable[[], None]


def encode_post(
    address: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return a POST request.

    Raises:
        ValueError: A header has a character that would end its line, or that
            is outside ASCII.
    """
    lines = [f"POST {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    if not all(line.isascii() and line.isprintable() for line in lines):
        raise ValueError(f"request line with control characters: {lines!r}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def start_client() -> Client:
    """Start the client's thread."""
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(_log_error)
    state = _State(loop)
    thread = threading.Thread(
        target=loop.run_forever, name="async-calls", daemon=True
    )
    thread.start()

    def call(request: Call, on_result: OnResult) -> None:
        if threading.get_ident() == thread.ident:
            # Of a function that was called with a result.
            loop.call_soon(_start_call, state, request, on_result)
        else:
            loop.call_soon_threadsafe(_start_call, state, request, on_result)

    def close() -> None:
        loop.call_soon_threadsafe(_stop, state)
        thread.join()
        loop.close()

    return Client(call, close)


class _State:
    """Connections of a client; only its thread accesses them.

    Attributes:
        idle: Connections without a call by address. The address that was used
            last is at the end, and so is its connection that was.
        open_count: Number of open connections, also those with a call.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.idle: collections.OrderedDict[Address, list[_Connection]] = (
            collections.OrderedDict()
        )
        self.open_count = 0


class _PendingCall:
    """A call that has no result yet, or whose result was passed on.

    Attributes:
        opening: Opens a connection for it.
        connection: The connection over which the request was sent.
    """

    def __init__(self, call: Call, on_result: OnResult) -> None:
        self.call = call
        self.on_result = on_result
        self.opening: asyncio.Task | None = None
        self.connection: _Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.finished = False


class _Connection(asyncio.Protocol):
    """A connection with at most one call under way.

    A response without a length ends with the connection, which is taken for a
    failure.
    """

    def __init__(self, state: _State, address: Address) -> None:
        self._state = state
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.pending: _PendingCall | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._status: int | None = None
        self._keep_alive = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop when the connection is open."""
        self.transport = transport
        self._state.open_count += 1

    def send(self, pending: _PendingCall) -> None:
        """Send the request of a call."""
        self.pending = pending
        pending.connection = self
        self._status = None
        self._body.clear()
        self.transport.write(pending.call.request)

    def data_received(self, data: bytes) -> None:
        """Called by the loop with a part of a response."""
        if self.pending is None:
            self.transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(type(error).__name__)
            return
        if self._status is not None:
            self._end_call(self._status)
        elif len(self._body) > _MAX_BODY_BYTES:
            self._fail("response too long")

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a part of a body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a response."""
        status = self._parser.get_status_code()
        if status >= _FIRST_FINAL_STATUS:
            self._status = status
            self._keep_alive = self._parser.should_keep_alive()

    def _end_call(self, status: int) -> None:
        pending, self.pending = self.pending, None
        if self._keep_alive:
            _keep_connection(self._state, self)
        else:
            self.transport.close()
        _finish(pending, Response(status, bytes(self._body)))

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop once the connection is closed."""
        self._state.open_count -= 1
        _forget_idle(self._state, self)
        self._fail("connection closed")

    def _fail(self, detail: str) -> None:
        self.transport.abort()
        pending, self.pending = self.pending, None
        if pending is not None:
            _finish(pending, httpclient.HttpFailureError(detail, sent=True))


def _start_call(state: _State, call: Call, on_result: OnResult) -> None:
    pending = _PendingCall(call, on_result)
    try:
        address = _parse_address(call.address)
    except ValueError as error:
        failure = httpclient.HttpFailureError(str(error), sent=False)
        _finish(pending, failure)
        return
    pending.timer = state.loop.call_later(
        call.timeout_ms / 1000, _time_out, state, address, pending
    )
    connections = state.idle.get(address)
    if connections:
        connection = connections.pop()
        if not connections:
            del state.idle[address]
        connection.send(pending)
        return
    pending.opening = state.loop.create_task(
        _open_and_send(state, address, pending)
    )


def _parse_address(address: str) -> Address:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"expected IP:PORT, got {address!r}")
    return host, int(port)


async def _open_and_send(
    state: _State, address: Address, pending: _PendingCall
) -> None:
    if state.open_count >= _MAX_CONNECTIONS:
        _close_idle(state)
    try:
        _, connection = await state.loop.create_connection(
            lambda: _Connection(state, address), *address
        )
    except (OSError, OverflowError, UnicodeError) as error:
        failure = httpclient.HttpFailureError(type(error).__name__, sent=False)
        _finish(pending, failure)
        return
    connection.send(pending)


def _close_idle(state: _State) -> None:
    """Close the idle connections to the server that was called least recently.

    The number of open connections may exceed the limit if none is idle.
    """
    if state.idle:
        _, connections = state.idle.popitem(last=False)
        for connection in connections:
            connection.transport.abort()


def _keep_connection(state: _State, connection: _Connection) -> None:
    if connection.transport.is_closing():
        return
    state.idle.setdefault(connection.address, []).append(connection)
    state.idle.move_to_end(connection.address)


def _forget_idle(state: _State, connection: _Connection) -> None:
    connections = state.idle.get(connection.address, [])
    if connection in connections:
        connections.remove(connection)
        if not connections:
            del state.idle[connection.address]


def _time_out(state: _State, address: Address, pending: _PendingCall) -> None:
    """Give up a call, and the idle connections to its server.

    They may have gone silent with the one that was used; a repeated call opens
    a new one.
    """
    connection = pending.connection
    if connection is None:
        pending.opening.cancel()
    else:
        connection.pending = None
        connection.transport.abort()
    for idle in state.idle.pop(address, []):
        idle.transport.abort()
    failure = httpclient.HttpFailureError(
        "timeout", sent=connection is not None
    )
    _finish(pending, failure)


def _finish(
    pending: _PendingCall, result: Response | httpclient.HttpFailureError
) -> None:
    if pending.finished:
        return
    pending.finished = True
    if pending.timer is not None:
        pending.timer.cancel()
    pending.on_result(result)


def _stop(state: _State) -> None:
    for connections in state.idle.values():
        for connection in connections:
            connection.transport.abort()
    state.loop.call_soon(state.loop.stop)


def _log_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    logs.log_event(
        "async_call_failed",
        "ERROR",
        detail=context.get("message"),
        error=repr(context.get("exception")),
    )
