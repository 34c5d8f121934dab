"""Which hosts are fit to own the scheduling of the fleet."""

from collections.abc import Mapping
import random
from typing import NamedTuple

# Scheduling a large fleet uses much of one processor.
_MIN_PROCESSORS = 1.0
# A new owner reads every job before its first decision. Below this rate a
# megabyte takes more than a quarter of a second.
_MIN_LINK_MBPS = 30.0
_LOW_CAPACITY_DELAY_MS = 700


class HostCapacity(NamedTuple):
    """What a host may use.

    Attributes:
        processors: Number of processors, possibly a fraction.
        link_mbps: Rate of its network link in Mbit/s.
    """

    processors: float
    link_mbps: float


# Of a host that does not say what it may use.
UNKNOWN_CAPACITY = HostCapacity(0.0, 0.0)


def is_preferred(capacity: HostCapacity) -> bool:
    """Return whether a host has what the owner of a large fleet needs."""
    return (
        capacity.processors >= _MIN_PROCESSORS
        and capacity.link_mbps >= _MIN_LINK_MBPS
    )


def get_acquire_delay_ms(capacity: HostCapacity) -> int:
    """Return how long a host leaves an available lease to better ones."""
    return 0 if is_preferred(capacity) else _LOW_CAPACITY_DELAY_MS


def choose_successors(
    hosts: Mapping[str, HostCapacity], count: int, generator: random.Random
) -> list[str]:
    """Return the hosts to which an owner offers the ownership.

    Only preferred hosts are chosen, if there are any. Their order is random, so
    that repeated offers reach other hosts when the first ones are cut off too.

    Args:
        hosts: The hosts that respond, by name.
        count: Maximum number of hosts to return.
        generator: Source of the random order.
    """
    preferred = [name for name in hosts if is_preferred(hosts[name])]
    names = sorted(preferred or hosts)
    generator.shuffle(names)
    return names[:count]
