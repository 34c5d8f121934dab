"""Where the other entry hosts are, by rows that each writes about itself."""

import json
import random
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon.tasks import ports

TABLE = "hosts"
_REFRESH_MS = 5_000
_RETRY_MS = 500
_CALL_MS = 900
# A host that did not answer is not tried again for this long.
_AVOID_MS = 5_000


class Member(NamedTuple):
    """An entry host, and where it takes calls of other hosts."""

    name: str
    address: str
    data_centre: str


class Members:
    """The hosts as last read.

    Attributes:
        me: This host.
        others: The other hosts by name.
        avoided: Monotonic time until which a host is not tried, by name.
    """

    def __init__(self, me: Member) -> None:
        self.me = me
        self.others: dict[str, Member] = {}
        self.avoided: dict[str, int] = {}
        self.lock = threading.Lock()


def start_refreshing(
    members: Members,
    store: ports.Store,
    clock: clocks.Clock,
    stopping: threading.Event,
) -> threading.Thread:
    """Start the thread that reads the hosts and keeps this one's row."""
    thread = threading.Thread(
        target=_run,
        args=(members, store, clock, stopping),
        name="members",
        daemon=True,
    )
    thread.start()
    return thread


def choose_peers(
    members: Members, now_ms: int, generator: random.Random
) -> list[Member]:
    """Return the hosts to try, those of the same data centre first."""
    with members.lock:
        usable = [
            member
            for member in members.others.values()
            if members.avoided.get(member.name, 0) <= now_ms
        ]
    generator.shuffle(usable)
    usable.sort(key=lambda member: member.data_centre != members.me.data_centre)
    return usable


def note_silent(members: Members, member: Member, now_ms: int) -> None:
    """Avoid a host that did not answer for a while."""
    with members.lock:
        members.avoided[member.name] = now_ms + _AVOID_MS


def refresh(members: Members, store: ports.Store) -> None:
    """Read the hosts; write this one's row if it is not there.

    Raises:
        errors.StoreError: The store did not answer.
    """
    found = {
        member.name: member
        for row in store.read(TABLE, _CALL_MS).rows
        if (member := _decode(row)) is not None
    }
    mine = found.pop(members.me.name, None)
    with members.lock:
        members.others = found
    if mine != members.me:
        key = ports.RowKey(TABLE, members.me.name)
        value = json.dumps(members.me._asdict()).encode()
        store.commit(ports.Transaction({}, {key: value}), _CALL_MS)
        logs.log_event("host_listed", address=members.me.address)


def _run(
    members: Members,
    store: ports.Store,
    clock: clocks.Clock,
    stopping: threading.Event,
) -> None:
    while not stopping.is_set():
        read = supervision.run_logged("members_unread", refresh, members, store)
        # A host that has just listed itself did not see those that started
        # with it.
        known = read and members.others
        stopping.wait((_REFRESH_MS if known else _RETRY_MS) / 1000)


def _decode(row: ports.Row) -> Member | None:
    try:
        return Member(**json.loads(row.value or b""))
    except (TypeError, ValueError):
        return None
