"""Histories of hosts that take over from each other while jobs run."""

import random
import types

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest
from testing.daemon.tasks import simulatedfleet
from testing.daemon.tasks import virtualtime
from testing.daemon.tasks.evacuation import operators

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import jobstates
from cyclamenshelf_daemon.tasks import links
from cyclamenshelf_daemon.tasks import owner as owners
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues
from cyclamenshelf_daemon.tasks import submission
from cyclamenshelf_daemon.tasks import writer
from cyclamenshelf_daemon.tasks.admission import publishing
from cyclamenshelf_daemon.tasks.failover import handover
from cyclamenshelf_daemon.tasks.failover import leaserows
from cyclamenshelf_daemon.tasks.workerprofiles import profilestore

WORKERS_TABLE = "workers"
LEASE_MS = 6_000
KEEP_ENDED_MS = 3_600_000
RACKS = ("r0", "r1")
# Errors of the store and of workers, which are part of a history.
EXPECTED_ERRORS = ("StoreUnavailableError", "OutcomeUnknownError")
LISTS = queues.Lists(
    1,
    1,
    tuple(
        queues.Queue(
            f"q{priority}",
            "h",
            f"/q{priority}/",
            "service",
            priority,
            100,
            3.0,
            1_000,
            public=False,
        )
        for priority in range(3)
    ),
    (queues.ClientAccount("account", frozenset({"key"}), 8),),
)


class Work:
    """The jobs as they really run, and the rules that they break.

    Attributes:
        running: Runs by task name.
        violations: Descriptions of broken rules.
        calm: Whether no disturbance explains a member that waits in vain.
    """

    def __init__(self, scheduler, generator):
        self.scheduler = scheduler
        self.generator = generator
        self.ends_per_list = generator.choice((1, 2, 3, 500))
        self.failure_share = generator.choice((0.0, 0.0, 0.2))
        # When the other members of a gang end after one of them; None if the
        # owner has to stop them.
        self.break_delay_ms = generator.choice((50, 500, 2_500, None))
        self.jobs = {}
        self.running = {}
        self.gangs = {}
        self.done = set()
        self.violations = []
        self.calm = False
        self.trace = []

    def note(self, event, **fields):
        self.trace.append((self.scheduler.now_ms, event, fields))

    def fail(self, text):
        self.violations.append(f"{self.scheduler.now_ms} ms: {text}")

    def get_step(self, name):
        task = taskjobs.parse_task(name)
        return self.jobs[task.group.job_id].steps[task.group.step]

    def make_checkpoint(self, run):
        if not self.get_step(run.name).checkpointable:
            return ""
        return f"{self.scheduler.now_ms // 1_000:08x}"

    def is_running(self, job_id):
        return any(name.startswith(job_id) for name in self.running)

    def _get_done_key(self, name):
        task = taskjobs.parse_task(name)
        return task.group if self.get_step(name).gang else task

    def handle_start(self, run):
        self.note(
            "RUN", name=run.name, run=run.number, worker=run.worker.info.id
        )
        if run.name in self.running:
            self.fail(f"{run.name} runs twice")
        if self._get_done_key(run.name) in self.done:
            self.fail(f"{run.name} starts after it was done")
        self.running.setdefault(run.name, []).append(run)
        step = self.get_step(run.name)
        if not step.gang:
            self._schedule_finish([run], step)
            return
        members = self.gangs.setdefault(self._get_gang_key(run), [])
        members.append(run)
        if self._is_present(run):
            self._schedule_finish(list(members), step)
        else:
            self.scheduler.call_after(
                simulatedfleet.GANG_TIMEOUT_MS, lambda: self._end_alone(run)
            )

    def _get_gang_key(self, run):
        return taskjobs.parse_task(run.name).group, run.number

    def _is_present(self, run):
        """Return whether all members of a gang's run are present."""
        members = self.gangs[self._get_gang_key(run)]
        present = sum(not member.ended for member in members)
        return present == self.get_step(run.name).tasks

    def _end_alone(self, run):
        if run.ended or self._is_present(run):
            return
        if self.calm:
            self.fail(f"{run.name} run {run.number} waits for its gang in vain")
        run.worker.end(run, ports.EndKind.ALONE)

    def _schedule_finish(self, runs, step):
        if step.long_running:
            return
        failed = self.generator.random() < self.failure_share
        after_ms = step.expected_run_ms
        if failed:
            runs = [self.generator.choice(runs)]
            after_ms = self.generator.randint(0, after_ms)

        def finish():
            if any(run.ended for run in runs):
                return
            for run in runs:
                run.worker.end(
                    run, ports.EndKind.FAILED if failed else ports.EndKind.DONE
                )

        self.scheduler.call_after(after_ms, finish)

    def handle_end(self, run, kind):
        self.note(
            "END",
            name=run.name,
            run=run.number,
            worker=run.worker.info.id,
            kind=str(kind),
        )
        self._remove(run)
        if kind is not ports.EndKind.DONE:
            self._break_gang(run)

    def handle_vanished(self, run):
        self.note("GONE", name=run.name, worker=run.worker.info.id)
        self._remove(run)
        self._break_gang(run)

    def _remove(self, run):
        runs = self.running[run.name]
        runs.remove(run)
        if not runs:
            del self.running[run.name]

    def _break_gang(self, ended):
        if self.break_delay_ms is None or not self.get_step(ended.name).gang:
            return
        members = self.gangs[self._get_gang_key(ended)]

        def end_others():
            for run in members:
                run.worker.end(run, ports.EndKind.BROKEN)

        self.scheduler.call_after(self.break_delay_ms, end_others)

    def handle_acknowledged(self, end):
        lasts = self.get_step(end.name).long_running
        if end.kind is ports.EndKind.DONE and not lasts:
            self.done.add(self._get_done_key(end.name))


