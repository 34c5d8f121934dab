"""A cheroot server whose threads are not blocked by slow clients.

A thread that finds an incomplete request returns the connection to the
selector, which reports it again only when the missing bytes have arrived. The
server's threads check for this, because the selector's single thread could not
check all connections of a flood. Clients that read their responses slowly may
occupy at most a quarter of the threads. A slow client's connection is closed
when none of these threads is free or when it reads below a minimum rate.
"""

import collections
import fcntl
import re
import select
import socket
import struct
import termios
import threading
import time
from typing import Any

import cheroot.connections
import cheroot.errors
import cheroot.server
import cheroot.wsgi

# Socket timeout; a request must arrive completely within it.
TIMEOUT_S = 10
_MAX_HEAD_BYTES = 32 * 1024
_CONTENT_LENGTH_PATTERN = re.compile(
    rb"\r\ncontent-length:[ \t]*(\d{1,12})", re.I
)
_EXPECT_PATTERN = re.compile(rb"\r\nexpect:[ \t]*100-continue", re.I)
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_CHUNKED_REJECTION = (
    '{"code":"length_required","message":"expected a Content-Length",'
    '"run":"not_run"}'
)
_MIN_SEND_BYTES_PER_S = 64 * 1024
_SLOW_AFTER_S = 1.0
# With more open connections, each is closed after its response.
_MAX_CONNECTIONS = 1_000
_MAX_ACCEPTS_PER_ROUND = 64


class SlowReaderError(cheroot.errors.FatalSSLAlert):
    """Raised to close the connection of a client that reads too slowly.

    This base class is the only error on which cheroot closes a connection
    without logging or sending a response.
    """


class _Request(cheroot.server.HTTPRequest):
    """A request whose response is subject to the limits of slow readers."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.sent_bytes = 0
        self.blocked_s = 0.0
        self.holds_slow_reader_slot = False

    def respond(self) -> None:
        """Respond to the request; reject one in chunked transfer encoding."""
        if self.chunked_read:
            # The end of the body is unknown, so the connection cannot be
            # reused for another request.
            self.close_connection = True
            self.simple_response("411 Length Required", _CHUNKED_REJECTION)
            return
        try:
            super().respond()
            if not self.status.startswith(b"401"):
                self.conn.client_key = self.inheaders.get(b"Authorization", b"")
        finally:
            if self.holds_slow_reader_slot:
                self.server.slow_reader_slots.release()

    def write(self, chunk: bytes) -> None:
        """Send a part of the response.

        Raises:
            SlowReaderError: The client reads too slowly.
        """
        if self.chunked_write:
            super().write(chunk)
            return
        remaining = memoryview(chunk)
        while remaining:
            remaining = remaining[
                self._send_part(self.conn.socket, remaining) :
            ]

    def _send_part(self, sock: socket.socket, remaining: memoryview) -> int:
        started_s = time.monotonic()
        try:
            sent = sock.send(remaining)
        except TimeoutError:
            sent = 0
        self.sent_bytes += sent
        self.blocked_s += time.monotonic() - started_s
        allowed_s = TIMEOUT_S + self.sent_bytes / _MIN_SEND_BYTES_PER_S
        if self.blocked_s > allowed_s:
            raise SlowReaderError(
                "the client reads the response below the minimum rate"
            )
        if self.blocked_s > _SLOW_AFTER_S and not self.holds_slow_reader_slot:
            if not self.server.slow_reader_slots.acquire(blocking=False):
                raise SlowReaderError(
                    "too many clients read their responses slowly"
                )
            self.holds_slow_reader_slot = True
        return sent


class _Connection(cheroot.server.HTTPConnection):
    """A connection that can wait for the rest of its request.

    Attributes:
        is_new: Whether no request has been received yet.
        waiting_since_s: Monotonic time when it began to wait, or None.
        last_readable_bytes: Bytes that were readable at the last check.
        sent_continue: Whether "100 Continue" was sent for this request.
        client_key: Accepted credentials of its last request, or empty.
    """

    client_key = b""
    RequestHandlerClass = _Request
    is_new = True
    waiting_since_s: float | None = None
    last_readable_bytes = -1
    sent_continue = False

    def __init__(self, server: "SlowClientServer", *args: Any) -> None:
        super().__init__(server, *args)
        # A thread reads only what has arrived, so this timeout only limits the
        # time of one send.
        self.socket.settimeout(_SLOW_AFTER_S)
        server.open_connections.add(self)

    def communicate(self) -> bool:
        """Handle one request or wait for more; return whether to stay open."""
        wake_bytes = 0
        if not self.rfile.has_data():
            wake_bytes = _compute_wake_bytes(
                self, self.server.max_request_body_size
            )
        if wake_bytes:
            return self._wait_for_more(wake_bytes)
        if self.waiting_since_s is not None:
            _set_wake_threshold(self.socket, 1)
        self.is_new = False
        self.waiting_since_s, self.last_readable_bytes = None, -1
        self.sent_continue = False
        return super().communicate()

    def close(self) -> None:
        """Close the socket."""
        self.server.open_connections.discard(self)
        super().close()

    def _wait_for_more(self, wake_bytes: int) -> bool:
        """Wait for more bytes; return False if the request timed out."""
        now_s = time.monotonic()
        if self.waiting_since_s is None:
            self.waiting_since_s = now_s
        _set_wake_threshold(self.socket, wake_bytes)
        return now_s - self.waiting_since_s < TIMEOUT_S


class RoundRobinQueue:
    """Connections that wait for a thread, served round-robin by client.

    In a single first-in-first-out queue, a flood of connections from one client
    would delay all others. Implements the part of the interface of
    `queue.Queue` that cheroot uses.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.queues_by_client: collections.OrderedDict[
            bytes, collections.deque
        ] = collections.OrderedDict()

    def put(
        self, item: Any, block: bool = True, timeout: float | None = None
    ) -> None:
        """Add a connection, or cheroot's sentinel that stops a thread."""
        client_key = getattr(item, "client_key", b"")
        with self.changed:
            self.queues_by_client.setdefault(
                client_key, collections.deque()
            ).append(item)
            self.changed.notify()

    def get(self) -> Any:
        """Wait for the next item of the next client and return it."""
        with self.changed:
            while not self.queues_by_client:
                self.changed.wait()
            client_key, items = self.queues_by_client.popitem(last=False)
            item = items.popleft()
            if items:
                self.queues_by_client[client_key] = items
            return item

    def qsize(self) -> int:
        """Return the number of waiting items."""
        with self.changed:
            return sum(map(len, self.queues_by_client.values()))


