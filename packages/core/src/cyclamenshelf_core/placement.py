"""Choice of workers for a gang in the room there is."""

from collections.abc import Callable
from collections.abc import Iterable

from cyclamenshelf_core import decisions
from cyclamenshelf_core import guarantees
from cyclamenshelf_core import ledger as ledgers
from cyclamenshelf_core import model

GetRoom = Callable[[ledgers.Space], int]


def find_placement(
    ledger: ledgers.Ledger, job: model.Job
) -> model.Placement | None:
    """Return workers on which a gang can start at once, or None.

    Stoppable work goes onto workers of others' guarantees only where nothing
    else is free.
    """
    shape = job.spec.shape
    room = ledgers.Room.OPEN
    placement = _find_in_racks(ledger, shape, room)
    if placement is None and decisions.is_stoppable(job):
        room = ledgers.Room.ANY
        placement = _find_in_racks(ledger, shape, room)
    if placement is not None:
        return placement
    if job.account in ledger.pledges and room is ledgers.Room.OPEN:
        return _find_beside_guarantee(ledger, job)
    return _find_across_racks(ledger, shape, lambda space: space.rooms[room])


def fits_when_empty(
    ledger: ledgers.Ledger, job: model.Job, beside_guarantees: bool
) -> bool:
    """Return whether a gang would fit if nothing ran.

    Args:
        ledger: Gives the workers and their pledges.
        job: The job.
        beside_guarantees: Whether to leave out what others are guaranteed.
    """

    def get_size(space: ledgers.Space) -> int:
        pledged = 0
        if beside_guarantees and space.pledged:
            own = space.pledged.get(job.account, 0)
            pledged = sum(space.pledged.values()) - own
        return space.worker.accelerators - pledged

    shape = job.spec.shape
    return any(
        count_slots(spaces, shape.accelerators, get_size) >= shape.parts
        for spaces in ledgers.list_groups(ledger, shape.within)
    )


def count_slots(
    spaces: Iterable[ledgers.Space], accelerators: int, get_room: GetRoom
) -> int:
    """Return how many parts of a gang fit."""
    return sum(get_room(space) // accelerators for space in spaces)


def fill(
    spaces: Iterable[ledgers.Space], shape: model.Shape, get_room: GetRoom
) -> model.Placement:
    """Place a gang that fits, on the workers with the least room first."""
    chosen: list[model.PartPlacement] = []
    for room, worker_id in sorted(
        (get_room(space), space.worker.id) for space in spaces
    ):
        count = min(room // shape.accelerators, shape.parts - len(chosen))
        part = model.PartPlacement(worker_id, shape.accelerators)
        chosen += [part] * count
        if len(chosen) == shape.parts:
            break
    return tuple(chosen)


def _find_in_racks(
    ledger: ledgers.Ledger, shape: model.Shape, room: ledgers.Room
) -> model.Placement | None:
    """Place a gang in the rack with the least room that it fits in."""
    size = shape.accelerators
    buckets = ledger.buckets[room]
    for total in range(shape.parts * size, len(buckets)):
        for rack in buckets[total].values():
            slots = 0
            for space in rack.spaces:
                slots += space.rooms[room] // size
            if slots >= shape.parts:
                return fill(rack.spaces, shape, lambda space: space.rooms[room])
    return None


def _find_beside_guarantee(
    ledger: ledgers.Ledger, job: model.Job
) -> model.Placement | None:
    """Place an unstoppable gang where its account has guaranteed room."""

    def get_room(space: ledgers.Space) -> int:
        return ledgers.get_room(space, job.account, stoppable=False)

    shape = job.spec.shape
    racks = {
        space.rack.key: space.rack for space in ledger.pledges[job.account]
    }
    for rack in racks.values():
        if count_slots(rack.spaces, shape.accelerators, get_room) >= (
            shape.parts
        ):
            return fill(rack.spaces, shape, get_room)
    return _find_across_racks(ledger, shape, get_room)


def _find_across_racks(
    ledger: ledgers.Ledger, shape: model.Shape, get_room: GetRoom
) -> model.Placement | None:
    """Place a gang that no single rack holds on as few racks as possible."""
    if shape.within is model.Within.RACK:
        return None
    groups: dict[tuple[str, ...], list[tuple[int, ledgers.Rack]]] = {}
    for rack in ledger.racks.values():
        slots = count_slots(rack.spaces, shape.accelerators, get_room)
        if slots:
            worker = rack.spaces[0].worker
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
        piece = shape._replace(parts=parts)
        chosen += fill(rack.spaces, piece, get_room)
    return tuple(chosen)
