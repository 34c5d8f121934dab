"""A client cancels its job of many tasks, and tasks run on after the answer.

All tasks of the job are at work when DELETE is answered. From then on each of
them may run for `cancel_ms` and `stop_timeout_ms`.
"""

import collections
import json
import pathlib
import sys
import time

_DIRECTORY = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_DIRECTORY.parent / "standins_3"))
import deployment as deployments  # noqa: E402 - needs the path above

_JOB = "00000000000000a3"
_TASKS = 10_000
_RUNNERS = 8
_HOSTS = 3
_WORK_MS = 60_000
# Bounds of the site: `cancel_ms` and `stop_timeout_ms`.
_CANCEL_S = 3.0
_STOP_S = 0.9
# For the way from the answer to the client and to the record.
_MARGIN_S = 0.3
_START_TIMEOUT_S = 40.0
_WATCH_S = 20.0
_BODY = {
    "specification": f'{{"work_ms": {_WORK_MS}}}',
    "steps": [{"count": _TASKS, "cpu": 20}],
}


def check(deployment: deployments.Deployment, trouble: bool) -> bool:
    """Play the case; return whether no task ran on for too long."""
    deployment.start_store()
    for number in range(_RUNNERS):
        deployment.start_runner(f"i-{number}", f"r{number % 2}")
    hosts = [
        deployment.start_host(f"host-{number}") for number in range(_HOSTS)
    ]
    answer = deployment.call(hosts[0], "POST", _JOB, _BODY)
    if answer.status != 200:
        raise deployments.NotRunError(f"the job was not accepted: {answer}")
    deployment.wait_for(
        lambda: len(deployment.list_events("start")) >= _TASKS,
        "all tasks run",
        _START_TIMEOUT_S,
    )
    # The last starts are a while ago, and nothing else is disturbed.
    time.sleep(5.0)
    if not trouble:
        time.sleep(_CANCEL_S + _STOP_S)
        return not deployment.list_events("end")
    answer = deployment.call(hosts[0], "DELETE", _JOB)
    if answer.status != 200:
        raise deployments.NotRunError(f"the cancelling failed: {answer}")
    answered_s = time.time()
    time.sleep(_WATCH_S)
    ends = deployment.list_events("end")
    last_s = max(end["at"] for end in ends) - answered_s
    late = [
        end
        for end in ends
        if end["at"] > answered_s + _CANCEL_S + _STOP_S + _MARGIN_S
    ]
    deployment.write(
        "stopped",
        tasks=len(ends),
        late=len(late),
        last_s=round(last_s, 2),
        allowed_s=_CANCEL_S + _STOP_S,
    )
    _condense(deployment.record)
    return not late and len(ends) == _TASKS


def _condense(record: pathlib.Path) -> None:
    """Put starts and ends of one runner within 0.1 s on one line."""
    groups: dict[tuple, list[int]] = collections.defaultdict(list)
    lines = []
    for text in record.read_text(encoding="utf-8").splitlines():
        line = json.loads(text)
        if line["event"] not in ("start", "end"):
            lines.append(line)
            continue
        key = (round(line["at"], 1), line["event"], line["runner"])
        groups[key].append(int(line["task"].rpartition(".")[2]))
    for (at, event, runner), indexes in groups.items():
        lines.append(
            {"at": at, "event": event, "runner": runner, "tasks": indexes}
        )
    lines.sort(key=lambda line: line["at"])
    record.write_text(
        "".join(json.dumps(line) + "\n" for line in lines), encoding="utf-8"
    )


if __name__ == "__main__":
    sys.exit(deployments.run_case(check, _DIRECTORY))
