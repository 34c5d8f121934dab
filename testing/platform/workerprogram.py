"""A worker of the platform as a process of its own, for thousands of tasks.

Run as a module, with the worker's id: it prints its port and the time of its
start, and serves until it is killed. A worker in the process of a test would
take processor time from the store and from other workers there.
"""

import asyncio
import contextlib
import json
import sys
import time

import httptools

_MAX_LISTED_ENDS = 500
_REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 421: "Gone"}


class Worker:
    """Runs tasks until they are stopped.

    Attributes:
        ended_s: Unix time of each end, in order.
    """

    def __init__(self, worker_id):
        self.id = worker_id
        self.born_ms = int(time.time() * 1000)
        self.epoch = 0
        self.running = {}
        self.closed = {}
        self.ends = []
        self.ended_s = []
        self.changed = asyncio.Event()

    def read_clock_ms(self):
        return int(time.monotonic() * 1000)

    async def handle(self, path, expected, body):
        """Return the status and the body of a response."""
        if path == "/ends":
            return 200, {"running": len(self.running), "ended_s": self.ended_s}
        if expected != self.id:
            return 421, {}
        if body["fencing_token"] < self.epoch:
            return 409, {"clock_ms": self.read_clock_ms(), "reason": "fence"}
        self.epoch = body["fencing_token"]
        if path == "/api/run-start":
            return self.start(body["task"], body["run"])
        if path == "/api/run-stop":
            return self.stop(body["task"], body["run"])
        if path == "/api/hold":
            return await self.hold(body["last_seen"], body.get("wait_ms", 0))
        return 404, {}

    def start(self, task, run):
        if run <= self.closed.get(task, 0):
            return 409, {"clock_ms": self.read_clock_ms(), "reason": "old"}
        self.running[task] = run
        return 200, {"clock_ms": self.read_clock_ms()}

    def stop(self, task, run):
        self.closed[task] = max(run, self.closed.get(task, 0))
        if self.running.get(task) == run:
            del self.running[task]
            self.ended_s.append(time.time())
            self.ends.append([len(self.ended_s), task, run, "stopped", ""])
            self.changed.set()
        return 200, {"clock_ms": self.read_clock_ms()}

    async def hold(self, last_seen, wait_ms):
        self.ends = [end for end in self.ends if end[0] > last_seen]
        if not self.ends and wait_ms:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_ms / 1000)
        return 200, {
            "clock_ms": self.read_clock_ms(),
            "born": self.born_ms,
            "running": [[n, r, "", 50, 0] for n, r in self.running.items()],
            "finished": self.ends[:_MAX_LISTED_ENDS],
        }


class Connection(asyncio.Protocol):
    """A connection of a client, which sends one request at a time."""

    def __init__(self, worker):
        self.worker = worker
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.parser.feed_data(data)

    def on_url(self, url):
        self.path, self.expected, self.body = url.decode(), "", b""

    def on_header(self, name, value):
        if name.lower() == b"cyclamenshelf-expected-instance":
            self.expected = value.decode()

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.task = asyncio.create_task(self.respond())

    async def respond(self):
        body = json.loads(self.body or b"{}")
        status, value = await self.worker.handle(self.path, self.expected, body)
        content = json.dumps(value).encode()
        self.transport.write(
            f"HTTP/1.1 {status} {_REASONS[status]}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n".encode()
            + content
        )


async def main():
    worker = Worker(sys.argv[1])
    server = await asyncio.get_running_loop().create_server(
        lambda: Connection(worker), "127.0.0.1", 0
    )
    print(server.sockets[0].getsockname()[1], worker.born_ms, flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
