"""A large job is accepted; ordinary jobs are handed in after it."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

import case  # noqa: E402 - needs the path above
import wire  # noqa: E402 - needs the path above

LARGE_JOB = "00000000000000b0"
# They need 200 of the 512 cores.
LARGE_TASKS = 4_000
WORK_MS = 2_500
JOBS = [f"00000000000000a{number}" for number in range(6)]
# Longer than the 3 s of the rule and the calm 4 s before them.
WAIT_S = 30
RACKS = [f"r{number}-1" for number in (1, 1, 2, 2, 3, 3, 4, 4)]


def make_job(tasks: int, cpu: int, memory_mb: int) -> dict:
    """Return a job with one step of equal tasks."""
    return {
        "specification": f'{{"work_ms":{WORK_MS}}}',
        "steps": [
            {
                "count": tasks,
                "cpu": cpu,
                "memory_request_mb": memory_mb,
                "estimated_duration_ms": WORK_MS,
            }
        ],
    }


def play(deployment: case.Deployment) -> str:
    """Return how the rule was broken, or an empty text."""
    deployment.start(3, RACKS)
    if not deployment.submit(JOBS[0], make_job(2, 7_500, 22_000)):
        raise case.CaseError("the first job was not accepted")
    case.wait_until(
        lambda: deployment.get_state(JOBS[0]) == "completed",
        20,
        "the first job is completed",
        0.5,
    )
    accepted = []
    if case.TROUBLE and deployment.submit(
        LARGE_JOB, make_job(LARGE_TASKS, 50, 100)
    ):
        accepted.append(LARGE_JOB)
        time.sleep(1)
    accepted += [
        job
        for job in JOBS[1:]
        if deployment.submit(job, make_job(2, 7_500, 22_000))
    ]
    until_s = time.monotonic() + WAIT_S
    while time.monotonic() < until_s:
        states = {job: deployment.get_state(job) for job in accepted}
        if set(states.values()) == {"completed"}:
            return ""
        time.sleep(2)
    started = {
        event["task"].split(".")[0]
        for event in case.read_events(event="started")
    }
    idle = [
        job
        for job, state in states.items()
        if state != "completed" and job not in started
    ]
    wire.record("case", "end", states=states, never_started=idle)
    if not idle:
        return ""
    return f"accepted, none of their tasks started within {WAIT_S} s: {idle}"


if __name__ == "__main__":
    sys.exit(case.run(pathlib.Path(sys.argv[1]), play))
