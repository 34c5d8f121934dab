"""Rate-limited logging of refused requests.

When many requests are refused, a log line for each would cost more than the
refusals themselves. Only the first refusals of each error code per second are
logged; the next line of that code reports how many were left out.
"""

import threading

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import logs

_MAX_LINES_PER_CODE_PER_S = 10


class RefusalLog:
    """Counts of logged and suppressed refusals by error code.

    Attributes:
        current_second: The second that `line_counts` applies to.
        line_counts: Lines logged in that second, by code.
        unlogged_counts: Refusals since the last log line of a code, by code.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.current_second = 0
        self.line_counts: dict[str, int] = {}
        self.unlogged_counts: dict[str, int] = {}


def log_refusal(
    log: RefusalLog,
    path: str,
    refusal: errors.RequestRefusedError,
    now_ms: int,
) -> None:
    """Log a refusal, or only count it if its code has reached the limit."""
    code = refusal.code
    with log.lock:
        if log.current_second != now_ms // 1000:
            log.current_second = now_ms // 1000
            log.line_counts.clear()
        if log.line_counts.get(code, 0) >= _MAX_LINES_PER_CODE_PER_S:
            log.unlogged_counts[code] = log.unlogged_counts.get(code, 0) + 1
            return
        log.line_counts[code] = log.line_counts.get(code, 0) + 1
        unlogged = log.unlogged_counts.pop(code, 0)
    logs.log_event(
        "request_refused",
        path=path,
        code=code,
        run=refusal.run,
        unlogged=unlogged,
    )
