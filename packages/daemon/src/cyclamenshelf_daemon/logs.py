"""Structured logs: one line of key=value pairs for each event."""

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

# Lines that wait to be written; more are left out and counted.
_MAX_WAITING_LINES = 2_000
_PLAIN = re.compile(r"[A-Za-z0-9_.:/+@-]+")


def set_up_logs(
    host_id: str,
    level: str = "INFO",
    sink: TextIO | Callable[[str], None] | None = None,
    on_event: Callable[[str], None] | None = None,
) -> None:
    """Send log lines to a sink, else standard error, with the host id.

    Args:
        host_id: Named in each line.
        level: Least severe level that is written.
        sink: A stream, or a function that takes lines.
        on_event: Called with the name of each event.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"host": host_id})
    loguru.logger.add(
        sink or sys.stderr,
        level=level,
        format=(
            "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} "
            "host={extra[host]} {message}"
        ),
        backtrace=False,
        diagnose=False,
    )
    if on_event is not None:
        loguru.logger.add(
            lambda message: on_event(message.record["extra"]["event"]),
            level=level,
            format="",
        )


class BoundedSink(NamedTuple):
    """Lines that a thread of its own writes.

    Attributes:
        take: Takes a line and never blocks.
        flush: Waits until all lines are written, or for a number of ms.
    """

    take: Callable[[str], None]
    flush: Callable[[int], None]


def start_bounded_sink(stream: TextIO) -> BoundedSink:
    """Start the thread that writes the lines of a sink.

    Taking never blocks: a line that comes while too many wait is left
    out, and the next line that is written says how many were.
    """
    waiting: queue.Queue[str] = queue.Queue(_MAX_WAITING_LINES)
    left_out = [0]

    idle = threading.Event()

    def write() -> None:
        while True:
            line = waiting.get()
            idle.clear()
            stream.write(line)
            if left_out[0]:
                count, left_out[0] = left_out[0], 0
                stream.write(f"event=log_lines_left_out count={count}\n")
            if waiting.empty():
                stream.flush()
                idle.set()

    def take(line: str) -> None:
        try:
            waiting.put_nowait(str(line))
        except queue.Full:
            left_out[0] += 1

    def flush(limit_ms: int) -> None:
        if not waiting.empty():
            idle.clear()
        idle.wait(limit_ms / 1000)

    threading.Thread(target=write, name="log-writer", daemon=True).start()
    return BoundedSink(take, flush)


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one event; `fields` become key=value pairs."""
    line = format_event(event, fields)
    loguru.logger.bind(event=event).log(level, "{}", line)


def format_event(event: str, fields: dict[str, Any]) -> str:
    """Return the key=value text of an event.

    Values other than plain words are quoted as JSON strings, so that input
    can neither add a pair nor a line.
    """
    pairs = [f"event={event}"]
    pairs += [f"{key}={_quote(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def _quote(value: Any) -> str:
    text = str(value)
    return text if _PLAIN.fullmatch(text) else json.dumps(text)
