"""Adaptive timeout of calls to the store.

A timeout derived from the last response time detects a lost response early
while the store is fast, and does not repeat calls that a slow store is still
processing.
"""

_MIN_TIMEOUT_MS = 500
# A partition of the store rejects writes once one second of writes is queued.
_MAX_TIMEOUT_MS = 1_500
_TIMEOUT_FACTOR = 4


class AdaptiveTimeout:
    """The timeout of the next call."""

    def __init__(self) -> None:
        self.timeout_ms = _MIN_TIMEOUT_MS


def record_response(timeout: AdaptiveTimeout, response_ms: int) -> None:
    """Derive the timeout from the time that a response took."""
    timeout.timeout_ms = max(
        _MIN_TIMEOUT_MS, min(_MAX_TIMEOUT_MS, _TIMEOUT_FACTOR * response_ms)
    )


def record_timeout(timeout: AdaptiveTimeout) -> None:
    """Double the timeout, as the response may have come after it."""
    timeout.timeout_ms = min(_MAX_TIMEOUT_MS, 2 * timeout.timeout_ms)
