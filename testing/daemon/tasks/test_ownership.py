"""The lease under which one host decides, under lost and late answers."""

import json
import threading

import pytest
from testing.daemon.tasks import conftest
from testing.daemon.tasks import fakestore

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ports

LEASE_KEY = ownership.make_lease_key(parts_together=True)


class Hosts:
    """Hosts that compete for the lease of one store."""

    def __init__(self):
        self.fake = fakestore.FakeStore()
        self.tenures = []
        self.stopping = []
        self.threads = []

    def start(self, name, clock=None, processors=1.0):
        stopping = threading.Event()
        self.stopping.append(stopping)
        self.threads.append(
            ownership.start_holding(
                ownership.Ownership(
                    self.fake.store,
                    clock or clocks.make_system_clock(),
                    name,
                    processors,
                    LEASE_KEY,
                    self.tenures.append,
                    stopping,
                )
            )
        )

    def wait_for_tenures(self, count):
        conftest.wait_until(
            lambda: len(self.tenures) >= count, f"{count} tenures"
        )
        return self.tenures[count - 1]

    def put_lease(self, value):
        self.fake.commit(ports.Transaction({}, {LEASE_KEY: value}), 0)

    def read_lease(self):
        return json.loads(self.fake.rows[LEASE_KEY].value)


@pytest.fixture
def hosts():
    made = Hosts()
    yield made
    for stopping in made.stopping:
        stopping.set()
    for tenure in made.tenures:
        tenure.ended.set()


def test_released_lease_is_taken_under_the_next_epoch(hosts):
    hosts.start("a")
    hosts.wait_for_tenures(1)
    hosts.start("b")
    hosts.stopping[0].set()
    hosts.tenures[0].ended.wait(conftest.LIMIT_S)
    assert hosts.wait_for_tenures(2).epoch == 2
    assert hosts.read_lease()["holder"] == "b"


def test_owner_that_stops_decides_until_its_lease_is_taken(hosts):
    hosts.start("a")
    tenure = hosts.wait_for_tenures(1)
    hosts.stopping[0].set()
    conftest.wait_until(lambda: hosts.read_lease()["released"], "released")
    assert ownership.is_proved(tenure, clocks.make_system_clock())
    assert tenure.ended.wait(conftest.LIMIT_S)


def test_host_with_few_processors_leaves_a_free_lease_to_others(hosts):
    hosts.start("weak", processors=0.5)
    hosts.start("strong")
    hosts.wait_for_tenures(1)
    assert hosts.read_lease()["holder"] == "strong"


def test_host_with_few_processors_takes_a_lease_that_nobody_wants(hosts):
    hosts.start("weak", processors=0.5)
    assert hosts.wait_for_tenures(1).epoch == 1


def test_lapsed_lease_is_taken(hosts):
    hosts.put_lease(b'{"holder": "gone", "released": false}')
    hosts.fake.put("cell", "epoch", b'{"epoch": 4}')
    hosts.start("a")
    assert hosts.wait_for_tenures(1).epoch == 5


def test_lease_of_an_earlier_process_of_the_host_is_taken_at_once(hosts):
    # After a restart of all hosts nobody decided for 2.7 s.
    hosts.put_lease(b'{"holder": "a", "released": false}')
    hosts.fake.put("cell", "epoch", b'{"epoch": 4}')
    # On this clock no lease ever lapses.
    still = clocks.Clock(lambda: 0, lambda: 0, lambda ms: None)
    hosts.start("a", still)
    assert hosts.wait_for_tenures(1).epoch == 5


@pytest.mark.parametrize("faults", [["lost"], ["dropped", "down"]])
def test_renewal_without_an_answer_keeps_the_tenure(hosts, faults):
    hosts.start("a")
    tenure = hosts.wait_for_tenures(1)
    hosts.fake.script = list(faults)
    proved = tenure.proved_until_ms
    conftest.wait_until(lambda: tenure.proved_until_ms > proved, "proved again")
    assert not tenure.ended.is_set()


def test_owner_ends_when_another_epoch_stands(hosts):
    hosts.start("a")
    tenure = hosts.wait_for_tenures(1)
    hosts.fake.put("cell", "epoch", b'{"epoch": 2}')
    hosts.put_lease(b'{"holder": "b", "released": false}')
    assert tenure.ended.wait(conftest.LIMIT_S)
    assert not ownership.is_proved(tenure, clocks.make_system_clock())


def test_unproved_owner_keeps_workers_for_a_while_only(hosts):
    tenure = ownership.Tenure(1, 1, 0)
    now = 0
    clock = clocks.Clock(lambda: now, lambda: 0, lambda ms: None)
    now = tenure.proved_until_ms
    assert not ownership.is_proved(tenure, clock)
    assert ownership.may_hold_workers(tenure, clock)
    now = tenure.proved_until_ms + ownership.CARETAKER_MS
    assert not ownership.may_hold_workers(tenure, clock)


def test_renewal_touches_only_the_row_of_the_lease(hosts):
    # On a slow store the transactions of one part wait for each other, and
    # the owner lost its lease while jobs were stored.
    hosts.start("a")
    hosts.wait_for_tenures(1)
    conftest.wait_until(lambda: len(hosts.fake.commits) > 1, "a renewal")
    renewal = hosts.fake.commits[1]
    assert {*renewal.checks, *renewal.puts} == {LEASE_KEY}
    assert LEASE_KEY.part != ownership.EPOCH_KEY.part
    alone = ownership.make_lease_key(parts_together=False)
    assert alone.part == ownership.EPOCH_KEY.part
