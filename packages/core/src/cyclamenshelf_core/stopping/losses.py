"""Time that a task loses when it is stopped."""

from typing import NamedTuple

from cyclamenshelf_core import taskjobs


class StopTerms(NamedTuple):
    """How workers stop tasks and resume them.

    Attributes:
        restore_ms: Time that a start from a checkpoint needs.
        stop_ms: Longest time that a stop takes, during which the task still
            uses its resources.
    """

    restore_ms: int
    stop_ms: int


# Time until a stop arrives, and until the owner acts again.
_STOP_DELAY_MS = 500

DEFAULT_TERMS = StopTerms(250, 500)


def estimate_lost_ms(
    step: taskjobs.Step, elapsed_ms: int, terms: StopTerms
) -> int:
    """Return the run time that each task of a step loses by a stop now.

    A checkpointable task saves its state at the stop and has to be restored.
    The stops of a gang's members take different times. It works no longer from
    the first one on, and what its members did after that is not saved.

    Args:
        step: The step of the task.
        elapsed_ms: Time since the start of the task.
        terms: How workers stop and resume tasks.
    """
    if not step.checkpointable:
        return elapsed_ms
    lost_ms = terms.restore_ms + (terms.stop_ms if step.gang else 0)
    return min(elapsed_ms, lost_ms)


def ends_before_stop(expected_left_ms: int | None, terms: StopTerms) -> bool:
    """Return whether a task is expected to end sooner than a stop would.

    If the estimate is wrong, the time left is unknown soon after, so no such
    task is spared for longer than a stop takes.
    """
    return expected_left_ms is not None and expected_left_ms <= terms.stop_ms


def is_stopped_for_drain(
    step: taskjobs.Step, work_ms: int, left_ms: int, terms: StopTerms
) -> bool:
    """Return whether a task on a draining worker is stopped to be moved.

    One that is expected to end before the worker leaves is not. One that has
    run for longer than expected may end at any moment: it is moved if it keeps
    its work. Such a task is also moved shortly before the worker may leave: if
    it is lost with it, it waits for the end of its lease.

    Args:
        step: The step of the task.
        work_ms: What the task has done of its work.
        left_ms: Time until the worker may leave.
        terms: How workers stop and resume tasks.
    """
    remaining_ms = step.expected_run_ms - work_ms
    if step.long_running or remaining_ms > left_ms:
        return True
    is_late = left_ms <= terms.stop_ms + _STOP_DELAY_MS
    return step.checkpointable and (is_late or remaining_ms <= 0)
