"""The operators' lists in force on this host.

The version only rises. A host that cannot confirm its version for
`CONFIRM_BOUND_MS` says so, and its users decide what that means for them.
"""

import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import lists as list_files
from cyclamenshelf_core import model
from cyclamenshelf_daemon import configurationrows
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import tableclient

CURRENT_KEY = configurationrows.CURRENT_KEY
CONFIRM_BOUND_MS = 60_000
_POLL_INTERVAL_MS = 1_000
_WAIT_INTERVAL_MS = 20


class Rejected(NamedTuple):
    """Stored lists that did not come into force, as they do not parse.

    Attributes:
        row_version: Version of the table row; the lists' own may be missing.
    """

    row_version: int
    problems: tuple[str, ...]


class Configuration:
    """The lists in force and when they were last confirmed as current.

    Attributes:
        stored: The texts of the lists in force; None before the first.
        rejected: Newer stored lists that do not parse, or None. The version
            in force is then not confirmed, as it is not the current one.
        confirmed_at_ms: Monotonic time at which the last read that found the
            version in force was sent; None before the first.
    """

    def __init__(
        self, table: tableclient.TableClient, clock: clocks.Clock
    ) -> None:
        self.table = table
        self.clock = clock
        self.lists = model.Lists(0, {}, {})
        self.stored: configurationrows.Stored | None = None
        self.rejected: Rejected | None = None
        self.confirmed_at_ms: int | None = None
        self.wake = threading.Event()
        self.lock = threading.Lock()


def start_polling(configuration: Configuration) -> None:
    """Read the lists once, then keep reading them in a thread."""
    refresh(configuration)
    threading.Thread(
        target=_poll, args=(configuration,), name="configuration", daemon=True
    ).start()


def refresh(configuration: Configuration) -> None:
    """Read the stored lists; a newer version comes into force."""
    sent_at_ms = configuration.clock.now_ms()
    try:
        if _is_newest(configuration):
            _confirm(configuration, sent_at_ms)
            return
        row = tableclient.read_rows(configuration.table, [CURRENT_KEY]).get(
            CURRENT_KEY
        )
    except errors.StoreUnavailableError as error:
        logs.log_event("configuration_not_read", "WARNING", detail=error)
        return
    if row is not None:
        _take_row(configuration, row, sent_at_ms)


def _is_newest(configuration: Configuration) -> bool:
    """Return whether the small head row names the version in force.

    Each edit writes the head with the lists, which can be long: a poll that
    finds no newer version does not read them.
    """
    if not configuration.lists.version or configuration.rejected is not None:
        return False
    key = configurationrows.HEAD_KEY
    row = tableclient.read_rows(configuration.table, [key]).get(key)
    return row is not None and row.value == configurationrows.encode_head(
        configuration.lists.version
    )


def is_confirmed(configuration: Configuration) -> bool:
    """Return whether the version was confirmed within the bound."""
    age_ms = get_confirmation_age(configuration)
    return age_ms is not None and age_ms < CONFIRM_BOUND_MS


def get_confirmation_age(configuration: Configuration) -> int | None:
    """Return the time since the version was confirmed, in milliseconds."""
    confirmed_at_ms = configuration.confirmed_at_ms
    if confirmed_at_ms is None:
        return None
    return configuration.clock.now_ms() - confirmed_at_ms


def note_version(configuration: Configuration, version: int) -> None:
    """Take a hint that a version exists; read it if it is newer."""
    if version > configuration.lists.version:
        configuration.wake.set()


def wait_for_version(
    configuration: Configuration, version: int, timeout_ms: int
) -> bool:
    """Return whether this host has the version, or a newer one, in force.

    Args:
        configuration: The lists in force.
        version: The version that is waited for.
        timeout_ms: How long to wait for it; 0 only looks.
    """
    give_up_ms = configuration.clock.now_ms() + timeout_ms
    note_version(configuration, version)
    while configuration.lists.version < version:
        left_ms = give_up_ms - configuration.clock.now_ms()
        if left_ms <= 0:
            return False
        configuration.clock.sleep_ms(min(_WAIT_INTERVAL_MS, left_ms))
    return True


def _take_row(
    configuration: Configuration, row: tableclient.Row, sent_at_ms: int
) -> None:
    rejected = configuration.rejected
    if rejected is not None and rejected.row_version == row.version:
        return  # Already reported, and each read would report it again.
    try:
        stored = configurationrows.decode_stored(CURRENT_KEY, row.value)
        if stored.version > configuration.lists.version:
            lists = list_files.parse_lists(
                stored.plans, stored.allowances, stored.version
            )
            _put_in_force(configuration, stored, lists, row.version)
    except errors.InvalidListsError as error:
        _reject(configuration, row.version, error)
        return
    if stored.version == configuration.lists.version:
        _confirm(configuration, sent_at_ms)


def _confirm(configuration: Configuration, sent_at_ms: int) -> None:
    with configuration.lock:
        configuration.confirmed_at_ms = max(
            sent_at_ms, configuration.confirmed_at_ms or sent_at_ms
        )


def _put_in_force(
    configuration: Configuration,
    stored: configurationrows.Stored,
    lists: model.Lists,
    row_version: int,
) -> None:
    with configuration.lock:
        # A read that was answered late must not bring back an older version.
        if lists.version <= configuration.lists.version:
            return
        configuration.lists = lists
        configuration.stored = stored
        rejected = configuration.rejected
        if rejected is not None and rejected.row_version < row_version:
            configuration.rejected = None
    logs.log_event(
        "configuration_in_force",
        version=lists.version,
        author=stored.author,
        accounts=len(lists.accounts),
        plans=len(lists.plans),
    )


def _reject(
    configuration: Configuration,
    row_version: int,
    error: errors.InvalidListsError,
) -> None:
    with configuration.lock:
        rejected = configuration.rejected
        if rejected is not None and rejected.row_version > row_version:
            return
        configuration.rejected = Rejected(
            row_version, tuple(map(str, error.problems))
        )
    logs.log_event(
        "configuration_rejected",
        "ERROR",
        in_force=configuration.lists.version,
        row_version=row_version,
        detail=error,
    )


def _poll(configuration: Configuration) -> None:
    while True:
        configuration.wake.wait(_POLL_INTERVAL_MS / 1000)
        configuration.wake.clear()
        refresh(configuration)
