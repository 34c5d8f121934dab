"""What the interface to operators is built on, and reading of its bodies."""

from collections.abc import Callable
import json
import threading
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import model
from cyclamenshelf_daemon import cellowner
from cyclamenshelf_daemon import configuration
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import tableclient
from cyclamenshelf_daemon import webserver

_MAX_TEXT = 200


class OperatorContext(NamedTuple):
    """Parts of the process that operators ask or command.

    Attributes:
        operator_port: Port of this interface, the same on all entry hosts.
        token_sha256: SHA-256 of the operators' bearer token, in hex.
        free_threads: Threads that requests with a credential may take; one
            less than there are, so that health checks are always answered.
        draining: Set while the host is about to stop.
        get_owner: Returns the cell owner if this process is it.
        get_members: Returns the other entry hosts with their states.
        get_peer_counters: Returns the counts of messages between hosts.
        cancel_job: Asks the cell owner to cancel a job.
        request_drain: Makes the process drain and exit.
    """

    host_id: str
    cell: str
    operator_port: int
    token_sha256: str
    free_threads: threading.Semaphore
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


Handle = Callable[[OperatorContext, webserver.Request], webserver.Response]
Route = tuple[str, str, Handle]


def get_fleet(context: OperatorContext) -> dict[str, model.Worker] | None:
    """Return the listed workers, or None if the list was never read."""
    if context.host_list.read_at_ms is None:
        return None
    return context.host_list.hosts.workers


def read_body(
    request: webserver.Request,
    required: dict[str, type],
    optional: dict[str, type] | None = None,
) -> dict[str, Any]:
    """Return the fields of a JSON body.

    Raises:
        errors.InvalidFieldError: A field is missing, unknown or mistyped.
    """
    try:
        body = json.loads(request.body)
    except (ValueError, RecursionError):
        raise errors.InvalidFieldError("body", "JSON", "other bytes") from None
    if not isinstance(body, dict):
        raise errors.InvalidFieldError("body", "an object", body)
    known = required | (optional or {})
    for name in body:
        if name not in known:
            raise errors.InvalidFieldError(
                name[:_MAX_TEXT], f"one of {sorted(known)}", "an unknown field"
            )
    for name, expected in known.items():
        if name not in body and name not in required:
            continue
        if type(body.get(name)) is not expected:
            raise errors.InvalidFieldError(
                name, f"a value of type {expected.__name__}", body.get(name)
            )
    return body


def check_text(field: str, text: str) -> str:
    """Return a short text that is shown in lists and logs.

    Raises:
        errors.InvalidFieldError: It is empty, too long or not printable.
    """
    if not 0 < len(text) <= _MAX_TEXT or not text.isprintable():
        raise errors.InvalidFieldError(
            field, f"1 to {_MAX_TEXT} printable characters", text
        )
    return text


def read_number(
    request: webserver.Request, name: str, default: int | None, maximum: int
) -> int | None:
    """Return a number of the query.

    Raises:
        errors.InvalidFieldError: It is not a number from 0 to `maximum`.
    """
    text = request.query.get(name)
    if text is None:
        return default
    # The length bounds the conversion of a long text.
    if not (text.isascii() and text.isdecimal()) or len(text) > 12:
        raise errors.InvalidFieldError(name, f"0 to {maximum}", text)
    if int(text) > maximum:
        raise errors.InvalidFieldError(name, f"0 to {maximum}", text)
    return int(text)
