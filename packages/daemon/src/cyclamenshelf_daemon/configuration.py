"""The operators' lists in force on this host.

The version only rises. A host that cannot confirm its version for
`CONFIRM_BOUND_MS` says so, and its users decide what that means for them.
"""

import threading

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import lists as list_files
from cyclamenshelf_core import model
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import tableclient

CURRENT_KEY = "config/current"
CONFIRM_BOUND_MS = 60_000
_POLL_INTERVAL_MS = 1_000


class Configuration:
    """The lists in force and when they were last confirmed as current."""

    def __init__(
        self, table: tableclient.TableClient, clock: clocks.Clock
    ) -> None:
        self.table = table
        self.clock = clock
        self.lists = model.Lists(0, {}, {})
        self.confirmed_at_ms: int | None = None
        self.wake = threading.Event()


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
        row = tableclient.read_rows(configuration.table, [CURRENT_KEY]).get(
            CURRENT_KEY
        )
        if row is None:
            return
        if row.value["version"] > configuration.lists.version:
            configuration.lists = list_files.parse_lists(
                row.value["plans"],
                row.value["allowances"],
                row.value["version"],
            )
            logs.log_event(
                "configuration_in_force", version=row.value["version"]
            )
    except (errors.StoreUnavailableError, errors.InvalidListsError) as error:
        logs.log_event("configuration_not_read", "WARNING", detail=error)
        return
    if row.value["version"] == configuration.lists.version:
        configuration.confirmed_at_ms = sent_at_ms


def is_confirmed(configuration: Configuration) -> bool:
    """Return whether the version was confirmed within the bound."""
    confirmed_at_ms = configuration.confirmed_at_ms
    return confirmed_at_ms is not None and (
        configuration.clock.now_ms() - confirmed_at_ms < CONFIRM_BOUND_MS
    )


def note_version(configuration: Configuration, version: int) -> None:
    """Take a hint that a version exists; read it if it is newer."""
    if version > configuration.lists.version:
        configuration.wake.set()


def _poll(configuration: Configuration) -> None:
    while True:
        configuration.wake.wait(_POLL_INTERVAL_MS / 1000)
        configuration.wake.clear()
        refresh(configuration)
