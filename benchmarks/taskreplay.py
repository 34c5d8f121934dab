"""Replay a load of jobs of steps through the task planner.

Run as a module: python -m benchmarks.taskreplay

Usage: taskreplay [--seeds=N] [--load=NAME]

Options:
  --seeds=N    Number of seeds of each load [default: 3].
  --load=NAME  Play only this load.

The owner's ledger and planner decide; workers, stops and reports are simulated
on a clock of their own. The report gives, for each kind of job, the jobs that
ended in time, late (within three times the objective) and not at all, and the
share of the worth that was earned; for the whole load the stops, the jobs that
they were made for, and the core-seconds of lost work.
"""

import heapq
import itertools
import random

from benchmarks import taskloads
from benchmarks import taskoutcomes
import docopt
import loguru

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core import urgentdemand
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import planning
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues
from cyclamenshelf_daemon.tasks import runends
from cyclamenshelf_daemon.tasks.endings import stops

# Jobs that have not ended this long after the last arrival count as not served.
_FINISH_MS = 15_000
_START_DELAYS_MS = (40, 200)
_STOP_DELAYS_MS = (100, 800)
_REPORT_DELAY_MS = 100
_DECISION_PAUSE_MS = 40
_TICK_MS = 200
_RESTORE_MS = 600
_REMOTE_FACTOR = 3
_SPEEDS = (1.0, 1.0, 1.3)
_CORES_PER_ACCELERATOR = 8


class _Execution:
    """A run on a simulated worker.

    Attributes:
        begins_ms: When its work starts; for a gang, that of all members.
        ends_ms: When it ends, unless it is stopped before.
    """

    def __init__(self, run: ledgers.Run) -> None:
        self.run = run
        self.begins_ms = 0
        self.ends_ms = 0
        self.kind = ports.EndKind.DONE
        self.ended = False


class _Replay:
    """State of one replay."""

    def __init__(self, load: taskloads.Load, seed: int) -> None:
        self.load = load
        self.arrivals = taskloads.make_arrivals(load, seed)
        self.seed = seed
        self.now_ms = 0
        self.events: list[tuple] = []
        self.sequence = itertools.count()
        self.ledger = ledgers.Ledger(1)
        self.workers = _make_workers(load)
        self.speeds = {
            worker_id: _SPEEDS[number % len(_SPEEDS)]
            for number, worker_id in enumerate(self.workers)
        }
        self.lists = queues.Lists(
            1,
            1,
            tuple(
                queues.Queue(
                    kind.name,
                    "h",
                    f"/{kind.name}/",
                    "s",
                    kind.priority,
                    3,
                    kind.slowdown_factor,
                    kind.target_latency_ms,
                    False,
                )
                for kind in load.kinds
            ),
            (),
        )
        self.by_job = {a.job.id: a for a in self.arrivals}
        self.executions: dict[taskjobs.Task, _Execution] = {}
        self.saved_ms: dict[taskjobs.Task, int] = {}
        self.started_ms: dict[str, int] = {}
        self.ended_ms: dict[str, int] = {}
        self.end_numbers = dict.fromkeys(self.workers, 0)
        self.changed = False
        self.attempts: dict[tuple[taskjobs.Task, str], int] = {}
        self.decide_at_ms = 0
        self.stops = 0
        self.beneficiaries: set[taskjobs.Group] = set()
        self.lost_core_ms = 0.0
        self.used_core_ms = 0.0


def replay(load: taskloads.Load, seed: int) -> taskoutcomes.Result:
    """Play a load and return what the callers got."""
    state = _Replay(load, seed)
    for arrival in state.arrivals:
        _schedule(state, arrival.at_ms, _arrive, arrival)
    end_ms = int(load.length_s * 1000) + _FINISH_MS
    for at_ms in range(0, end_ms, _TICK_MS):
        _schedule(state, at_ms, _tick)
    while state.events and state.events[0][0] <= end_ms:
        state.now_ms, _, call, arguments = heapq.heappop(state.events)
        call(state, *arguments)
        if state.changed:
            state.changed = False
            due_ms = max(state.now_ms, state.decide_at_ms)
            state.decide_at_ms = due_ms + _DECISION_PAUSE_MS
            _schedule(state, due_ms, _decide)
    return _summarize(state)


