import random

import hypothesis
from hypothesis import strategies as st
import pytest

from cyclamenshelf_core import shares

_RATE = 100.0
_ACCOUNT = "bulk"
_KEY = shares.make_key(_ACCOUNT)


class Fleet:
    """Hosts that exchange demand reports each round over a lossy network."""

    def __init__(self, hosts):
        self.now_ms = 0
        self.hosts = [shares.Shares(0) for _ in range(hosts)]
        for index, host in enumerate(self.hosts):
            others = frozenset(range(hosts)) - {index}
            shares.update_hosts(host, others)

    def run_round(self, offered, delivers):
        """Send requests, exchange reports and return the admitted requests."""
        admitted = 0
        for host, count in zip(self.hosts, offered, strict=True):
            for step in range(count):
                at_ms = self.now_ms + step * shares.ROUND_MS // count
                admitted += shares.admit_request(host, _ACCOUNT, _RATE, at_ms)
        self.now_ms += shares.ROUND_MS
        reports = [shares.close_round(host, self.now_ms) for host in self.hosts]
        for sender, report in enumerate(reports):
            for receiver, host in enumerate(self.hosts):
                if sender != receiver and delivers(sender, receiver):
                    shares.record_report(host, sender, report, self.now_ms)
        return admitted

    def sum_shares(self):
        return sum(
            shares.compute_share(host, _ACCOUNT, _RATE, self.now_ms)
            for host in self.hosts
        )


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    hosts=st.integers(2, 9),
    loss=st.sampled_from([0.0, 0.5, 0.9, 0.97]),
    seed=st.integers(0, 2**32),
)
def test_lost_reports_never_raise_the_sum_above_the_bound(hosts, loss, seed):
    # Guards D8: hosts that know stale demand must not each take the demand
    # half of the rate.
    chooser = random.Random(seed)
    fleet = Fleet(hosts)
    offered = [0] * hosts
    for _ in range(40):
        if chooser.random() < 0.2:
            offered = [chooser.choice([0, 0, 1, 20]) for _ in range(hosts)]
        fleet.run_round(offered, lambda *_: chooser.random() >= loss)
        assert fleet.sum_shares() <= 1.5 * _RATE * (1 + 1e-9)


def test_demand_that_moves_between_hosts_stays_within_the_bound():
    # Guards against a sum above the bound when each host in turn has all the
    # demand and every round loses the reports of one host.
    fleet = Fleet(9)
    for busy in range(9):
        for _ in range(9):
            offered = [20 if index == busy else 0 for index in range(9)]
            fleet.run_round(
                offered, lambda sender, _: sender != fleet.now_ms // 1000 % 9
            )
            assert fleet.sum_shares() <= 1.5 * _RATE * (1 + 1e-9)


def test_demand_that_rises_after_a_partition_stays_within_the_bound():
    # The last report that each host received says that the others are idle.
    # Guards against each host then claiming the whole demand half.
    fleet = Fleet(9)
    for step in range(60):
        fleet.run_round(
            [20 if step > 15 else 0] * 9, lambda *_, step=step: step <= 15
        )
        assert fleet.sum_shares() <= 1.5 * _RATE * (1 + 1e-9)


@pytest.mark.parametrize("delivered", [True, False])
def test_flood_on_all_hosts_is_admitted_at_the_rate(delivered):
    # Guards against rejecting a rise in demand on all hosts in the first
    # seconds, until the window of the settled fraction has passed.
    fleet, rounds = Fleet(9), 40
    admitted = sum(
        fleet.run_round([30] * 9, lambda *_: delivered) for _ in range(rounds)
    )
    bursts = 9 * 0.25 * _RATE / 9
    assert 0.9 * _RATE * rounds <= admitted <= _RATE * rounds + bursts


def test_caller_pinned_to_one_host_gets_the_demand_half():
    # With equal shares alone, the caller would get a ninth of its rate.
    fleet = Fleet(9)
    for _ in range(30):
        fleet.run_round([50] + [0] * 8, lambda *_: True)
    share = shares.compute_share(fleet.hosts[0], _ACCOUNT, _RATE, fleet.now_ms)
    assert share == pytest.approx(_RATE * (1 / 9 + 1) / 2)


def test_restarted_host_claims_no_demand_while_its_old_report_may_count():
    # The other hosts may still count a report of zero demand from before the
    # restart.
    fleet = Fleet(2)
    for _ in range(3):
        fleet.run_round([50, 0], lambda *_: True)
    share = shares.compute_share(fleet.hosts[0], _ACCOUNT, _RATE, fleet.now_ms)
    assert share <= _RATE / 2


def test_report_contains_the_accounts_of_highest_demand():
    # Guards against a report that omits busy accounts in favour of idle ones.
    host = shares.Shares(0)
    for index in range(12):
        for _ in range(index + 1):
            shares.admit_request(host, f"a{index}", _RATE, 0)
    report = shares.close_round(host, shares.ROUND_MS)
    expected = {shares.make_key(f"a{index}") for index in range(4, 12)}
    assert report.keys() == expected


def test_rate_admits_a_burst_of_a_quarter_second_then_the_rate():
    # Guards against a burst allowance that refills faster than the rate, and
    # against one account using the tokens of another.
    alone = shares.Shares(0)
    now_ms = 60_000

    def admit(account, count):
        return sum(
            shares.admit_request(alone, account, 10, now_ms)
            for _ in range(count)
        )

    assert admit("a", 50) == 2
    admitted = 0
    for _ in range(100):
        now_ms += 50
        admitted += admit("a", 5)
    assert admitted == 50
    assert admit("b", 50) == 2
