"""The plans and allowances lists in force on this host.

The version in force never decreases. A host that could not confirm its
version within `CONFIRM_BOUND_MS` reports it as unconfirmed; callers decide
how to handle that.
"""

import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import lists as list_files
from cyclamenshelf_core import model
from cyclamenshelf_daemon import configurationrows
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon import tableclient

CURRENT_KEY = configurationrows.CURRENT_KEY
CONFIRM_BOUND_MS = 60_000
_POLL_INTERVAL_MS = 1_000
_WAIT_INTERVAL_MS = 20


class RejectedLists(NamedTuple):
    """Stored lists that were not put in force because they do not parse.

    Attributes:
        row_version: Version of the table row, as the version of the lists
            may be missing.
    """

    row_version: int
    problems: tuple[str, ...]


class Configuration:
    """The lists in force and when they were last confirmed to be current.

    Attributes:
        stored: Texts of the lists in force; None until lists are read.
        rejected: Newer stored lists that do not parse, or None. While set,
            the version in force is not confirmed, as it is not current.
        confirmed_at_ms: Monotonic time at which the last read that confirmed
            the version in force was sent; None before the first.
        wake: Set to make the polling thread read the lists at once.
    """

    def __init__(
        self, table: tableclient.TableClient, clock: clocks.Clock
    ) -> None:
        self.table = table
        self.clock = clock
        self.lists = model.Lists(0, {}, {})
        self.stored: configurationrows.StoredLists | None = None
        self.rejected: RejectedLists | None = None
        self.confirmed_at_ms: int | None = None
        self.wake = threading.Event()
        self.lock = threading.Lock()


def start_polling(configuration: Configuration) -> None:
    """Read the lists once, then start a thread that polls them."""
    refresh(configuration)
    threading.Thread(
        target=supervision.run_until_stopped,
        args=(
            "configuration_failed",
            threading.Event(),
            _poll,
            configuration,
        ),
        name="configuration",
        daemon=True,
    ).start()


def refresh(configuration: Configuration) -> None:
    """Read the stored lists and put a newer version in force."""
    sent_at_ms = configuration.clock.now_ms()
    try:
        if _is_head_current(configuration):
            _record_confirmation(configuration, sent_at_ms)
            return
        row = tableclient.read_rows(configuration.table, [CURRENT_KEY]).get(
            CURRENT_KEY
        )
    except errors.StoreUnavailableError as error:
        logs.log_event("configuration_not_read", "WARNING", detail=error)
        return
    if row is not None:
        _apply_row(configuration, row, sent_at_ms)


def _is_head_current(configuration: Configuration) -> bool:
    """Return whether the head row holds the version in force.

    Every edit writes the head row in the same transaction as the lists.
    Polls read this small row first, so that they fetch the lists, which can
    be long, only when there is a newer version.
    """
    if not configuration.lists.version or configuration.rejected is not None:
        return False
    key = configurationrows.HEAD_KEY
    row = tableclient.read_rows(configuration.table, [key]).get(key)
    return row is not None and row.value == configurationrows.encode_head(
        configuration.lists.version
    )


def is_confirmed(configuration: Configuration) -> bool:
    """Return whether the version was confirmed within `CONFIRM_BOUND_MS`."""
    age_ms = get_confirmation_age(configuration)
    return age_ms is not None and age_ms < CONFIRM_BOUND_MS


def get_confirmation_age(configuration: Configuration) -> int | None:
    """Return the time since the last confirmation, in milliseconds."""
    confirmed_at_ms = configuration.confirmed_at_ms
    if confirmed_at_ms is None:
        return None
    return configuration.clock.now_ms() - confirmed_at_ms


def request_version(configuration: Configuration, version: int) -> None:
    """Wake the polling thread if a version is newer than the one in force."""
    if version > configuration.lists.version:
        configuration.wake.set()


def wait_for_version(
    configuration: Configuration, version: int, timeout_ms: int
) -> bool:
    """Wait until a version or a newer one is in force on this host.

    Args:
        configuration: The lists in force.
        version: The version to wait for.
        timeout_ms: Maximum time to wait; 0 checks once without waiting.

    Returns:
        Whether the version, or a newer one, is in force.
    """
    timeout_at_ms = configuration.clock.now_ms() + timeout_ms
    request_version(configuration, version)
    while configuration.lists.version < version:
        remaining_ms = timeout_at_ms - configuration.clock.now_ms()
        if remaining_ms <= 0:
            return False
        configuration.clock.sleep_ms(min(_WAIT_INTERVAL_MS, remaining_ms))
    return True


def _apply_row(
    configuration: Configuration, row: tableclient.Row, sent_at_ms: int
) -> None:
    rejected = configuration.rejected
    if rejected is not None and rejected.row_version == row.version:
        return  # Already logged; do not log it again on every poll.
    try:
        stored = configurationrows.decode_stored(CURRENT_KEY, row.value)
        if stored.version > configuration.lists.version:
            lists = list_files.parse_lists(
                stored.plans, stored.allowances, stored.version
            )
            _activate_lists(configuration, stored, lists, row.version)
    except errors.InvalidListsError as error:
        _record_rejection(configuration, row.version, error)
        return
    if stored.version == configuration.lists.version:
        _record_confirmation(configuration, sent_at_ms)


def _record_confirmation(configuration: Configuration, sent_at_ms: int) -> None:
    with configuration.lock:
        configuration.confirmed_at_ms = max(
            sent_at_ms, configuration.confirmed_at_ms or sent_at_ms
        )


def _activate_lists(
    configuration: Configuration,
    stored: configurationrows.StoredLists,
    lists: model.Lists,
    row_version: int,
) -> None:
    with configuration.lock:
        # A delayed response to an earlier read must not restore an older
        # version.
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


def _record_rejection(
    configuration: Configuration,
    row_version: int,
    error: errors.InvalidListsError,
) -> None:
    with configuration.lock:
        rejected = configuration.rejected
        if rejected is not None and rejected.row_version > row_version:
            return
        configuration.rejected = RejectedLists(
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
    """Wait until the lists have to be read, and read them."""
    configuration.wake.wait(_POLL_INTERVAL_MS / 1000)
    configuration.wake.clear()
    refresh(configuration)
