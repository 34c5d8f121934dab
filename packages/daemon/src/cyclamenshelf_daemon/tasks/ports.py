"""What the scheduler needs of the store and of the workers.

A composition root fills these with functions that speak to real services;
the scheduler knows no protocol. Every function makes one try and returns or
raises within its time limit; retries are the caller's.
"""

from collections.abc import Callable
import enum
from typing import NamedTuple

from cyclamenshelf_core import taskjobs


class RowKey(NamedTuple):
    """Where a row stands.

    Attributes:
        part: Part of the table. The store makes the transactions of one part
            one after another; those of several parts take longer.
    """

    table: str
    key: str
    part: str = ""


class Row(NamedTuple):
    """A row; `value` is None in a list of changes if the row was deleted."""

    key: RowKey
    version: int
    value: bytes | None


class Reading(NamedTuple):
    """Rows of a table, and the version of the store that they show."""

    rows: list[Row]
    version: int


class Transaction(NamedTuple):
    """Writes that happen together, or not at all.

    Attributes:
        checks: Expected version by key; 0 means absent.
    """

    checks: dict[RowKey, int]
    puts: dict[RowKey, bytes]
    deletes: tuple[RowKey, ...] = ()


class Store(NamedTuple):
    """The table service.

    Attributes:
        commit: Applies a transaction; returns its version. Arguments: the
            transaction and the time limit in ms. Raises
            errors.WriteConflictError, errors.StoreUnavailableError (nothing
            was done) or errors.OutcomeUnknownError.
        read: Returns the rows of a table without a part. Arguments: table,
            time limit in ms. Raises errors.StoreUnavailableError.
        read_row: Returns one row, if it exists. Arguments: its key, time
            limit in ms. Raises errors.StoreUnavailableError.
        list_keys: Returns the keys of a table that begin with a prefix.
            Arguments: table, prefix, time limit in ms. Raises
            errors.StoreUnavailableError.
        follow: Waits for changes of a table after a version. Arguments:
            table, version, how long to wait in ms. Raises
            errors.StoreUnavailableError or errors.HistoryLostError.
    """

    commit: Callable[[Transaction, int], int]
    read: Callable[[str, int], Reading]
    read_row: Callable[[RowKey, int], Reading]
    list_keys: Callable[[str, str, int], list[str]]
    follow: Callable[[str, int, int], Reading]


class WorkerInfo(NamedTuple):
    """One life of a worker as it describes itself.

    Attributes:
        born_ms: Unix time of its start; tells two lives under an id apart.
        draining_ms: Least time left before it goes, or None if it stays.
    """

    id: str
    born_ms: int
    address: str
    service: str
    rack: str
    labels: frozenset[str]
    capacity: taskjobs.Resources
    draining_ms: int | None


class EndKind(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningTask(NamedTuple):
    """A run that a worker holds."""

    name: str
    run: int
    checkpoint: str


class EndedTask(NamedTuple):
    """The end of a run; numbers rise within a life of the worker."""

    number: int
    name: str
    run: int
    kind: EndKind
    checkpoint: str


class Look(NamedTuple):
    """What a worker answered when its lease was renewed.

    Attributes:
        clock_ms: Its own clock, on which its lease is counted.
        complete: Whether all ends are listed that it still remembers.
    """

    born_ms: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    complete: bool


class Refusal(enum.StrEnum):
    """Why a worker did not carry out an order."""

    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no_room"
    GONE = "gone"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class StartOrder(NamedTuple):
    """An order to start a task.

    Attributes:
        lease_until_ms: End of the lease on the worker's clock.
        ticket: Approval of the recommendation service; empty if none is due.
    """

    worker: WorkerInfo
    name: str
    run: int
    payload: str
    checkpoint: str
    lease_until_ms: int
    epoch: int
    ticket: str = ""


class StopOrder(NamedTuple):
    """An order to stop a run."""

    worker: WorkerInfo
    name: str
    run: int
    epoch: int


class Renewal(NamedTuple):
    """A renewal of a worker's lease, which also asks what runs there.

    Attributes:
        lease_until_ms: End of the lease on the worker's clock, or None to
            ask only.
        seen: Number of the last end that is safely stored.
        wait_ms: How long the worker may wait for an end.
    """

    worker: WorkerInfo
    epoch: int
    lease_until_ms: int | None
    seen: int
    wait_ms: int


class Advised(NamedTuple):
    """Which of the named workers may run a step.

    Attributes:
        tickets: What a start on the worker has to carry, by worker.
        valid_ms: How long the tickets are valid.
    """

    tickets: dict[str, str]
    valid_ms: int


class AdviserSilentError(Exception):
    """The recommendation service gave no answer, or refused the call."""


# Asks which workers may run a step. Arguments: the step's name, ids of
# workers, time limit in ms. Raises AdviserSilentError.
Advise = Callable[[str, tuple[str, ...], int], Advised]


class WorkerSilentError(Exception):
    """A worker gave no answer; the order may be carried out, also later."""


class WorkerConnection(NamedTuple):
    """A connection of its own to one worker.

    Attributes:
        look: Sends a renewal; returns a Look or a Refusal. The argument
            is called with True if the connection is new and has to make the
            renewal from it, so that numbers of an earlier life are not
            confirmed to a new one. Raises WorkerSilentError.
        close: Drops the connection.
    """

    look: Callable[[Callable[[bool], Renewal]], Look | Refusal]
    close: Callable[[], None]


class Workers(NamedTuple):
    """Orders to workers.

    Attributes:
        connect: Opens the connection for the renewals of a worker.
        start: Sends a start; None means that it runs. Second argument: time
            limit in ms. Raises WorkerSilentError.
        stop: Sends a stop; None means that it was taken. As `start`.
    """

    connect: Callable[[WorkerInfo], WorkerConnection]
    start: Callable[[StartOrder, int], Refusal | None]
    stop: Callable[[StopOrder, int], Refusal | None]
