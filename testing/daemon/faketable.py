"""An in-process table service with scripted faults and a fake clock."""

import types
import urllib.parse

import urllib3

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon import tableclient
from cyclamenshelf_daemon import webserver
from cyclamenshelf_standin import tableservice

START_WALL_MS = 1_764_000_000_000


class FakeTable:
    """A fake connection pool that a table client sends its calls to.

    Attributes:
        script: Outcomes of the next calls: "ok", "down" (not sent), "lost"
            (applied without a response), "dropped" (not applied, without a
            response) or "held" (without a response, applied later by
            `deliver_held`).
        rest: Outcome of the calls after the end of the script.
        before_answer: Called once, between the effect of the next call that
            gets a response and that response.
    """

    def __init__(self):
        self.table = tableservice.Table()
        self.handler = tableservice.make_handler(self.table)
        self.script = []
        self.rest = "ok"
        self.held = []
        self.before_answer = None
        self.now_ms = 0
        self.clock = clocks.Clock(
            now_ms=lambda: self.now_ms,
            wall_ms=lambda: START_WALL_MS + self.now_ms,
            sleep_ms=self._sleep,
        )
        self.client = tableclient.TableClient(self, "http://table", self.clock)

    def _sleep(self, duration_ms):
        self.now_ms += duration_ms

    def request(self, method, url, body=None, headers=None, timeout=None):
        self.now_ms += 1
        parts = urllib.parse.urlsplit(url)
        request = webserver.Request(
            method,
            parts.path,
            dict(urllib.parse.parse_qsl(parts.query)),
            {},
            body,
        )
        fault = self.script.pop(0) if self.script else self.rest
        if fault == "down":
            raise urllib3.exceptions.ConnectTimeoutError
        if fault == "dropped":
            raise urllib3.exceptions.ProtocolError
        if fault == "held":
            self.held.append(request)
            raise urllib3.exceptions.ReadTimeoutError(None, url, "")
        response = self.handler(request)
        if fault == "lost":
            raise urllib3.exceptions.ProtocolError
        hook, self.before_answer = self.before_answer, None
        if hook is not None:
            hook()
        return types.SimpleNamespace(
            status=response.status, headers={}, data=response.body
        )

    def deliver_held(self):
        held, self.held = self.held, []
        for request in held:
            self.handler(request)


def make_lists(weight, guarantees="[]"):
    """Return small plans and allowances in YAML with the given weight."""
    plans = "accounts:\n  shop: {plan: only, token_sha256: []}\n"
    allowances = f"""\
plans:
  only:
    weight: {weight}
    max_queued_jobs: 10
    max_accelerators: 64
    request_rate_per_s: 10
    guarantees: {guarantees}
"""
    return plans, allowances
