"""Shared state of the operator interface and parsing of its requests."""

from collections.abc import Callable
import threading
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core import model
from cyclamenshelf_daemon import cellowner
from cyclamenshelf_daemon import configuration
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import tableclient
from cyclamenshelf_daemon import webserver

_MAX_TEXT_LENGTH = 200


class OperatorContext(NamedTuple):
    """Components of the process that the operator interface uses.

    Attributes:
        operator_port: Port of the operator interface, the same on all entry
            hosts.
        token_sha256: SHA-256 of the operators' bearer token, in hex.
        request_slots: Limits concurrent authenticated requests to one less
            than the number of threads, so that a thread is always left for
            health checks.
        draining: Set once the host has started to drain.
        get_owner: Returns the cell owner, or None if this process does not own
            the cell.
        get_members: Returns the other entry hosts with their states.
        get_peer_counters: Returns the counters of messages between hosts.
        cancel_job: Requests the cell owner to cancel a job.
        request_drain: Makes the process drain and exit.
    """

    host_id: str
    cell: str
    operator_port: int
    token_sha256: str
    request_slots: threading.Semaphore
    configuration: configuration.Configuration
    host_list: hostlist.HostList
    table: tableclient.TableClient
    clock: clocks.Clock
    draining: threading.Event
    get_owner: Callable[[], cellowner.CellOwner | None]
    get_members: Callable[[], list[dict[str, str]]]
    get_peer_counters: Callable[[], dict[str, int]]
    cancel_job: Callable[[model.Job], None]
    request_drain: Callable[[], None]


OperatorHandler = Callable[
    [OperatorContext, webserver.Request], webserver.Response
]
Route = tuple[str, str, OperatorHandler]


def get_fleet(context: OperatorContext) -> dict[str, model.Worker] | None:
    """Return the listed workers, or None if the list was not read yet."""
    if context.host_list.read_at_ms is None:
        return None
    return context.host_list.hosts.workers


def read_body(
    request: webserver.Request,
    required: dict[str, type],
    optional: dict[str, type] | None = None,
) -> dict[str, Any]:
    """Return the fields of a JSON body.

    Args:
        request: The request.
        required: Type of each required field.
        optional: Type of each optional field.

    Raises:
        errors.InvalidFieldError: The body is not a JSON object, or a field is
            missing, unknown or of the wrong type.
    """
    try:
        body = jsontexts.decode(request.body)
    except (ValueError, RecursionError):
        raise errors.InvalidFieldError("body", "JSON", "invalid JSON") from None
    if not isinstance(body, dict):
        raise errors.InvalidFieldError("body", "an object", body)
    fields = required | (optional or {})
    for name in body:
        if name not in fields:
            raise errors.InvalidFieldError(
                name[:_MAX_TEXT_LENGTH],
                f"one of {sorted(fields)}",
                "an unknown field",
            )
    for name, expected in fields.items():
        if name not in body and name not in required:
            continue
        if type(body.get(name)) is not expected:
            raise errors.InvalidFieldError(
                name, f"a value of type {expected.__name__}", body.get(name)
            )
    return body


def check_text(field: str, text: str) -> str:
    """Return `text` if it is fit to be shown in lists and logs.

    Raises:
        errors.InvalidFieldError: The text is empty, too long or not printable.
    """
    if not 0 < len(text) <= _MAX_TEXT_LENGTH or not text.isprintable():
        raise errors.InvalidFieldError(
            field, f"1 to {_MAX_TEXT_LENGTH} printable characters", text
        )
    return text


def read_query_number(
    request: webserver.Request, name: str, default: int | None, maximum: int
) -> int | None:
    """Return a number from the query string, or `default` if it is absent.

    Raises:
        errors.InvalidFieldError: The value is not a number from 0 to `maximum`.
    """
    text = request.query.get(name)
    if text is None:
        return default
    # The length limit avoids converting a very long text.
    if not (text.isascii() and text.isdecimal()) or len(text) > 12:
        raise errors.InvalidFieldError(name, f"0 to {maximum}", text)
    if int(text) > maximum:
        raise errors.InvalidFieldError(name, f"0 to {maximum}", text)
    return int(text)
