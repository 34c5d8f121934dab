"""A cheroot server whose threads are not held by slow clients.

A connection gets a thread only once its whole request has arrived; until then
it waits in the selector for the missing bytes. A client that reads its answer
slowly may hold one of a quarter of the threads, and loses its connection when
none of these is free or when it stays below a minimum rate.
"""

import fcntl
import re
import socket
import struct
import termios
import threading
import time
from typing import Any

import cheroot.errors
import cheroot.server
import cheroot.wsgi

# The socket timeout: a request must have arrived within it.
TIMEOUT_S = 10
_MAX_HEAD_BYTES = 32 * 1024
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,12})", re.I)
_EXPECT = re.compile(rb"\r\nexpect:[ \t]*100-continue", re.I)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_CHUNKED_REFUSAL = (
    '{"code":"length_required","message":"expected a Content-Length",'
    '"run":"not_run"}'
)
_MIN_BYTES_PER_S = 64 * 1024
_SLOW_AFTER_S = 1.0


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
        self.holds_slow_place = False

    def respond(self) -> None:
        """Answer the request; one in chunked transfer is refused."""
        if self.chunked_read:
            # The end of the body is not known here, so that the connection
            # cannot be used for another request.
            self.close_connection = True
            self.simple_response("411 Length Required", _CHUNKED_REFUSAL)
            return
        try:
            super().respond()
        finally:
            if self.holds_slow_place:
                self.server.slow_places.release()

    def write(self, chunk: bytes) -> None:
        """Send a part of the answer; raises SlowReaderError."""
        if self.chunked_write:
            super().write(chunk)
            return
        rest = memoryview(chunk)
        sock = self.conn.socket
        sock.settimeout(_SLOW_AFTER_S)
        try:
            while rest:
                rest = rest[self._send_some(sock, rest) :]
        finally:
            sock.settimeout(self.server.timeout)

    def _send_some(self, sock: socket.socket, rest: memoryview) -> int:
        started_s = time.monotonic()
        try:
            sent = sock.send(rest)
        except TimeoutError:
            sent = 0
        self.sent_bytes += sent
        self.blocked_s += time.monotonic() - started_s
        allowed_s = TIMEOUT_S + self.sent_bytes / _MIN_BYTES_PER_S
        if self.blocked_s > allowed_s:
            raise SlowReaderError("answer read below the minimum rate")
        if self.blocked_s > _SLOW_AFTER_S and not self.holds_slow_place:
            if not self.server.slow_places.acquire(blocking=False):
                raise SlowReaderError("too many slow readers")
            self.holds_slow_place = True
        return sent


class _Connection(cheroot.server.HTTPConnection):
    """A connection that may wait for the rest of its request.

    Attributes:
        parked_at_s: Unix time when it began to wait, or None.
        parked_bytes: Bytes that had arrived when it was last looked at.
        continued: Whether it was told to send the body.
    """

    RequestHandlerClass = _Request
    parked_at_s: float | None = None
    parked_bytes = -1
    continued = False


class PatientServer(cheroot.wsgi.Server):
    """Gives a connection a thread once its whole request has arrived."""

    ConnectionClass = _Connection

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.slow_places = threading.BoundedSemaphore(
            max(1, self.numthreads // 4)
        )

    def process_conn(self, conn: _Connection) -> None:
        """Give the connection a thread, or keep it waiting for bytes.

        Called in the selector's thread, and by a worker thread only for a
        connection with buffered bytes.
        """
        missing = 0
        if not conn.rfile.has_data():
            missing = _find_missing(conn, self.max_request_body_size)
        if missing and self.ready:
            self._park(conn, missing)
            return
        if conn.parked_at_s is not None:
            _set_wake_size(conn.socket, 1)
        conn.parked_at_s, conn.parked_bytes = None, -1
        conn.continued = False
        super().process_conn(conn)

    def _park(self, conn: _Connection, wake_size: int) -> None:
        if conn.parked_at_s is None:
            conn.parked_at_s = time.time()
        _set_wake_size(conn.socket, wake_size)
        parked_at_s = conn.parked_at_s
        self.put_conn(conn)
        # put_conn counts from now; a client that sends a byte now and then
        # must not stay for longer.
        conn.last_used = parked_at_s


def _find_missing(conn: _Connection, max_body_bytes: int) -> int:
    """Return the readable bytes to wait for, or 0 to go on now.

    Goes on when the request is whole, over a limit or broken off: the thread
    then answers or closes without waiting.
    """
    try:
        head = _peek(conn.socket)
        arrived = _count_readable(conn.socket)
    except BlockingIOError:
        return 1
    except OSError:
        return 0
    # Readable without growth: the client has closed its side, or the kernel
    # holds as much as it will.
    grown = arrived > conn.parked_bytes
    conn.parked_bytes = arrived
    end = head.find(b"\r\n\r\n")
    if not head or not grown:
        return 0
    if end < 0:
        return 0 if len(head) >= _MAX_HEAD_BYTES else arrived + 1
    match = _CONTENT_LENGTH.search(head, 0, end + 2)
    body_bytes = int(match[1]) if match else 0
    if max_body_bytes and body_bytes > max_body_bytes:
        return 0
    if arrived >= end + 4 + body_bytes:
        return 0
    if _EXPECT.search(head, 0, end + 2) and not conn.continued:
        conn.continued = True
        conn.socket.send(_CONTINUE)
    return end + 4 + body_bytes


def _peek(sock: socket.socket) -> bytes:
    timeout_s = sock.gettimeout()
    sock.settimeout(0)
    try:
        return sock.recv(_MAX_HEAD_BYTES, socket.MSG_PEEK)
    finally:
        sock.settimeout(timeout_s)


def _count_readable(sock: socket.socket) -> int:
    buffer = fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0" * 4)
    return struct.unpack("i", buffer)[0]


def _set_wake_size(sock: socket.socket, size: int) -> None:
    """Let the selector report the socket once this much is readable."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, size)
