"""Selection of the tasks that are stopped to free capacity for others.

The inputs of the cost estimates do not change within a decision. The tasks of
a worker are therefore sorted only once, and the capacity that can be freed on
a worker is cached until one of its tasks is chosen.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import taskjobs

# An accelerator counts as this many cores in the cost of lost work.
_CORES_PER_ACCELERATOR = 8


class Allocation(NamedTuple):
    """A task and the resources that are allocated to it on a worker.

    Attributes:
        lost_work_ms: Run time that is lost if the task is stopped.
        stopping: Whether the resources will be released without a new stop.
        guaranteed: Whether the account's guarantee covers the job.
        fills: Whether the task is best-effort.
        latency_sensitive: Whether best-effort tasks would push the task over
            the target of its tail latency.
        expected_left_ms: Time after which the task is expected to end by
            itself, by the progress that its worker reports, else by its
            caller's estimate; None if unknown, as it is once the task has run
            longer than estimated.
        stop_ms: Time that a stop may take, during which its resources are
            of no use.
        spared: Whether it is not to be stopped now, as it is expected to end
            sooner by itself.
        paced: Whether it could be slowed down beside latency-sensitive tasks.
    """

    task: taskjobs.Task
    worker_id: str
    need: taskjobs.Resources
    priority: int
    gang: bool
    long_running: bool
    lost_work_ms: int
    stopping: bool
    guaranteed: bool
    fills: bool = False
    latency_sensitive: bool = False
    expected_left_ms: int | None = None
    stop_ms: int = 0
    spared: bool = False
    paced: bool = False


class Preemptor(NamedTuple):
    """The properties of a group that decide which tasks it may preempt."""

    priority: int
    guaranteed: bool


class VictimIndex:
    """All allocations of one decision, from which the victims are chosen.

    Attributes:
        by_worker: Allocations by worker; sorted by `list_in_stop_order`.
        by_group: Allocations by group.
        releasing: Resources by worker that stopping tasks will release.
        chosen: Tasks that this decision stops.
        kept: Groups of which no task is chosen at present.
        changes: How often the tasks chosen on a worker have changed.
    """

    def __init__(self, held: list[Allocation]) -> None:
        self.by_worker: dict[str, list[Allocation]] = {}
        self.by_group: dict[taskjobs.Group, list[Allocation]] = {}
        self.releasing: dict[str, taskjobs.Resources] = {}
        self.chosen: set[taskjobs.Task] = set()
        self.kept: set[taskjobs.Group] = set()
        self.changes: collections.Counter[str] = collections.Counter()
        self._sorted_workers: set[str] = set()
        self._preemptible: dict[str, dict[Preemptor, taskjobs.Resources]] = {}
        self._costs: dict[str, dict[tuple, float]] = {}
        for allocation in held:
            self.by_group.setdefault(allocation.task.group, []).append(
                allocation
            )
            self.by_worker.setdefault(allocation.worker_id, []).append(
                allocation
            )
            if allocation.stopping:
                _add_releasing(self, allocation)

    def list_in_stop_order(self, worker_id: str) -> list[Allocation]:
        """Return the tasks of a worker in the order in which to stop them."""
        allocations = self.by_worker.get(worker_id, [])
        if worker_id not in self._sorted_workers:
            self._sorted_workers.add(worker_id)
            allocations.sort(key=lambda held: _get_stop_order(self, held))
        return allocations

    def get_preemptible(
        self, worker_id: str, preemptor: Preemptor
    ) -> taskjobs.Resources:
        """Return the resources that preemption could free on a worker."""
        cached = self._preemptible.setdefault(worker_id, {})
        preemptible = cached.get(preemptor)
        if preemptible is None:
            preemptible = taskjobs.NO_RESOURCES
            for held in self.by_worker.get(worker_id, ()):
                if _is_preemptible(self, held, preemptor):
                    preemptible = taskjobs.add(preemptible, held.need)
            cached[preemptor] = preemptible
        return preemptible

    def get_cost(
        self,
        worker_id: str,
        available: taskjobs.Resources,
        need: taskjobs.Resources,
        preemptor: Preemptor,
    ) -> float:
        """Return the cost of the stops that make one task fit on a worker.

        Args:
            worker_id: The worker.
            available: Resources that are free there or being released.
            need: Resources that the task needs.
            preemptor: Priority and guarantee of the task's group.
        """
        cached = self._costs.setdefault(worker_id, {})
        key = (available, need, preemptor)
        if key not in cached:
            cached[key] = _estimate_cost(
                self, worker_id, available, need, preemptor
            )
        return cached[key]

    def mark_for_stop(self, held: Allocation) -> list[Allocation]:
        """Mark a task, with its whole gang, to be stopped.

        Returns:
            The tasks that were not stopping or marked before.
        """
        members = self.by_group[held.task.group] if held.gang else [held]
        newly_chosen = [
            member
            for member in members
            if not member.stopping and member.task not in self.chosen
        ]
        for member in newly_chosen:
            self.chosen.add(member.task)
            self.changes[member.worker_id] += 1
            self._preemptible.pop(member.worker_id, None)
            self._costs.pop(member.worker_id, None)
            _add_releasing(self, member)
        return newly_chosen

    def unmark(self, stops: list[Allocation]) -> None:
        """Take back marks, as the tasks are not stopped after all."""
        for held in stops:
            self.chosen.discard(held.task)
            self.changes[held.worker_id] += 1
            self._preemptible.pop(held.worker_id, None)
            self._costs.pop(held.worker_id, None)
            self.releasing[held.worker_id] = taskjobs.subtract(
                self.releasing[held.worker_id], held.need
            )

    def keep(self, groups: Iterable[taskjobs.Group]) -> None:
        """Choose no task of some groups, and of no others, from now on."""
        changed = self.kept.symmetric_difference(groups)
        self.kept = set(groups)
        for group in changed:
            for member in self.by_group.get(group, ()):
                self._preemptible.pop(member.worker_id, None)
                self._costs.pop(member.worker_id, None)


def _add_releasing(victims: VictimIndex, allocation: Allocation) -> None:
    victims.releasing[allocation.worker_id] = taskjobs.add(
        victims.releasing.get(allocation.worker_id, taskjobs.NO_RESOURCES),
        allocation.need,
    )


def _estimate_cost(
    victims: VictimIndex,
    worker_id: str,
    available: taskjobs.Resources,
    need: taskjobs.Resources,
    preemptor: Preemptor,
) -> float:
    cost = 0.0
    gangs: set[taskjobs.Group] = set()
    for held in victims.list_in_stop_order(worker_id):
        if taskjobs.count_fitting(available, need) > 0:
            break
        if not _is_preemptible(victims, held, preemptor):
            continue
        available = taskjobs.add(available, held.need)
        if held.task.group in gangs:
            continue
        if held.gang:
            gangs.add(held.task.group)
        cost += 1 + _estimate_lost_work(victims, held)
    return cost


def choose_cheapest(
    victims: VictimIndex,
    worker_id: str,
    available: taskjobs.Resources,
    need: taskjobs.Resources,
    required_count: int,
    preemptor: Preemptor,
) -> list[Allocation]:
    """Choose the cheapest tasks to stop so that a number of tasks fits.

    Args:
        victims: All allocations; the chosen tasks are marked.
        worker_id: The worker.
        available: Resources that are free there or being released.
        need: Resources that each task needs.
        required_count: How many tasks have to fit.
        preemptor: Priority and guarantee of the tasks' group.

    Returns:
        The tasks to stop. Members of a gang may run on other workers.
    """
    stops: list[Allocation] = []
    for held in victims.list_in_stop_order(worker_id):
        if taskjobs.count_fitting(available, need) >= required_count:
            break
        if not _is_preemptible(victims, held, preemptor):
            continue
        for member in victims.mark_for_stop(held):
            stops.append(member)
            if member.worker_id == worker_id:
                available = taskjobs.add(available, member.need)
    return stops


def _is_preemptible(
    victims: VictimIndex, held: Allocation, preemptor: Preemptor
) -> bool:
    if held.long_running or held.stopping or held.spared:
        return False
    if held.task in victims.chosen:
        return False
    if held.task.group in victims.kept:
        return False
    if held.priority != preemptor.priority:
        return held.priority > preemptor.priority
    return preemptor.guaranteed and not held.guaranteed


def _get_stop_order(victims: VictimIndex, held: Allocation) -> tuple:
    """Return the sort key of the stop order.

    Tasks of the lowest priority come first, then those that lose the least
    work.
    """
    return (-held.priority, _estimate_lost_work(victims, held), held.task)


def compute_lost_core_ms(held: Allocation) -> float:
    """Return the core-milliseconds of its own work that a stop loses."""
    return held.lost_work_ms * _count_cores(held)


def _count_cores(held: Allocation) -> float:
    cores = held.need.cpu_millis / 1000
    return cores + held.need.accelerators * _CORES_PER_ACCELERATOR


def _estimate_lost_work(victims: VictimIndex, held: Allocation) -> float:
    """Return the core-milliseconds that a stop loses, gang included.

    They are those of lost work, and those for which nothing works while the
    stop is carried out: half of its longest time on average.
    """
    member_count = len(victims.by_group[held.task.group]) if held.gang else 1
    lost_ms = held.lost_work_ms + held.stop_ms / 2
    return lost_ms * _count_cores(held) * member_count
