"""The share of each account's request rate that this host may admit.

Half of a rate is divided equally among the present hosts, the other half in
proportion to demand. Demand reports may be lost or late, so the shares of all
hosts do not always add up to the rate. While the hosts agree on which hosts
are present, the sum stays within 1.5 times the rate: each host takes the
larger of two fractions of the demand half, and neither fraction adds up to
more than 1 over all hosts:

- The settled fraction uses the lowest demand that this host reported over a
  window longer than the age at which other hosts discard a report. The other
  hosts therefore count at least that demand. It requires a fresh report from
  every host.
- The prompt fraction uses the demand that this host reported last, and is at
  most an equal fraction. Without it, a rise in demand on all hosts at once
  would get nothing of the demand half until the window has passed.
"""

import collections
import hashlib
import threading
from typing import NamedTuple

ROUND_MS = 1_000
PEERS_PER_ROUND = 3
MAX_ACCOUNTS = 8

# A report is kept for two passes over all peers, plus four rounds to allow for
# lost messages.
_PEER_PASSES = 2
_EXTRA_ROUNDS = 4
# Delivery delay of a report up to which the bound on the sum holds.
_MAX_TRANSIT_MS = 2_000
_MAX_OWN_REPORTS = 128

# Weight of the last round in the reported demand; smooths over idle seconds.
_SMOOTHING_FACTOR = 0.2
_BURST_S = 0.25
_MAX_DEMAND = 2**32 - 1


class _Report(NamedTuple):
    """Demand by account key, in thousandths of a request per second."""

    at_ms: int
    demand: dict[int, int]


class _TokenBucket:
    """Token bucket of one account; starts full."""

    def __init__(self, now_ms: int, tokens: float) -> None:
        self.tokens = tokens
        self.filled_at_ms = now_ms


class Shares:
    """Demand on this host, demand reports of other hosts, and token buckets.

    Attributes:
        other_hosts: Keys of the other present hosts.
        offered: Requests by account since the last round, admitted or not.
        demand: Smoothed demand by account, in requests per second.
        own_reports: Demand reports of this host, oldest first.
        host_reports: Last demand report of each other host, by host key.
    """

    def __init__(self, now_ms: int) -> None:
        self.lock = threading.Lock()
        self.started_ms = now_ms
        self.round_started_ms = now_ms
        self.other_hosts: frozenset[int] = frozenset()
        self.offered: collections.Counter[str] = collections.Counter()
        self.demand: dict[str, float] = {}
        self.own_reports: collections.deque[_Report] = collections.deque(
            maxlen=_MAX_OWN_REPORTS
        )
        self.host_reports: dict[int, _Report] = {}
        self.buckets: dict[str, _TokenBucket] = {}


def make_key(name: str) -> int:
    """Return the 32-bit key that represents a name in messages."""
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[:4], "big")


def admit_request(
    shares: Shares, account: str, rate_per_s: float, now_ms: int
) -> bool:
    """Record a request and return whether this host's share allows it."""
    with shares.lock:
        shares.offered[account] += 1
        share = _compute_share(shares, account, rate_per_s, now_ms)
        burst = max(1.0, share * _BURST_S)
        bucket = shares.buckets.get(account)
        if bucket is None:
            bucket = shares.buckets[account] = _TokenBucket(now_ms, burst)
        earned = share * (now_ms - bucket.filled_at_ms) / 1000
        bucket.tokens = min(burst, bucket.tokens + earned)
        bucket.filled_at_ms = now_ms
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True


def compute_share(
    shares: Shares, account: str, rate_per_s: float, now_ms: int
) -> float:
    """Return the request rate that this host may admit, per second."""
    with shares.lock:
        return _compute_share(shares, account, rate_per_s, now_ms)


def update_hosts(shares: Shares, other_hosts: frozenset[int]) -> None:
    """Set the keys of the other present hosts."""
    with shares.lock:
        shares.other_hosts = other_hosts
        for host in shares.host_reports.keys() - other_hosts:
            del shares.host_reports[host]


def record_report(
    shares: Shares, host: int, demand: dict[int, int], now_ms: int
) -> None:
    """Replace the demand report of another host.

    Args:
        shares: State of this host.
        host: Key of the other host.
        demand: Demand by account key, in thousandths of a request per second.
        now_ms: Time of receipt.
    """
    with shares.lock:
        shares.host_reports[host] = _Report(now_ms, demand)


def close_round(shares: Shares, now_ms: int) -> dict[int, int]:
    """Return the demand to report for the round that ends now.

    The result has the accounts with the highest demand, by account key, in
    thousandths of a request per second.
    """
    with shares.lock:
        elapsed_s = max(1, now_ms - shares.round_started_ms) / 1000
        for account in shares.demand.keys() | shares.offered.keys():
            before = shares.demand.get(account, 0.0)
            current = shares.offered[account] / elapsed_s
            shares.demand[account] = before + _SMOOTHING_FACTOR * (
                current - before
            )
        shares.offered.clear()
        shares.round_started_ms = now_ms
        shares.demand = {
            account: demand
            for account, demand in shares.demand.items()
            if demand * 1000 >= 1
        }
        highest = sorted(shares.demand.items(), key=lambda item: -item[1])
        report = {
            make_key(account): min(_MAX_DEMAND, int(demand * 1000))
            for account, demand in highest[:MAX_ACCOUNTS]
        }
        shares.own_reports.append(_Report(now_ms, report))
        return report


def compute_max_report_age(hosts: int) -> int:
    """Return the age in milliseconds above which a report is discarded.

    Each round, a host reports to the next `PEERS_PER_ROUND` of its
    `hosts - 1` peers.
    """
    rounds_per_pass = -(-(hosts - 1) // PEERS_PER_ROUND)
    return ROUND_MS * (_PEER_PASSES * rounds_per_pass + _EXTRA_ROUNDS)


def _compute_share(
    shares: Shares, account: str, rate_per_s: float, now_ms: int
) -> float:
    equal_fraction = 1 / (1 + len(shares.other_hosts))
    weight = _compute_weight(shares, make_key(account), now_ms)
    return rate_per_s * (equal_fraction + weight) / 2


def _compute_weight(shares: Shares, key: int, now_ms: int) -> float:
    """Return this host's fraction of the demand half."""
    hosts = 1 + len(shares.other_hosts)
    max_age_ms = compute_max_report_age(hosts)
    other_demand = 0
    for host in shares.other_hosts:
        report = shares.host_reports.get(host)
        if report is None or now_ms - report.at_ms > max_age_ms:
            return 1 / hosts
        other_demand += report.demand.get(key, 0)
    settled_demand = _compute_settled_demand(
        shares, key, now_ms, max_age_ms + _MAX_TRANSIT_MS
    )
    last_demand = (
        shares.own_reports[-1].demand.get(key, 0) if shares.own_reports else 0
    )
    if last_demand + other_demand == 0:
        return 1 / hosts
    prompt_fraction = min(1 / hosts, last_demand / (last_demand + other_demand))
    return (
        max(prompt_fraction, settled_demand / (settled_demand + other_demand))
        if settled_demand
        else prompt_fraction
    )


def _compute_settled_demand(
    shares: Shares, key: int, now_ms: int, window_ms: int
) -> int:
    """Return the lowest own demand that another host may still count."""
    if now_ms - shares.started_ms < window_ms:
        # Other hosts may still have a report from before this process
        # started.
        return 0
    lowest: int | None = None
    for report in reversed(shares.own_reports):
        demand = report.demand.get(key, 0)
        lowest = demand if lowest is None else min(lowest, demand)
        if now_ms - report.at_ms >= window_ms:
            break
    return lowest or 0
