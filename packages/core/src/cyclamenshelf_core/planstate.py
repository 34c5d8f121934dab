"""State of one decision of the task planner."""

from collections.abc import Callable
from typing import NamedTuple

from cyclamenshelf_core import freecapacity
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import victimcosts
from cyclamenshelf_core.overload import callercost
from cyclamenshelf_core.overload import forecast
from cyclamenshelf_core.overload import stopdecision
from cyclamenshelf_core.taskplacement import remotewait


class WaitingGroup(NamedTuple):
    """A group with tasks that are ready to start.

    Attributes:
        indexes: Indexes of these tasks; for a gang, of all its tasks.
        slack_ms: Slack: time left until a start would miss the objective;
            negative if it already would.
        guaranteed: Whether the account's guarantee covers the job.
        allowed_workers: Workers that may run the tasks; None for any.
        preempting: Whether tasks have been stopped for the group.
        isolated: Whether the tasks must run on workers of their own.
        waited_ms: How long tasks of it have been ready without room to start.
    """

    job: taskjobs.TaskJob
    group: taskjobs.Group
    indexes: tuple[int, ...]
    slack_ms: int
    guaranteed: bool
    allowed_workers: frozenset[str] | None = None
    preempting: bool = False
    isolated: bool = False
    waited_ms: int = 0


class Start(NamedTuple):
    """Tasks of a group to start; for a gang, all of its tasks.

    Attributes:
        placements: Index and worker of each task.
        isolated: Whether the workers get no other tasks meanwhile.
    """

    group: taskjobs.Group
    placements: tuple[tuple[int, str], ...]
    isolated: bool = False


class Stop(NamedTuple):
    """A task to stop, to free capacity for the beneficiary."""

    task: taskjobs.Task
    beneficiary: taskjobs.Group


class Wait(NamedTuple):
    """A group that waits for tasks to end where it could stop others.

    Attributes:
        free_after_ms: When enough is expected to come free; None if unknown.
    """

    group: taskjobs.Group
    choice: stopdecision.Choice
    free_after_ms: int | None


class Outlook(NamedTuple):
    """What is expected of run times.

    Attributes:
        remote_penalty: How many times as long a task takes off the rack that
            it prefers.
        get_remaining_ms: Returns how long a running task is expected to go on;
            None if that is not known.
    """

    remote_penalty: float
    get_remaining_ms: Callable[[taskjobs.Task], int | None]


# Used where nothing is known.
NO_OUTLOOK = Outlook(3.0, lambda task: None)


class Shape(NamedTuple):
    """The properties that decide where the tasks of a group can be placed."""

    service: str
    label: str
    data_rack: str
    need: taskjobs.Resources
    gang: bool
    same_rack: bool
    allow_remote: bool
    allowed_workers: frozenset[str] | None
    fills: bool
    latency_sensitive: bool


class PlanningState:
    """State of one decision.

    Attributes:
        capacity: Free capacity of the workers.
        victims: All allocations, and the tasks chosen to be stopped.
        gang_reservations: Number of blocked gangs below priority 0 for which
            capacity was reserved.
        isolated: Number of workers that are kept for isolated tasks.
        unplaceable: By shape, the smallest number of tasks that could not be
            placed. More cannot be placed later either, as free capacity only
            shrinks within a decision, unless `forget_searches` is called.
        idle_services: Services of which less than half is in use; None until
            they are found from the workers that accept tasks.
        running: What the callers of running groups expect, relative to now.
        waits: Groups that wait although they could stop tasks.
        outlook: What is expected of run times.
        releases: Cache of what tasks of a rack will release, by rack.
        slowest_rank: Rank of the slowest worker that accepts tasks.
    """

    def __init__(
        self,
        workers: dict[str, freecapacity.CandidateWorker],
        held: list[victimcosts.Allocation],
        counts: dict[tuple[str, int, str], int],
        isolated: int = 0,
        idle_services: frozenset[str] | None = None,
        running: dict[taskjobs.Group, callercost.Demand] | None = None,
        outlook: Outlook = NO_OUTLOOK,
    ) -> None:
        self.capacity = freecapacity.FreeCapacity(workers, counts)
        for allocation in held:
            if allocation.fills and not allocation.paced:
                self.capacity.best_effort_workers.add(allocation.worker_id)
            if allocation.latency_sensitive:
                self.capacity.latency_sensitive_workers.add(
                    allocation.worker_id
                )
        self.victims = victimcosts.VictimIndex(held)
        self.starts: list[Start] = []
        self.stops: list[Stop] = []
        self.blocked: list[taskjobs.Group] = []
        self.gang_reservations = 0
        self.isolated = isolated
        self.unplaceable: dict[Shape, int] = {}
        self.idle_services = idle_services
        self.running = running or {}
        self.ends = forecast.ExpectedEnds(held)
        self.waits: list[Wait] = []
        self.outlook = outlook
        self.releases: dict[str, list[remotewait.Release]] = {}
        self.slowest_rank = max(
            (worker.rank for worker in workers.values()), default=0
        )

    def get_soon_free(self, worker_id: str) -> taskjobs.Resources:
        """Return the resources that are free or being released."""
        free = self.capacity.free[worker_id]
        releasing = self.victims.releasing.get(worker_id)
        return free if releasing is None else taskjobs.add(free, releasing)

    def get_expected_free(
        self, worker_id: str, within_ms: int
    ) -> taskjobs.Resources:
        """Return the resources that are expected to be free after a time."""
        released = forecast.get_released(
            self.ends, worker_id, within_ms, self.victims
        )
        return taskjobs.add(self.get_soon_free(worker_id), released)


def forget_searches(state: PlanningState) -> None:
    """Drop what earlier searches found, as free capacity has grown."""
    state.unplaceable.clear()
    state.capacity.fitting.clear()


def start_tasks(
    state: PlanningState, entry: WaitingGroup, placed: list[str]
) -> None:
    """Start the first tasks of a group on the given workers."""
    indexes = entry.indexes[: len(placed)]
    placements = tuple(zip(indexes, placed, strict=True))
    state.starts.append(Start(entry.group, placements, entry.isolated))
    _allocate(state, entry, placed)


def _allocate(
    state: PlanningState, entry: WaitingGroup, placed: list[str]
) -> None:
    step = entry.job.steps[entry.group.step]
    freecapacity.record_placed(state.capacity, step, placed)
    for worker_id in placed:
        freecapacity.allocate(
            state.capacity,
            worker_id,
            step.need,
            (entry.job.id, entry.group.step),
        )


def reserve(
    state: PlanningState, entry: WaitingGroup, placed: list[str]
) -> None:
    """Reserve capacity that is free or being released for a blocked group.

    The groups that are scheduled afterwards cannot use it.
    """
    _allocate(state, entry, placed)
