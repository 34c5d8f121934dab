"""How long calls to the store wait for their answers.

A limit that follows the answers finds a lost answer soon while the store is
fast, and does not repeat calls that a slow store is still working on.
"""

_MIN_MS = 500
# A part of the store refuses writes beyond one second of waiting ones.
_MAX_MS = 1_500
_ROUND_TRIPS = 4


class CallTimes:
    """The limit for the next call."""

    def __init__(self) -> None:
        self.limit_ms = _MIN_MS


def note_answer(times: CallTimes, took_ms: int) -> None:
    """Set the limit by the time that an answer took."""
    times.limit_ms = max(_MIN_MS, min(_MAX_MS, _ROUND_TRIPS * took_ms))


def note_silence(times: CallTimes) -> None:
    """Raise the limit: the answer may have come after it."""
    times.limit_ms = min(_MAX_MS, 2 * times.limit_ms)
