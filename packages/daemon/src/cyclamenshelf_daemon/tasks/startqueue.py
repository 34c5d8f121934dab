"""How many starts are sent at a time.

A start is sent once its worker is stored with the job. Without a limit, a
job of thousands of tasks keeps the others waiting for seconds.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cyclamenshelf_core import planstate
from cyclamenshelf_daemon.tasks import ledger as ledgers

# Starts that are not acknowledged yet, of one step and of all.
MAX_STEP_STARTS = 256
_MAX_STARTS = 512
_PENDING = (ledgers.Phase.PLANNED, ledgers.Phase.STARTING)


class _Claim(NamedTuple):
    """Tasks that are planned to start.

    Attributes:
        position: Position of their start in the plan.
        wanted: Number of tasks.
        pending: Number of starts of their step that are on their way.
    """

    position: int
    wanted: int
    pending: int


def count_pending(runs: Iterable[ledgers.Run]) -> int:
    """Return the number of runs whose start is not acknowledged."""
    return sum(run.phase in _PENDING for run in runs)


def limit_starts(
    ledger: ledgers.Ledger, starts: list[planstate.Start]
) -> list[planstate.Start]:
    """Return the starts of a plan that are sent now; others are planned again.

    A gang is sent as a whole, if there is any room for it. The other steps
    share the room so that none has more starts on their way than another that
    waits: a small step isn't delayed by large ones.
    """
    room = _MAX_STARTS - count_pending(ledger.runs.values())
    counts: dict[int, int] = {}
    claims: list[_Claim] = []
    for position, start in enumerate(starts):
        group, wanted = start.group, len(start.placements)
        if not ledger.jobs[group.job_id].job.steps[group.step].gang:
            runs = ledger.by_group.get(group, {})
            pending = count_pending(runs.values())
            claims.append(_Claim(position, wanted, pending))
        elif room > 0:
            counts[position] = wanted
            room -= wanted
    counts |= _share_room(claims, max(0, room))
    return [
        start._replace(placements=start.placements[:count])
        for position, start in enumerate(starts)
        if (count := counts.get(position, 0))
    ]


def _share_room(claims: list[_Claim], room: int) -> dict[int, int]:
    """Return how many tasks of each claim are started, by its position."""
    level = _find_level(claims, room)
    counts = {c.position: _count_up_to(c, level) for c in claims}
    room -= sum(counts.values())
    # Less is left than one for each claim that wants more.
    for claim in claims:
        more = _count_up_to(claim, level + 1) - counts[claim.position]
        if room >= more > 0:
            counts[claim.position] += more
            room -= more
    return counts


def _find_level(claims: list[_Claim], room: int) -> int:
    """Return the number of starts on their way that each claim may reach."""
    low, high = 0, _MAX_STARTS
    while low < high:
        middle = (low + high + 1) // 2
        if sum(_count_up_to(claim, middle) for claim in claims) <= room:
            low = middle
        else:
            high = middle - 1
    return low


def _count_up_to(claim: _Claim, level: int) -> int:
    return max(0, min(claim.wanted, level - claim.pending))
