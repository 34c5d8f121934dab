"""Tests of the cell lease with lost and late table responses and pauses."""

import contextlib
import threading

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import tableclient

HOLDERS = ("a/1", "b/1")
_FAULTS = strategies.sampled_from(["none", "lost", "late", "down"])
# Sequences of renewals, each with its fault and the ttl that it writes.
# Independently drawn renewals reach the relevant sequences too rarely.
_SCRIPTS = (
    (("none", 3_000),),
    (("none", 15_000),),
    (("none", 15_000), ("lost", 3_000)),
    (("none", 15_000), ("late", 3_000)),
    (("lost", 15_000), ("none", 3_000)),
    (("late", 3_000), ("none", 15_000), ("lost", 3_000)),
    (("down", 3_000),),
)


class FakeTable:
    """In-memory table with row versions and a clock advanced by the test."""

    def __init__(self):
        self.now_ms = 0
        self.rows = {}
        self.revision = 0
        self.next_fault = "none"
        self.latency_ms = 1
        self.delayed = []
        self.clock = clocks.Clock(
            lambda: self.now_ms, lambda: self.now_ms, lambda ms: None
        )

    def apply(self, transaction):
        found = {
            key: self.rows[key].version if key in self.rows else 0
            for key in transaction.checks
        }
        if found != transaction.checks:
            raise errors.WriteConflictError(found)
        self.revision += 1
        for key, value in transaction.puts.items():
            self.rows[key] = tableclient.Row(
                key, self.revision, str(self.revision), value
            )
        return self.revision

    def commit(self, client, transaction, give_up_ms, call_timeout_ms=0):
        fault, self.next_fault = self.next_fault, "none"
        if fault == "down":
            raise errors.StoreUnavailableError("table", "down")
        if fault == "late":
            self.delayed.append(transaction)
        if fault in ("late", "lost"):
            try:
                if fault == "lost":
                    self.apply(transaction)
            finally:
                self.now_ms += 3_750
            raise errors.OutcomeUnknownError("table", "no answer")
        self.now_ms += self.latency_ms
        revision = self.apply(transaction)
        self.now_ms += self.latency_ms
        return revision

    def read(self, client, keys):
        if self.next_fault == "down":
            self.next_fault = "none"
            raise errors.StoreUnavailableError("table", "down")
        rows = {key: self.rows[key] for key in keys if key in self.rows}
        self.now_ms += self.latency_ms
        return rows


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Checks that at most one lease is valid and that epochs only increase."""

    def __init__(self):
        super().__init__()
        self.table = FakeTable()
        self.saved = tableclient.commit_transaction, tableclient.read_rows
        tableclient.commit_transaction = self.table.commit
        tableclient.read_rows = self.table.read
        client = tableclient.TableClient(None, "", self.table.clock)
        self.leases = {
            holder: celllease.CellLease(
                client, "x", holder, None, None, threading.Event()
            )
            for holder in HOLDERS
        }
        self.seen = {
            holder: celllease._LeaseObservation() for holder in HOLDERS
        }
        self.tenures = {}
        self.epochs = [0]

    def teardown(self):
        tableclient.commit_transaction, tableclient.read_rows = self.saved

    @stateful.rule(ms=strategies.sampled_from([800, 16_000]))
    def wait(self, ms):
        self.table.now_ms += ms

    @stateful.precondition(lambda self: len(self.tenures) < len(HOLDERS))
    @stateful.rule(fault=_FAULTS, wait_ms=strategies.sampled_from([0, 3_300]))
    def challenge(self, fault, wait_ms):
        holder = next(one for one in HOLDERS if one not in self.tenures)
        lease, seen = self.leases[holder], self.seen[holder]
        tenure = celllease._try_acquire(lease, seen)
        if tenure is None:
            self.table.now_ms += wait_ms
            self.table.next_fault = fault
            tenure = celllease._try_acquire(lease, seen)
            self.table.next_fault = "none"
        if tenure is not None:
            assert tenure.epoch > self.epochs[-1]
            self.epochs.append(tenure.epoch)
            self.tenures[holder] = tenure

    @stateful.precondition(lambda self: self.tenures)
    @stateful.rule(
        first=strategies.booleans(),
        script=strategies.sampled_from(_SCRIPTS),
        latency_ms=strategies.sampled_from([1, 1_900]),
    )
    def renew(self, first, script, latency_ms):
        holder = (min if first else max)(self.tenures)
        tenure, lease = self.tenures[holder], self.leases[holder]
        for fault, ttl_ms in script:
            tenure.ttl_ms = ttl_ms  # As earlier round trips may have set it.
            sent_at_ms = self.table.now_ms
            self.table.next_fault, self.table.latency_ms = fault, latency_ms
            held = celllease.renew_once(lease, tenure)
            self.table.next_fault, self.table.latency_ms = "none", 1
            assert tenure.valid_until_ms <= sent_at_ms + 15_000
            self.one_holder_at_most()
            if not held:
                assert tenure.valid_until_ms == 0
                del self.tenures[holder]
                return

    @stateful.precondition(lambda self: self.tenures)
    @stateful.rule(first=strategies.booleans())
    def release(self, first):
        holder = (min if first else max)(self.tenures)
        celllease._release(self.leases[holder], self.tenures.pop(holder))

    @stateful.precondition(lambda self: self.table.delayed)
    @stateful.rule()
    def deliver_late_write(self):
        with contextlib.suppress(errors.WriteConflictError):
            self.table.apply(self.table.delayed.pop(0))

    @stateful.invariant()
    def one_holder_at_most(self):
        valid = [
            holder
            for holder, tenure in self.tenures.items()
            if self.table.now_ms < tenure.valid_until_ms
        ]
        assert len(valid) <= 1, valid

    @stateful.invariant()
    def epoch_row_only_rises(self):
        row = self.table.rows.get("epoch/x")
        if row is not None:
            assert row.value["epoch"] >= self.epochs[-1]


TestLease = LeaseMachine.TestCase
TestLease.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=15
)


def acquire_lease(table, monkeypatch, ttl_ms):
    monkeypatch.setattr(tableclient, "commit_transaction", table.commit)
    monkeypatch.setattr(tableclient, "read_rows", table.read)
    client = tableclient.TableClient(None, "", table.clock)
    lease = celllease.CellLease(
        client, "x", "a/1", None, None, threading.Event()
    )
    tenure = celllease._try_acquire(lease, celllease._LeaseObservation())
    tenure.ttl_ms = ttl_ms
    celllease.renew(lease, tenure)
    return lease, tenure


def test_unacknowledged_renewal_with_shorter_ttl_shortens_the_tenure(
    monkeypatch,
):
    # Guards against two owners of one cell: the row had a ttl of 3 s while the
    # holder still relied on the previous 15 s, so that another host acquired
    # the lease after 3.2 s.
    table = FakeTable()
    lease, tenure = acquire_lease(table, monkeypatch, 15_000)
    tenure.ttl_ms = 3_000
    table.next_fault, sent_at_ms = "lost", table.now_ms
    celllease.renew_once(lease, tenure)
    assert tenure.valid_until_ms <= sent_at_ms + 3_000


def test_lost_response_to_a_renewal_does_not_end_the_tenure(monkeypatch):
    # Guards against taking the conflict of the next renewal for a takeover: the
    # holder had not recorded the version written by the first one.
    table = FakeTable()
    lease, tenure = acquire_lease(table, monkeypatch, 3_000)
    table.next_fault = "lost"
    assert celllease.renew_once(lease, tenure)
    assert celllease.renew_once(lease, tenure)  # Reads the version.
    assert celllease.renew_once(lease, tenure)
    assert table.now_ms < tenure.valid_until_ms


def test_takeover_ends_the_tenure_of_a_paused_holder(monkeypatch):
    table = FakeTable()
    lease, tenure = acquire_lease(table, monkeypatch, 3_000)
    other = lease._replace(holder="b/1")
    seen = celllease._LeaseObservation()
    assert celllease._try_acquire(other, seen) is None
    table.now_ms += 4_000
    assert celllease._try_acquire(other, seen).epoch == tenure.epoch + 1
    assert not celllease.renew_once(lease, tenure)
    assert tenure.valid_until_ms == 0
