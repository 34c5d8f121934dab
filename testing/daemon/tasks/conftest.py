"""Fixtures: a store, two workers, and owners that decide for them."""

import itertools
import time

import pytest
from testing.core import taskbuilders
from testing.daemon.tasks import fakefleet
from testing.daemon.tasks import fakestore

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import owner as owners
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues
from cyclamenshelf_daemon.tasks import submission

LIMIT_S = 20
WORKERS_TABLE = "workers"
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
    """A fleet and the owners that have decided for it."""

    def __init__(self):
        self.fake = fakestore.FakeStore()
        self.lists = LISTS
        self.advise = None
        self.infos = {}
        self.workers = [
            fakefleet.FakeWorker("w0"),
            fakefleet.FakeWorker("w1", "r1"),
        ]
        for worker in self.workers:
            self.list_worker(worker)
        self.clock = clocks.make_system_clock()
        self.numbers = itertools.count(1)
        self.tenures = []
        self.owners = []

    def list_worker(self, worker):
        """Write a worker's entry as it is now."""
        value = repr(worker.info).encode()
        self.infos[value] = worker.info
        self.fake.put(WORKERS_TABLE, worker.info.id, value)

    def unlist_worker(self, worker):
        key = ports.RowKey(WORKERS_TABLE, worker.info.id)
        self.fake.commit(ports.Transaction({}, {}, (key,)), 1_000)

    def take_over(self, lease_ms=6_000):
        """Start an owner under the next epoch; the last one is not told."""
        epoch = len(self.tenures) + 1
        self.fake.put("cell", "epoch", b"{}")
        row = self.fake.rows[ownership.EPOCH_KEY]
        tenure = ownership.Tenure(
            epoch, row.version, self.clock.now_ms() + 3_600_000
        )
        context = ownerstate.OwnerContext(
            self.fake.store,
            fakefleet.make_workers(self.workers),
            self.clock,
            WORKERS_TABLE,
            lambda row: self.infos.get(row.value),
            lambda: self.lists,
            lease_ms,
            60_000,
            self.advise,
        )
        self.tenures.append(tenure)
        self.owners.append(owners.start_owner(context, tenure))
        return tenure

    def submit(self, *steps, **values):
        """Store a job as an entry host would; return its id."""
        job_id = f"{next(self.numbers):016x}"
        job = taskbuilders.make_job(
            job_id, *steps, accepted_ms=self.clock.wall_ms(), **values
        )
        self.fake.commit(
            submission._make_insert(
                job, ports.RowKey("op", "config"), LISTS._replace(row_version=0)
            ),
            1_000,
        )
        return job_id

    def read(self, job_id):
        value = self.fake.value(jobstates.PROGRESS_TABLE, job_id)
        return taskprogress.decode_progress(job_id, value)

    def wait_for_state(self, job_id, state):
        wait_until(lambda: self.read(job_id).state == state, state)

    def list_runs(self, job_id):
        """Return the runs begun of a job on all workers."""
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
        """Return the worker that runs a task of the job."""
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


def wait_until(condition, what):
    give_up = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < give_up, f"not within {LIMIT_S} s: {what}"
        time.sleep(0.005)


@pytest.fixture
def cell():
    made = Cell()
    yield made
    for tenure in made.tenures:
        tenure.ended.set()


@pytest.fixture
def task():
    return taskjobs.Task(taskjobs.Group("j1", 0, 0), 0)
