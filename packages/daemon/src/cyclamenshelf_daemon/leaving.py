"""Marks of backend servers that are leaving.

A mark belongs to one incarnation of a server, so a server that is listed as
live again under a new incarnation is not marked. If the host list gives no
incarnation, a mark is removed once the list has shown the server as leaving or
absent and then as live again.

Marks come from the host list, from the server itself or from another host. One
that another host reported without an incarnation expires and is not relayed:
hosts that learn at different times that a server has returned would otherwise
keep sending each other the old mark.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import logs

RELAYED_MARK_MS = 10_000
# How long a server is reported to other hosts after the list has removed it,
# because their copies of the list may be older.
_RETENTION_MS = 60_000
_SEPARATOR = "@"


class Mark(NamedTuple):
    """The mark of one incarnation of a server that is leaving.

    Attributes:
        expires_at_ms: Expiry of a mark that another host reported without an
            incarnation, else None.
        last_listed_ms: When the list last contained this incarnation.
        seen_not_live: Whether the list has shown it as leaving or absent.
    """

    expires_at_ms: int | None
    last_listed_ms: int
    seen_not_live: bool


class LeavingMarks:
    """Marks by backend server id and incarnation."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.marks: dict[tuple[str, str], Mark] = {}


def is_marked(marks: LeavingMarks, backend: hostlist.Backend) -> bool:
    """Return whether the server must not be sent new requests."""
    if backend.leaving:
        return True
    mark = marks.marks.get((backend.id, backend.incarnation))
    return mark is not None and _is_active(mark, marks.clock.now_ms())


def mark_announced(marks: LeavingMarks, backend: hostlist.Backend) -> None:
    """Mark a server that announced in a response that it is leaving."""
    with marks.lock:
        _add_mark(marks, (backend.id, backend.incarnation), None)


def mark_relayed(
    marks: LeavingMarks,
    formatted_marks: Iterable[str],
    backends: Mapping[str, hostlist.Backend],
) -> None:
    """Mark the servers that `list_marks` of another host named."""
    with marks.lock:
        for formatted_mark in formatted_marks:
            backend_id, incarnation = _parse_mark(formatted_mark, backends)
            expires_at_ms = None
            if not incarnation:
                expires_at_ms = marks.clock.now_ms() + RELAYED_MARK_MS
            _add_mark(marks, (backend_id, incarnation), expires_at_ms)


def list_marks(marks: LeavingMarks) -> list[str]:
    """Return the marks to report: `<id>` or `<id>@<incarnation>` each."""
    with marks.lock:
        return sorted(
            _SEPARATOR.join(filter(None, key))
            for key, mark in marks.marks.items()
            if mark.expires_at_ms is None
        )


def format_mark(backend: hostlist.Backend) -> str:
    """Return the text by which `list_marks` names a server."""
    return _SEPARATOR.join(filter(None, (backend.id, backend.incarnation)))


def apply_host_list(
    marks: LeavingMarks, backends: Mapping[str, hostlist.Backend]
) -> None:
    """Update the marks after a poll of the host list."""
    now_ms = marks.clock.now_ms()
    with marks.lock:
        for backend in backends.values():
            key = (backend.id, backend.incarnation)
            if backend.leaving:
                _add_mark(marks, key, None)
                marks.marks[key] = Mark(None, now_ms, seen_not_live=True)
            elif key in marks.marks:
                _apply_live_entry(marks, key, now_ms)
        for key, mark in list(marks.marks.items()):
            listed = backends.get(key[0])
            if listed is None or listed.incarnation != key[1]:
                marks.marks[key] = mark._replace(seen_not_live=True)
            if (
                now_ms - mark.last_listed_ms > _RETENTION_MS
                and mark.seen_not_live
            ):
                del marks.marks[key]


def _apply_live_entry(
    marks: LeavingMarks, key: tuple[str, str], now_ms: int
) -> None:
    mark = marks.marks[key]
    returned = mark.seen_not_live and not key[1]
    if returned or not _is_active(mark, now_ms):
        del marks.marks[key]
        logs.log_event("backend_returned", backend=key[0])
    else:
        marks.marks[key] = mark._replace(last_listed_ms=now_ms)


def _add_mark(
    marks: LeavingMarks, key: tuple[str, str], expires_at_ms: int | None
) -> None:
    """Add or extend a mark; one that does not expire stays so."""
    now_ms = marks.clock.now_ms()
    mark = marks.marks.get(key)
    if mark is None:
        mark = Mark(expires_at_ms, now_ms, seen_not_live=False)
        logs.log_event("backend_leaving", backend=key[0], incarnation=key[1])
    elif mark.expires_at_ms is not None:
        mark = mark._replace(expires_at_ms=expires_at_ms)
    marks.marks[key] = mark


def _is_active(mark: Mark, now_ms: int) -> bool:
    return mark.expires_at_ms is None or now_ms < mark.expires_at_ms


def _parse_mark(
    formatted_mark: str, backends: Mapping[str, hostlist.Backend]
) -> tuple[str, str]:
    """Return id and incarnation; an id alone means the listed incarnation."""
    if formatted_mark in backends:
        return formatted_mark, backends[formatted_mark].incarnation
    backend_id, separator, incarnation = formatted_mark.rpartition(_SEPARATOR)
    return (backend_id, incarnation) if separator else (formatted_mark, "")
