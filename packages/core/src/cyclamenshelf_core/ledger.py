"""Free, allocated, guaranteed and claimed accelerators of all workers.

A ledger keeps the running jobs and guarantees between decisions, so that the
cost of a decision depends only on what has changed. The starts, claims,
reservations and preemptions of a decision are rolled back at its end, because
the next snapshot shows which of them took effect.
"""

from collections.abc import Callable
from collections.abc import Iterator
import enum

from cyclamenshelf_core import decisions
from cyclamenshelf_core import guarantees
from cyclamenshelf_core import model


class CapacityKind(enum.IntEnum):
    """Which free accelerators are counted.

    `UNRESERVED` excludes guaranteed and reserved accelerators. `ANY` includes
    them and applies to preemptible jobs.
    """

    UNRESERVED = 0
    ANY = 1


class WorkerCapacity:
    """The capacity of one worker and its use, in accelerators.

    Attributes:
        worker: The worker.
        rack: The rack of the worker.
        free: Accelerators that are not allocated to any job.
        stopping: Accelerators of jobs that are being stopped.
        claimed: Accelerators claimed by queued jobs.
        held: Accelerators reserved against use by non-preemptible jobs.
        guaranteed: Guaranteed accelerators by account.
        non_preemptible: Accelerators of non-preemptible jobs and of claims by
            account, without jobs that are being stopped.
        used: Accelerators of all jobs and claims by account, without jobs
            that are being stopped.
        committed: Sum over accounts of the larger of `guaranteed` and
            `non_preemptible`.
        free_by_kind: Free accelerators by `CapacityKind`.
        jobs: The jobs with parts on this worker by id, without those that are
            being stopped.
    """

    __slots__ = (
        "worker",
        "rack",
        "free",
        "stopping",
        "claimed",
        "held",
        "guaranteed",
        "non_preemptible",
        "used",
        "committed",
        "free_by_kind",
        "jobs",
    )

    def __init__(self, worker: model.Worker, rack: "Rack") -> None:
        self.worker = worker
        self.rack = rack
        self.free = worker.accelerators
        self.stopping = 0
        self.claimed = 0
        self.held = 0
        self.guaranteed: dict[str, int] = {}
        self.non_preemptible: dict[str, int] = {}
        self.used: dict[str, int] = {}
        self.committed = 0
        self.free_by_kind = [0, 0]
        self.jobs: dict[str, decisions.RunningJob] = {}


class Rack:
    """The workers of one rack and their total free accelerators."""

    __slots__ = ("key", "capacities", "totals")

    def __init__(self, key: tuple[str, ...]) -> None:
        self.key = key
        self.capacities: list[WorkerCapacity] = []
        self.totals = [0, 0]


class Ledger:
    """All workers, with racks indexed by their total free accelerators.

    Attributes:
        workers: The workers by id.
        largest: Accelerators of the largest worker.
        capacities: The capacity of each worker by worker id.
        racks: The racks by group key.
        racks_by_total: By `CapacityKind`, the racks with each total of free
            accelerators. Dictionaries keep the order reproducible.
        guaranteed: Guaranteed accelerators by worker and account.
        guaranteed_workers: The workers with guarantees of each account.
        allocated_by_account: Allocated and claimed accelerators by account.
        recorded: The recorded running jobs by id.
        rollback_steps: Functions that undo the changes of the current
            decision, called from the last to the first.
    """

    def __init__(self, workers: dict[str, model.Worker]) -> None:
        self.workers = dict(workers)
        self.largest = max(
            (worker.accelerators for worker in workers.values()), default=0
        )
        self.capacities: dict[str, WorkerCapacity] = {}
        self.racks: dict[tuple[str, ...], Rack] = {}
        self.guaranteed: guarantees.AcceleratorsByWorker = {}
        self.guaranteed_workers: dict[str, list[WorkerCapacity]] = {}
        self.allocated_by_account: dict[str, int] = {}
        self.recorded: dict[str, decisions.RunningJob] = {}
        self.rollback_steps: list[Callable[[], None]] = []
        for worker in workers.values():
            key = guarantees.get_group(worker, model.Within.RACK)
            rack = self.racks.get(key)
            if rack is None:
                rack = self.racks[key] = Rack(key)
            capacity = WorkerCapacity(worker, rack)
            capacity.free_by_kind = _compute_free_by_kind(capacity)
            rack.capacities.append(capacity)
            self.capacities[worker.id] = capacity
        largest = 0
        for rack in self.racks.values():
            total = sum(capacity.free for capacity in rack.capacities)
            rack.totals = [total for _ in CapacityKind]
            largest = max(largest, total)
        self.racks_by_total: list[list[dict[tuple[str, ...], Rack]]] = [
            [{} for _ in range(largest + 1)] for _ in CapacityKind
        ]
        for rack in self.racks.values():
            for kind in CapacityKind:
                self.racks_by_total[kind][rack.totals[kind]][rack.key] = rack


