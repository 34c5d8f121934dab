"""A client cancels a job after a 504; the late insert is then carried out."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

import case  # noqa: E402 - needs the path above
import wire  # noqa: E402 - needs the path above

JOB = "00000000000000a1"
WORK_MS = 9_500
# The disruption's largest dose on the site.
LOST_FOR_S = 4.5
LOST_SHARE = 0.35
# Writes without an answer are done 1 to 6 s later.
LATE_S = 5.0
CANCEL_S = 3.0
WAIT_S = 30
RACKS = [f"r{number}-1" for number in (1, 1, 2, 2)]


def play(deployment: case.Deployment) -> str:
    """Return how the rule was broken, or an empty text."""
    deployment.start(3, RACKS)
    # Hosts know each other and the store is calm.
    time.sleep(6)
    step = {
        "count": 1,
        "cpu": 5_600,
        "memory_request_mb": 29_000,
        "gpu": 1,
        "estimated_duration_ms": WORK_MS,
    }
    job = {
        "specification": f'{{"work_ms":{WORK_MS}}}',
        "steps": [step, step | {"after": [0]}],
    }
    host = next(iter(deployment.hosts))
    if case.TROUBLE:
        order = {"key": f"job.{JOB}", "delay_s": LATE_S, "for_s": LOST_FOR_S}
        wire.call(deployment.store, "POST", "/case/lose", order)
    status, _ = deployment.call(host, "POST", JOB, job)
    cancelled = False
    for _ in range(3):
        status, _ = deployment.call(host, "DELETE", JOB)
        if 200 <= status < 300 or status == 410:
            cancelled = True
            break
    if not cancelled:
        raise case.CaseError("the cancelling was not acknowledged")
    acknowledged_s = time.time()
    time.sleep(WAIT_S)
    _, counts = wire.call(deployment.store, "GET", "/case/lost")
    wire.record("store", "writes_in_the_disruption", **counts)
    if counts["lost"] > LOST_SHARE * counts["writes"]:
        raise case.CaseError("more writes were lost than the site allows")
    late = [
        event
        for event in case.read_events(event="started")
        if event["t"] > acknowledged_s + CANCEL_S
    ]
    wire.record("case", "end", cancel_status=status, started_late=len(late))
    if not late:
        return ""
    return (
        f"cancelled with {status}, and {late[0]['task']} was started "
        f"{late[0]['t'] - acknowledged_s:.1f} s after that"
    )


if __name__ == "__main__":
    sys.exit(case.run(pathlib.Path(sys.argv[1]), play))
