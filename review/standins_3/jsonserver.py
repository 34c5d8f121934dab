"""A threaded HTTP/1.1 server with JSON bodies, from the standard library."""

from collections.abc import Callable
import http.server
import json
import socket
import sys
import threading
from typing import Any
from typing import NamedTuple
import urllib.parse


class Request(NamedTuple):
    """A request; `query` has the first value of each parameter."""

    method: str
    path: str
    query: dict[str, str]
    headers: Any
    body: Any


class Response(NamedTuple):
    """A response with a JSON body."""

    status: int
    body: Any


Handler = Callable[[Request], Response]


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Report an error, but not that a peer has closed its connection."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


def start_server(address: tuple[str, int], handle: Handler) -> int:
    """Serve requests in background threads; return the port.

    Args:
        address: Loopback address and port; port 0 chooses a free one.
        handle: Called for each request, in a thread of its connection.
    """

    class RequestHandler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def _respond(self) -> None:
            parts = urllib.parse.urlsplit(self.path)
            length = int(self.headers.get("Content-Length") or 0)
            content = self.rfile.read(length) if length else b""
            request = Request(
                self.command,
                urllib.parse.unquote(parts.path),
                dict(urllib.parse.parse_qsl(parts.query)),
                self.headers,
                json.loads(content) if content else None,
            )
            response = handle(request)
            text = json.dumps(response.body).encode()
            self.send_response(response.status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)

        do_GET = do_POST = do_DELETE = _respond  # noqa: N815 - names of base

        def log_message(self, *arguments: Any) -> None:
            """Write no access log."""

    server = _Server(address, RequestHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server.server_address[1]


def find_free_ports(count: int) -> list[int]:
    """Return different ports that are free at the moment."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports
