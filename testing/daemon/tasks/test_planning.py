"""Tests of the planner's input built from the owner's ledger."""

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest
from testing.daemon.tasks import fakefleet

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core import urgentdemand
from cyclamenshelf_core.workerprofiles import speeds
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import runends
from cyclamenshelf_daemon.tasks.endings import stops

NOW_MS = 100_000


def add_running_job(ledger, job_id, worker_id, since_ms, **values):
    """Add a job whose single task runs on a worker since a given time."""
    step = builders.make_step(1, 8, **values)
    job = builders.make_job(job_id, step, priority=2)
    progress = taskprogress.Progress("queue", "account")
    ledger.jobs[job_id] = ledgers.JobEntry(job, 1, progress, 1)
    task = taskjobs.Task(taskjobs.Group(job_id, 0, 0), 0)
    ledgers.add_run(ledger, ledgers.Run(task, 1, worker_id, since_ms))


def test_checkpointable_run_is_preempted_before_a_younger_run():
    # A checkpointable task keeps its work when stopped, however long it ran,
    # so its elapsed time must not count as lost work.
    ledger = ledgers.Ledger(1)
    add_running_job(ledger, "old", "w00", NOW_MS - 5_000, checkpointable=True)
    add_running_job(ledger, "young", "w10", NOW_MS - 500)
    urgent = builders.make_job("urgent", builders.make_step(1, 8), priority=0)
    capacities = builders.make_workers(
        2, 1, w00=taskjobs.NO_RESOURCES, w10=taskjobs.NO_RESOURCES
    )
    decision = taskplan.plan(
        [builders.make_waiting_group(urgent)],
        planning.list_allocations(ledger, conftest.LISTS, NOW_MS),
        capacities,
        {},
        {},
    )
    assert [stop.task.group.job_id for stop in decision.stops] == ["old"]


def add_job(ledger, tasks):
    job = builders.make_job("j", builders.make_step(tasks, 1))
    ledger.jobs["j"] = ledgers.JobEntry(
        job, 1, taskprogress.Progress("queue", "account"), 1
    )


def run_task(ledger, worker, index, run_ms):
    """Start a task of job j and apply its end after a run time."""
    task = taskjobs.Task(taskjobs.Group("j", 0, 0), index)
    run = ledgers.Run(task, index + 1, worker.info.id, NOW_MS - run_ms)
    ledgers.add_run(ledger, run)
    end = ports.EndedTask(
        index + 1,
        taskjobs.format_task(task),
        run.number,
        ports.EndKind.DONE,
        "",
    )
    runends.apply_ends(ledger, worker, (end,), NOW_MS, NOW_MS)


def make_worker(worker_id):
    worker = fleet.Worker(
        ports.WorkerInfo(
            worker_id,
            1,
            "",
            "service",
            "r0",
            frozenset(),
            builders.CAPACITY,
            None,
        ),
        max_lease_ms=6_000,
    )
    fleet.record_response(worker, NOW_MS, NOW_MS)
    return worker


def test_worker_is_slow_after_long_runs_of_whole_tasks():
    # Urgent tasks on it would miss their objectives.
    ledger, workers = ledgers.Ledger(1), [make_worker("w0"), make_worker("w1")]
    add_job(ledger, 20)
    for index in range(12):
        run_task(ledger, workers[index % 2], index, 500 + 500 * (index % 2))
    speeds.update(ledger.speeds)
    speeds.update(ledger.speeds)
    capacities = planning.list_free_capacity(ledger, workers, NOW_MS)
    assert capacities["w0"].rank < capacities["w1"].rank


def test_run_that_ends_after_its_job_teaches_nothing():
    # A stopped run may be listed as done long after its work has ended.
    ledger, worker = ledgers.Ledger(1), make_worker("w0")
    add_job(ledger, 2)
    entry = ledger.jobs["j"]
    run_task(ledger, worker, 0, 500)
    stops.end_job(ledger, entry, taskprogress.State.CANCELLED, NOW_MS, "test")
    run_task(ledger, worker, 1, 500)
    (group,) = ledger.speeds.groups.values()
    assert len(group.samples) == 1


def test_group_is_preempting_until_all_its_tasks_start():
    # Only as long as it waits may it come before more urgent groups.
    ledger = ledgers.Ledger(1)
    add_job(ledger, 2)
    group = taskjobs.Group("j", 0, 0)
    other = taskjobs.Task(taskjobs.Group("low", 0, 0), 0)
    start = planstate.Start(group, ((0, "w0"),))
    times = planning.Times(NOW_MS, NOW_MS)

    def is_preempting():
        waiting = planning.list_waiting(ledger, conftest.LISTS, times, set())
        return waiting[0].preempting

    assert not is_preempting()
    stops = [planstate.Stop(other, group)]
    planning.record_preempting_groups(
        ledger, taskplan.Plan([start], stops, [group]), NOW_MS
    )
    assert is_preempting()
    planning.record_preempting_groups(
        ledger, taskplan.Plan([start], [], [group]), NOW_MS
    )
    assert is_preempting()
    planning.record_preempting_groups(
        ledger, taskplan.Plan([start], [], []), NOW_MS
    )
    assert not is_preempting()


