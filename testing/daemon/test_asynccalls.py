"""HTTP calls of one thread, against servers that misbehave."""

import contextlib
import queue
import socket
import threading
import time

import pytest

from cyclamenshelf_daemon import asynccalls
from cyclamenshelf_daemon import httpclient

ACCEPTED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
TIMEOUT_MS = 300


class Server:
    """Accepts connections, and answers each request by a function.

    Attributes:
        connections: All connections, in order.
        answer: Returns the bytes of a response, or None to close the
            connection. Argument: the number of the connection.
    """

    def __init__(self, answer):
        self.answer = answer
        self.connections = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.connections.append(connection)
                threading.Thread(
                    target=self.serve,
                    args=(connection, len(self.connections) - 1),
                    daemon=True,
                ).start()

    def serve(self, connection, number):
        with contextlib.suppress(OSError):
            while connection.recv(10_000):
                response = self.answer(number)
                if response is None:
                    connection.close()
                    return
                connection.sendall(response)

    def close(self):
        self.listener.close()
        for connection in self.connections:
            connection.close()


@pytest.fixture
def client():
    created = asynccalls.start_client()
    yield created
    created.close()


@pytest.fixture
def start_server():
    created = []

    def start(answer):
        created.append(Server(answer))
        return created[-1]

    yield start
    for server in created:
        server.close()


def call(client, address, timeout_ms=TIMEOUT_MS):
    """Make a call; return its result."""
    results = queue.SimpleQueue()
    request = asynccalls.encode_post(address, "/x", {}, b"{}")
    client.call(asynccalls.Call(address, request, timeout_ms), results.put)
    return results.get(timeout=10)


def test_connection_is_used_again(client, start_server):
    # New connections to workers are slow, and some platforms charge for them.
    server = start_server(lambda number: ACCEPTED)
    for _ in range(3):
        assert call(client, server.address) == asynccalls.Response(200, b"{}")
    assert len(server.connections) == 1


@pytest.mark.parametrize(
    ("response", "detail"),
    [
        pytest.param(None, "connection closed", id="closed"),
        pytest.param(b"", "timeout", id="silent"),
        pytest.param(ACCEPTED[:-1], "timeout", id="incomplete"),
        pytest.param(b"odd\r\n\r\n", "HttpParserError", id="odd"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"
            + b"x" * 2**21,
            "response too long",
            id="too_long",
        ),
    ],
)
def test_request_without_a_response_may_have_been_received(
    client, start_server, response, detail
):
    # Each order needs an outcome; one without keeps its worker's turn for good.
    server = start_server(lambda number: response)
    failure = call(client, server.address)
    assert isinstance(failure, httpclient.HttpFailureError)
    assert detail in str(failure)
    assert failure.sent


@pytest.mark.parametrize("address", ["127.0.0.1:1", "w0", "127.0.0.1:99999"])
def test_request_that_reaches_no_server_was_not_received(client, address):
    failure = call(client, address)
    assert isinstance(failure, httpclient.HttpFailureError)
    assert not failure.sent


def test_response_with_a_close_is_not_followed_by_a_lost_call(
    client, start_server
):
    closing = ACCEPTED.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    server = start_server(lambda number: closing)
    for _ in range(3):
        assert call(client, server.address) == asynccalls.Response(200, b"{}")


def test_call_after_a_timeout_uses_a_new_connection(client, start_server):
    # Kept connections went silent together, and every repeated order used
    # another one of them.
    silent = threading.Event()

    def answer(number):
        time.sleep(0.05)
        return b"" if silent.is_set() and number < 2 else ACCEPTED

    server = start_server(answer)
    results = queue.SimpleQueue()
    request = asynccalls.encode_post(server.address, "/x", {}, b"{}")
    for _ in range(2):
        client.call(
            asynccalls.Call(server.address, request, TIMEOUT_MS), results.put
        )
    for _ in range(2):
        assert results.get(timeout=10) == asynccalls.Response(200, b"{}")
    silent.set()
    assert str(call(client, server.address)) == "timeout"
    assert call(client, server.address) == asynccalls.Response(200, b"{}")
    assert len(server.connections) == 3


@pytest.mark.parametrize("value", ["i-1\r\nX: y", "i-\u00e9"])
def test_header_that_would_end_its_line_is_refused(value):
    # The id of a worker is text that another program wrote.
    with pytest.raises(ValueError, match="control characters"):
        asynccalls.encode_post("127.0.0.1:1", "/x", {"Id": value}, b"")