def update_running(
    ledger: Ledger, running: dict[str, decisions.RunningJob]
) -> None:
    """Record jobs that started or changed and remove jobs that ended."""
    recorded = ledger.recorded
    touched: dict[str, WorkerCapacity] = {}
    for job_id in sorted(recorded.keys() - running.keys()):
        _record_job(ledger, recorded.pop(job_id), -1, touched)
    changed = [
        job_id
        for job_id, entry in running.items()
        if recorded.get(job_id) is not entry
    ]
    for job_id in changed:
        entry, previous = running[job_id], recorded.get(job_id)
        if previous == entry:
            continue
        if previous is not None:
            _record_job(ledger, previous, -1, touched)
        _record_job(ledger, entry, 1, touched)
        recorded[job_id] = entry
    for capacity in touched.values():
        _update_free(ledger, capacity)


def update_guaranteed(
    ledger: Ledger, guaranteed: guarantees.AcceleratorsByWorker
) -> None:
    """Replace the guaranteed accelerators by worker and account."""
    if guaranteed == ledger.guaranteed:
        return
    ledger.guaranteed_workers = {}
    for worker_id in ledger.guaranteed.keys() | guaranteed.keys():
        capacity = ledger.capacities[worker_id]
        capacity.guaranteed = dict(guaranteed.get(worker_id, {}))
        capacity.committed = sum(
            max(
                capacity.guaranteed.get(account, 0),
                capacity.non_preemptible.get(account, 0),
            )
            for account in capacity.guaranteed.keys()
            | capacity.non_preemptible.keys()
        )
        _update_free(ledger, capacity)
    for worker_id, by_account in guaranteed.items():
        for account in by_account:
            ledger.guaranteed_workers.setdefault(account, []).append(
                ledger.capacities[worker_id]
            )
    ledger.guaranteed = guaranteed


def sum_non_preemptible(ledger: Ledger) -> guarantees.AcceleratorsByWorker:
    """Return the non-preemptible accelerators by worker and account."""
    return {
        worker_id: capacity.non_preemptible
        for worker_id, capacity in ledger.capacities.items()
        if capacity.non_preemptible
    }


def roll_back(ledger: Ledger) -> None:
    """Undo the changes of the current decision."""
    while ledger.rollback_steps:
        ledger.rollback_steps.pop()()


def _record_job(
    ledger: Ledger,
    entry: decisions.RunningJob,
    sign: int,
    touched: dict[str, WorkerCapacity],
) -> None:
    """Record a running job, or remove it if the sign is -1."""
    non_preemptible = not entry.stopping and not decisions.is_preemptible(
        entry.job
    )
    account = entry.job.account
    for worker_id, part in entry.placement:
        accelerators = sign * part
        ledger.allocated_by_account[account] = (
            ledger.allocated_by_account.get(account, 0) + accelerators
        )
        capacity = ledger.capacities.get(worker_id)
        if capacity is None:
            continue
        touched[worker_id] = capacity
        capacity.free -= accelerators
        if entry.stopping:
            capacity.stopping += accelerators
            continue
        capacity.used[account] = capacity.used.get(account, 0) + accelerators
        if non_preemptible:
            _add_non_preemptible(capacity, account, accelerators)
        if sign > 0:
            capacity.jobs[entry.job.id] = entry
        else:
            capacity.jobs.pop(entry.job.id, None)


def reserve(ledger: Ledger, amounts: dict[str, int], sign: int = 1) -> None:
    """Reserve accelerators against use by non-preemptible jobs.

    A sign of -1 releases the reservation.
    """
    _change_reservation(ledger, amounts, sign)
    ledger.rollback_steps.append(
        lambda: _change_reservation(ledger, amounts, -sign)
    )


def allocate(
    ledger: Ledger,
    job: model.Job,
    placement: model.Placement,
    sign: int = 1,
) -> None:
    """Allocate accelerators to a job, or release them if the sign is -1."""
    _change_allocation(ledger, job, placement, sign)
    ledger.rollback_steps.append(
        lambda: _change_allocation(ledger, job, placement, -sign)
    )


def claim(
    ledger: Ledger,
    job: model.Job,
    placement: model.Placement,
    sign: int = 1,
) -> None:
    """Claim accelerators for a queued job, or release them if the sign is -1.

    A claim cannot be preempted, so it counts as non-preemptible.
    """
    _change_claim(ledger, job, placement, sign)
    ledger.rollback_steps.append(
        lambda: _change_claim(ledger, job, placement, -sign)
    )


def mark_stopping(ledger: Ledger, entry: decisions.RunningJob) -> None:
    """Record that a running preemptible job is being stopped."""
    _change_stopping(ledger, entry, 1)
    ledger.rollback_steps.append(lambda: _change_stopping(ledger, entry, -1))


