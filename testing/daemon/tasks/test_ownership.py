"""The owner's lease under competing hosts, lost responses and late renewals."""

import json
import threading

import pytest
from testing.daemon.tasks import conftest
from testing.daemon.tasks import fakestore

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core.failover import candidates
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.failover import handover
from cyclamenshelf_daemon.tasks.failover import leaserows

LEASE_KEY = leaserows.make_lease_key(cross_part_transactions=True)
# No lease expires on a clock that stands still.
STOPPED_CLOCK = clocks.Clock(lambda: 0, lambda: 0, lambda ms: None)


class Hosts:
    """Hosts that compete for the lease of one store."""

    def __init__(self):
        self.fake_store = fakestore.FakeStore()
        self.tenures = []
        self.stopping = []
        self.offers = {}
        self.threads = []

    def start(
        self,
        name,
        clock=None,
        processors=1.0,
        link_mbps=100.0,
        offer=lambda epoch, lease_version: None,
    ):
        stopping = threading.Event()
        self.offers[name] = handover.OfferInbox()
        self.stopping.append(stopping)
        self.threads.append(
            ownership.start_lease_thread(
                ownership.OwnershipContext(
                    self.fake_store.store,
                    clock or clocks.make_system_clock(),
                    name,
                    candidates.HostCapacity(processors, link_mbps),
                    LEASE_KEY,
                    self.tenures.append,
                    stopping,
                    self.offers[name],
                    offer,
                )
            )
        )

    def wait_for_tenures(self, count):
        conftest.wait_until(
            lambda: len(self.tenures) >= count, f"{count} tenures"
        )
        return self.tenures[count - 1]

    def put_lease(self, value):
        self.fake_store.commit(ports.Transaction({}, {LEASE_KEY: value}), 0)

    def read_lease(self):
        return json.loads(self.fake_store.rows[LEASE_KEY].value)


@pytest.fixture
def hosts():
    instance = Hosts()
    yield instance
    for stopping in instance.stopping:
        stopping.set()
    for tenure in instance.tenures:
        tenure.ended.set()


def test_released_lease_is_acquired_under_the_next_epoch(hosts):
    hosts.start("a")
    hosts.wait_for_tenures(1)
    hosts.start("b")
    hosts.stopping[0].set()
    hosts.tenures[0].ended.wait(conftest.TIMEOUT_S)
    assert hosts.wait_for_tenures(2).epoch == 2
    assert hosts.read_lease()["holder"] == "b"


def test_stopping_owner_keeps_its_tenure_until_the_lease_is_acquired(hosts):
    hosts.start("a")
    tenure = hosts.wait_for_tenures(1)
    hosts.stopping[0].set()
    conftest.wait_until(lambda: hosts.read_lease()["released"], "released")
    assert ownership.is_lease_valid(tenure, clocks.make_system_clock())
    assert tenure.ended.wait(conftest.TIMEOUT_S)


@pytest.mark.parametrize(
    "capacity", [{"processors": 0.5}, {"link_mbps": 5.0}], ids=str
)
def test_host_of_low_capacity_leaves_an_available_lease_to_others(
    hosts, capacity
):
    hosts.start("weak", **capacity)
    hosts.start("strong")
    hosts.wait_for_tenures(1)
    assert hosts.read_lease()["holder"] == "strong"


def test_host_of_low_capacity_acquires_a_lease_without_competitors(hosts):
    hosts.start("weak", processors=0.5)
    assert hosts.wait_for_tenures(1).epoch == 1


def test_expired_lease_is_acquired(hosts):
    hosts.put_lease(b'{"holder": "gone", "released": false}')
    hosts.fake_store.put("cell", "epoch", b'{"epoch": 4}')
    hosts.start("a")
    assert hosts.wait_for_tenures(1).epoch == 5


def test_lease_of_an_earlier_process_of_the_host_is_acquired_at_once(hosts):
    # Guards against a host that waits for its own previous lease to expire:
    # after a restart of all hosts there was no owner for 2.7 s.
    hosts.put_lease(b'{"holder": "a", "released": false}')
    hosts.fake_store.put("cell", "epoch", b'{"epoch": 4}')
    hosts.start("a", STOPPED_CLOCK)
    assert hosts.wait_for_tenures(1).epoch == 5


def test_restarted_owner_of_low_capacity_does_not_keep_others_waiting(hosts):
    # After a restart of all hosts one with a slow link took 1.6 s to read the
    # jobs.
    hosts.put_lease(b'{"holder": "weak", "epoch": 4, "released": false}')
    hosts.fake_store.put("cell", "epoch", b'{"epoch": 4}')
    hosts.start("strong", STOPPED_CLOCK)
    hosts.start("weak", link_mbps=5.0)
    assert hosts.wait_for_tenures(1).epoch == 5
    assert hosts.read_lease()["holder"] == "strong"


