"""Lose the answer to the insert of a job while its key is taken away."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import case as cases  # noqa: E402 - needs the path above

_JOB_ID = "5c0e7a21d94b36f8"
_REJECTIONS = (401, 404, 429, 503)
# The operator takes the key away this long after the client's call.
_REVOKED_AFTER_S = 0.15
_WATCH_S = 10.0


def _play(case: cases.Case) -> bool:
    cases.start_store(case)
    cases.start_worker(case, "i-1", cases.find_free_ports(1)[0])
    host = cases.start_host(case, "frontend-1")
    time.sleep(3)
    if case.trouble:
        cases.control_store(case, "lose", {"count": 1, "table": "work"})
    revocation = threading.Timer(
        _REVOKED_AFTER_S, cases.write_configuration, (case, 2, ("key-2",))
    )
    revocation.start()
    body = {
        "specification": '{"work_ms":2500}',
        "steps": [
            {
                "count": 1,
                "cpu": 7_500,
                "memory_request_mb": 22_000,
                "gpu": 1,
                "estimated_duration_ms": 2_500,
            }
        ],
    }
    answer = cases.call(case, host, "POST", _JOB_ID, body)
    revocation.join()
    time.sleep(_WATCH_S)
    starts = cases.find_events(case, "start", _JOB_ID)
    cases.note(
        case,
        "the client's only attempt",
        status=answer.status,
        starts=len(starts),
    )
    return answer.status not in _REJECTIONS or not starts


if __name__ == "__main__":
    sys.exit(cases.run(_play, pathlib.Path(sys.argv[1])))