def _schedule(state: _Replay, at_ms: int, call, *arguments) -> None:
    entry = (at_ms, next(state.sequence), call, arguments)
    heapq.heappush(state.events, entry)


def _make_workers(load: taskloads.Load) -> dict[str, fleet.Worker]:
    workers: dict[str, fleet.Worker] = {}
    for number in range(load.workers):
        info = ports.WorkerInfo(
            f"w{number:04}",
            1,
            "",
            "s",
            f"r{number // load.workers_per_rack}",
            frozenset(),
            load.capacity,
            None,
        )
        workers[info.id] = fleet.Worker(info, max_lease_ms=6_000)
    return workers


def _arrive(state: _Replay, arrival: taskloads.Arrival) -> None:
    job = arrival.job
    progress = taskprogress.Progress(job.queue, job.account)
    state.ledger.jobs[job.id] = ledgers.JobEntry(job, 1, progress, 1)
    state.changed = True


def _tick(state: _Replay) -> None:
    for worker in state.workers.values():
        fleet.record_response(worker, state.now_ms, state.now_ms)
    state.changed = True


def _decide(state: _Replay) -> None:
    times = planning.Times(state.now_ms, state.now_ms)
    ledger, lists = state.ledger, state.lists
    planning.update_fleet(ledger, state.workers.values())
    waiting = planning.list_waiting(ledger, lists, times, set())
    if not waiting:
        return
    planning.record_urgent_demand(ledger, waiting, state.now_ms)
    plan = taskplan.plan(
        [entry for entry in waiting if planning.can_run(ledger, entry)],
        planning.list_allocations(ledger, lists, state.now_ms),
        planning.list_free_capacity(
            ledger, state.workers.values(), state.now_ms
        ),
        ledger.step_counts,
        urgentdemand.compute_headroom(ledger.urgent_demand, state.now_ms),
    )
    planning.record_preempting_groups(ledger, plan, state.now_ms)
    planning.record_blocked_groups(ledger, plan, state.now_ms)
    for stop in plan.stops:
        stops.stop_run(ledger, ledger.runs[stop.task], "preempted")
        state.stops += 1
        state.beneficiaries.add(stop.beneficiary)
    for start in plan.starts:
        _start(state, start)
    _send_stops(state)


def _start(state: _Replay, start: planstate.Start) -> None:
    number = ledgers.allocate_run_number(state.ledger)
    arrival = state.by_job[start.group.job_id]
    step = arrival.job.steps[start.group.step]
    state.started_ms.setdefault(arrival.job.id, state.now_ms)
    started: list[_Execution] = []
    for index, worker_id in start.placements:
        task = taskjobs.Task(start.group, index)
        run = ledgers.Run(task, number, worker_id, state.now_ms)
        run.phase = ledgers.Phase.RUNNING
        ledgers.add_run(state.ledger, run)
        execution = _Execution(run)
        execution.begins_ms = state.now_ms + _draw(
            state, task, "start"
        ).randint(*_START_DELAYS_MS)
        state.executions[task] = execution
        started.append(execution)
    racks = {state.workers[e.run.worker_id].info.rack for e in started}
    if step.gang:
        begins_ms = max(e.begins_ms for e in started)
        length_ms = max(
            _get_length_ms(state, e, step, racks, arrival) for e in started
        )
        draw = _draw(state, started[0].run.task, "end").random()
        failed = draw < arrival.kind.failure_share
        for position, execution in enumerate(started):
            execution.begins_ms = begins_ms
            execution.ends_ms = begins_ms + length_ms
            if failed:
                execution.kind = (
                    ports.EndKind.BROKEN if position else ports.EndKind.FAILED
                )
    else:
        for execution in started:
            execution.ends_ms = execution.begins_ms + _get_length_ms(
                state, execution, step, racks, arrival
            )
            draw = _draw(state, execution.run.task, "end").random()
            if draw < arrival.kind.failure_share:
                execution.kind = ports.EndKind.FAILED
    for execution in started:
        at_ms = execution.ends_ms + _REPORT_DELAY_MS
        _schedule(state, at_ms, _end, execution, execution.kind)


