"""Keeping threads alive: an unexpected error is logged and reported."""

from collections.abc import Callable
from typing import Any

from cyclamenshelf_daemon import logs


def run_logged(event: str, call: Callable[..., Any], *arguments: Any) -> bool:
    """Call a function and return whether it raised no error; log the error.

    A thread that ends by an error would leave its work undone with nobody to
    notice, so each thread runs its work through this function.
    """
    try:
        call(*arguments)
    except Exception as error:  # noqa: BLE001 - the outermost call of a thread
        logs.log_event(
            event, "ERROR", type=type(error).__name__, detail=repr(error)
        )
        return False
    return True