def test_offered_lease_is_acquired_before_it_expires(hosts):
    hosts.put_lease(b'{"holder": "a", "epoch": 4, "released": false}')
    hosts.fake_store.put("cell", "epoch", b'{"epoch": 4}')
    hosts.start("b", STOPPED_CLOCK)
    version = hosts.fake_store.rows[LEASE_KEY].version
    hosts.offers["b"].put(handover.Offer(4, version, 0))
    assert hosts.wait_for_tenures(1).epoch == 5


@pytest.mark.parametrize(
    ("epoch", "renewals", "received_ms"),
    [(3, 0, 0), (4, 1, 0), (4, 0, -2_000)],
    ids=["earlier_owner", "renewed_since", "too_old"],
)
def test_offer_that_no_longer_holds_is_ignored(
    hosts, epoch, renewals, received_ms
):
    lease = b'{"holder": "a", "epoch": 4, "released": false}'
    hosts.put_lease(lease)
    version = hosts.fake_store.rows[LEASE_KEY].version
    for _ in range(renewals):
        hosts.put_lease(lease)
    hosts.start("b", STOPPED_CLOCK)
    offers = hosts.offers["b"]
    offers.put(handover.Offer(epoch, version, received_ms))
    conftest.wait_until(lambda: not offers.wake.is_set(), "the offer is read")
    assert not hosts.read_lease()["released"]
    assert not hosts.tenures


def test_owner_that_the_store_rejects_offers_a_lease_that_is_still_valid(hosts):
    # No task was started for 2.2 s while the store rejected the owner only.
    offered = []
    clock = clocks.make_system_clock()

    def offer(epoch, lease_version):
        offered.append((epoch, lease_version))
        valid.append(ownership.is_lease_valid(hosts.tenures[0], clock))

    valid = []
    hosts.start("a", offer=offer)
    tenure = hosts.wait_for_tenures(1)
    hosts.fake_store.down = True
    conftest.wait_until(lambda: valid, "an offer")
    assert offered[0] == (1, tenure.lease_version)
    assert valid[0]


def test_lease_acquired_without_a_response_is_held(hosts):
    # On a slow store each attempt was carried out and answered too late: there
    # was no owner for 4 s after a restart of all hosts.
    hosts.fake_store.commit_faults = ["lost"]
    hosts.start("a")
    tenure = hosts.wait_for_tenures(1)
    assert tenure.epoch == 1
    row = hosts.fake_store.rows[leaserows.EPOCH_KEY]
    assert tenure.epoch_version == row.version


@pytest.mark.parametrize("faults", [["lost"], ["dropped", "down"]])
def test_renewal_without_a_response_keeps_the_tenure(hosts, faults):
    hosts.start("a")
    tenure = hosts.wait_for_tenures(1)
    hosts.fake_store.commit_faults = list(faults)
    previous_until_ms = tenure.valid_until_ms
    conftest.wait_until(
        lambda: tenure.valid_until_ms > previous_until_ms,
        "the lease is renewed",
    )
    assert not tenure.ended.is_set()


def test_tenure_ends_when_another_host_has_acquired_the_lease(hosts):
    hosts.start("a")
    tenure = hosts.wait_for_tenures(1)
    hosts.fake_store.put("cell", "epoch", b'{"epoch": 2}')
    hosts.put_lease(b'{"holder": "b", "released": false}')
    assert tenure.ended.wait(conftest.TIMEOUT_S)
    assert not ownership.is_lease_valid(tenure, clocks.make_system_clock())


def test_former_owner_renews_worker_leases_only_during_its_grace_period(hosts):
    tenure = ownership.Tenure(1, 1, 0)
    now = 0
    clock = clocks.Clock(lambda: now, lambda: 0, lambda ms: None)
    now = tenure.valid_until_ms
    assert not ownership.is_lease_valid(tenure, clock)
    assert ownership.may_renew_worker_leases(tenure, clock)
    now = tenure.valid_until_ms + ownership.GRACE_MS
    assert not ownership.may_renew_worker_leases(tenure, clock)


def test_renewal_writes_only_the_lease_row(hosts):
    # Guards against renewals that queue behind other transactions: a slow store
    # serialises the transactions of a partition, and the owner lost its lease
    # while jobs were stored.
    hosts.start("a")
    hosts.wait_for_tenures(1)
    conftest.wait_until(lambda: len(hosts.fake_store.commits) > 1, "a renewal")
    renewal = hosts.fake_store.commits[1]
    assert {*renewal.checks, *renewal.puts} == {LEASE_KEY}
    assert LEASE_KEY.part != leaserows.EPOCH_KEY.part
    single_part_key = leaserows.make_lease_key(cross_part_transactions=False)
    assert single_part_key.part == leaserows.EPOCH_KEY.part
