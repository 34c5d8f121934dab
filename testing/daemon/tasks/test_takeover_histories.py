"""Jobs run on, and complete, after owners have changed in any way."""

import hypothesis
from hypothesis import strategies
from testing.core import taskbuilders as builders
from testing.daemon.tasks import histories
from testing.daemon.tasks import simulatedfleet

from cyclamenshelf_daemon.tasks import ownership

TRAFFIC_MS = 16_000
# A lease that has expired unseen is polled, and may be taken by a host that is
# killed at once.
TAKEOVER_MS = 2 * ownership.TTL_MS + 1_100
# An owner waits for workers that hold a lease of an earlier owner: its grace
# period, and a lease by a clock that is 2% slow.
UNCONFIRMED_MS = ownership.GRACE_MS + int(histories.LEASE_MS / 0.98) + 500
# Two calls of a start, its stop, and a list that lacks the run.
UNACKNOWLEDGED_MS = 2 * 700 + 1_500 + 3 * 700 + 2_200
# The longest lease that a worker grants, by a clock that is 2% slow.
RESTART_MS = int(simulatedfleet.MAX_LEASE_MS / 0.98) + 1_100
QUARANTINE_MS = 6_000
RECOVERY_MS = (
    TAKEOVER_MS
    + UNCONFIRMED_MS
    + UNACKNOWLEDGED_MS
    + RESTART_MS
    + QUARANTINE_MS
)
COMPLETION_MS = 120_000
# A history takes longer than the examples of other tests.
EXAMPLES = hypothesis.settings.default.max_examples * 2 // 5
STEP_MS = 100


