"""What the stand-ins share: records, a small HTTP server and client."""

from collections.abc import Callable
import http.client
import http.server
import json
import os
import threading
import time
from typing import Any

# How long a connection stays open whose answer is lost.
NO_ANSWER_S = 10

Handler = Callable[[str, str, dict[str, str], bytes], tuple[int, Any]]


def record(who: str, event: str, **fields: Any) -> None:
    """Append a line to the record of the case."""
    line = json.dumps({"t": round(time.time(), 3), "who": who, "event": event})
    line = line[:-1] + "".join(
        f", {json.dumps(k)}: {json.dumps(v)}" for k, v in fields.items()
    )
    with open(os.environ["RECORD"], "a", encoding="utf-8") as file:
        file.write(line + "}\n")


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256


def serve(address: str, handler: Handler) -> None:
    """Serve HTTP/1.1 at an address until the process ends.

    Args:
        address: Host and port.
        handler: Returns status and body of an answer; status 0 for none.
    """

    class Request(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def answer(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length) if length else b""
            headers = {k.lower(): v for k, v in self.headers.items()}
            status, value = handler(self.command, self.path, headers, body)
            if not status:
                # The connection delivers nothing further.
                time.sleep(NO_ANSWER_S)
                self.close_connection = True
                return
            content = json.dumps(value).encode()
            self.send_response_only(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)

        do_GET = do_POST = do_DELETE = answer  # noqa: N815 - names of the base

    host, _, port = address.rpartition(":")
    server = _Server((host, int(port)), Request)
    threading.Thread(target=server.serve_forever, daemon=True).start()


def call(
    address: str,
    method: str,
    path: str,
    value: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Send one request on a connection of its own; raise OSError if it fails.

    Returns:
        The status and the decoded body.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        body = None if value is None else json.dumps(value).encode()
        sent = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        text = response.read()
    except http.client.HTTPException as error:
        raise ConnectionError(repr(error)) from error
    finally:
        connection.close()
    return response.status, json.loads(text or b"{}")
