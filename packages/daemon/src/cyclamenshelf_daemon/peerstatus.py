"""What operators are shown of the messages between entry hosts."""

from cyclamenshelf_daemon import peers as peer_messages
from cyclamenshelf_daemon import webserver

_PATH = "/v1/status/peers"


def add_status(
    handler: webserver.Handler, peers: peer_messages.Peers
) -> webserver.Handler:
    """Return the handler with the status of peers added to it."""

    def handle(request: webserver.Request) -> webserver.Response:
        if request.method == "GET" and request.path == _PATH:
            return webserver.make_json(200, peer_messages.get_status(peers))
        return handler(request)

    return handle
