"""Structured logging: each event is one line of key=value pairs."""

from collections.abc import Callable
import json
import queue
import re
import sys
import threading
from typing import Any
from typing import NamedTuple
from typing import TextIO

import loguru

# Pending lines beyond this number are dropped and counted.
_MAX_PENDING_LINES = 2_000
# Minimum time between two lines of an event that is logged by `log_limited`.
_LIMITED_INTERVAL_MS = 5_000
_PLAIN_WORD = re.compile(r"[A-Za-z0-9_.:/+@-]+")


def set_up_logs(
    host_id: str,
    level: str = "INFO",
    sink: TextIO | Callable[[str], None] | None = None,
    on_event: Callable[[str], None] | None = None,
) -> None:
    """Configure logging to a sink, or to standard error without one.

    Args:
        host_id: Host id to include in each line.
        level: Lowest level that is logged.
        sink: A stream, or a function called with each line.
        on_event: Called with the name of each event.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"host": host_id})
    target = sink or sys.stderr
    loguru.logger.add(
        _make_counting_sink(target, on_event) if on_event else target,
        level=level,
        format=(
            "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} "
            "host={extra[host]} {message}"
        ),
        backtrace=False,
        diagnose=False,
    )


def _make_counting_sink(
    sink: TextIO | Callable[[str], None], on_event: Callable[[str], None]
) -> Callable[[Any], None]:
    """Return a sink that also reports the name of each event.

    A second handler would format each line again.
    """
    write = sink if callable(sink) else sink.write

    def write_counted(message: Any) -> None:
        on_event(message.record["extra"]["event"])
        write(message)

    return write_counted


class BoundedSink(NamedTuple):
    """A log sink whose lines a dedicated thread writes.

    Attributes:
        enqueue: Adds a line without blocking.
        flush: Waits until all lines are written, or until a timeout in
            milliseconds expires.
    """

    enqueue: Callable[[str], None]
    flush: Callable[[int], None]


def start_bounded_sink(stream: TextIO) -> BoundedSink:
    """Start a bounded sink and its writer thread.

    Adding a line never blocks, so that a slow reader of the stream cannot stall
    the daemon. Lines that arrive while the queue is full are dropped, and their
    number is logged after the next line that is written.
    """
    pending: queue.Queue[str] = queue.Queue(_MAX_PENDING_LINES)
    dropped = [0]

    idle = threading.Event()

    def write() -> None:
        while True:
            line = pending.get()
            idle.clear()
            stream.write(line)
            if dropped[0]:
                count, dropped[0] = dropped[0], 0
                stream.write(f"event=log_lines_left_out count={count}\n")
            if pending.empty():
                stream.flush()
                idle.set()

    def enqueue(line: str) -> None:
        try:
            pending.put_nowait(str(line))
        except queue.Full:
            dropped[0] += 1

    def flush(timeout_ms: int) -> None:
        if not pending.empty():
            idle.clear()
        idle.wait(timeout_ms / 1000)

    threading.Thread(target=write, name="log-writer", daemon=True).start()
    return BoundedSink(enqueue, flush)


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Log an event with `fields` as key=value pairs."""
    line = format_event(event, fields)
    loguru.logger.bind(event=event).log(level, "{}", line)


class EventLimiter:
    """When the last line of each event was logged, on the monotonic clock."""

    def __init__(self) -> None:
        self.logged_ms: dict[str, int] = {}


def is_due(limiter: EventLimiter, now_ms: int, event: str) -> bool:
    """Return whether `log_limited` would log an event now."""
    logged_ms = limiter.logged_ms.get(event)
    return logged_ms is None or now_ms - logged_ms >= _LIMITED_INTERVAL_MS


def log_limited(
    limiter: EventLimiter,
    now_ms: int,
    event: str,
    level: str = "INFO",
    **fields: Any,
) -> None:
    """Log an event unless it was logged within the last 5 s."""
    if is_due(limiter, now_ms, event):
        limiter.logged_ms[event] = now_ms
        log_event(event, level, **fields)


def format_event(event: str, fields: dict[str, Any]) -> str:
    """Return the key=value text of an event.

    Values that are not plain words are quoted as JSON strings, so that input
    cannot inject pairs or lines.
    """
    pairs = [f"event={event}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def _format_value(value: Any) -> str:
    text = str(value)
    return text if _PLAIN_WORD.fullmatch(text) else json.dumps(text)
