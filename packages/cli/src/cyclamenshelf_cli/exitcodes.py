"""Exit codes of the command line and the error that carries one."""

from typing import Any

from cyclamenshelf_core import errors

DONE = 0
PROBLEMS_FOUND = 1
USAGE = 2
NO_ANSWER = 3
CONFLICT = 4
REFUSED = 5
OUTCOME_UNKNOWN = 6

TABLE = """\
Exit codes:
  0  done
  1  check found problems
  2  wrong usage
  3  no host answers, nothing was changed
  4  conflict: another version was written first
  5  refused by the host
  6  outcome unknown: ask with `config history`, or repeat the command
"""


class CommandFailedError(errors.CyclamenshelfError):
    """A command did not end as asked.

    Attributes:
        exit_code: The code to exit with.
        details: What the host answered, if it did.
    """

    code = "command_failed"

    def __init__(
        self,
        exit_code: int,
        message: str,
        details: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(message)
        self.exit_code = exit_code
        self.details = details or {}
