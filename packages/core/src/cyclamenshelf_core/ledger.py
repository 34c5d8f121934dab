"""Free and promised accelerators of all workers.

The running jobs and guarantees stay in a ledger between decisions, so that a
decision costs as much as what changed. What one decision promises is undone
at its end: the next snapshot shows what became of it.
"""

from collections.abc import Callable
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
        largest: Accelerators of the largest worker.
        buckets: By `Room`, the racks with each total; dictionaries because
            they keep a reproducible order.
        pledged: Guaranteed accelerators by worker and account.
        pledges: The workers with guarantees of each account.
        accounts: Accelerators held and claimed by account.
        entered: The running jobs by id.
        undo: Undoes what the current decision entered, last entry first.
    """

    def __init__(self, workers: dict[str, model.Worker]) -> None:
        self.workers = dict(workers)
        self.largest = max(
            (worker.accelerators for worker in workers.values()), default=0
        )
        self.spaces: dict[str, Space] = {}
        self.racks: dict[tuple[str, ...], Rack] = {}
        self.pledged: guarantees.Held = {}
        self.pledges: dict[str, list[Space]] = {}
        self.accounts: dict[str, int] = {}
        self.entered: dict[str, decisions.Running] = {}
        self.undo: list[Callable[[], None]] = []
        for worker in workers.values():
            key = guarantees.get_group(worker, model.Within.RACK)
            rack = self.racks.get(key)
            if rack is None:
                rack = self.racks[key] = Rack(key)
            space = Space(worker, rack)
            space.rooms = _compute_rooms(space)
            rack.spaces.append(space)
            self.spaces[worker.id] = space
        largest = 0
        for rack in self.racks.values():
            total = sum(space.free for space in rack.spaces)
            rack.totals = [total for _ in Room]
            largest = max(largest, total)
        self.buckets: list[list[dict[tuple[str, ...], Rack]]] = [
            [{} for _ in range(largest + 1)] for _ in Room
        ]
        for rack in self.racks.values():
            for room in Room:
                self.buckets[room][rack.totals[room]][rack.key] = rack


def update_running(
    ledger: Ledger, running: dict[str, decisions.Running]
) -> None:
    """Enter the jobs that started or changed and remove those that left."""
    entered = ledger.entered
    touched: dict[str, Space] = {}
    for job_id in sorted(entered.keys() - running.keys()):
        _move(ledger, entered.pop(job_id), -1, touched)
    changed = [
        job_id
        for job_id, entry in running.items()
        if entered.get(job_id) is not entry
    ]
    for job_id in changed:
        entry, known = running[job_id], entered.get(job_id)
        if known == entry:
            continue
        if known is not None:
            _move(ledger, known, -1, touched)
        _move(ledger, entry, 1, touched)
        entered[job_id] = entry
    for space in touched.values():
        _refresh(ledger, space)


def update_pledges(ledger: Ledger, pledged: guarantees.Held) -> None:
    """Enter the guaranteed accelerators by worker and account."""
    if pledged == ledger.pledged:
        return
    ledger.pledges = {}
    for worker_id in ledger.pledged.keys() | pledged.keys():
        space = ledger.spaces[worker_id]
        space.pledged = dict(pledged.get(worker_id, {}))
        space.committed = sum(
            max(space.pledged.get(account, 0), space.firm.get(account, 0))
            for account in space.pledged.keys() | space.firm.keys()
        )
        _refresh(ledger, space)
    for worker_id, by_account in pledged.items():
        for account in by_account:
            ledger.pledges.setdefault(account, []).append(
                ledger.spaces[worker_id]
            )
    ledger.pledged = pledged


def sum_unstoppable(ledger: Ledger) -> guarantees.Held:
    """Return the accelerators of unstoppable work by worker and account."""
    return {
        worker_id: space.firm
        for worker_id, space in ledger.spaces.items()
        if space.firm
    }


def roll_back(ledger: Ledger) -> None:
    """Undo what the current decision entered."""
    while ledger.undo:
        ledger.undo.pop()()


def _move(
    ledger: Ledger,
    entry: decisions.Running,
    sign: int,
    touched: dict[str, Space],
) -> None:
    """Enter a running job, or remove it with a sign of -1."""
    firm = not entry.stopping and not decisions.is_stoppable(entry.job)
    account = entry.job.account
    for worker_id, part in entry.placement:
        accelerators = sign * part
        ledger.accounts[account] = (
            ledger.accounts.get(account, 0) + accelerators
        )
        space = ledger.spaces.get(worker_id)
        if space is None:
            continue
        touched[worker_id] = space
        space.free -= accelerators
        if entry.stopping:
            space.stopping += accelerators
            continue
        space.used[account] = space.used.get(account, 0) + accelerators
        if firm:
            _add_firm(space, account, accelerators)
        if sign > 0:
            space.jobs[entry.job.id] = entry
        else:
            space.jobs.pop(entry.job.id, None)


def hold(ledger: Ledger, amounts: dict[str, int], sign: int = 1) -> None:
    """Keep accelerators on workers from unstoppable work, or stop to."""
    _hold(ledger, amounts, sign)
    ledger.undo.append(lambda: _hold(ledger, amounts, -sign))


def take(
    ledger: Ledger,
    job: model.Job,
    placement: model.Placement,
    sign: int = 1,
) -> None:
    """Enter a job that starts; with a sign of -1, undo this."""
    _take(ledger, job, placement, sign)
    ledger.undo.append(lambda: _take(ledger, job, placement, -sign))


def claim(
    ledger: Ledger,
    job: model.Job,
    placement: model.Placement,
    sign: int = 1,
) -> None:
    """Promise accelerators to a queued job; with a sign of -1, undo this.

    A claim cannot be preempted, so it counts as unstoppable.
    """
    _claim(ledger, job, placement, sign)
    ledger.undo.append(lambda: _claim(ledger, job, placement, -sign))


def mark_stopping(ledger: Ledger, entry: decisions.Running) -> None:
    """Enter that a running stoppable job is preempted."""
    _mark(ledger, entry, 1)
    ledger.undo.append(lambda: _mark(ledger, entry, -1))


def _hold(ledger: Ledger, amounts: dict[str, int], sign: int) -> None:
    for worker_id, accelerators in amounts.items():
        space = ledger.spaces.get(worker_id)
        if space is not None:
            space.held += sign * accelerators
            _refresh(ledger, space)


def _take(
    ledger: Ledger, job: model.Job, placement: model.Placement, sign: int
) -> None:
    firm = not decisions.is_stoppable(job)
    for worker_id, part in placement:
        space = ledger.spaces[worker_id]
        accelerators = sign * part
        space.free -= accelerators
        _add_used(ledger, space, job.account, accelerators)
        if firm:
            _add_firm(space, job.account, accelerators)
        _refresh(ledger, space)


def _claim(
    ledger: Ledger, job: model.Job, placement: model.Placement, sign: int
) -> None:
    for worker_id, part in placement:
        space = ledger.spaces[worker_id]
        accelerators = sign * part
        space.claimed += accelerators
        _add_used(ledger, space, job.account, accelerators)
        _add_firm(space, job.account, accelerators)
        _refresh(ledger, space)


def _mark(ledger: Ledger, entry: decisions.Running, sign: int) -> None:
    for worker_id, accelerators in entry.placement:
        space = ledger.spaces.get(worker_id)
        if space is None:
            continue
        space.stopping += sign * accelerators
        space.used[entry.job.account] -= sign * accelerators
        if sign > 0:
            space.jobs.pop(entry.job.id, None)
        else:
            space.jobs[entry.job.id] = entry
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
    if after:
        space.firm[account] = after
    else:
        space.firm.pop(account, None)
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
