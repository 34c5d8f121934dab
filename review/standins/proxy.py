"""Stand-in of a link: forwards TCP connections; run as a process.

The signal SIGSTOP cuts the link silently, SIGCONT heals it.
"""

import argparse
import socket
import sys
import threading


def _copy(source: socket.socket, target: socket.socket) -> None:
    try:
        while data := source.recv(65_536):
            target.sendall(data)
    except OSError:
        pass
    for end in (source, target):
        try:
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            continue


def _connect(client: socket.socket, port: int) -> None:
    try:
        server = socket.create_connection(("127.0.0.1", port))
    except OSError:
        client.close()
        return
    for end in (client, server):
        end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    threading.Thread(target=_copy, args=(server, client), daemon=True).start()
    _copy(client, server)
    client.close()
    server.close()


def main() -> None:
    """Forward until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", type=int, required=True)
    arguments = parser.parse_args()
    listener = socket.create_server(("127.0.0.1", arguments.port), backlog=128)
    while True:
        client, _ = listener.accept()
        threading.Thread(
            target=_connect, args=(client, arguments.target), daemon=True
        ).start()


if __name__ == "__main__":
    sys.exit(main())
