"""A cheroot server whose threads are not held by slow clients.

A thread that finds a request not yet whole gives its connection back to the
selector, which wakes up for the missing bytes only. The look is taken by the
thread, as the selector's thread alone could not look at all connections of a
flood. A client that reads its answer
slowly may hold one of a quarter of the threads, and loses its connection when
none of these is free or when it stays below a minimum rate.
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

# The socket timeout: a request must have arrived within it.
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
# Beyond this, a connection is closed after its answer.
_MAX_CONNECTIONS = 1_000
_MAX_ACCEPTS_PER_ROUND = 64


class SlowReaderError(cheroot.errors.FatalSSLAlert):
    """The client reads its answer too slowly; its connection is closed.

    cheroot closes a connection silently on this one error class only.
    """


class _Request(cheroot.server.HTTPRequest):
    """A request whose answer is sent under a limit of slow sends."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.sent_bytes = 0
        self.blocked_s = 0.0
        self.holds_slow_reader_slot = False

    def respond(self) -> None:
        """Answer the request; one in chunked transfer is refused."""
        if self.chunked_read:
            # The end of the body is not known here, so that the connection
            # cannot be used for another request.
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
        """Send a part of the answer; raises SlowReaderError."""
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
            raise SlowReaderError("answer read below the minimum rate")
        if self.blocked_s > _SLOW_AFTER_S and not self.holds_slow_reader_slot:
            if not self.server.slow_reader_slots.acquire(blocking=False):
                raise SlowReaderError("too many slow readers")
            self.holds_slow_reader_slot = True
        return sent


class _Connection(cheroot.server.HTTPConnection):
    """A connection that may wait for the rest of its request.

    Attributes:
        fresh: Whether nothing has been received yet.
        parked_at_s: Monotonic time when it began to wait, or None.
        parked_bytes: Bytes that had arrived when it was last looked at.
        continued: Whether it was told to send the body.
        lane: Credentials of its last request, once they were accepted.
    """

    client_key = b""
    RequestHandlerClass = _Request
    is_new = True
    waiting_since_s: float | None = None
    last_readable_bytes = -1
    sent_continue = False

    def __init__(self, server: "SlowClientServer", *args: Any) -> None:
        super().__init__(server, *args)
        # A thread reads only what has arrived, so that this is the longest
        # wait of one send.
        self.socket.settimeout(_SLOW_AFTER_S)
        server.open_connections.add(self)

    def communicate(self) -> bool:
        """Answer one request, or wait for more; return whether to stay open."""
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
        """Return whether there is time left to wait for more."""
        now_s = time.monotonic()
        if self.waiting_since_s is None:
            self.waiting_since_s = now_s
        _set_wake_threshold(self.socket, wake_bytes)
        return now_s - self.waiting_since_s < TIMEOUT_S


class RoundRobinQueue:
    """Connections that wait for a thread, served in turn by lane.

    In one first-in-first-out queue, the connections of a flood would delay
    those of every other client. Offers what cheroot uses of `queue.Queue`.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.queues_by_client: collections.OrderedDict[
            bytes, collections.deque
        ] = collections.OrderedDict()

    def put(
        self, item: Any, block: bool = True, timeout: float | None = None
    ) -> None:
        """Add a connection, or cheroot's request to stop a thread."""
        client_key = getattr(item, "client_key", b"")
        with self.changed:
            self.queues_by_client.setdefault(
                client_key, collections.deque()
            ).append(item)
            self.changed.notify()

    def get(self) -> Any:
        """Wait for the next item of the next lane and return it."""
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
    """Accepts all waiting connections at once.

    cheroot accepts one for each round over the readable connections, so that
    a new client would wait for hundreds of rounds in a flood.
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
    """Lends its threads to whole requests only."""

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
        """Whether a connection may stay open after its answer.

        cheroot's own count takes the selector's lock for each answer; samples
        of a flood showed many threads waiting for it.
        """
        return self.ready and len(self.open_connections) < _MAX_CONNECTIONS


def _compute_wake_bytes(conn: _Connection, max_body_bytes: int) -> int:
    """Return the readable bytes to wait for, or 0 to go on now.

    Goes on when the request is whole, over a limit or broken off: what follows
    then answers or closes without waiting.
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
    # Readable without growth: the client has closed its side, or the kernel
    # holds as much as it will.
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
    """Return what has arrived; raises BlockingIOError if nothing has."""
    if not conn.is_new or conn.waiting_since_s is not None:
        # The selector has reported it as readable.
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
    """Let the selector report the socket once this much is readable."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, min_bytes)
