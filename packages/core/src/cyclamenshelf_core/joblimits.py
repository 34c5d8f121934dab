"""Sizes of the jobs of steps that can be kept and started."""

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskjobs

# Each decision of the owner goes through the tasks and occurrences of a job.
_MAX_TASKS = 10_000
_MAX_REPETITIONS = 10_000
_MAX_REPEATED_TASKS = 100_000
# All members of a gang have to be started before the first has waited too long
# for the others.
_MAX_GANG_TASKS = 512


def check_counts(steps: tuple[taskjobs.Step, ...], repetitions: int) -> None:
    """Check the numbers of tasks and repetitions of a job.

    Raises:
        errors.InvalidFieldError: There are too many, or a step has no task.
    """
    fewest = min((step.tasks for step in steps), default=1)
    if fewest < 1:
        raise errors.InvalidFieldError("count", "at least 1", fewest)
    widest = max((step.tasks for step in steps if step.gang), default=0)
    if widest > _MAX_GANG_TASKS:
        raise errors.InvalidFieldError(
            "count", f"a gang of at most {_MAX_GANG_TASKS} tasks", widest
        )
    tasks = sum(step.tasks for step in steps)
    if (
        tasks > _MAX_TASKS
        or repetitions > _MAX_REPETITIONS
        or tasks * repetitions > _MAX_REPEATED_TASKS
    ):
        raise errors.InvalidFieldError(
            "body",
            f"at most {_MAX_TASKS} tasks, {_MAX_REPETITIONS} repetitions and "
            f"{_MAX_REPEATED_TASKS} tasks over all repetitions",
            f"{tasks} tasks and {repetitions} repetitions",
        )


def check_row(job: taskjobs.TaskJob, max_row_bytes: int) -> None:
    """Check that the row of a job is not too large.

    Raises:
        errors.InvalidFieldError: It is too large.
    """
    size = len(taskjobs.encode_job(job))
    if size > max_row_bytes:
        raise errors.InvalidFieldError(
            "body", f"a job of at most {max_row_bytes} bytes when stored", size
        )
