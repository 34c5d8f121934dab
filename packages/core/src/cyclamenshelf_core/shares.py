"""The part of each account's request rate that this host may admit.

Half of a rate is divided equally among the present hosts, and half by demand.
Demand reports may be lost or late, so the shares of all hosts do not always
add up to the rate. While the hosts agree on who is present, their sum stays
within 1.5 times the rate, because a host takes the larger of two parts of the
demand half, and neither adds up to more than that half:

- The settled part counts the own demand as the lowest value that was reported
  over a window longer than the age at which others discard a report. The
  others therefore know of at least that demand. It needs a fresh report of
  every host.
- The prompt part counts the own demand as last reported, and is at most an
  equal part. Without it, demand that rises on all hosts at once would be
  refused the demand half until the window has passed.
"""

import collections
import hashlib
import threading
from typing import NamedTuple

ROUND_MS = 1_000
PEERS_PER_ROUND = 3
MAX_ACCOUNTS = 8

# Two passes over all peers, and four rounds for lost messages.
_PASSES = 2
_SPARE_ROUNDS = 4
# How long a report may be under way without weakening the bound.
_TRANSIT_MS = 2_000
_HISTORY_ROUNDS = 128

# Weight of the last round in the reported demand; smooths idle seconds.
_SMOOTHING = 0.2
_BURST_S = 0.25
_MAX_DEMAND = 2**32 - 1


class _Report(NamedTuple):
    """Demand by account key, in thousandths of a request per second."""

    at_ms: int
    demand: dict[int, int]


class _Bucket:
    """Tokens of one account; starts full."""

    def __init__(self, now_ms: int, tokens: float) -> None:
        self.tokens = tokens
        self.filled_at_ms = now_ms


class Shares:
    """Demand on this host, reports of the other hosts, and token buckets.

    Attributes:
        others: Keys of the other hosts that are present.
        offered: Requests by account since the last round, admitted or not.
        demand: Smoothed demand by account, in requests per second.
        reported: What this host has reported, oldest first.
    """

    def __init__(self, now_ms: int) -> None:
        self.lock = threading.Lock()
        self.started_ms = now_ms
        self.round_started_ms = now_ms
        self.others: frozenset[int] = frozenset()
        self.offered: collections.Counter[str] = collections.Counter()
        self.demand: dict[str, float] = {}
        self.reported: collections.deque[_Report] = collections.deque(
            maxlen=_HISTORY_ROUNDS
        )
        self.reports: dict[int, _Report] = {}
        self.buckets: dict[str, _Bucket] = {}


def make_key(name: str) -> int:
    """Return the 32-bit key that stands for a name in messages."""
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[:4], "big")


def admit_request(
    shares: Shares, account: str, rate_per_s: float, now_ms: int
) -> bool:
    """Count a request and return whether this host's share allows it."""
    with shares.lock:
        shares.offered[account] += 1
        share = _compute_share(shares, account, rate_per_s, now_ms)
        burst = max(1.0, share * _BURST_S)
        bucket = shares.buckets.get(account)
        if bucket is None:
            bucket = shares.buckets[account] = _Bucket(now_ms, burst)
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
    """Return the requests per second that this host may admit."""
    with shares.lock:
        return _compute_share(shares, account, rate_per_s, now_ms)


def update_hosts(shares: Shares, others: frozenset[int]) -> None:
    """Set the keys of the other present hosts."""
    with shares.lock:
        shares.others = others
        for host in shares.reports.keys() - others:
            del shares.reports[host]


def record_report(
    shares: Shares, host: int, demand: dict[int, int], now_ms: int
) -> None:
    """Replace what another host reported; `demand` is by account key."""
    with shares.lock:
        shares.reports[host] = _Report(now_ms, demand)


def close_round(shares: Shares, now_ms: int) -> dict[int, int]:
    """Return the demand to report for the round that ends now.

    The result holds the accounts of highest demand, by key, in thousandths
    of a request per second.
    """
    with shares.lock:
        elapsed_s = max(1, now_ms - shares.round_started_ms) / 1000
        for account in shares.demand.keys() | shares.offered.keys():
            before = shares.demand.get(account, 0.0)
            current = shares.offered[account] / elapsed_s
            shares.demand[account] = before + _SMOOTHING * (current - before)
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
        shares.reported.append(_Report(now_ms, report))
        return report


def compute_report_bound(hosts: int) -> int:
    """Return the age in milliseconds from which a report is discarded.

    Each host reports to `PEERS_PER_ROUND` of `hosts - 1` peers in turn.
    """
    rounds_per_pass = -(-(hosts - 1) // PEERS_PER_ROUND)
    return ROUND_MS * (_PASSES * rounds_per_pass + _SPARE_ROUNDS)


def _compute_share(
    shares: Shares, account: str, rate_per_s: float, now_ms: int
) -> float:
    equal = 1 / (1 + len(shares.others))
    weight = _compute_weight(shares, make_key(account), now_ms)
    return rate_per_s * (equal + weight) / 2


def _compute_weight(shares: Shares, key: int, now_ms: int) -> float:
    """Return this host's part of the demand half."""
    hosts = 1 + len(shares.others)
    bound_ms = compute_report_bound(hosts)
    others = 0
    for host in shares.others:
        report = shares.reports.get(host)
        if report is None or now_ms - report.at_ms > bound_ms:
            return 1 / hosts
        others += report.demand.get(key, 0)
    settled = _count_settled(shares, key, now_ms, bound_ms + _TRANSIT_MS)
    last = shares.reported[-1].demand.get(key, 0) if shares.reported else 0
    if last + others == 0:
        return 1 / hosts
    prompt = min(1 / hosts, last / (last + others))
    return max(prompt, settled / (settled + others)) if settled else prompt


def _count_settled(
    shares: Shares, key: int, now_ms: int, window_ms: int
) -> int:
    """Return the lowest own demand that another host may still rely on."""
    if now_ms - shares.started_ms < window_ms:
        # Others may still hold the report of an earlier process.
        return 0
    lowest: int | None = None
    for report in reversed(shares.reported):
        demand = report.demand.get(key, 0)
        lowest = demand if lowest is None else min(lowest, demand)
        if now_ms - report.at_ms >= window_ms:
            break
    return lowest or 0