def _change_reservation(
    ledger: Ledger, amounts: dict[str, int], sign: int
) -> None:
    for worker_id, accelerators in amounts.items():
        capacity = ledger.capacities.get(worker_id)
        if capacity is not None:
            capacity.held += sign * accelerators
            _update_free(ledger, capacity)


def _change_allocation(
    ledger: Ledger, job: model.Job, placement: model.Placement, sign: int
) -> None:
    non_preemptible = not decisions.is_preemptible(job)
    for worker_id, part in placement:
        capacity = ledger.capacities[worker_id]
        accelerators = sign * part
        capacity.free -= accelerators
        _add_used(ledger, capacity, job.account, accelerators)
        if non_preemptible:
            _add_non_preemptible(capacity, job.account, accelerators)
        _update_free(ledger, capacity)


def _change_claim(
    ledger: Ledger, job: model.Job, placement: model.Placement, sign: int
) -> None:
    for worker_id, part in placement:
        capacity = ledger.capacities[worker_id]
        accelerators = sign * part
        capacity.claimed += accelerators
        _add_used(ledger, capacity, job.account, accelerators)
        _add_non_preemptible(capacity, job.account, accelerators)
        _update_free(ledger, capacity)


def _change_stopping(
    ledger: Ledger, entry: decisions.RunningJob, sign: int
) -> None:
    for worker_id, accelerators in entry.placement:
        capacity = ledger.capacities.get(worker_id)
        if capacity is None:
            continue
        capacity.stopping += sign * accelerators
        capacity.used[entry.job.account] -= sign * accelerators
        if sign > 0:
            capacity.jobs.pop(entry.job.id, None)
        else:
            capacity.jobs[entry.job.id] = entry
        _update_free(ledger, capacity)


def get_free_capacity(
    capacity: WorkerCapacity, account: str, preemptible: bool
) -> int:
    """Return the free accelerators that a job may use immediately."""
    if preemptible:
        return capacity.free_by_kind[CapacityKind.ANY]
    if account in capacity.guaranteed:
        return min(
            capacity.free_by_kind[CapacityKind.ANY],
            get_non_preemptible_limit(capacity, account),
        )
    return capacity.free_by_kind[CapacityKind.UNRESERVED]


def get_non_preemptible_limit(capacity: WorkerCapacity, account: str) -> int:
    """Return what the non-preemptible jobs of an account may use in addition.

    This includes accelerators that preemptible jobs are using.
    """
    uncommitted = (
        capacity.worker.accelerators - capacity.committed - capacity.held
    )
    own = capacity.guaranteed.get(account, 0) - capacity.non_preemptible.get(
        account, 0
    )
    return max(0, uncommitted) + max(0, own)


def get_free_after_stops(capacity: WorkerCapacity) -> int:
    """Return what is free and unclaimed once stopping jobs have ended."""
    return max(0, capacity.free + capacity.stopping - capacity.claimed)


def list_groups(
    ledger: Ledger, within: model.Within
) -> Iterator[list[WorkerCapacity]]:
    """Yield the workers of each group that a gang may span."""
    if within is model.Within.RACK:
        for rack in ledger.racks.values():
            yield rack.capacities
        return
    groups: dict[tuple[str, ...], list[WorkerCapacity]] = {}
    for capacity in ledger.capacities.values():
        key = guarantees.get_group(capacity.worker, within)
        groups.setdefault(key, []).append(capacity)
    yield from groups.values()


def _add_used(
    ledger: Ledger, capacity: WorkerCapacity, account: str, accelerators: int
) -> None:
    capacity.used[account] = capacity.used.get(account, 0) + accelerators
    ledger.allocated_by_account[account] = (
        ledger.allocated_by_account.get(account, 0) + accelerators
    )


def _add_non_preemptible(
    capacity: WorkerCapacity, account: str, accelerators: int
) -> None:
    guaranteed = capacity.guaranteed.get(account, 0)
    before = capacity.non_preemptible.get(account, 0)
    after = before + accelerators
    if after:
        capacity.non_preemptible[account] = after
    else:
        capacity.non_preemptible.pop(account, None)
    capacity.committed += max(guaranteed, after) - max(guaranteed, before)


def _compute_free_by_kind(capacity: WorkerCapacity) -> list[int]:
    free = capacity.free - max(0, capacity.claimed - capacity.stopping)
    total = max(0, free)
    uncommitted = (
        capacity.worker.accelerators - capacity.committed - capacity.held
    )
    return [min(total, max(0, uncommitted)), total]


def _update_free(ledger: Ledger, capacity: WorkerCapacity) -> None:
    free_by_kind = _compute_free_by_kind(capacity)
    rack = capacity.rack
    for kind in CapacityKind:
        change = free_by_kind[kind] - capacity.free_by_kind[kind]
        if change:
            racks_by_total = ledger.racks_by_total[kind]
            del racks_by_total[rack.totals[kind]][rack.key]
            rack.totals[kind] += change
            racks_by_total[rack.totals[kind]][rack.key] = rack
    capacity.free_by_kind = free_by_kind
