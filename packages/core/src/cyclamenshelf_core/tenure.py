"""Validity and expiry times of the cell lease.

The holder measures its lease from before it sent the renewal, and a
challenger from when it read the row, each on its own monotonic clock. The
margin covers the drift between the two clocks.
"""

DEFAULT_TTL_MS = 3_000
MAX_TTL_MS = 15_000
RENEW_INTERVAL_MS = 800
_MARGIN_FRACTION = 0.05
_MARGIN_FIXED_MS = 50


def compute_margin(ttl_ms: int) -> int:
    """Return the margin for clock drift over a lease, in milliseconds."""
    return int(ttl_ms * _MARGIN_FRACTION) + _MARGIN_FIXED_MS


def compute_valid_until(sent_at_ms: int, ttl_ms: int) -> int:
    """Return the time until which the holder may rely on its lease."""
    return sent_at_ms + ttl_ms - compute_margin(ttl_ms)


def compute_takeover_time(read_at_ms: int, ttl_ms: int) -> int:
    """Return the time from which a challenger may claim an unchanged lease."""
    return read_at_ms + ttl_ms + compute_margin(ttl_ms)


def choose_ttl(round_trip_ms: int) -> int:
    """Return the lease length for the last measured round trip to the store.

    With a slow store, a fixed length could expire before a renewal ends.
    """
    return min(MAX_TTL_MS, max(DEFAULT_TTL_MS, 4 * round_trip_ms))
