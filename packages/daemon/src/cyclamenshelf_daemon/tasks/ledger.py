"""The owner's table of jobs and of the runs allocated on workers."""

import collections
import enum
from typing import Any

from cyclamenshelf_core import feasibility
from cyclamenshelf_core import progresspages
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_core import urgentdemand
from cyclamenshelf_core import workerlosses
from cyclamenshelf_core.stopping import losses
from cyclamenshelf_core.workerprofiles import runestimates
from cyclamenshelf_core.workerprofiles import runprogress
from cyclamenshelf_core.workerprofiles import speeds

_RUNS_PER_EPOCH = 1_000_000


# Job, step and worker.
StepKey = tuple[str, int, str]


class Phase(enum.Enum):
    """Progress of a run as the owner has recorded it."""

    # Not sent yet: its worker has to be stored with the job first.
    PLANNED = enum.auto()
    STARTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()
    # The start was not acknowledged and may still be carried out; an
    # acknowledged stop rules that out.
    LOST = enum.auto()


class Run:
    """A run of a task, which uses resources of a worker or may do so.

    Attributes:
        name: Name of the task in requests to workers.
        number: Number of the run; increases with each run of a task.
        since_ms: Monotonic time of the decision to start it, and of the
            start order once that is sent.
        acked_ms: Monotonic time at which the worker first confirmed the run.
        stored: Whether its worker is stored with the job.
        listed: Whether its worker has listed it as running, so it is known
            which incarnation of the worker has started it.
        at_work: Whether a long-running task has started up.
        stop_acked_ms: Monotonic time at which a stop was acknowledged.
        stop_failed_ms: Monotonic time at which a stop was last left without
            an acknowledgement; None while one is on its way, which may be long
            where thousands wait for their turn.
        first_stop_ms: Monotonic time at which a stop was first sent.
        checkpoint: Latest checkpoint that the worker has listed.
        resumed_ms: Work that the checkpoint saves from which it was started,
            as far as it is known.
        progress: Progress of its work that the worker has reported.
        reason: Why it is being stopped.
        isolated: Whether its worker gets no other tasks meanwhile.
        off_rack: Whether it was started off the rack that its step prefers.
        pace_percent: Pace that its worker has confirmed; None if unknown.
        pace_pending: Whether an order of a pace is on its way.
        pace_ordered: Whether its pace may be lower than that of a new run.
    """

    def __init__(
        self,
        task: taskjobs.Task,
        number: int,
        worker_id: str,
        now_ms: int,
        isolated: bool = False,
    ) -> None:
        self.task = task
        self.name = taskjobs.format_task(task)
        self.number = number
        self.worker_id = worker_id
        self.phase = Phase.PLANNED
        self.since_ms = now_ms
        self.stored = False
        self.acked_ms: int | None = None
        self.listed = False
        self.at_work = False
        self.stop_acked_ms: int | None = None
        self.stop_failed_ms: int | None = None
        self.first_stop_ms: int | None = None
        self.checkpoint = ""
        self.resumed_ms = 0
        self.progress: runprogress.Progress | None = None
        self.reason = ""
        self.isolated = isolated
        self.off_rack = False
        self.pace_percent: int | None = None
        self.pace_pending = False
        self.pace_ordered = False


class JobEntry:
    """A job with its stored progress.

    Attributes:
        row_version: Version of the job's row; later jobs have higher ones.
        layout: How its progress is divided into pages.
        page_versions: Version of each page that is stored.
        dirty: Whether its progress has to be written.
        changed_pages: Pages that differ from the stored ones, in the order
            of their first change. Page 0 is written with any other page.
        written_ms: Monotonic time at which it was last passed to the writer.
        has_queued_row: Whether its row in the table of queued jobs exists.
        not_before_ms: Monotonic time before which a group is not started.
        preempting: Groups that wait for tasks that were stopped for them,
            with the monotonic time of the first stop.
        deferring: Groups that wait for other tasks to end rather than have
            any stopped, with the monotonic time since when.
        blocked_since_ms: Groups with ready tasks that found no room, with the
            monotonic time since when.
        unstored_ends: By page, the first end on each worker whose effects are
            not stored: start time of the worker and number of the end.
        saved_work_ms: Work that the latest checkpoint of a task saves, by task
            as in its progress. A new owner knows none of it.
        rejections: Number of times in a row that the store has rejected the
            progress for good.
        rejected_until_ms: Monotonic time until which the progress is not
            written again, and no task is started, after a rejection.
    """

    def __init__(
        self,
        job: taskjobs.TaskJob,
        row_version: int,
        progress: taskprogress.Progress,
        progress_version: int,
        max_row_bytes: int = progresspages.DEFAULT_MAX_ROW_BYTES,
    ) -> None:
        self.job = job
        self.row_version = row_version
        self.progress = progress
        self.layout = progresspages.make_layout(
            job, max_row_bytes, progress.page_tasks
        )
        self.page_versions = {0: progress_version}
        self.dirty = False
        self.changed_pages: dict[int, None] = {}
        self.written_ms = 0
        self.has_queued_row = (
            progress.state is taskprogress.State.QUEUED and not progress.timed
        )
        self.not_before_ms: dict[taskjobs.Group, int] = {}
        self.preempting: dict[taskjobs.Group, int] = {}
        self.deferring: dict[taskjobs.Group, int] = {}
        self.blocked_since_ms: dict[taskjobs.Group, int] = {}
        self.unstored_ends: dict[int, dict[str, tuple[int, int]]] = {}
        self.saved_work_ms: dict[taskjobs.Task, int] = {}
        self.rejections = 0
        self.rejected_until_ms = 0


