"""Submit an urgent job that can never run, then a job of low priority."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import case as cases  # noqa: E402 - needs the path above

_RUNNERS = 4
_GPUS = 8
_IMPOSSIBLE_JOB = "00000000000000ff"
# Jobs without a fault, of which the hopeless one is a small share.
_OTHER_JOBS = [f"00000000000000{n:02x}" for n in range(19)]
_JOB_ID = "5c0e7a21d94b36f8"
_FINISH_S = 14.0
_IDLE_S = 10.0


def _make_job(count: int, **terms: object) -> dict[str, object]:
    step = {
        "count": count,
        "cpu": 5_600,
        "memory_request_mb": 22_000,
        "gpu": 1,
        "estimated_duration_ms": 2_500,
    }
    return {"specification": '{"work_ms":2500}', "steps": [step | terms]}


def _play(case: cases.Case) -> bool:
    cases.start_store(case)
    for number, port in enumerate(cases.find_free_ports(_RUNNERS), start=1):
        cases.start_worker(case, f"i-{number}", port)
    host = cases.start_host(case, "frontend-1")
    time.sleep(2)
    for job_id in _OTHER_JOBS:
        cases.call(case, host, "POST", job_id, _make_job(1), prefix="/urgent/")
    # No runner has the label, so the job can never be done.
    label = {"requirements": "b"} if case.trouble else {}
    urgent = _make_job(_RUNNERS, gpu=_GPUS, **label)
    answer = cases.call(
        case, host, "POST", _IMPOSSIBLE_JOB, urgent, prefix="/urgent/"
    )
    cases.note(case, "the urgent job", status=answer.status)
    time.sleep(5)
    bulk = _make_job(2)
    if (
        cases.call(case, host, "POST", _JOB_ID, bulk, prefix="/bulk/").status
        != 200
    ):
        raise RuntimeError("the job was not accepted")
    time.sleep(_FINISH_S + _IDLE_S)
    starts = cases.find_events(case, "start", _JOB_ID)
    state = cases.call(case, host, "GET", _JOB_ID, prefix="/bulk/").body
    cases.note(case, "the job of low priority", state=state, starts=len(starts))
    return bool(starts)


if __name__ == "__main__":
    sys.exit(cases.run(_play, pathlib.Path(sys.argv[1])))
