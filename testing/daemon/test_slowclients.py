import contextlib
import socket

import pytest
import urllib3

from cyclamenshelf_daemon import slowclients
from cyclamenshelf_daemon import webserver

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"


@pytest.fixture
def server():
    bodies = []

    def handle(request):
        bodies.append(request.body)
        size = int(request.query.get("size", "0"))
        return webserver.Response(200, request.body or b"x" * size)

    running = webserver.start_server(
        "127.0.0.1", 0, handle, threads=4, stop_timeout_s=0.5
    )
    yield running.port, bodies
    running.stop()


def call(port, path="/"):
    url = f"http://127.0.0.1:{port}{path}"
    return urllib3.request("POST", url, body=b"quick", timeout=5).data


def connect(stack, port):
    sock = socket.create_connection(("127.0.0.1", port), timeout=15)
    return stack.enter_context(sock)


@pytest.mark.parametrize("start", [b"", b"POST / HT", HEAD, HEAD + b"\r\nab"])
def test_slow_requests_occupy_no_thread(server, start):
    # Three times as many slow clients as the server has threads.
    port, bodies = server
    with contextlib.ExitStack() as stack:
        slow = [connect(stack, port) for _ in range(12)]
        for sock in slow:
            sock.sendall(start)
        assert call(port) == b"quick"
        rest = (HEAD + b"\r\nabcde")[len(start) :]
        for sock in slow:
            sock.sendall(rest)
            assert sock.recv(4096).startswith(b"HTTP/1.1 200")
    assert bodies.count(b"abcde") == 12


def test_request_with_truncated_body_is_not_handled(server):
    port, bodies = server
    with contextlib.ExitStack() as stack:
        sock = connect(stack, port)
        sock.sendall(HEAD + b"\r\nab")
        sock.shutdown(socket.SHUT_WR)
        assert sock.recv(4096) == b""
    assert bodies == []


def test_request_in_several_packets_is_complete(server):
    port, bodies = server
    body = bytes(range(256)) * 4096
    url = f"http://127.0.0.1:{port}/"
    assert urllib3.request("POST", url, body=body, timeout=10).data == body


def test_expect_continue_is_answered_before_the_body(server):
    port, bodies = server
    with contextlib.ExitStack() as stack:
        sock = connect(stack, port)
        sock.sendall(HEAD + b"Expect: 100-continue\r\n\r\n")
        assert sock.recv(4096).startswith(b"HTTP/1.1 100")
        sock.sendall(b"abcde")
        assert b" 200 " in sock.recv(4096) + sock.recv(4096)


def test_chunked_request_is_refused_and_its_body_never_parsed(server):
    # Guards against request smuggling: a body whose end is unknown must not be
    # parsed as the next request.
    port, bodies = server
    with contextlib.ExitStack() as stack:
        sock = connect(stack, port)
        sock.sendall(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        )
        received = b""
        with contextlib.suppress(ConnectionResetError):
            while chunk := sock.recv(4096):
                received += chunk
    assert received.count(b"HTTP/1.1 ") == 1 and b"411" in received
    assert bodies == []


def test_slow_readers_of_responses_leave_threads_free(server, monkeypatch):
    monkeypatch.setattr(slowclients, "_SLOW_AFTER_S", 0.05)
    port, _ = server
    with contextlib.ExitStack() as stack:
        for _ in range(12):
            sock = connect(stack, port)
            sock.sendall(
                b"POST /?size=20000000 HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
        assert call(port) == b"quick"
