"""Arithmetic of the cell lease.

A holder counts its lease from before the renewal was sent, and a challenger
counts from when it saw the row, each by its own monotonic clock. The margin
covers the drift between the two clocks.
"""

DEFAULT_TTL_MS = 3_000
MAX_TTL_MS = 15_000
RENEW_INTERVAL_MS = 800
_MARGIN_FRACTION = 0.05
_MARGIN_FIXED_MS = 50


def compute_margin(ttl_ms: int) -> int:
    """Return the allowance for clock drift over a lease, in milliseconds."""
    return int(ttl_ms * _MARGIN_FRACTION) + _MARGIN_FIXED_MS


def compute_valid_until(sent_at_ms: int, ttl_ms: int) -> int:
    """Return the time until which the holder may rely on its lease."""
    return sent_at_ms + ttl_ms - compute_margin(ttl_ms)


def compute_lapsed_at(seen_at_ms: int, ttl_ms: int) -> int:
    """Return the time from which a challenger may take an unchanged lease."""
    return seen_at_ms + ttl_ms + compute_margin(ttl_ms)


def choose_ttl(round_trip_ms: int) -> int:
    """Return the lease length for a store with this last round trip.

    A slow store must not cost the holder its lease at each renewal.
    """
    return min(MAX_TTL_MS, max(DEFAULT_TTL_MS, 4 * round_trip_ms))
