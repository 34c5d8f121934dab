"""HTTP server that the stand-ins share; standard library only."""

from collections.abc import Callable
import http.server
import json
from typing import Any
import urllib.parse

# A handler returns a status and a JSON value, or None to send no answer: the
# connection then stays open and delivers nothing further.
Handler = Callable[[str, dict[str, str], Any, dict[str, str]], tuple | None]


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


def start(port: int, handle: Handler) -> http.server.ThreadingHTTPServer:
    """Return a server on a loopback port; the caller runs `serve_forever`.

    Args:
        port: TCP port; 0 selects a free one.
        handle: Called with the path, the query, the decoded body and the
            headers with names in lower case.
    """

    class RequestHandler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *arguments: object) -> None:
            """Write nothing."""

        def _respond(self) -> None:
            url = urllib.parse.urlsplit(self.path)
            length = int(self.headers.get("Content-Length") or 0)
            text = self.rfile.read(length)
            answer = handle(
                url.path,
                dict(urllib.parse.parse_qsl(url.query, True)),
                json.loads(text) if text else None,
                {name.lower(): v for name, v in self.headers.items()},
            )
            if answer is None:
                self._wait_for_close()
                return
            status, value = answer
            body = json.dumps(value).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def _wait_for_close(self) -> None:
            self.close_connection = True
            self.connection.settimeout(30)
            try:
                while self.connection.recv(65_536):
                    pass
            except OSError:
                return

        do_GET = do_POST = do_DELETE = do_PUT = _respond  # noqa: N815

        def handle(self) -> None:
            """Handle requests until the client breaks the connection off."""
            try:
                super().handle()
            except (TimeoutError, ConnectionError):
                self.close_connection = True

    return _Server(("127.0.0.1", port), RequestHandler)
