"""The operators' requests to empty data centres, as this host knows them.

They are rows of the table that holds the operators' lists, of which each host
keeps a copy.
"""

from collections.abc import Callable
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon.tasks import following
from cyclamenshelf_daemon.tasks import ports

# Share of the time limit for which a copy counts as current. The rest is for
# the order that is sent by it.
_MAX_AGE_SHARE = 0.5


class Requests(NamedTuple):
    """The requests in force.

    Attributes:
        copy: Copy of the table that holds them.
        decode: Returns the data centre that a row asks to empty, or None for
            other rows of the table.
        bound_ms: Time after a request from which no task may be started in
            its data centre; None if no limit is set.
    """

    copy: following.TableCopy
    decode: Callable[[ports.Row], str | None]
    clock: clocks.Clock
    bound_ms: int | None


def list_data_centres(requests: Requests) -> frozenset[str]:
    """Return the data centres that operators have asked to empty."""
    with requests.copy.lock:
        rows = tuple(requests.copy.rows.values())
    decoded = (requests.decode(row) for row in rows)
    return frozenset(name for name in decoded if name is not None)


def are_current(requests: Requests) -> bool:
    """Return whether a request made earlier than the limit would be known."""
    confirmed_ms = requests.copy.confirmed_ms
    if confirmed_ms is None:
        return False
    if requests.bound_ms is None:
        return True
    age_ms = requests.clock.now_ms() - confirmed_ms
    return age_ms <= _MAX_AGE_SHARE * requests.bound_ms


def is_evacuated(info: ports.WorkerInfo, data_centres: frozenset[str]) -> bool:
    """Return whether a worker is, or may be, in one of the data centres."""
    if not info.data_centre:
        return bool(data_centres)
    return info.data_centre in data_centres


def may_start(requests: Requests, info: ports.WorkerInfo) -> bool:
    """Return whether a task may be started on a worker now."""
    return are_current(requests) and not is_evacuated(
        info, list_data_centres(requests)
    )
