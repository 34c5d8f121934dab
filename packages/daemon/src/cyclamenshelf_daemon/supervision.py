"""Error logging for the work of background threads."""

from collections.abc import Callable
import threading
from typing import Any

from cyclamenshelf_daemon import logs

# Limits the log lines of a call that fails each time.
_FAILURE_PAUSE_MS = 1_000


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


def run_until_stopped(
    event: str,
    stopping: threading.Event,
    call: Callable[..., Any],
    *arguments: Any,
) -> None:
    """Call a function again and again until an event is set.

    A thread whose duty lasts as long as the process must not end with an
    exception, since nothing would do its work from then on. An exception is
    logged, and the next call follows after a pause.

    Args:
        event: Name of the event that is logged with each exception.
        stopping: Set to return after the current call.
        call: The function.
        arguments: Arguments of the function.
    """
    while not stopping.is_set():
        if not run_logged(event, call, *arguments):
            stopping.wait(_FAILURE_PAUSE_MS / 1000)
