"""Interfaces through which the scheduler uses the store and the workers.

The composition root provides implementations that call the real services; the
scheduler itself is independent of any protocol. Every function makes a single
attempt and returns, raises or reports the outcome within its timeout; the
caller does the retries.
"""

from collections.abc import Callable
import enum
from typing import NamedTuple

from cyclamenshelf_core import taskjobs


class RowKey(NamedTuple):
    """The address of a row in the store.

    Attributes:
        part: Partition of the table. The store serialises the transactions of
            one partition; transactions across partitions take longer.
    """

    table: str
    key: str
    part: str = ""


class Row(NamedTuple):
    """A row and its version; a `value` of None marks a deleted row."""

    key: RowKey
    version: int
    value: bytes | None


class ReadResult(NamedTuple):
    """Rows of a table, and the store version at which they were read."""

    rows: list[Row]
    version: int


class Transaction(NamedTuple):
    """Writes that the store applies atomically.

    Attributes:
        checks: Expected version by key; 0 means that the row does not exist.
    """

    checks: dict[RowKey, int]
    puts: dict[RowKey, bytes]
    deletes: tuple[RowKey, ...] = ()


class Store(NamedTuple):
    """Client of the table store.

    Attributes:
        commit: Applies a transaction; returns its version. Arguments: the
            transaction, timeout in ms. Raises errors.WriteConflictError,
            errors.StoreUnavailableError (nothing was written), its subclass
            errors.WriteRejectedError (nor will be by a retry) or
            errors.OutcomeUnknownError.
        read: Returns the rows of a table's default partition. Arguments:
            table, timeout in ms. Raises errors.StoreUnavailableError.
        read_row: Returns one row, if it exists. Arguments: its key, timeout
            in ms. Raises errors.StoreUnavailableError.
        list_keys: Returns the keys of a table that start with a prefix.
            Arguments: table, prefix, timeout in ms. Raises
            errors.StoreUnavailableError.
        follow: Waits for changes of a table after a version. Arguments:
            table, version, maximum wait in ms. Raises
            errors.StoreUnavailableError or errors.HistoryLostError.
    """

    commit: Callable[[Transaction, int], int]
    read: Callable[[str, int], ReadResult]
    read_row: Callable[[RowKey, int], ReadResult]
    list_keys: Callable[[str, str, int], list[str]]
    follow: Callable[[str, int, int], ReadResult]


class WorkerInfo(NamedTuple):
    """One incarnation of a worker, as the worker describes itself.

    Attributes:
        started_ms: Unix time of its start; distinguishes incarnations that
            share an id.
        draining_ms: Minimum time left before the worker shuts down, or None
            if it is not draining.
        data_centre: Data centre of the worker; empty if it is not known.
        cold_ms: How much longer tasks are slow on it after its start.
    """

    id: str
    started_ms: int
    address: str
    service: str
    rack: str
    labels: frozenset[str]
    capacity: taskjobs.Resources
    draining_ms: int | None
    data_centre: str = ""
    cold_ms: int = 0


class EndKind(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningTask(NamedTuple):
    """A task run that is in progress on a worker.

    Attributes:
        percent: How much of the task's work is done; 100 for the member of a
            gang that waits for the others. Below 100 while a long-running task
            starts up.
        reading: Recent tail latency in ms of a latency-sensitive task, and
            processor use of any other; None if the worker reports none.
    """

    name: str
    run: int
    checkpoint: str
    percent: int = 100
    reading: float | None = None


class EndedTask(NamedTuple):
    """The end of a run; `number` increases within a worker's incarnation."""

    number: int
    name: str
    run: int
    kind: EndKind
    checkpoint: str


class RenewalResponse(NamedTuple):
    """A worker's response to the renewal of its lease.

    Attributes:
        clock_ms: The worker's own clock, by which its lease is measured.
        complete: Whether `ended` lists all ends that the worker still
            remembers.
    """

    started_ms: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    complete: bool


class Refusal(enum.StrEnum):
    """Why a worker rejected an order."""

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
        ticket: Approval of the recommendation service; empty if the step
            needs none.
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


class PaceOrder(NamedTuple):
    """An order to let a run work only part of the time.

    Attributes:
        percent: Part of the time, from 0 to 100; 100 at the start of a run.
    """

    worker: WorkerInfo
    name: str
    run: int
    percent: int
    epoch: int


class Renewal(NamedTuple):
    """A renewal of a worker's lease, which also requests its running tasks.

    Attributes:
        lease_until_ms: End of the lease on the worker's clock, or None to
            poll without renewing the lease.
        last_stored_end: Number of the last end that is durably stored.
        wait_ms: How long the worker may delay its response to wait for an
            end.
    """

    worker: WorkerInfo
    epoch: int
    lease_until_ms: int | None
    last_stored_end: int
    wait_ms: int


class Recommendation(NamedTuple):
    """Which of the proposed workers may run a step.

    Attributes:
        tickets: Ticket that a start order has to carry, by worker id.
        valid_ms: How long the tickets are valid.
    """

    tickets: dict[str, str]
    valid_ms: int


class AdviserSilentError(Exception):
    """The recommendation service did not respond, or rejected the call."""


# Requests which workers may run a step. Arguments: the step's name, worker ids,
# timeout in ms. Raises AdviserSilentError.
Advise = Callable[[str, tuple[str, ...], int], Recommendation]


class WorkerSilentError(Exception):
    """A worker did not respond; it may have executed the order or still may."""


class OrderOutcome(NamedTuple):
    """How a call with an order ended.

    Attributes:
        refusal: Why the worker refused the order; None if it accepted it.
        error: Why there is no response: the worker may have executed the order
            or still may. Empty if it responded.
    """

    refusal: Refusal | None = None
    error: str = ""


# Called with the outcome of an order, in a thread that must not wait.
OnOutcome = Callable[[OrderOutcome], None]


class WorkerConnection(NamedTuple):
    """A dedicated connection to one worker.

    Attributes:
        renew: Sends a renewal; returns a RenewalResponse or a Refusal. The
            argument builds the renewal; it is called with True if the
            connection is new, so that end numbers of an earlier incarnation
            are not acknowledged to a restarted worker. Raises
            WorkerSilentError.
        close: Closes the connection.
    """

    renew: Callable[[Callable[[bool], Renewal]], RenewalResponse | Refusal]
    close: Callable[[], None]


class WorkerClient(NamedTuple):
    """Client that sends orders to workers.

    Orders are sent without waiting for the response. Arguments: the order, a
    timeout in ms, and what is called with the outcome after the call has
    returned, once.

    Attributes:
        connect: Opens the connection over which a worker's lease is renewed.
        start: Sends a start order; it is accepted if the task runs.
        stop: Sends a stop order.
        pace: Sends an order of a pace.
    """

    connect: Callable[[WorkerInfo], WorkerConnection]
    start: Callable[[StartOrder, int, OnOutcome], None]
    stop: Callable[[StopOrder, int, OnOutcome], None]
    pace: Callable[[PaceOrder, int, OnOutcome], None]