class History:
    """A random history of faults on a world."""

    def __init__(self, seed, evacuations=False):
        self.world = histories.World(seed, evacuations=evacuations)
        self.generator = self.world.generator
        self.longest_wait_ms = 0
        self.faults = [
            fault
            for fault in (
                self.kill_owner,
                self.stop_owner,
                self.freeze_owner,
                self.cut_owner_from_store,
                self.cut_owner_from_workers,
                self.slow_store,
                self.cut_worker,
                self.replace_worker,
                self.restart_worker,
                self.drain_worker,
                self.lose_responses,
                self.delay_orders,
                self.cancel_job,
            )
            if self.generator.random() < 0.35
        ] or [self.kill_owner]
        if evacuations:
            self.faults.append(self.evacuate)
        self.world.kill_after_takeover = self.generator.choice((0, 0.3, 0.6))
        self.crashes_left = 1
        # Four workers without tasks that last remain for the widest gang.
        self.lasting_jobs_left = 1

    def play(self):
        """Play the history; return the rules that were broken."""
        scheduler = self.world.scheduler
        try:
            for _ in range(self.generator.randint(4, 10)):
                self._schedule(0, self.submit_job)
            for _ in range(self.generator.randint(2, 10)):
                self._schedule(
                    1_500,
                    lambda: self.generator.choice(self.faults)(),
                )
            scheduler.run_until(TRAFFIC_MS)
            self.end_faults()
            scheduler.run_until(TRAFFIC_MS + simulatedfleet.MAX_LATE_MS)
            self.wait_for_completion()
        finally:
            self.world.close()
        return self.world.work.violations

    def _schedule(self, from_ms, call):
        self.world.scheduler.call_at(
            self.generator.randint(from_ms, TRAFFIC_MS), call
        )

    def submit_job(self):
        generator = self.generator

        def make_step(**values):
            gang = generator.random() < 0.6
            return builders.make_step(
                generator.randint(2, 4) if gang else generator.randint(1, 4),
                generator.choice((2, 4, 8)),
                run_ms=generator.choice((500, 2_000, 4_000)),
                gang=gang,
                checkpointable=generator.random() < 0.5,
                **values,
            )

        if self.lasting_jobs_left and generator.random() < 0.15:
            self.lasting_jobs_left -= 1
            self.world.submit(
                generator.choice((1, 2)),
                builders.make_step(2, 2, long_running=True),
            )
            return
        steps = [make_step()]
        if generator.random() < 0.3:
            steps.append(make_step(after=(0,)))
        self.world.submit(generator.choice((0, 1, 1, 2)), *steps)

    # Faults.

    def _note(self, fault, **fields):
        self.world.work.note(f"FAULT {fault}", **fields)

    def _choose_worker(self):
        return self.generator.choice([w for w in self.world.workers if w.up])

    def kill_owner(self):
        self.world.kill_host(self.world.get_owner_host())

    def stop_owner(self):
        host = self.world.get_owner_host()
        if host.process is None:
            return
        self._note("stop", host=host.name)
        host.stopping.set()
        process = host.process

        def restart():
            if host.process is process:
                self.world.kill_host(host)

        self.world.scheduler.call_after(2_000, restart)

    def freeze_owner(self):
        host = self.world.get_owner_host()
        if host.process is None:
            return
        duration_ms = self.generator.randint(500, 8_000)
        self._note("freeze", host=host.name, duration_ms=duration_ms)
        host.process.frozen_until_ms = self.world.scheduler.now_ms + duration_ms

    def cut_owner_from_store(self):
        host = self.world.get_owner_host()
        duration_ms = self.generator.randint(500, 8_000)
        self._note("cut from store", host=host.name, duration_ms=duration_ms)
        host.store_cut_until = self.world.scheduler.now_ms + duration_ms

    def cut_owner_from_workers(self):
        host = self.world.get_owner_host()
        duration_ms = self.generator.randint(500, 8_000)
        self._note("cut from workers", host=host.name, duration_ms=duration_ms)
        host.workers_cut_until = self.world.scheduler.now_ms + duration_ms

    def slow_store(self):
        network = self.world.network
        network.slow_store_ms = self.generator.choice((0, 100, 400))
        self._note("store", extra_ms=network.slow_store_ms)

    def cut_worker(self):
        worker = self._choose_worker()
        duration_ms = self.generator.randint(500, 9_000)
        self._note("cut", worker=worker.info.id, duration_ms=duration_ms)
        worker.cut_until = self.world.scheduler.now_ms + duration_ms

    def replace_worker(self):
        if not self.crashes_left:
            return
        self.crashes_left -= 1
        worker = self._choose_worker()
        self._note("replace", worker=worker.info.id)
        worker.leave()
        self.world.scheduler.call_after(
            self.generator.choice((0, 3_000)),
            lambda: self.world.unlist_worker(worker),
        )
        self.world.scheduler.call_after(1_000, self.world.add_worker)

    def restart_worker(self):
        if not self.crashes_left:
            return
        self.crashes_left -= 1
        worker = self._choose_worker()
        down_ms = self.generator.randint(100, 1_500)
        self._note("restart", worker=worker.info.id, down_ms=down_ms)
        worker.restart()
        worker.cut_until = self.world.scheduler.now_ms + down_ms
        self.world.scheduler.call_after(
            self.generator.randint(0, 2_000),
            lambda: self.world.list_worker(worker),
        )

    def drain_worker(self):
        worker = self._choose_worker()
        if worker.info.draining_ms is not None:
            return
        self._note("drain", worker=worker.info.id)
        worker.info = worker.info._replace(draining_ms=3_000)
        self.world.list_worker(worker)

        def leave():
            worker.leave()
            self.world.unlist_worker(worker)

        self.world.scheduler.call_after(3_000, leave)
        self.world.add_worker()

    def lose_responses(self):
        self.world.network.loss = self.generator.choice((0, 0.1, 0.5))
        self._note("loss", share=self.world.network.loss)

    def delay_orders(self):
        self.world.network.late = self.generator.choice((0, 0.1, 0.4))
        self._note("late", share=self.world.network.late)

    def evacuate(self):
        rack = self.generator.choice(histories.RACKS)
        self._note("evacuate", rack=rack)
        self.world.evacuate(f"dc-{rack}")
        self.world.scheduler.call_after(
            self.generator.randint(500, 14_000),
            lambda: self.world.take_back(f"dc-{rack}"),
        )

    def cancel_job(self):
        if self.world.work.jobs:
            job_id = self.generator.choice(list(self.world.work.jobs))
            self._note("cancel", job=job_id)
            self.world.cancel(job_id)

    def end_faults(self):
        self._note("none")
        network = self.world.network
        network.loss = network.late = network.slow_store_ms = 0
        self.world.kill_after_takeover = 0.0
        for data_centre in list(self.world.evacuated_since_ms):
            self.world.take_back(data_centre)
        for worker in self.world.workers:
            worker.cut_until = 0
        for host in self.world.hosts:
            host.store_cut_until = host.workers_cut_until = 0
            if host.process is not None:
                host.process.frozen_until_ms = 0
            self.world.restore_host(host)

    # Checks.

    def wait_for_completion(self):
        """Check that work that can run does run, and all of it completes."""
        world = self.world
        start_ms = world.scheduler.now_ms
        waits = {}
        while world.list_unfinished() or waits or world.list_needless_runs():
            now_ms = world.scheduler.now_ms
            if now_ms > start_ms + COMPLETION_MS:
                world.work.fail(
                    f"not completed: {world.list_unfinished()}, "
                    f"needless: {world.list_needless_runs()}"
                )
                return
            world.work.calm = now_ms > start_ms + RECOVERY_MS
            idle = self._is_half_idle()
            waits = {
                name: waits.get(name, 0) + STEP_MS
                for name in world.list_inactive_work()
                if idle
            }
            longest_ms = max(waits.values(), default=0)
            self.longest_wait_ms = max(self.longest_wait_ms, longest_ms)
            if longest_ms > RECOVERY_MS:
                world.work.fail(f"nothing runs for {longest_ms} ms: {waits}")
                return
            world.scheduler.run_until(now_ms + STEP_MS)

    def _is_half_idle(self):
        work = self.world.work
        used = sum(
            work.get_step(name).need.accelerators for name in work.running
        )
        up = sum(worker.up for worker in self.world.workers)
        return 2 * used < up * simulatedfleet.CAPACITY.accelerators


@hypothesis.settings(max_examples=EXAMPLES)
@hypothesis.given(strategies.integers(0, 2**32 - 1))
def test_jobs_run_and_complete_after_any_changes_of_the_owner(seed):
    # A run that an owner holds and that never ends would hold its job.
    assert History(seed).play() == []


@hypothesis.settings(max_examples=EXAMPLES)
@hypothesis.given(strategies.integers(0, 2**32 - 1))
def test_nothing_starts_in_evacuated_data_centre_after_any_changes(seed):
    # A new owner, or one cut off from the store, does not know all requests.
    assert History(seed, evacuations=True).play() == []