class Ledger:
    """All jobs and runs of a tenure.

    Attributes:
        by_name: Runs by the name of their task, which workers list.
        by_group: Runs by group; `by_job` and `by_worker` index the same runs.
        used: Resources allocated to runs, by worker.
        step_counts: Number of runs by job, step and worker. The runs of all
            occurrences of a job are counted together.
        run_count: Run numbers allocated so far.
        stops: Runs for which a stop has to be sent.
        adopted_gangs: Gangs with runs of an earlier owner of which it is not
            known yet whether all members run.
        isolated_runs: Number of isolated runs by worker.
        lost_workers: Workers that were lost, by the same key.
        suspected_runs: Runs that were recorded as lost, by the worker and the
            start time of its incarnation.
        speeds: What is known of workers; `run_times` likewise of steps.
        urgent_demand: Recent demand of priority 0.
        fleet: Workers by which it is decided whether work can ever run.
        stop_terms: How workers stop tasks and resume them.
        best_effort_room: Workers whose latency-sensitive tasks leave room for
            best-effort ones beside them; None if workers can't slow tasks
            down.
    """

    def __init__(
        self, epoch: int, stop_terms: losses.StopTerms = losses.DEFAULT_TERMS
    ) -> None:
        self.epoch = epoch
        self.stop_terms = stop_terms
        self.jobs: dict[str, JobEntry] = {}
        self.runs: dict[taskjobs.Task, Run] = {}
        self.by_name: dict[str, Run] = {}
        self.by_group: dict[taskjobs.Group, dict[taskjobs.Task, Run]] = {}
        self.by_job: dict[str, dict[taskjobs.Task, Run]] = {}
        self.by_worker: dict[str, dict[taskjobs.Task, Run]] = {}
        self.used: dict[str, taskjobs.Resources] = {}
        self.step_counts: dict[StepKey, int] = {}
        self.run_count = 0
        self.stops: list[Run] = []
        self.adopted_gangs: set[taskjobs.Group] = set()
        self.isolated_runs: collections.Counter[str] = collections.Counter()
        self.lost_workers: dict[tuple[str, int], workerlosses.LostWorker] = {}
        self.suspected_runs: dict[
            tuple[str, int], list[tuple[taskjobs.Task, int]]
        ] = {}
        self.speeds = speeds.Profiles()
        self.run_times = runestimates.RunTimes()
        self.urgent_demand = urgentdemand.UrgentDemand()
        self.fleet = feasibility.Fleet()
        self.best_effort_room: set[str] | None = None


def allocate_run_number(ledger: Ledger) -> int:
    """Return a run number above all of this epoch and earlier ones."""
    ledger.run_count += 1
    return ledger.epoch * _RUNS_PER_EPOCH + ledger.run_count


def get_step(entry: JobEntry, task: taskjobs.Task) -> taskjobs.Step | None:
    """Return the step of a task, or None if the job has no such task."""
    job, group = entry.job, task.group
    if not (
        group.step < len(job.steps)
        and group.occurrence < taskjobs.count_occurrences(job)
        and task.index < job.steps[group.step].tasks
    ):
        return None
    return job.steps[group.step]


def get_need(ledger: Ledger, run: Run) -> taskjobs.Resources:
    """Return the resources allocated to a run."""
    entry = ledger.jobs[run.task.group.job_id]
    return entry.job.steps[run.task.group.step].need


