"""Runs recorded command-line sessions against stand-ins of the platform.

In a session file, `$ ` starts a command, `! ` a test step and `## ` a comment;
all other lines are expected output. To keep the output reproducible, the wall
clock is fixed, and URLs and ages are replaced by placeholders.
"""

import io
import json
import re
import shlex
import threading
import time

import loguru

from cyclamenshelf_cli import main
from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import jobrows
from cyclamenshelf_daemon import daemon
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import settings as settings_files
from cyclamenshelf_daemon import webserver
from cyclamenshelf_standin import faults
from cyclamenshelf_standin import platform as platforms

WALL_MS = 1_764_000_000_000
_SYSTEM_CLOCK = clocks.make_system_clock()
CLOCK = clocks.Clock(
    now_ms=_SYSTEM_CLOCK.now_ms,
    wall_ms=lambda: WALL_MS,
    sleep_ms=lambda duration_ms: _SYSTEM_CLOCK.sleep_ms(min(duration_ms, 500)),
)
ENVIRON = {"CYCLAMENSHELF_CREDENTIAL": platforms.DEMO_OPERATOR_TOKEN}
_CALL_TIMEOUT_MS = 20_000
_MAX_POLLS = 400


def _remove_default_log_sink() -> None:
    """Remove the log sink on a stream that pytest closes while threads run."""
    try:
        loguru.logger.remove(0)
    except ValueError:
        return


class Site:
    """Platform stand-ins, entry hosts e1 and e2, and a faulty proxy to e1.

    The methods `step_*` are the test steps of the session files.
    """

    def __init__(self, directory):
        _remove_default_log_sink()
        self.directory = directory
        self.platform = platforms.start_platform()
        self.stop_event = threading.Event()
        self.hosts = [self._start_host("e1"), self._start_host("e2")]
        self.proxy_faults = faults.Faults()
        self.pool = httpclient.make_pool()
        self.proxy = webserver.start_server(
            "127.0.0.1",
            0,
            faults.wrap_handler(self._forward_request, self.proxy_faults),
            threads=4,
            stop_timeout_s=0.5,
        )
        self.urls = {
            "E1": _make_url(self.hosts[0].operator_server.port),
            "E2": _make_url(self.hosts[1].operator_server.port),
            "LINK": _make_url(self.proxy.port),
            "NOHOST": "http://127.0.0.1:1",
        }
        # Waits until e1 owns the cell and has a report from every worker.
        workers = len(self.platform.workers)
        self._wait_until(
            lambda: len(self.hosts[0].role.owner.responding_workers) == workers
        )

    def _start_host(self, host_id):
        settings = settings_files.Settings(
            host_id=host_id,
            data_centre="dc0",
            cell="cell",
            listen_host="127.0.0.1",
            caller_port=0,
            operator_port=0,
            peer_port=0,
            caller_threads=4,
            table_url=self.platform.table_url,
            objects_url=self.platform.objects_url,
            hosts_url=self.platform.hosts_url,
            peer_key_file="",
            operator_token_sha256=platforms.DEMO_OPERATOR_SHA256,
        )
        secrets = settings_files.Secrets(peer_key=b"key")
        host = daemon.start_daemon(
            settings, secrets, CLOCK, self.stop_event.set
        )
        if host_id == "e1":
            self._wait_until(lambda: host.role.owner is not None)
        return host

    def stop(self):
        self.platform.table_faults.down = False
        stop_threads = [
            threading.Thread(target=daemon.stop_daemon, args=(host,))
            for host in self.hosts
        ]
        for thread in stop_threads:
            thread.start()
        for thread in stop_threads:
            thread.join()
        self.proxy.stop()
        platforms.stop_platform(self.platform)

    def _wait_until(self, condition):
        for _ in range(_MAX_POLLS):
            if condition():
                return
            time.sleep(0.05)
        raise AssertionError("timed out waiting for the expected state")

    def _forward_request(self, request):
        query = "&".join(
            f"{key}={value}" for key, value in request.query.items()
        )
        result = httpclient.call(
            self.pool,
            request.method,
            f"{self.urls['E1']}{request.path}?{query}",
            body=request.body or None,
            headers={"Authorization": request.headers["authorization"]},
            timeout_ms=_CALL_TIMEOUT_MS,
        )
        return webserver.Response(result.status, result.body)

    def run(self, line):
        """Return the output of a command, or an empty text after a step."""
        kind, text = line[:2], self._expand_variables(line[2:])
        words = shlex.split(text)
        if kind == "! ":
            getattr(self, "step_" + words[0])(*words[1:])
            return ""
        assert words[0] == "cyclamenshelf"
        printed = io.StringIO()
        code = main.run(words[1:], ENVIRON, printed, printed)
        return self._normalise(printed.getvalue()) + f"[exit {code}]\n"

    def _expand_variables(self, text):
        for name, url in self.urls.items():
            text = text.replace(f"${name}", url)
        return re.sub(
            r"JOB\((\S+?)\)", lambda match: _make_demo_job_id(match[1]), text
        )

    def _normalise(self, text):
        for name, url in self.urls.items():
            text = text.replace(url, f"${name}")
        text = re.sub(r'(age ms: +|_age_ms": )\d+', r"\1N", text)
        return text.replace(platforms.DEMO_OPERATOR_TOKEN, "CREDENTIAL PRINTED")

    def step_replace(self, path, old, new):
        file = self.directory / path
        text = file.read_text()
        assert old in text
        file.write_text(text.replace(old, new))

    def step_write(self, path, text):
        (self.directory / path).write_text(text)

    def step_table(self, name, value):
        self.platform.table_faults.update({name: json.loads(value)})

    def step_link(self, name, value):
        self.proxy_faults.update({name: json.loads(value)})

    def step_submit(self, key, parts, run_ms):
        shape = {"parts": int(parts), "accelerators": 8, "within": "rack"}
        payload = {"run_ms": int(run_ms), "answer": ""}
        body = {"shape": shape, "payload": payload, "repeatable": True}
        result = httpclient.call(
            self.pool,
            "POST",
            _make_url(self.hosts[0].caller_server.port) + "/v1/jobs",
            body=json.dumps(body).encode(),
            headers={
                "Authorization": f"Bearer {platforms.DEMO_TOKEN}",
                "Idempotency-Key": key,
            },
            timeout_ms=_CALL_TIMEOUT_MS,
        )
        assert result.status == 202

    def step_version(self, version):
        self._wait_until(
            lambda: all(
                host.lists.lists.version >= int(version) for host in self.hosts
            )
        )

    def step_wait(self, key, state):
        rows = self.platform.table.rows
        self._wait_until(
            lambda: (
                rows[f"job/{_make_demo_job_id(key)}"]["value"]["state"] == state
            )
        )

    def step_blocked(self, key):
        self._wait_until(
            lambda: _make_demo_job_id(key) in self.hosts[0].role.owner.blocked
        )

    def step_stopping(self, expected):
        assert self.stop_event.is_set() == json.loads(expected)


def _make_url(port):
    return f"http://127.0.0.1:{port}"


def _make_demo_job_id(key):
    return jobrows.make_job_id("demo", key)