class Host:
    """A host that competes for the ownership."""

    def __init__(self, name):
        self.name = name
        self.process = None
        self.stopping = None
        self.store_cut_until = 0
        self.workers_cut_until = 0


class World:
    """Hosts, workers and jobs of one history."""

    def __init__(self, seed, hosts=3, workers=6, evacuations=False):
        self.evacuations = evacuations
        self.evacuated_since_ms = {}
        self.generator = random.Random(seed)
        self.scheduler = virtualtime.Scheduler()
        self.clock = self.scheduler.make_clock()
        self.network = simulatedfleet.Network(self.scheduler, self.generator)
        self.store = simulatedfleet.Store(self.network)
        self.work = Work(self.scheduler, self.generator)
        self.infos = {}
        self.workers = []
        self.hosts = [Host(f"h{number}") for number in range(hosts)]
        self.tenures = []
        self.owners = []
        self.kill_after_takeover = 0.0
        self._patches = pytest.MonkeyPatch()
        self._patch_modules()
        for _ in range(workers):
            self.add_worker()
        for host in self.hosts:
            self.start_host(host)

    def _patch_modules(self):
        threads = virtualtime.make_threading(self.scheduler)
        queued = virtualtime.make_queue(self.scheduler)
        randoms = types.SimpleNamespace(
            Random=lambda: random.Random(self.generator.random())
        )
        for module in (
            fleet,
            following,
            handover,
            links,
            owners,
            ownership,
            publishing,
            profilestore,
            writer,
        ):
            self._patches.setattr(module, "threading", threads)
        for module in (owners, ownerstate, publishing, writer):
            self._patches.setattr(module, "queue", queued)
        for module in (following, writer):
            self._patches.setattr(module, "random", randoms)
        self._patches.setattr(logs, "log_event", self._log_event)

    def _log_event(self, event, level="INFO", **fields):
        thread = self.scheduler.current
        host = thread.process.name if thread else "-"
        self.work.note(event, host=host, **fields)
        if level == "ERROR" and fields.get("type") not in EXPECTED_ERRORS:
            self.work.fail(f"{host} logged {event} {fields}")

    def close(self):
        for host in self.hosts:
            if host.process is not None:
                self.scheduler.kill(host.process)
        for tenure in self.tenures:
            tenure.ended.set()
        self.scheduler.run_until(self.scheduler.now_ms + 10_000)
        self._patches.undo()

    # Workers and jobs.

    def add_worker(self):
        number = len(self.workers)
        worker = simulatedfleet.Worker(
            self.work, f"w{number}", RACKS[number % len(RACKS)]
        )
        self.workers.append(worker)
        self.list_worker(worker)

    def list_worker(self, worker):
        value = repr(worker.info).encode()
        self.infos[value] = worker.info
        self.store.put(WORKERS_TABLE, worker.info.id, value)

    def unlist_worker(self, worker):
        key = ports.RowKey(WORKERS_TABLE, worker.info.id)
        self.store.commit(ports.Transaction({}, {}, (key,)), 1_000)

    def evacuate(self, data_centre):
        now_ms = self.scheduler.now_ms
        self.evacuated_since_ms.setdefault(data_centre, now_ms)
        operators.evacuate(self.store, data_centre)

    def take_back(self, data_centre):
        self.evacuated_since_ms.pop(data_centre, None)
        operators.take_back(self.store, data_centre)

    def _check_start(self, order):
        since_ms = self.evacuated_since_ms.get(order.worker.data_centre)
        if since_ms is not None and (
            self.scheduler.now_ms > since_ms + operators.BOUND_MS
        ):
            self.work.fail(f"start of {order.name} in an evacuated data centre")

    def submit(self, priority, *steps):
        job_id = f"{len(self.work.jobs) + 1:016x}"
        job = builders.make_job(
            job_id,
            *steps,
            queue=f"q{priority}",
            priority=priority,
            max_attempts=100,
            accepted_ms=self.clock.wall_ms(),
        )
        self.work.jobs[job_id] = job
        self.work.note("SUBMIT", job=job_id, priority=priority, steps=steps)
        self.store.commit(
            submission._make_insert(
                job, ports.RowKey("op", "config"), LISTS._replace(row_version=0)
            ),
            1_000,
        )
        return job_id

    def read_state(self, job_id):
        value = self.store.value(jobstates.PROGRESS_TABLE, job_id)
        return taskprogress.decode_progress(job_id, value).state

    def cancel(self, job_id):
        key = submission.make_cancel_key(job_id)
        self.store.commit(ports.Transaction({}, {key: b"{}"}), 1_000)

    def is_ended(self, job_id):
        return self.read_state(job_id) in taskprogress.ENDED

    def list_unfinished(self):
        """Return the jobs that will complete and have not."""
        return [
            job_id
            for job_id, job in self.work.jobs.items()
            if not job.steps[0].long_running and not self.is_ended(job_id)
        ]

    def list_inactive_work(self):
        """Return the jobs, and the tasks that last, of which nothing runs."""
        inactive = [
            job_id
            for job_id in self.list_unfinished()
            if not self.work.is_running(job_id)
        ]
        for job_id, job in self.work.jobs.items():
            if job.steps[0].long_running and not self.is_ended(job_id):
                names = {
                    taskjobs.format_task(
                        taskjobs.Task(taskjobs.Group(job_id, 0, 0), index)
                    )
                    for index in range(job.steps[0].tasks)
                }
                inactive += sorted(names - self.work.running.keys())
        return inactive

    def list_needless_runs(self):
        """Return the tasks that run although their job has ended."""
        return [
            name
            for name in self.work.running
            if self.is_ended(taskjobs.parse_task(name).group.job_id)
        ]

    # Hosts.

    def start_host(self, host):
        host.process = virtualtime.Process(host.name)
        host.stopping = virtualtime.Event(self.scheduler)
        store = self.store.connect(host)
        context = ownerstate.OwnerContext(
            store,
            self._connect_workers(host),
            self.clock,
            WORKERS_TABLE,
            lambda row: self.infos.get(row.value),
            lambda: LISTS,
            self._follow_evacuations(host, store),
            LEASE_MS,
            simulatedfleet.MAX_LEASE_MS,
            KEEP_ENDED_MS,
            metrics.Metrics(),
        )

        def acquire(tenure):
            self.tenures.append(tenure)
            self.work.note("TAKEOVER", host=host.name, epoch=tenure.epoch)
            self.owners.append((host, owners.start_owner(context, tenure)))
            if self.generator.random() < self.kill_after_takeover:
                process = host.process
                self.scheduler.call_after(
                    self.generator.randint(0, 2_500),
                    lambda: process is host.process and self.kill_host(host),
                )

        self.scheduler.start(
            host.process,
            ownership.start_lease_thread,
            (
                ownership.OwnershipContext(
                    store,
                    self.clock,
                    host.name,
                    conftest.PREFERRED_CAPACITY,
                    leaserows.make_lease_key(cross_part_transactions=True),
                    acquire,
                    host.stopping,
                    handover.OfferInbox(),
                ),
            ),
        )

    def _follow_evacuations(self, host, store):
        """Return the requests to empty data centres that a host follows."""
        copy = following.TableCopy(operators.TABLE)
        if self.evacuations:
            self.scheduler.start(
                host.process,
                following.start_following,
                (copy, store, self.clock, host.stopping, 1_000),
            )
            return operators.make_requests(copy, self.clock)
        # More calls would change the histories of all seeds.
        copy.confirmed_ms = 0
        return operators.make_requests(copy, self.clock, bound_ms=None)

    def _connect_workers(self, host):
        client = simulatedfleet.make_worker_client(
            self.network, host, self.workers
        )

        def start(order, *arguments):
            self._check_start(order)
            client.start(order, *arguments)

        return client._replace(start=start)

    def get_owner_host(self):
        """Return the host that took over last, else any."""
        return self.owners[-1][0] if self.owners else self.hosts[0]

    def kill_host(self, host):
        if host.process is None:
            return
        self.work.note("KILL", host=host.name)
        self.scheduler.kill(host.process)
        host.process = None
        self.scheduler.call_after(
            self.generator.choice((100, 1_000, 4_000)),
            lambda: self.restore_host(host),
        )

    def restore_host(self, host):
        if host.process is None:
            self.start_host(host)