def test_urgent_demand_counts_running_and_waiting_tasks():
    # With the waiting tasks left out, a burst that has to wait would not show.
    ledger, worker = ledgers.Ledger(1), make_worker("w0")
    add_job(ledger, 4)
    entry = ledger.jobs["j"]
    entry.job = entry.job._replace(priority=0)
    task = taskjobs.Task(taskjobs.Group("j", 0, 0), 0)
    run = ledgers.Run(task, 1, worker.info.id, NOW_MS)
    ledgers.add_run(ledger, run)
    planning.update_fleet(ledger, [worker])
    waiting = [builders.make_waiting_group(entry.job, indexes=(1, 2, 3))]
    planning.record_urgent_demand(ledger, waiting, NOW_MS)
    ledgers.remove_run(ledger, run)
    headroom = urgentdemand.compute_headroom(ledger.urgent_demand, NOW_MS)
    assert headroom == {"service": 4}


HOPELESS = builders.make_step(4, 1, label="unknown")


def add_urgent_job(ledger, job_id, step):
    job = builders.make_job(job_id, step, priority=0)
    entry = ledgers.JobEntry(
        job, 1, taskprogress.Progress("queue", "account"), 1
    )
    ledger.jobs[job_id] = entry
    return builders.make_waiting_group(job)


def test_urgent_work_that_can_never_run_is_no_demand():
    # Idle workers were kept free for it as long as it existed.
    ledger = ledgers.Ledger(1)
    planning.update_fleet(ledger, [make_worker("w0")])
    waiting = [add_urgent_job(ledger, "j", HOPELESS)]
    planning.record_urgent_demand(ledger, waiting, NOW_MS)
    headroom = urgentdemand.compute_headroom(ledger.urgent_demand, NOW_MS)
    assert not any(headroom.values())


def test_work_can_run_once_a_worker_with_its_label_is_listed():
    ledger = ledgers.Ledger(1)
    waiting = add_urgent_job(ledger, "j", HOPELESS)
    planning.update_fleet(ledger, [make_worker("w0")])
    assert not planning.can_run(ledger, waiting)
    other = make_worker("w1")
    other.info = other.info._replace(labels=frozenset({"unknown"}))
    planning.update_fleet(ledger, [make_worker("w0"), other])
    assert planning.can_run(ledger, waiting)
    other.info = other.info._replace(draining_ms=1_000)
    planning.update_fleet(ledger, [make_worker("w0"), other])
    assert not planning.can_run(ledger, waiting)


def test_work_that_can_never_run_takes_no_guarantee():
    # A later job of the account could not reclaim its accelerators.
    ledger = ledgers.Ledger(1)
    planning.update_fleet(ledger, [make_worker("w0")])
    add_urgent_job(ledger, "j1", builders.make_step(8, 1, label="unknown"))
    add_urgent_job(ledger, "j2", builders.make_step(8, 1))
    assert planning.list_guaranteed_jobs(ledger, conftest.LISTS) == {"j2"}


def test_running_job_keeps_its_guarantee_when_its_workers_drain():
    # Its tasks could then be stopped for other work of its account.
    ledger, worker = ledgers.Ledger(1), make_worker("w0")
    add_urgent_job(ledger, "j", builders.make_step(1, 8))
    task = taskjobs.Task(taskjobs.Group("j", 0, 0), 0)
    ledgers.add_run(ledger, ledgers.Run(task, 1, "w0", NOW_MS))
    worker.info = worker.info._replace(draining_ms=1_000)
    planning.update_fleet(ledger, [worker])
    assert planning.list_guaranteed_jobs(ledger, conftest.LISTS) == {"j"}


def test_group_has_waited_since_it_first_found_no_room():
    ledger = ledgers.Ledger(1)
    add_job(ledger, 2)
    group = taskjobs.Group("j", 0, 0)
    start = planstate.Start(group, ((0, "w0"),))

    def get_waited_ms(now_ms):
        times = planning.Times(now_ms, now_ms)
        waiting = planning.list_waiting(ledger, conftest.LISTS, times, set())
        return waiting[0].waited_ms

    for now_ms in (NOW_MS, NOW_MS + 500):
        plan = taskplan.Plan([start], [], [group])
        planning.record_blocked_groups(ledger, plan, now_ms)
    assert get_waited_ms(NOW_MS + 600) == 600
    planning.record_blocked_groups(
        ledger, taskplan.Plan([start], [], []), NOW_MS + 700
    )
    assert get_waited_ms(NOW_MS + 800) == 0


