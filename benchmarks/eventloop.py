"""Discrete-event simulation that applies a policy's decisions to a trace.

A preempted job stops after 2 s and keeps its progress, as checkpointable jobs
do. A job on a lost worker stops after 12 s, the duration of the task lease,
and restarts from the beginning.
"""

from collections.abc import Callable
import heapq
from typing import NamedTuple

from benchmarks import tracefiles

from cyclamenshelf_core import policy

_PREEMPTION_DELAY_MS = 2_000
_TASK_LEASE_MS = 12_000
# The policy decides at least this often while jobs are queued.
_MAX_DECISION_INTERVAL_MS = 30_000

Policy = Callable[[policy.Snapshot], list[policy.Decision]]


class CompletedJob(NamedTuple):
    """A job that ran to completion."""

    arrival: tracefiles.Arrival
    first_start_ms: int
    end_ms: int


class Run(NamedTuple):
    """An interval in which a job had accelerators allocated."""

    arrival: tracefiles.Arrival
    start_ms: int
    end_ms: int


class Simulation:
    """State of the replay of one trace."""

    def __init__(
        self,
        trace: tracefiles.Trace,
        decide: Policy,
        observe: Callable[["Simulation"], None],
    ) -> None:
        self.trace = trace
        self.decide = decide
        self.observe = observe
        self.now_ms = 0
        self.arrivals = {a.job.id: a for a in trace.arrivals}
        self.remaining_ms = {a.job.id: a.run_ms for a in trace.arrivals}
        self.workers = dict(trace.workers)
        self.queued: dict[str, tracefiles.Arrival] = {}
        self.running: dict[str, policy.RunningJob] = {}
        self.first_starts_ms: dict[str, int] = {}
        self.attempts: dict[str, int] = {}
        self.completed_jobs: list[CompletedJob] = []
        self.runs: list[Run] = []
        self.preemption_count = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.event_count = 0


def replay(
    trace: tracefiles.Trace,
    decide: Policy,
    observe: Callable[[Simulation], None],
) -> Simulation:
    """Replay a trace until its last job has ended.

    Args:
        trace: The trace.
        decide: The policy.
        observe: Called each time the policy's decisions have been applied.
    """
    simulation = Simulation(trace, decide, observe)
    for arrival in trace.arrivals:
        _schedule_event(
            simulation, arrival.at_ms, _make_arrival_action(simulation, arrival)
        )
    for fault in trace.faults:
        _schedule_event(
            simulation, fault.at_ms, _make_fault_action(simulation, fault)
        )
    while simulation.events:
        simulation.now_ms = simulation.events[0][0]
        while simulation.events and (
            simulation.events[0][0] == simulation.now_ms
        ):
            heapq.heappop(simulation.events)[2]()
        _apply_decisions(simulation)
    return simulation


def _schedule_event(
    simulation: Simulation, at_ms: int, action: Callable[[], None]
) -> None:
    simulation.event_count += 1
    heapq.heappush(simulation.events, (at_ms, simulation.event_count, action))


def _make_arrival_action(
    simulation: Simulation, arrival: tracefiles.Arrival
) -> Callable[[], None]:
    def enqueue() -> None:
        simulation.queued[arrival.job.id] = arrival

    return enqueue


def _make_fault_action(
    simulation: Simulation, fault: tracefiles.Fault
) -> Callable[[], None]:
    def apply_fault() -> None:
        for worker_id in fault.workers:
            if fault.lost:
                simulation.workers.pop(worker_id, None)
            else:
                worker = simulation.trace.workers[worker_id]
                simulation.workers[worker_id] = worker
        for job_id, running_job in list(simulation.running.items()):
            if fault.lost and any(
                part.worker_id in fault.workers
                for part in running_job.placement
            ):
                simulation.remaining_ms[job_id] = simulation.arrivals[
                    job_id
                ].run_ms
                _begin_stop(
                    simulation, job_id, _TASK_LEASE_MS, keep_progress=False
                )

    return apply_fault


def _begin_stop(
    simulation: Simulation, job_id: str, delay_ms: int, keep_progress: bool
) -> None:
    running_job = simulation.running[job_id]
    if running_job.stopping:
        return
    if keep_progress:
        simulation.remaining_ms[job_id] -= (
            simulation.now_ms - running_job.since_ms
        )
    simulation.running[job_id] = running_job._replace(stopping=True)
    simulation.attempts[job_id] += 1

    def requeue() -> None:
        _record_run(simulation, job_id)
        simulation.queued[job_id] = simulation.arrivals[job_id]

    _schedule_event(simulation, simulation.now_ms + delay_ms, requeue)


def _record_run(simulation: Simulation, job_id: str) -> None:
    running_job = simulation.running.pop(job_id)
    simulation.runs.append(
        Run(
            simulation.arrivals[job_id], running_job.since_ms, simulation.now_ms
        )
    )


def _apply_decisions(simulation: Simulation) -> None:
    snapshot = policy.Snapshot(
        simulation.now_ms,
        simulation.trace.lists,
        dict(simulation.workers),
        [
            arrival.job
            for arrival in sorted(
                simulation.queued.values(),
                key=lambda arrival: (arrival.at_ms, arrival.job.id),
            )
        ],
        dict(simulation.running),
    )
    for decision in simulation.decide(snapshot):
        if isinstance(decision, policy.Start):
            _start_job(simulation, decision)
        elif isinstance(decision, policy.Preempt):
            simulation.preemption_count += 1
            _begin_stop(
                simulation,
                decision.job_id,
                _PREEMPTION_DELAY_MS,
                keep_progress=True,
            )
    simulation.observe(simulation)
    if simulation.queued and (
        not simulation.events
        or simulation.events[0][0]
        > simulation.now_ms + _MAX_DECISION_INTERVAL_MS
    ):
        if not simulation.events and not simulation.running:
            raise RuntimeError(
                f"{len(simulation.queued)} jobs are queued, but no job is"
                " running and no event is left"
            )
        _schedule_event(
            simulation,
            simulation.now_ms + _MAX_DECISION_INTERVAL_MS,
            lambda: None,
        )


def _start_job(simulation: Simulation, start: policy.Start) -> None:
    job_id = start.job_id
    arrival = simulation.queued.pop(job_id)
    simulation.running[job_id] = policy.RunningJob(
        arrival.job, start.placement, simulation.now_ms
    )
    simulation.first_starts_ms.setdefault(job_id, simulation.now_ms)
    attempt = simulation.attempts.setdefault(job_id, 1)

    def complete() -> None:
        if simulation.attempts[job_id] != attempt:
            return
        _record_run(simulation, job_id)
        simulation.completed_jobs.append(
            CompletedJob(
                arrival, simulation.first_starts_ms[job_id], simulation.now_ms
            )
        )

    _schedule_event(
        simulation,
        simulation.now_ms + max(1, simulation.remaining_ms[job_id]),
        complete,
    )
