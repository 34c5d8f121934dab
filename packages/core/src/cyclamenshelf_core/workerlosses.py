"""Which tasks are suspected of crashing the workers that run them.

A worker that crashes reports no end of its tasks, and may come back under
another name. A task under which workers are lost again and again is isolated,
so that it takes no other tasks with it and can be told from them. If it then
loses one more worker, it is given up.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Lost workers from which on a task runs on a worker of its own.
_ISOLATION_LOSSES = 2
# Lost workers after which a task is given up, if the last ran nothing else: no
# other task can have been the cause.
_MAX_LOSSES = 3
# The same if the last worker also ran tasks of other groups.
_MAX_SHARED_LOSSES = 4
# A task that ran for this long, and for twice its expected run time, did not
# crash its worker.
_HEALTHY_RUN_MS = 30_000
# Workers whose last responses are this close may have been lost together: a
# response can wait 1.5 s for an end.
_TOGETHER_MS = 2_000
# A worker that was given no task for this long did not crash because of one.
_RECENT_START_MS = 3_000


class LostWorker(NamedTuple):
    """A worker that was lost while it was not shutting down.

    Attributes:
        last_response_ms: Monotonic time of its last response.
        last_start_ms: Monotonic time of the last start of a task on it; None
            if it had no tasks.
    """

    id: str
    last_response_ms: int
    last_start_ms: int | None


def needs_isolation(losses: int) -> bool:
    """Return whether a task runs alone after a number of lost workers."""
    return losses >= _ISOLATION_LOSSES


def must_give_up(losses: int, alone: bool) -> bool:
    """Return whether a task is given up after a number of lost workers.

    Args:
        losses: Number of workers that were lost with the task.
        alone: Whether it ran alone on the last of them.
    """
    return losses >= (_MAX_LOSSES if alone else _MAX_SHARED_LOSSES)


def is_healthy(run_ms: int, expected_run_ms: int) -> bool:
    """Return whether a run lasted too long to have crashed its worker."""
    return run_ms >= max(_HEALTHY_RUN_MS, 2 * expected_run_ms)


def were_lost_together(
    worker: LostWorker, others: Iterable[LostWorker]
) -> bool:
    """Return whether a cause other than a task may have lost a worker.

    That is so if another worker was lost at the same time, and one of them had
    not been given a task recently, for example when a rack loses power.
    """
    together = [
        other
        for other in others
        if other.id != worker.id
        and abs(other.last_response_ms - worker.last_response_ms)
        <= _TOGETHER_MS
    ]
    return bool(together) and not all(
        _was_given_task_recently(lost) for lost in (worker, *together)
    )


def _was_given_task_recently(worker: LostWorker) -> bool:
    return worker.last_start_ms is not None and (
        worker.last_response_ms - worker.last_start_ms < _RECENT_START_MS
    )