def _get_length_ms(state, execution, step, racks, arrival) -> int:
    task = execution.run.task
    saved_ms = state.saved_ms.get(task, 0)
    left_ms = arrival.run_ms[task.group.step][task.index] - saved_ms
    rack = state.workers[execution.run.worker_id].info.rack
    far = step.data_rack and rack != step.data_rack
    spread = step.gang and step.same_rack and len(racks) > 1
    left_ms *= state.speeds[execution.run.worker_id]
    if far or spread:
        left_ms *= _REMOTE_FACTOR
    return int(left_ms) + (_RESTORE_MS if saved_ms else 0)


def _draw(state: _Replay, task: taskjobs.Task, event: str) -> random.Random:
    """Return a generator that depends on the task and its attempt only.

    Two policies then meet the same failures and delays.
    """
    state.attempts[task, event] = state.attempts.get((task, event), 0) + 1
    attempt = state.attempts[task, event]
    name = taskjobs.format_task(task)
    return random.Random(f"{state.seed} {name} {event} {attempt}")


def _send_stops(state: _Replay) -> None:
    stops, state.ledger.stops = state.ledger.stops, []
    for run in stops:
        at_ms = state.now_ms + _draw(state, run.task, "stop").randint(
            *_STOP_DELAYS_MS
        )
        execution = state.executions[run.task]
        _schedule(state, at_ms, _end, execution, ports.EndKind.STOPPED)


def _end(state: _Replay, execution: _Execution, kind: ports.EndKind) -> None:
    if execution.ended:
        return
    execution.ended = True
    run = execution.run
    worked_ms = max(
        0, min(state.now_ms, execution.ends_ms) - execution.begins_ms
    )
    entry = state.ledger.jobs[run.task.group.job_id]
    step = entry.job.steps[run.task.group.step]
    cores = step.need.cpu_millis / 1000
    cores += _CORES_PER_ACCELERATOR * step.need.accelerators
    state.used_core_ms += cores * worked_ms
    checkpoint = ""
    if kind is ports.EndKind.STOPPED:
        if step.checkpointable:
            speed = state.speeds[run.worker_id]
            saved_ms = state.saved_ms.get(run.task, 0) + int(worked_ms / speed)
            limit_ms = state.by_job[entry.job.id].run_ms[0][run.task.index] - 1
            state.saved_ms[run.task] = min(limit_ms, saved_ms)
            checkpoint = f"{saved_ms:09}"
            worked_ms = min(worked_ms, _RESTORE_MS)
        state.lost_core_ms += cores * worked_ms
    worker = state.workers[run.worker_id]
    state.end_numbers[run.worker_id] += 1
    end = ports.EndedTask(
        state.end_numbers[run.worker_id],
        taskjobs.format_task(run.task),
        run.number,
        kind,
        checkpoint,
    )
    runends.apply_ends(state.ledger, worker, (end,), state.now_ms, state.now_ms)
    worker.quarantined_until_ms = 0
    state.changed = True
    if entry.progress.state in taskprogress.ENDED:
        state.ended_ms.setdefault(entry.job.id, state.now_ms)
    _send_stops(state)


def _summarize(state: _Replay) -> taskoutcomes.Result:
    times = {
        job_id: taskoutcomes.JobTimes(
            state.started_ms.get(job_id), _get_completed_ms(state, job_id)
        )
        for job_id in state.by_job
    }
    return taskoutcomes.Result(
        taskoutcomes.summarize_kinds(
            state.load, state.arrivals, times, state.now_ms
        ),
        taskoutcomes.compute_worth(state.arrivals, times),
        state.stops,
        len(state.beneficiaries),
        state.lost_core_ms / 1000,
        state.used_core_ms / 1000,
    )


def _get_completed_ms(state: _Replay, job_id: str) -> int | None:
    entry = state.ledger.jobs.get(job_id)
    if entry is None or entry.progress.state is not (
        taskprogress.State.COMPLETED
    ):
        return None
    return state.ended_ms[job_id]


def main() -> None:
    """Play the loads and print what the callers got."""
    arguments = docopt.docopt(__doc__)
    loguru.logger.remove()
    for name, load in taskloads.LOADS.items():
        if arguments["--load"] not in (None, name):
            continue
        for seed in range(1, int(arguments["--seeds"]) + 1):
            result = replay(load, seed)
            line = taskoutcomes.format_result(name, seed, result)
            print(line, flush=True)


if __name__ == "__main__":
    main()
