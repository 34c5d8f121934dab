"""Log lines for refused requests, bounded in a flood.

A line for each refusal of a flood would cost more than the refusals do. The
first ones of each code and second are logged, and the others are counted in
the next line.
"""

import threading

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import logs

_MAX_LINES_PER_S = 10


class RefusalLog:
    """Refusals by code.

    Attributes:
        second: The second that `lines` counts in.
        unlogged: Refusals since the last line of the code.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.second = 0
        self.lines: dict[str, int] = {}
        self.unlogged: dict[str, int] = {}


def note_refusal(
    log: RefusalLog,
    path: str,
    refusal: errors.RequestRefusedError,
    now_ms: int,
) -> None:
    """Log a refusal, or count it if its code was logged often enough."""
    code = refusal.code
    with log.lock:
        if log.second != now_ms // 1000:
            log.second = now_ms // 1000
            log.lines.clear()
        if log.lines.get(code, 0) >= _MAX_LINES_PER_S:
            log.unlogged[code] = log.unlogged.get(code, 0) + 1
            return
        log.lines[code] = log.lines.get(code, 0) + 1
        unlogged = log.unlogged.pop(code, 0)
    logs.log_event(
        "request_refused",
        path=path,
        code=code,
        run=refusal.run,
        unlogged=unlogged,
    )
