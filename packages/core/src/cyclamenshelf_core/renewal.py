"""Intervals and lengths of task leases.

The interval follows the age of the youngest task of a worker: the end of a
short job is noticed soon, and a job of hours costs few messages.
"""

MIN_INTERVAL_MS = 250
MAX_INTERVAL_MS = 30_000
_AGE_FRACTION = 20
_LEASE_INTERVALS = 3

# A gang that did not start whole ends by this lease.
START_LEASE_MS = 2_000
MIN_LEASE_MS = 12_000
_LEASE_CELL_TTLS = 4

RESERVATION_LEASE_MS = 5_000
MAX_LEASE_MS = _LEASE_INTERVALS * MAX_INTERVAL_MS


def choose_interval(youngest_age_ms: int) -> int:
    """Return the time between two renewals of a worker's task leases."""
    return min(
        MAX_INTERVAL_MS,
        max(MIN_INTERVAL_MS, youngest_age_ms // _AGE_FRACTION),
    )


def choose_lease(interval_ms: int, cell_ttl_ms: int) -> int:
    """Return the task lease for a renewal interval and a cell lease.

    It tolerates two lost renewals, and outlasts the takeover of the cell, so
    that running tasks survive the loss of the owner.
    """
    return min(
        MAX_LEASE_MS,
        max(
            MIN_LEASE_MS,
            _LEASE_INTERVALS * interval_ms,
            _LEASE_CELL_TTLS * cell_ttl_ms,
        ),
    )
