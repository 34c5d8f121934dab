"""The exception hierarchy.

Each error has a stable `code` for callers and logs. An error that rejects a
request also states in `run` whether the request was run.
"""

import enum
from typing import Any
from typing import NamedTuple


class Run(enum.StrEnum):
    """Whether a rejected or ended request was run."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class CyclamenshelfError(Exception):
    """Base class of all errors of the project."""

    code = "internal"


class InvalidTextError(CyclamenshelfError, ValueError):
    """A text of another program cannot be decoded."""

    code = "invalid_text"

    def __init__(self, expected: str, found: str) -> None:
        super().__init__(f"expected {expected}, got {found}")


class StoreError(CyclamenshelfError):
    """A call to the table service or the object store failed."""

    code = "store_unavailable"

    def __init__(self, store: str, detail: str) -> None:
        super().__init__(f"{store}: {detail}")
        self.store = store
        self.detail = detail


class StoreUnavailableError(StoreError):
    """The store did not accept the call; nothing was written."""


class WriteRejectedError(StoreUnavailableError):
    """The store refused a write for good; the same write always fails."""

    code = "write_rejected"


class HistoryLostError(StoreError):
    """The store no longer keeps the requested changes."""

    code = "history_lost"


class OutcomeUnknownError(StoreError):
    """The store may or may not have applied the write."""

    code = "outcome_unknown"


class WriteConflictError(CyclamenshelfError):
    """A row did not have the expected version.

    Attributes:
        versions: Actual version by key, for the rows that differ.
    """

    code = "conflict"

    def __init__(self, versions: dict[Any, int]) -> None:
        super().__init__(f"rows have other versions than expected: {versions}")
        self.versions = versions


class LeaseLostError(CyclamenshelfError):
    """The holder can no longer prove that it holds the cell lease."""

    code = "lease_lost"

    def __init__(self, cell: str, epoch: int) -> None:
        super().__init__(
            f"cannot prove that cell {cell} is held at epoch {epoch}"
        )
        self.cell = cell
        self.epoch = epoch


class WorkerError(CyclamenshelfError):
    """A command to a worker failed.

    Attributes:
        sent: Whether the worker may have received the command.
    """

    code = "worker_unreachable"

    def __init__(self, worker: str, detail: str, sent: bool) -> None:
        super().__init__(f"worker {worker}: {detail}")
        self.worker = worker
        self.sent = sent


class WorkerRefusedError(WorkerError):
    """The worker rejected the command."""

    code = "worker_refused"

    def __init__(self, worker: str, reason: str) -> None:
        super().__init__(worker, reason, sent=True)
        self.reason = reason


class FencedError(WorkerRefusedError):
    """The worker has received a command of a newer epoch of the cell."""

    code = "fenced"


class RequestRefusedError(CyclamenshelfError):
    """A request is rejected.

    Attributes:
        run: Whether the request was run.
        status: HTTP status of the response.
        field: Name of the invalid field, or None.
        job_id: Id of the job to query, or None.
        retry_after_ms: Time to wait before a retry is useful, or None.
    """

    code = "refused"
    status = 400

    def __init__(
        self,
        message: str,
        *,
        run: Run = Run.NOT_RUN,
        field: str | None = None,
        job_id: str | None = None,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(message)
        self.run = run
        self.field = field
        self.job_id = job_id
        self.retry_after_ms = retry_after_ms


class InvalidFieldError(RequestRefusedError):
    """A field of the request is missing, unknown or out of range."""

    code = "invalid_field"
    status = 422

    def __init__(self, field: str, expected: str, got: object) -> None:
        super().__init__(
            f"{field}: expected {expected}, got {got!r:.80}", field=field
        )


class UnauthenticatedError(RequestRefusedError):
    """The bearer token matches no client account."""

    code = "unauthenticated"
    status = 401


class NotFoundError(RequestRefusedError):
    """The resource does not exist for the caller's account."""

    code = "not_found"
    status = 404


class KeyReusedError(RequestRefusedError):
    """The idempotency key was already used with another body."""

    code = "idempotency_key_reused"
    status = 409


class JobCancelledError(RequestRefusedError):
    """The job was cancelled before it was stored, and never runs."""

    code = "job_cancelled"
    status = 410


class NeverFitsError(RequestRefusedError):
    """The job exceeds the limits of its plan or the capacity of all workers."""

    code = "never_fits"
    status = 422


