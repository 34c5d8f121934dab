"""Stand-in for the platform's service that lists live and leaving hosts."""

import hashlib
import json
import threading
from typing import Any

from cyclamenshelf_daemon import webserver


class HostRegistry:
    """Entries of the host list, by host id."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.hosts: dict[str, dict[str, Any]] = {}


def make_handler(hosts: HostRegistry) -> webserver.Handler:
    """Return an HTTP handler that serves the host list."""

    def list_hosts(request: webserver.Request) -> webserver.Response:
        with hosts.lock:
            content = json.dumps({"hosts": list(hosts.hosts.values())})
        etag = hashlib.sha256(content.encode()).hexdigest()
        if request.headers.get("if-none-match") == etag:
            return webserver.Response(304)
        return webserver.Response(200, content.encode(), (("ETag", etag),))

    def put_host(request: webserver.Request) -> webserver.Response:
        (host_id,) = request.args
        with hosts.lock:
            hosts.hosts[host_id] = json.loads(request.body) | {"id": host_id}
        return webserver.make_json(200, {})

    def delete_host(request: webserver.Request) -> webserver.Response:
        (host_id,) = request.args
        with hosts.lock:
            hosts.hosts.pop(host_id, None)
        return webserver.make_json(200, {})

    return webserver.make_router(
        [
            ("GET", "/v1/hosts", list_hosts),
            ("PUT", "/v1/hosts/([^/]+)", put_host),
            ("DELETE", "/v1/hosts/([^/]+)", delete_host),
        ]
    )