@pytest.mark.parametrize(
    ("phase", "long_running", "expected_ms"),
    [
        (ledgers.Phase.RUNNING, False, 0),
        (ledgers.Phase.PLANNED, False, 0),
        (ledgers.Phase.STOPPING, False, 4_000),
        (ledgers.Phase.LOST, False, 4_000),
        (ledgers.Phase.RUNNING, True, 4_000),
    ],
)
def test_job_waits_for_room_only_while_nothing_of_it_runs(
    phase, long_running, expected_ms
):
    # Tasks that left their rack while others of the job ran were only slower.
    ledger = ledgers.Ledger(1)
    job = builders.make_job(
        "j", builders.make_step(2, 8, long_running=long_running)
    )
    progress = taskprogress.Progress("queue", "account")
    entry = ledgers.JobEntry(job, 1, progress, 1)
    ledger.jobs["j"] = entry
    group = taskjobs.Group("j", 0, 0)
    entry.blocked_since_ms[group] = NOW_MS - 4_000
    run = ledgers.Run(taskjobs.Task(group, 0), 1, "w00", NOW_MS)
    run.phase = phase
    ledgers.add_run(ledger, run)
    times = planning.Times(NOW_MS, NOW_MS)
    (waiting,) = planning.list_waiting(ledger, conftest.LISTS, times, set())
    assert waiting.waited_ms == expected_ms


def test_nothing_is_reserved_for_a_stop_that_takes_long():
    # A gang kept idle workers for a run whose stop was never acknowledged.
    ledger = ledgers.Ledger(1)
    add_running_job(ledger, "old", "w00", NOW_MS - 9_000)
    (run,) = ledger.runs.values()
    run.phase = ledgers.Phase.STOPPING
    for first_stop_ms, accelerators in ((NOW_MS - 500, 8), (NOW_MS - 3_000, 0)):
        run.first_stop_ms = first_stop_ms
        (held,) = planning.list_allocations(ledger, conftest.LISTS, NOW_MS)
        assert held.stopping
        assert held.need.accelerators == accelerators


def test_workers_of_isolated_tasks_count_as_capacity_of_their_service():
    # Without them, a service of which three eighths were in use was no idle
    # one, and work waited beside it.
    ledger = ledgers.Ledger(1)
    workers = [make_worker(f"w{number}") for number in range(6)]
    for worker in workers:
        worker.last_response_ms = NOW_MS
    for number, accelerators in enumerate((1, 1, 8, 4, 4)):
        step = builders.make_step(1, accelerators)
        job = builders.make_job(f"j{number}", step)
        progress = taskprogress.Progress("queue", "account")
        ledger.jobs[job.id] = ledgers.JobEntry(job, 1, progress, 1)
        task = taskjobs.Task(taskjobs.Group(job.id, 0, 0), 0)
        ledgers.add_run(
            ledger,
            ledgers.Run(task, 1, f"w{number}", NOW_MS, isolated=number < 2),
        )
    idle = planning.list_idle_services(ledger, workers, NOW_MS)
    assert idle == {workers[0].info.service}


def count_startable(step, phases):
    """Return how many tasks of a step can start beside runs in some phases."""
    ledger = ledgers.Ledger(1)
    job = builders.make_job("j", step)
    ledger.jobs["j"] = ledgers.JobEntry(
        job, 1, taskprogress.Progress("queue", "account"), 1
    )
    for index, phase in enumerate(phases):
        task = taskjobs.Task(taskjobs.Group("j", 0, 0), index)
        run = ledgers.Run(task, 1, "w0", NOW_MS)
        run.phase = phase
        ledgers.add_run(ledger, run)
    times = planning.Times(NOW_MS, NOW_MS)
    waiting = planning.list_waiting(ledger, conftest.LISTS, times, set())
    return sum(len(group.indexes) for group in waiting)


@pytest.mark.parametrize(
    ("step", "phases", "startable"),
    [
        (builders.make_step(4_000), [], 256),
        (builders.make_step(4_000), [ledgers.Phase.STARTING] * 200, 56),
        (builders.make_step(4_000), [ledgers.Phase.PLANNED] * 256, 0),
        (builders.make_step(4_000), [ledgers.Phase.RUNNING] * 3_000, 256),
        (builders.make_step(300, gang=True), [], 300),
    ],
    ids=["none", "starting", "planned", "running", "gang"],
)
def test_large_step_does_not_fill_the_queue_of_starts(step, phases, startable):
    # The starts of other jobs waited behind thousands of its own.
    assert count_startable(step, phases) == startable


def test_run_times_on_a_cold_worker_are_not_compared():
    # Its first tasks, which are slow only for a time, decided its speed.
    ledger = ledgers.Ledger(1)
    add_job(ledger, 3)
    worker = fleet.Worker(
        fakefleet.FakeWorker("w0").info._replace(cold_ms=1_000), 6_000
    )
    fleet.record_cold_time(worker, NOW_MS - 5_000)
    run_task(ledger, worker, 0, 4_500)
    assert not ledger.speeds.groups
    run_task(ledger, worker, 1, 3_500)
    assert ledger.speeds.groups


def test_cold_worker_is_slow_until_its_time_is_over():
    worker = fleet.Worker(
        fakefleet.FakeWorker("w0").info._replace(cold_ms=1_000), 6_000
    )
    fleet.record_response(worker, 1, NOW_MS)
    fleet.record_cold_time(worker, NOW_MS)
    for now_ms, slow in ((NOW_MS + 999, True), (NOW_MS + 1_000, False)):
        capacities = planning.list_free_capacity(
            ledgers.Ledger(1), [worker], now_ms
        )
        assert capacities["w0"].slow is slow