class _ConnectionManager(cheroot.connections.ConnectionManager):
    """Accepts many pending connections in one round of the selector.

    cheroot accepts one connection for each round over the readable ones, so a
    new client would wait for hundreds of rounds during a flood.
    """

    def _from_server_socket(self, server_socket: socket.socket) -> Any:
        conn = super()._from_server_socket(server_socket)
        for _ in range(_MAX_ACCEPTS_PER_ROUND):
            if not _is_readable(server_socket):
                break
            if conn is not None:
                self.server.process_conn(conn)
            conn = super()._from_server_socket(server_socket)
        return conn


class SlowClientServer(cheroot.wsgi.Server):
    """A server whose threads handle a request once it is complete."""

    ConnectionClass = _Connection

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.open_connections: set[_Connection] = set()
        self.slow_reader_slots = threading.BoundedSemaphore(
            max(1, self.numthreads // 4)
        )
        client_queues = RoundRobinQueue()
        self.requests._queue = client_queues
        self.requests.get = client_queues.get

    def prepare(self) -> None:
        """Bind the socket and start the threads."""
        super().prepare()
        self._connections._selector.close()
        self._connections = _ConnectionManager(self)

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection may stay open after its response.

        cheroot's own count takes the selector's lock for each response;
        profiling under a flood showed many threads waiting for this lock.
        """
        return self.ready and len(self.open_connections) < _MAX_CONNECTIONS


def _compute_wake_bytes(conn: _Connection, max_body_bytes: int) -> int:
    """Return the number of readable bytes to wait for, or 0 to continue.

    Continues when the request is complete, exceeds a limit or was truncated:
    cheroot then responds or closes the connection without waiting.
    """
    try:
        head = _peek(conn)
        arrived_bytes = len(head)
        if arrived_bytes == _MAX_HEAD_BYTES:
            arrived_bytes = _count_readable(conn.socket)
    except BlockingIOError:
        return 1
    except OSError:
        return 0
    # Readable without new bytes: the client has closed its side, or the
    # kernel's receive buffer is full.
    has_grown = arrived_bytes > conn.last_readable_bytes
    conn.last_readable_bytes = arrived_bytes
    head_end = head.find(b"\r\n\r\n")
    if not head or not has_grown:
        return 0
    if head_end < 0:
        return 0 if len(head) >= _MAX_HEAD_BYTES else arrived_bytes + 1
    match = _CONTENT_LENGTH_PATTERN.search(head, 0, head_end + 2)
    body_bytes = int(match[1]) if match else 0
    if max_body_bytes and body_bytes > max_body_bytes:
        return 0
    if arrived_bytes >= head_end + 4 + body_bytes:
        return 0
    if _EXPECT_PATTERN.search(head, 0, head_end + 2) and not conn.sent_continue:
        conn.sent_continue = True
        conn.socket.send(_CONTINUE_RESPONSE)
    return head_end + 4 + body_bytes


def _peek(conn: _Connection) -> bytes:
    """Return the bytes that have arrived, without consuming them.

    Raises:
        BlockingIOError: Nothing has arrived.
    """
    if not conn.is_new or conn.waiting_since_s is not None:
        # The selector has reported the socket as readable.
        return conn.socket.recv(_MAX_HEAD_BYTES, socket.MSG_PEEK)
    timeout_s = conn.socket.gettimeout()
    conn.socket.settimeout(0)
    try:
        return conn.socket.recv(_MAX_HEAD_BYTES, socket.MSG_PEEK)
    finally:
        conn.socket.settimeout(timeout_s)


def _is_readable(sock: socket.socket) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def _count_readable(sock: socket.socket) -> int:
    buffer = fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0" * 4)
    return struct.unpack("i", buffer)[0]


def _set_wake_threshold(sock: socket.socket, min_bytes: int) -> None:
    """Make the selector report the socket once `min_bytes` are readable."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, min_bytes)
