"""Error logging for the work of background threads."""

from collections.abc import Callable
from typing import Any

from cyclamenshelf_daemon import logs


def run_logged(event: str, call: Callable[..., Any], *arguments: Any) -> bool:
    """Call a function and return whether it succeeded; log any exception.

    An uncaught exception would end a thread silently and leave its work undone,
    so each background thread runs its work through this function.
    """
    try:
        call(*arguments)
    except Exception as error:  # noqa: BLE001 - the outermost call of a thread
        logs.log_event(
            event, "ERROR", type=type(error).__name__, detail=repr(error)
        )
        return False
    return True