class QueueFullError(RequestRefusedError):
    """The account has reached its queue or request rate limit."""

    code = "queue_full"
    status = 429


class OverloadedError(RequestRefusedError):
    """The job would end too late to be of use; it is not stored."""

    code = "overloaded"
    status = 429


class StoreDownError(RequestRefusedError):
    """The request needs the store, which is unavailable."""

    code = "store_unavailable"
    status = 503


class ConfigurationUnconfirmedError(RequestRefusedError):
    """The host cannot confirm that its configuration is current."""

    code = "configuration_unconfirmed"
    status = 503


class BackendFailedError(RequestRefusedError):
    """No backend server returned a complete response."""

    code = "backend_failed"
    status = 502


class DeadlinePassedError(RequestRefusedError):
    """The caller's deadline passed before a response arrived."""

    code = "deadline_passed"
    status = 504


class BodyTooLargeError(RequestRefusedError):
    """The request body exceeds the size limit."""

    code = "body_too_large"
    status = 413


class ListsRefusedError(RequestRefusedError):
    """The operators' lists are invalid, or their guarantees do not fit.

    Attributes:
        problems: Descriptions of the problems in the lists.
        conflicts: Descriptions of the guarantees that cannot be assigned.
    """

    code = "lists_refused"
    status = 422

    def __init__(
        self, problems: tuple[str, ...], conflicts: tuple[str, ...]
    ) -> None:
        super().__init__(
            f"problems in the lists: {len(problems)}, "
            f"guarantees that cannot be assigned: {len(conflicts)}"
        )
        self.problems = problems
        self.conflicts = conflicts


class ConfigurationConflictError(RequestRefusedError):
    """A newer version was written since the operator read the configuration.

    Attributes:
        author: Author of the current version.
        time_ms: Unix time of the current version.
        diff: Unified diff from the version that was read to the current one.
    """

    code = "configuration_conflict"
    status = 409

    def __init__(
        self,
        *,
        base_version: int,
        current_version: int,
        author: str,
        time_ms: int,
        diff: str,
    ) -> None:
        super().__init__(
            f"version {base_version} was read, but version {current_version} "
            "is current"
        )
        self.base_version = base_version
        self.current_version = current_version
        self.author = author
        self.time_ms = time_ms
        self.diff = diff


class CommandOutcomeUnknownError(RequestRefusedError):
    """An operator's command may or may not have been applied."""

    code = "outcome_unknown"
    status = 503


class FleetUnknownError(RequestRefusedError):
    """The fleet is unknown, as the host list has not been read yet."""

    code = "fleet_unknown"
    status = 503


class NotOwnerError(RequestRefusedError):
    """Only the cell owner can handle the request, and this host is not it.

    Attributes:
        owner_host: Id of the host that owns the cell, or None.
        operator_url: URL of its operator API, or None.
    """

    code = "not_owner"
    status = 421

    def __init__(
        self, owner_host: str | None, operator_url: str | None
    ) -> None:
        super().__init__(
            f"host {owner_host} owns the cell"
            if owner_host
            else "no host owns the cell now"
        )
        self.owner_host = owner_host
        self.operator_url = operator_url


class HostBusyError(RequestRefusedError):
    """The host is handling too many operator requests."""

    code = "host_busy"
    status = 503


class Problem(NamedTuple):
    """A problem in a document.

    Attributes:
        source: Name of the list, or path of the file.
        line: Line number, from 1.
        path: Path of the field; empty for the whole document.
        expected: Description of the values that are valid.
        got: Description of the actual value; never a secret.
    """

    source: str
    line: int
    path: str
    expected: str
    got: str

    def __str__(self) -> str:
        field = f"{self.path}: " if self.path else ""
        return (
            f"{self.source}:{self.line}: {field}"
            f"expected {self.expected}, got {self.got}"
        )


class InvalidListsError(CyclamenshelfError):
    """The operators' lists cannot be parsed or violate a rule.

    Attributes:
        problems: All problems of both lists.
    """

    code = "invalid_lists"

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("; ".join(map(str, problems)))
        self.problems = problems


class InvalidSettingsError(CyclamenshelfError):
    """The settings file violates its schema.

    Attributes:
        problems: All problems of the file.
    """

    code = "invalid_settings"

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("; ".join(map(str, problems)))
        self.problems = problems
