"""Fixtures: a fake store, two fake workers, and owners that schedule jobs."""

import itertools
import threading
import time

import pytest
from testing.core import taskbuilders
from testing.daemon.tasks import fakefleet
from testing.daemon.tasks import fakestore
from testing.daemon.tasks.evacuation import operators

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core.failover import candidates
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import owner as owners
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues
from cyclamenshelf_daemon.tasks import submission
from cyclamenshelf_daemon.tasks.failover import handover
from cyclamenshelf_daemon.tasks.failover import leaserows

TIMEOUT_S = 20
WORKERS_TABLE = "workers"
PREFERRED_CAPACITY = candidates.HostCapacity(1.0, 100.0)
LISTS = queues.Lists(
    1,
    1,
    (
        queues.Queue(
            "queue", "h", "/q/", "service", 1, 2, 3.0, 1_000, public=False
        ),
    ),
    (queues.ClientAccount("account", frozenset({"key"}), 8),),
)


class Cell:
    """A store, a fleet of workers, and the owners started so far.

    Attributes:
        tenures: Tenures of all owners, the last one being current.
    """

    def __init__(self):
        self.fake_store = fakestore.FakeStore()
        self.lists = LISTS
        self.advise = None
        self.pacing_terms = None
        self.registry = metrics.Metrics()
        self.infos_by_value = {}
        self.workers = [
            fakefleet.FakeWorker("w0"),
            fakefleet.FakeWorker("w1", "r1"),
        ]
        for worker in self.workers:
            self.list_worker(worker)
        self.clock = clocks.make_system_clock()
        self.job_numbers = itertools.count(1)
        self.tenures = []
        self.owners = []
        self.stopping = threading.Event()
        self.operators_copy = following.TableCopy(operators.TABLE)
        following.start_following(
            self.operators_copy,
            self.fake_store.store,
            self.clock,
            self.stopping,
            wait_ms=500,
        )

    def list_worker(self, worker):
        """Write the worker's current entry to the list of workers."""
        value = repr(worker.info).encode()
        self.infos_by_value[value] = worker.info
        self.fake_store.put(WORKERS_TABLE, worker.info.id, value)

    def replace_worker(self, worker):
        """Take a worker away, and list another one of its rack instead."""
        worker.unresponsive = True
        self.unlist_worker(worker)
        other = fakefleet.FakeWorker(f"w{len(self.workers)}", worker.info.rack)
        other.crashing = worker.crashing
        self.workers.append(other)
        self.list_worker(other)
        return other

    def unlist_worker(self, worker):
        key = ports.RowKey(WORKERS_TABLE, worker.info.id)
        self.fake_store.commit(ports.Transaction({}, {}, (key,)), 1_000)

    def start_owner(self, lease_ms=6_000):
        """Start an owner under the next epoch, without ending the last one."""
        epoch = len(self.tenures) + 1
        self.fake_store.put("cell", "epoch", b"{}")
        row = self.fake_store.rows[leaserows.EPOCH_KEY]
        tenure = ownership.Tenure(
            epoch, row.version, self.clock.now_ms() + 3_600_000
        )
        self._start_owner(tenure, lease_ms)
        return tenure

    def start_host(self, lease_ms=6_000):
        """Start a host that acquires the lease and becomes the owner."""
        return ownership.start_lease_thread(
            ownership.OwnershipContext(
                self.fake_store.store,
                self.clock,
                "host",
                PREFERRED_CAPACITY,
                leaserows.make_lease_key(cross_part_transactions=True),
                lambda tenure: self._start_owner(tenure, lease_ms),
                self.stopping,
                handover.OfferInbox(),
            )
        )

    def _start_owner(self, tenure, lease_ms):
        context = ownerstate.OwnerContext(
            self.fake_store.store,
            fakefleet.make_workers(self.workers),
            self.clock,
            WORKERS_TABLE,
            lambda row: self.infos_by_value.get(row.value),
            lambda: self.lists,
            operators.make_requests(self.operators_copy, self.clock),
            lease_ms,
            lease_ms,
            60_000,
            self.registry,
            self.advise,
            pacing_terms=self.pacing_terms,
        )
        self.tenures.append(tenure)
        self.owners.append(owners.start_owner(context, tenure))

    def submit(self, *steps, **values):
        """Store a job as an entry host does; return its id."""
        job_id = f"{next(self.job_numbers):016x}"
        job = taskbuilders.make_job(
            job_id, *steps, accepted_ms=self.clock.wall_ms(), **values
        )
        self.fake_store.commit(
            submission._make_insert(
                job, ports.RowKey("op", "config"), LISTS._replace(row_version=0)
            ),
            1_000,
        )
        return job_id

    def cancel(self, job_id):
        """Store the cancellation of a job as an entry host does."""
        key = submission.make_cancel_key(job_id)
        self.fake_store.commit(ports.Transaction({}, {key: b"{}"}), 1_000)

    def read(self, job_id):
        value = self.fake_store.value(jobstates.PROGRESS_TABLE, job_id)
        return taskprogress.decode_progress(job_id, value)

    def wait_for_state(self, job_id, state):
        wait_until(lambda: self.read(job_id).state == state, state)

    def list_runs(self, job_id):
        """Return the started runs of a job on all workers."""
        return [
            run
            for worker in self.workers
            for run in worker.started
            if run[0].startswith(job_id)
        ]

    def wait_for_runs(self, job_id, count):
        wait_until(
            lambda: len(self.list_runs(job_id)) >= count,
            f"{count} runs of {job_id}",
        )

    def find_worker(self, job_id):
        """Return a worker that runs a task of the job."""
        return next(
            worker
            for worker in self.workers
            if any(name.startswith(job_id) for name in worker.running)
        )

    def end_all(self, job_id, kind=ports.EndKind.DONE, **values):
        """End every running task of a job."""
        for worker in self.workers:
            for name in list(worker.running):
                if name.startswith(job_id):
                    worker.end(name, kind, **values)


def wait_until(condition, description):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, (
            f"not within {TIMEOUT_S} s: {description}"
        )
        time.sleep(0.005)


@pytest.fixture
def cell():
    instance = Cell()
    yield instance
    instance.stopping.set()
    for tenure in instance.tenures:
        tenure.ended.set()


@pytest.fixture
def task():
    return taskjobs.Task(taskjobs.Group("j1", 0, 0), 0)
