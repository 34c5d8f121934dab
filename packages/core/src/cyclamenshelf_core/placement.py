"""Placement of gangs on the free capacity of the workers."""

from collections.abc import Callable
from collections.abc import Iterable

from cyclamenshelf_core import decisions
from cyclamenshelf_core import guarantees
from cyclamenshelf_core import ledger as ledgers
from cyclamenshelf_core import model

GetCapacity = Callable[[ledgers.WorkerCapacity], int]


def find_placement(
    ledger: ledgers.Ledger, job: model.Job
) -> model.Placement | None:
    """Return workers on which a gang can start at once, or None.

    A preemptible job uses capacity guaranteed to other accounts, or reserved,
    only if no unreserved capacity fits it.
    """
    shape = job.spec.shape
    kind = ledgers.CapacityKind.UNRESERVED
    placement = _find_in_one_rack(ledger, shape, kind)
    if placement is None and decisions.is_preemptible(job):
        kind = ledgers.CapacityKind.ANY
        placement = _find_in_one_rack(ledger, shape, kind)
    if placement is not None:
        return placement
    if (
        job.account in ledger.guaranteed_workers
        and kind is ledgers.CapacityKind.UNRESERVED
    ):
        return _find_with_guarantee(ledger, job)
    return _find_across_racks(
        ledger, shape, lambda capacity: capacity.free_by_kind[kind]
    )


def fits_when_empty(
    ledger: ledgers.Ledger, job: model.Job, exclude_guaranteed: bool
) -> bool:
    """Return whether a gang would fit if no job were running.

    Args:
        ledger: The workers and their guaranteed capacity.
        job: The job.
        exclude_guaranteed: Whether to exclude the capacity that is guaranteed
            to other accounts.
    """

    def get_usable(capacity: ledgers.WorkerCapacity) -> int:
        guaranteed = 0
        if exclude_guaranteed and capacity.guaranteed:
            own = capacity.guaranteed.get(job.account, 0)
            guaranteed = sum(capacity.guaranteed.values()) - own
        return capacity.worker.accelerators - guaranteed

    shape = job.spec.shape
    return any(
        count_slots(capacities, shape.accelerators, get_usable) >= shape.parts
        for capacities in ledgers.list_groups(ledger, shape.within)
    )


def count_slots(
    capacities: Iterable[ledgers.WorkerCapacity],
    accelerators: int,
    get_free: GetCapacity,
) -> int:
    """Return how many parts of this size fit on the workers."""
    return sum(get_free(capacity) // accelerators for capacity in capacities)


def place_parts(
    capacities: Iterable[ledgers.WorkerCapacity],
    shape: model.Shape,
    get_free: GetCapacity,
) -> model.Placement:
    """Place a gang that fits, on the workers with the least capacity first."""
    chosen: list[model.PartPlacement] = []
    for free, worker_id in sorted(
        (get_free(capacity), capacity.worker.id) for capacity in capacities
    ):
        count = min(free // shape.accelerators, shape.parts - len(chosen))
        part = model.PartPlacement(worker_id, shape.accelerators)
        chosen += [part] * count
        if len(chosen) == shape.parts:
            break
    return tuple(chosen)


def _find_in_one_rack(
    ledger: ledgers.Ledger, shape: model.Shape, kind: ledgers.CapacityKind
) -> model.Placement | None:
    """Place a gang in the rack with the least free capacity that fits it."""
    size = shape.accelerators
    racks_by_total = ledger.racks_by_total[kind]
    for total in range(shape.parts * size, len(racks_by_total)):
        for rack in racks_by_total[total].values():
            slots = 0
            for capacity in rack.capacities:
                slots += capacity.free_by_kind[kind] // size
            if slots >= shape.parts:
                return place_parts(
                    rack.capacities,
                    shape,
                    lambda capacity: capacity.free_by_kind[kind],
                )
    return None


def _find_with_guarantee(
    ledger: ledgers.Ledger, job: model.Job
) -> model.Placement | None:
    """Place a non-preemptible gang, using its account's guaranteed capacity."""

    def get_free(capacity: ledgers.WorkerCapacity) -> int:
        return ledgers.get_free_capacity(
            capacity, job.account, preemptible=False
        )

    shape = job.spec.shape
    racks = {
        capacity.rack.key: capacity.rack
        for capacity in ledger.guaranteed_workers[job.account]
    }
    for rack in racks.values():
        if count_slots(rack.capacities, shape.accelerators, get_free) >= (
            shape.parts
        ):
            return place_parts(rack.capacities, shape, get_free)
    return _find_across_racks(ledger, shape, get_free)


def _find_across_racks(
    ledger: ledgers.Ledger, shape: model.Shape, get_free: GetCapacity
) -> model.Placement | None:
    """Place a gang that fits in no single rack on as few racks as possible."""
    if shape.within is model.Within.RACK:
        return None
    groups: dict[tuple[str, ...], list[tuple[int, ledgers.Rack]]] = {}
    for rack in ledger.racks.values():
        slots = count_slots(rack.capacities, shape.accelerators, get_free)
        if slots:
            worker = rack.capacities[0].worker
            key = guarantees.get_group(worker, shape.within)
            groups.setdefault(key, []).append((slots, rack))
    fitting = [
        racks
        for racks in groups.values()
        if sum(slots for slots, _ in racks) >= shape.parts
    ]
    if not fitting:
        return None
    racks = min(fitting, key=lambda racks: sum(slots for slots, _ in racks))
    racks.sort(key=lambda entry: (-entry[0], entry[1].key))
    chosen: list[model.PartPlacement] = []
    for slots, rack in racks:
        parts = min(slots, shape.parts - len(chosen))
        if parts == 0:
            break
        subshape = shape._replace(parts=parts)
        chosen += place_parts(rack.capacities, subshape, get_free)
    return tuple(chosen)
