"""What every host knows of the jobs: their states, by the owner's rows."""

import json
import threading

from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import ports

PROGRESS_TABLE = "progress"


class JobStates:
    """States by job, and queued jobs by queue."""

    def __init__(self) -> None:
        self.states: dict[str, taskprogress.State] = {}
        self.queued: dict[str, set[str]] = {}
        self.lock = threading.Lock()


def note_rows(known: JobStates, rows: list[ports.Row]) -> None:
    """Take over changed rows of the progress table."""
    with known.lock:
        for row in rows:
            job_id = row.key.key
            for waiting in known.queued.values():
                waiting.discard(job_id)
            if row.value is None:
                known.states.pop(job_id, None)
                continue
            value = json.loads(row.value)
            state = taskprogress.State(value["state"])
            known.states[job_id] = state
            if state is taskprogress.State.QUEUED and not value["timed"]:
                known.queued.setdefault(value["queue"], set()).add(job_id)


def count_queued(known: JobStates, queue: str) -> int:
    """Return the accepted jobs of a queue of which no task has started."""
    with known.lock:
        return len(known.queued.get(queue, ()))
