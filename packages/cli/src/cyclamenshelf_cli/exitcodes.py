"""Exit codes of the command line, and the exception that carries one."""

from typing import Any

from cyclamenshelf_core import errors

SUCCESS = 0
CHECK_FAILED = 1
USAGE_ERROR = 2
NO_RESPONSE = 3
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
    """A command failed, or its outcome is unknown.

    Attributes:
        exit_code: Exit code of the process.
        details: The host's response body; empty if there was none.
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
