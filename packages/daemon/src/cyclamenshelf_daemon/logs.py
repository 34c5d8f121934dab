"""Structured logs: one line of key=value pairs for each event."""

import json
import re
import sys
from typing import Any
from typing import TextIO

import loguru

_PLAIN = re.compile(r"[A-Za-z0-9_.:/+@-]+")


def set_up_logs(
    host_id: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Send log lines to a stream, else standard error, with the host id."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"host": host_id})
    loguru.logger.add(
        stream or sys.stderr,
        level=level,
        format=(
            "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} "
            "host={extra[host]} {message}"
        ),
        backtrace=False,
        diagnose=False,
    )


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one event; `fields` become key=value pairs."""
    loguru.logger.log(level, "{}", format_event(event, fields))


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
