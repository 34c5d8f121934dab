"""Free and promised accelerators of all workers during one decision."""

from collections.abc import Iterable
from collections.abc import Iterator
import enum

from cyclamenshelf_core import decisions
from cyclamenshelf_core import guarantees
from cyclamenshelf_core import model


class Room(enum.IntEnum):
    """Which accelerators count as room.

    `OPEN` keeps clear of guarantees and reservations; `ANY` is all that is
    free, for work that can be stopped.
    """

    OPEN = 0
    ANY = 1


class Space:
    """One worker.

    Attributes:
        free: Accelerators that no job holds.
        stopping: Accelerators of jobs that are being stopped.
        claimed: Accelerators promised to queued jobs.
        held: Accelerators kept from unstoppable work by reservations.
        pledged: Guaranteed accelerators by account.
        firm: Accelerators of unstoppable work and claims by account.
        used: Accelerators of all work but the stopping, and claims.
        committed: Sum over accounts of the larger of pledged and firm.
        rooms: Free accelerators by `Room`.
        jobs: The jobs with parts here, but for the stopping ones.
    """

    __slots__ = (
        "worker",
        "rack",
        "free",
        "stopping",
        "claimed",
        "held",
        "pledged",
        "firm",
        "used",
        "committed",
        "rooms",
        "jobs",
    )

    def __init__(self, worker: model.Worker, rack: "Rack") -> None:
        self.worker = worker
        self.rack = rack
        self.free = worker.accelerators
        self.stopping = 0
        self.claimed = 0
        self.held = 0
        self.pledged: dict[str, int] = {}
        self.firm: dict[str, int] = {}
        self.used: dict[str, int] = {}
        self.committed = 0
        self.rooms = [0, 0]
        self.jobs: dict[str, decisions.Running] = {}


class Rack:
    """The workers of one rack and their room in total."""

    __slots__ = ("key", "spaces", "totals")

    def __init__(self, key: tuple[str, ...]) -> None:
        self.key = key
        self.spaces: list[Space] = []
        self.totals = [0, 0]


class Ledger:
    """All workers, with racks indexed by their room in total.

    Attributes:
        buckets: By `Room`, the racks with each total; dictionaries because
            they keep a reproducible order.
        pledges: The workers with guarantees of each account.
        accounts: Accelerators held and claimed by account.
    """

    def __init__(
        self, workers: dict[str, model.Worker], pledges: guarantees.Held
    ) -> None:
        self.spaces: dict[str, Space] = {}
        self.racks: dict[tuple[str, ...], Rack] = {}
        self.pledges: dict[str, list[Space]] = {}
        self.accounts: dict[str, int] = {}
        for worker in workers.values():
            key = guarantees.get_group(worker, model.Within.RACK)
            rack = self.racks.get(key)
            if rack is None:
                rack = self.racks[key] = Rack(key)
            space = Space(worker, rack)
            rack.spaces.append(space)
            self.spaces[worker.id] = space
        for worker_id, by_account in pledges.items():
            space = self.spaces[worker_id]
            space.pledged = dict(by_account)
            space.committed = sum(by_account.values())
            for account in by_account:
                self.pledges.setdefault(account, []).append(space)
        largest = max(
            (
                sum(space.worker.accelerators for space in rack.spaces)
                for rack in self.racks.values()
            ),
            default=0,
        )
        self.buckets: list[list[dict[tuple[str, ...], Rack]]] = [
            [{} for _ in range(largest + 1)] for _ in Room
        ]


def fill_ledger(ledger: Ledger, running: Iterable[decisions.Running]) -> None:
    """Enter the running jobs and build the index."""
    for entry in running:
        stoppable = decisions.is_stoppable(entry.job)
        for worker_id, accelerators in entry.placement:
            account = entry.job.account
            ledger.accounts[account] = (
                ledger.accounts.get(account, 0) + accelerators
            )
            space = ledger.spaces.get(worker_id)
            if space is None:
                continue
            space.free -= accelerators
            if entry.stopping:
                space.stopping += accelerators
                continue
            space.jobs[entry.job.id] = entry
            space.used[account] = space.used.get(account, 0) + accelerators
            if not stoppable:
                _add_firm(space, account, accelerators)
    for rack in ledger.racks.values():
        for space in rack.spaces:
            space.rooms = _compute_rooms(space)
        for room in Room:
            total = sum(space.rooms[room] for space in rack.spaces)
            rack.totals[room] = total
            ledger.buckets[room][total][rack.key] = rack