def compute_work_ms(ledger: Ledger, run: Run, now_ms: int) -> int:
    """Return the work that a run has done, with what it resumed from."""
    work_ms = max(0, now_ms - run.since_ms)
    if run.resumed_ms:
        work_ms = max(0, work_ms - ledger.stop_terms.restore_ms)
    return run.resumed_ms + work_ms


def add_run(ledger: Ledger, run: Run) -> None:
    """Add a run to all indexes."""
    ledger.runs[run.task] = run
    ledger.by_name[run.name] = run
    for index, key in _list_indexes(ledger, run):
        index.setdefault(key, {})[run.task] = run
    need = get_need(ledger, run)
    used = ledger.used.get(run.worker_id, taskjobs.NO_RESOURCES)
    ledger.used[run.worker_id] = taskjobs.add(used, need)
    ledger.isolated_runs[run.worker_id] += run.isolated
    key = _get_step_key(run)
    ledger.step_counts[key] = ledger.step_counts.get(key, 0) + 1
    mark_changed(ledger.jobs[run.task.group.job_id], run.task)
    job = ledger.jobs[run.task.group.job_id].job
    if job.priority == 0:
        ledger.urgent_demand.in_use[job.service] += need.accelerators


def remove_run(ledger: Ledger, run: Run) -> None:
    """Remove a run from all indexes, which frees its resources."""
    del ledger.runs[run.task]
    del ledger.by_name[run.name]
    for index, key in _list_indexes(ledger, run):
        del index[key][run.task]
        if not index[key]:
            del index[key]
    need = get_need(ledger, run)
    if run.worker_id in ledger.by_worker:
        used = ledger.used[run.worker_id]
        ledger.used[run.worker_id] = taskjobs.subtract(used, need)
        ledger.isolated_runs[run.worker_id] -= run.isolated
    else:
        del ledger.used[run.worker_id]
        del ledger.isolated_runs[run.worker_id]
    key = _get_step_key(run)
    ledger.step_counts[key] -= 1
    if not ledger.step_counts[key]:
        del ledger.step_counts[key]
    mark_changed(ledger.jobs[run.task.group.job_id], run.task)
    job = ledger.jobs[run.task.group.job_id].job
    if job.priority == 0:
        ledger.urgent_demand.in_use[job.service] -= need.accelerators


def _get_step_key(run: Run) -> StepKey:
    return (run.task.group.job_id, run.task.group.step, run.worker_id)


def _list_indexes(ledger: Ledger, run: Run) -> tuple[tuple[dict, Any], ...]:
    """Return the indexes of runs with the run's key in each."""
    group = run.task.group
    return (
        (ledger.by_group, group),
        (ledger.by_job, group.job_id),
        (ledger.by_worker, run.worker_id),
    )


def list_group_runs(ledger: Ledger, group: taskjobs.Group) -> list[Run]:
    """Return the runs of a group."""
    return list(ledger.by_group.get(group, {}).values())


def list_job_runs(ledger: Ledger, job_id: str) -> list[Run]:
    """Return the runs of a job."""
    return list(ledger.by_job.get(job_id, {}).values())


def list_planned_runs(ledger: Ledger, job_id: str) -> list[Run]:
    """Return the runs of a job whose start has not been sent."""
    return [
        run
        for run in list_job_runs(ledger, job_id)
        if run.phase is Phase.PLANNED
    ]


def list_worker_runs(ledger: Ledger, worker_id: str) -> list[Run]:
    """Return the runs on a worker."""
    return list(ledger.by_worker.get(worker_id, {}).values())


def delay_group(
    ledger: Ledger, group: taskjobs.Group, now_ms: int, delay_ms: int
) -> None:
    """Delay the next attempt to start a group."""
    ledger.jobs[group.job_id].not_before_ms[group] = now_ms + delay_ms


def mark_changed(entry: JobEntry, task: taskjobs.Task) -> None:
    """Record that the records of a task differ from the stored ones."""
    entry.changed_pages[progresspages.get_page(entry.layout, task)] = None


def add_unstored_end(
    entry: JobEntry, page: int, worker_id: str, end: tuple[int, int]
) -> None:
    """Record that the effects of an end on a job's progress are not stored.

    They are once the page is written, even if the end has not changed it.
    Only the latest incarnation of a worker can list its ends again.

    Args:
        entry: The job.
        page: Page of the task that ended.
        worker_id: The worker that listed the end.
        end: Start time of the worker and number of the end.
    """
    entry.changed_pages[page] = None
    ends = entry.unstored_ends.setdefault(page, {})
    started_ms, number = ends.get(worker_id, end)
    if started_ms == end[0]:
        ends[worker_id] = (started_ms, min(number, end[1]))
    elif started_ms < end[0]:
        ends[worker_id] = end
