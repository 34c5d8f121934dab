"""Summary of the work that a service has to do, and its encoding as a row.

The scheduler knows all jobs; the hosts that accept jobs know the summary.
"""

from collections.abc import Iterable
import json
from typing import NamedTuple
from typing import TypedDict

from cyclamenshelf_core import errors
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.overload import callercost

# Bound the row: accounts with the most work, and entries of queued work of one
# priority and urgency.
MAX_ACCOUNTS = 300
_MAX_QUEUED = 8
_URGENCIES = {int(urgency): urgency for urgency in callercost.Urgency}


class Work(NamedTuple):
    """Resources times the milliseconds for which they are needed."""

    cpu_millis: int
    memory_mb: int
    accelerators: int


NO_WORK = Work(0, 0, 0)


class QueuedWork(NamedTuple):
    """Work of groups that wait next to each other in the planner's order.

    Attributes:
        urgency: Whether the groups can still end in time.
        last_key: Their greatest key in that order: the Unix time of the latest
            start in time, or the work that a late job has left. See
            `callercost.get_order_key`.
    """

    priority: int
    urgency: callercost.Urgency
    last_key: float
    work: Work


class AccountWork(NamedTuple):
    """Work of one account and priority that waits, in core-milliseconds."""

    priority: int
    account: str
    core_ms: float


class ServiceBacklog(NamedTuple):
    """The work of one service.

    Attributes:
        capacity: Resources of all its workers.
        free: Resources of them that no task uses.
        largest_free: The most of each resource that is free on one worker.
        held: Resources that long-running tasks hold, by priority.
        running: Work that running tasks have left, by priority.
        queued: Work that waits and is still of use to its callers.
        accounts: The same by account.
        guarantee_use: Accelerators of the jobs that guarantees cover, by
            account.
    """

    capacity: taskjobs.Resources
    free: taskjobs.Resources
    largest_free: taskjobs.Resources
    held: dict[int, taskjobs.Resources]
    running: dict[int, Work]
    queued: tuple[QueuedWork, ...]
    accounts: tuple[AccountWork, ...]
    guarantee_use: dict[str, int]


class Backlog(NamedTuple):
    """The work of all services that have more of it than room.

    Attributes:
        wall_ms: Unix time at which it was true.
    """

    wall_ms: int
    services: dict[str, ServiceBacklog]


class _ServiceRow(TypedDict):
    capacity: tuple[int, int, int]
    free: tuple[int, int, int]
    largest_free: tuple[int, int, int]
    held: dict[int, tuple[int, int, int]]
    running: dict[int, tuple[int, int, int]]
    queued: list[tuple[int, int, float, tuple[int, int, int]]]
    accounts: list[tuple[int, str, float]]
    guarantee_use: dict[str, int]


class _BacklogRow(TypedDict):
    wall_ms: int
    services: dict[str, _ServiceRow]


def multiply(need: taskjobs.Resources, duration_ms: int) -> Work:
    """Return the work of using resources for a time."""
    return _limit(amount * duration_ms for amount in need)


def add(left: Work, right: Work) -> Work:
    """Return the sum of two amounts of work."""
    return _limit(a + b for a, b in zip(left, right, strict=True))


def _limit(amounts: Iterable[int]) -> Work:
    """Return amounts of work, none larger than what a row may hold."""
    return Work(*(min(amount, jsontexts.MAX_NUMBER) for amount in amounts))


def count_core_ms(work: Work) -> float:
    """Return work as core-milliseconds."""
    return callercost.count_cores(taskjobs.Resources(*work))


def compute_duration_ms(
    work: Work, capacity: taskjobs.Resources, needed: tuple[bool, ...]
) -> int:
    """Return how long work occupies the resource that is free last.

    Args:
        work: The work.
        capacity: The resources that do it.
        needed: Which resources count.
    """
    return max(
        (
            amount // max(1, total)
            for amount, total, counts in zip(
                work, capacity, needed, strict=True
            )
            if counts
        ),
        default=0,
    )


def merge_queued(queued: Iterable[QueuedWork]) -> tuple[QueuedWork, ...]:
    """Return queued work with neighbours merged into a few of similar size."""
    ordered = sorted(queued)
    totals: dict[tuple, float] = {}
    for entry in ordered:
        key = entry[:2]
        totals[key] = totals.get(key, 0) + count_core_ms(entry.work)
    merged: list[QueuedWork] = []
    for entry in ordered:
        last = merged[-1] if merged else None
        limit = totals[entry[:2]] / _MAX_QUEUED
        if last and last[:2] == entry[:2] and count_core_ms(last.work) < limit:
            merged[-1] = entry._replace(work=add(last.work, entry.work))
        else:
            merged.append(entry)
    return tuple(merged)


def list_largest(
    core_ms: dict[tuple[int, str], float],
) -> tuple[AccountWork, ...]:
    """Return the work by priority and account, the largest amounts first."""
    ordered = sorted(core_ms.items(), key=lambda item: -item[1])
    return tuple(
        AccountWork(*key, amount) for key, amount in ordered[:MAX_ACCOUNTS]
    )


def encode(backlog: Backlog) -> bytes:
    """Return the row value of a backlog."""
    row = {
        "wall_ms": backlog.wall_ms,
        "services": {
            name: service._asdict()
            for name, service in backlog.services.items()
        },
    }
    return json.dumps(row, separators=(",", ":")).encode()


def decode(value: bytes) -> Backlog | None:
    """Return the backlog of a row value, or None if it is invalid."""
    try:
        row = jsontexts.decode(value, _BacklogRow)
        services = _decode_services(row["services"])
    except (errors.InvalidTextError, KeyError):
        return None
    return Backlog(row["wall_ms"], services)


def _decode_services(
    rows: dict[str, _ServiceRow],
) -> dict[str, ServiceBacklog]:
    return {
        name: ServiceBacklog(
            taskjobs.Resources(*service["capacity"]),
            taskjobs.Resources(*service["free"]),
            taskjobs.Resources(*service["largest_free"]),
            {
                priority: taskjobs.Resources(*held)
                for priority, held in service["held"].items()
            },
            {
                priority: Work(*work)
                for priority, work in service["running"].items()
            },
            tuple(
                QueuedWork(priority, _URGENCIES[urgency], key, Work(*work))
                for priority, urgency, key, work in service["queued"]
            ),
            tuple(AccountWork(*entry) for entry in service["accounts"]),
            service["guarantee_use"],
        )
        for name, service in rows.items()
    }
