"""Demo that runs one gang job on a daemon with in-process stand-ins."""

import json

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon import daemon
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import settings as settings_files
from cyclamenshelf_standin import platform as platforms

_JOB_REQUEST = {
    "shape": {"parts": 4, "accelerators": 8, "within": "rack"},
    "urgency": "normal",
    "payload": {"run_ms": 300, "answer": "labels of part {part} pushed\n"},
}
_CALL_TIMEOUT_MS = 30_000


def main() -> None:
    """Start a daemon, run a gang job on it, print its answer and stop."""
    logs.set_up_logs("demo")
    platform = platforms.start_platform()
    running_daemon = daemon.start_daemon(
        settings_files.Settings(
            host_id="demo",
            data_centre="dc0",
            cell="demo",
            listen_host="127.0.0.1",
            caller_port=0,
            operator_port=0,
            peer_port=0,
            caller_threads=16,
            table_url=platform.table_url,
            objects_url=platform.objects_url,
            hosts_url=platform.hosts_url,
            peer_key_file="",
            operator_token_sha256=platforms.DEMO_OPERATOR_SHA256,
        ),
        settings_files.Secrets(peer_key=b"demo"),
        clocks.make_system_clock(),
        request_drain=lambda: None,
    )
    url = f"http://127.0.0.1:{running_daemon.caller_server.port}/v1/jobs"
    headers = {
        "Authorization": f"Bearer {platforms.DEMO_TOKEN}",
        "Idempotency-Key": "demo-1",
    }
    pool = httpclient.make_pool()

    def call(method: str, path: str, body: bytes | None = None) -> bytes:
        return httpclient.call(
            pool,
            method,
            url + path,
            body=body,
            headers=headers,
            timeout_ms=_CALL_TIMEOUT_MS,
        ).body

    job = json.loads(call("POST", "", json.dumps(_JOB_REQUEST).encode()))
    print("accepted:", json.dumps(job))
    ended_job = json.loads(call("GET", f"/{job['job_id']}?wait_ms=20000"))
    print("ended:", json.dumps(ended_job))
    print("answer:")
    print(call("GET", f"/{job['job_id']}/answer").decode(), end="")
    daemon.stop_daemon(running_daemon)
    platforms.stop_platform(platform)


if __name__ == "__main__":
    main()
