"""Renewal intervals and lengths of task leases.

The interval grows with the age of the youngest task of a worker, so that the
end of a short job is detected quickly and a job of hours needs few messages.
"""

MIN_INTERVAL_MS = 250
MAX_INTERVAL_MS = 30_000
_AGE_DIVISOR = 20
_INTERVALS_PER_LEASE = 3

# Lease of a starting gang; parts of a gang that did not start completely end
# when it expires.
START_LEASE_MS = 2_000
MIN_LEASE_MS = 12_000
_CELL_TTLS_PER_LEASE = 4

RESERVATION_LEASE_MS = 5_000
MAX_LEASE_MS = _INTERVALS_PER_LEASE * MAX_INTERVAL_MS


def choose_interval(youngest_age_ms: int) -> int:
    """Return the interval between renewals of a worker's task leases."""
    return min(
        MAX_INTERVAL_MS,
        max(MIN_INTERVAL_MS, youngest_age_ms // _AGE_DIVISOR),
    )


def choose_lease(interval_ms: int, cell_ttl_ms: int) -> int:
    """Return the task lease length for a renewal interval and a cell lease.

    The lease tolerates two lost renewals. It also lasts longer than a
    takeover of the cell, so that running tasks survive the loss of the owner.
    """
    return min(
        MAX_LEASE_MS,
        max(
            MIN_LEASE_MS,
            _INTERVALS_PER_LEASE * interval_ms,
            _CELL_TTLS_PER_LEASE * cell_ttl_ms,
        ),
    )
