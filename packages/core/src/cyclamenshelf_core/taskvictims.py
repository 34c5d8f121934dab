"""Tasks that hold room, and which of them are stopped to make room.

Nothing that is weighed here changes within a decision, so the tasks of a
worker are put in order once, and the room that stops would free is kept until
a stop is chosen there.
"""

from typing import NamedTuple

from cyclamenshelf_core import taskjobs

# An accelerator counts as this many cores when lost work is weighed.
_CORES_PER_ACCELERATOR = 8


class Held(NamedTuple):
    """A task that holds room on a worker.

    Attributes:
        lost_ms: Work that a stop would throw away.
        guaranteed: Whether the account's guarantee covers the job.
        fills: Whether it only uses what others leave.
        serves: Whether it serves users of its own.
    """

    task: taskjobs.Task
    worker_id: str
    need: taskjobs.Resources
    priority: int
    gang: bool
    long_running: bool
    lost_ms: int
    stopping: bool
    guaranteed: bool
    fills: bool = False
    serves: bool = False


class Rank(NamedTuple):
    """Whose room is made: what may be stopped for it follows from this."""

    priority: int
    guaranteed: bool


class Victims:
    """The tasks that hold room in one decision.

    Attributes:
        by_worker: Tasks by worker, least lost work first.
        by_group: Tasks by group.
        stopping: Room by worker that will soon be free.
        chosen: Tasks that this decision stops.
    """

    def __init__(self, held: list[Held]) -> None:
        self.by_worker: dict[str, list[Held]] = {}
        self.by_group: dict[taskjobs.Group, list[Held]] = {}
        self.stopping: dict[str, taskjobs.Resources] = {}
        self.chosen: set[taskjobs.Task] = set()
        self._ordered: set[str] = set()
        self._freed: dict[str, dict[Rank, taskjobs.Resources]] = {}
        self._costs: dict[str, dict[tuple, float]] = {}
        for entry in held:
            self.by_group.setdefault(entry.task.group, []).append(entry)
            self.by_worker.setdefault(entry.worker_id, []).append(entry)
            if entry.stopping:
                _add_stopping(self, entry)

    def list_worker(self, worker_id: str) -> list[Held]:
        """Return the tasks of a worker in the order of their stops."""
        members = self.by_worker.get(worker_id, [])
        if worker_id not in self._ordered:
            self._ordered.add(worker_id)
            members.sort(key=lambda held: _weigh(self, held))
        return members

    def get_freed(self, worker_id: str, rank: Rank) -> taskjobs.Resources:
        """Return the room of the tasks that may be stopped on a worker."""
        known = self._freed.setdefault(worker_id, {})
        room = known.get(rank)
        if room is None:
            room = taskjobs.NOTHING
            for held in self.by_worker.get(worker_id, ()):
                if _is_eligible(self, held, rank):
                    room = taskjobs.add(room, held.need)
            known[rank] = room
        return room

    def get_cost(
        self,
        worker_id: str,
        room: taskjobs.Resources,
        need: taskjobs.Resources,
        rank: Rank,
    ) -> float:
        """Return the work that is lost to fit one task on a worker.

        Args:
            worker_id: The worker.
            room: What is free there, or about to be.
            need: What the task needs.
            rank: Whose task it is.
        """
        known = self._costs.setdefault(worker_id, {})
        key = (room, need, rank)
        if key not in known:
            known[key] = _weigh_worker(self, worker_id, room, need, rank)
        return known[key]

    def choose(self, held: Held) -> list[Held]:
        """Mark a task, and its whole gang, for a stop; return what is new."""
        members = self.by_group[held.task.group] if held.gang else [held]
        added = [
            member
            for member in members
            if not member.stopping and member.task not in self.chosen
        ]
        for member in added:
            self.chosen.add(member.task)
            self._freed.pop(member.worker_id, None)
            self._costs.pop(member.worker_id, None)
            _add_stopping(self, member)
        return added


def _add_stopping(victims: Victims, entry: Held) -> None:
    victims.stopping[entry.worker_id] = taskjobs.add(
        victims.stopping.get(entry.worker_id, taskjobs.NOTHING), entry.need
    )


def _weigh_worker(
    victims: Victims,
    worker_id: str,
    room: taskjobs.Resources,
    need: taskjobs.Resources,
    rank: Rank,
) -> float:
    cost = 0.0
    for held in victims.list_worker(worker_id):
        if taskjobs.count_fitting(room, need) > 0:
            break
        if _is_eligible(victims, held, rank):
            room = taskjobs.add(room, held.need)
            cost += 1 + _count_lost(victims, held)
    return cost


def stop_cheapest(
    victims: Victims,
    worker_id: str,
    room: taskjobs.Resources,
    need: taskjobs.Resources,
    wanted: int,
    rank: Rank,
) -> list[Held]:
    """Choose the cheapest tasks of a worker until the wanted tasks fit.

    Args:
        victims: The tasks that hold room; changed.
        worker_id: The worker.
        room: What is free there, or about to be.
        need: What each task needs.
        wanted: How many tasks have to fit.
        rank: Whose tasks they are.

    Returns:
        The tasks to stop, on any worker if a gang is among them.
    """
    stops: list[Held] = []
    for held in victims.list_worker(worker_id):
        if taskjobs.count_fitting(room, need) >= wanted:
            break
        if not _is_eligible(victims, held, rank):
            continue
        for member in victims.choose(held):
            stops.append(member)
            if member.worker_id == worker_id:
                room = taskjobs.add(room, member.need)
    return stops


def _is_eligible(victims: Victims, held: Held, rank: Rank) -> bool:
    if held.long_running or held.stopping or held.task in victims.chosen:
        return False
    if held.priority != rank.priority:
        return held.priority > rank.priority
    return rank.guaranteed and not held.guaranteed


def _weigh(victims: Victims, held: Held) -> tuple:
    """Return the order in which tasks are stopped: least lost work first."""
    return (-held.priority, _count_lost(victims, held), held.task)


def _count_lost(victims: Victims, held: Held) -> float:
    """Return the core-milliseconds that a stop would throw away."""
    members = len(victims.by_group[held.task.group]) if held.gang else 1
    cores = held.need.cpu_millis / 1000
    cores += held.need.accelerators * _CORES_PER_ACCELERATOR
    return held.lost_ms * cores * members