def hold(ledger: Ledger, amounts: dict[str, int], sign: int = 1) -> None:
    """Keep accelerators on workers from unstoppable work, or stop to."""
    for worker_id, accelerators in amounts.items():
        space = ledger.spaces.get(worker_id)
        if space is not None:
            space.held += sign * accelerators
            _refresh(ledger, space)


def take(
    ledger: Ledger,
    job: model.Job,
    placement: model.Placement,
    sign: int = 1,
) -> None:
    """Enter a job that starts; with a sign of -1, undo this."""
    firm = not decisions.is_stoppable(job)
    for worker_id, part in placement:
        space = ledger.spaces[worker_id]
        accelerators = sign * part
        space.free -= accelerators
        _add_used(ledger, space, job.account, accelerators)
        if firm:
            _add_firm(space, job.account, accelerators)
        _refresh(ledger, space)


def claim(
    ledger: Ledger,
    job: model.Job,
    placement: model.Placement,
    sign: int = 1,
) -> None:
    """Promise accelerators to a queued job; with a sign of -1, undo this.

    A claim cannot be preempted, so it counts as unstoppable.
    """
    for worker_id, part in placement:
        space = ledger.spaces[worker_id]
        accelerators = sign * part
        space.claimed += accelerators
        _add_used(ledger, space, job.account, accelerators)
        _add_firm(space, job.account, accelerators)
        _refresh(ledger, space)


def mark_stopping(ledger: Ledger, entry: decisions.Running) -> None:
    """Enter that a running stoppable job is preempted."""
    for worker_id, accelerators in entry.placement:
        space = ledger.spaces.get(worker_id)
        if space is not None:
            space.stopping += accelerators
            space.used[entry.job.account] -= accelerators
            space.jobs.pop(entry.job.id, None)
            _refresh(ledger, space)


def get_room(space: Space, account: str, stoppable: bool) -> int:
    """Return the free accelerators that a job may take at once."""
    if stoppable:
        return space.rooms[Room.ANY]
    if account in space.pledged:
        return min(space.rooms[Room.ANY], get_limit(space, account))
    return space.rooms[Room.OPEN]


def get_limit(space: Space, account: str) -> int:
    """Return what unstoppable work of an account may take once it is free."""
    unpledged = space.worker.accelerators - space.committed - space.held
    own = space.pledged.get(account, 0) - space.firm.get(account, 0)
    return max(0, unpledged) + max(0, own)


def get_soon(space: Space) -> int:
    """Return what is free without promise once the stopping jobs ended."""
    return max(0, space.free + space.stopping - space.claimed)


def list_groups(ledger: Ledger, within: model.Within) -> Iterator[list[Space]]:
    """Yield the workers of each group that a gang may span."""
    if within is model.Within.RACK:
        for rack in ledger.racks.values():
            yield rack.spaces
        return
    groups: dict[tuple[str, ...], list[Space]] = {}
    for space in ledger.spaces.values():
        key = guarantees.get_group(space.worker, within)
        groups.setdefault(key, []).append(space)
    yield from groups.values()


def _add_used(
    ledger: Ledger, space: Space, account: str, accelerators: int
) -> None:
    space.used[account] = space.used.get(account, 0) + accelerators
    ledger.accounts[account] = ledger.accounts.get(account, 0) + accelerators


def _add_firm(space: Space, account: str, accelerators: int) -> None:
    pledged = space.pledged.get(account, 0)
    before = space.firm.get(account, 0)
    after = before + accelerators
    space.firm[account] = after
    space.committed += max(pledged, after) - max(pledged, before)


def _compute_rooms(space: Space) -> list[int]:
    free = space.free - max(0, space.claimed - space.stopping)
    any_room = max(0, free)
    unpledged = space.worker.accelerators - space.committed - space.held
    return [min(any_room, max(0, unpledged)), any_room]


def _refresh(ledger: Ledger, space: Space) -> None:
    rooms = _compute_rooms(space)
    rack = space.rack
    for room in Room:
        change = rooms[room] - space.rooms[room]
        if change:
            buckets = ledger.buckets[room]
            del buckets[rack.totals[room]][rack.key]
            rack.totals[room] += change
            buckets[rack.totals[room]][rack.key] = rack
    space.rooms = rooms
