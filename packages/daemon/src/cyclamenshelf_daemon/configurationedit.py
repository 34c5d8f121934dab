"""Commands of operators: checking and writing the two lists."""

from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import lists as list_files
from cyclamenshelf_core import model
from cyclamenshelf_daemon import configurationhistory
from cyclamenshelf_daemon import configurationrows
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import tableclient

# Together, with calls of 2 s each, less than the 30 s for which the command
# line waits for an answer.
_READ_TIMEOUT_MS = 2_000
_COMMIT_TIMEOUT_MS = 6_000
_RESOLVE_TIMEOUT_MS = 6_000
_RESOLVE_INTERVAL_MS = 250
_RETRY_AFTER_MS = 5_000


class Edit(NamedTuple):
    """Lists that an operator hands in.

    Attributes:
        base_version: The version that the operator read; 0 for none.
        allow_at_risk: Whether guarantees that cannot be assigned now are
            accepted, if they are the ones already in force.
    """

    base_version: int
    plans: str
    allowances: str
    author: str
    allow_at_risk: bool = False


class Checked(NamedTuple):
    """What an edit would break; nothing means that it can be written."""

    problems: tuple[errors.Problem, ...] = ()
    conflicts: tuple[list_files.FleetConflict, ...] = ()


class Written(NamedTuple):
    """Outcome of a write.

    Attributes:
        version: The version that holds the lists.
        changed: Whether the lists differed from the current ones.
        current_version: The current version, which may be newer.
        at_risk: Guarantees accepted though they cannot be assigned now.
    """

    version: int
    changed: bool
    current_version: int
    at_risk: tuple[str, ...] = ()


class _Found(NamedTuple):
    """The rows that tell the outcome of an edit."""

    row_version: int
    current: configurationrows.Stored | None
    base: configurationrows.Stored | None
    successor: configurationrows.Stored | None


def check_edit(
    plans: str, allowances: str, workers: dict[str, model.Worker] | None
) -> Checked:
    """Return what lists would break, without writing anything.

    Args:
        plans: YAML of the plans list.
        allowances: YAML of the allowances list.
        workers: The listed fleet; None if it is not known.
    """
    try:
        lists = list_files.parse_lists(plans, allowances)
    except errors.InvalidListsError as error:
        return Checked(problems=tuple(error.problems))
    if workers is None:
        return Checked()
    return Checked(conflicts=tuple(list_files.check_fleet(lists, workers)))


def write_lists(
    table: tableclient.TableClient,
    clock: clocks.Clock,
    workers: dict[str, model.Worker] | None,
    edit: Edit,
) -> Written:
    """Write both lists as the version after the one that was read.

    The same edit can be handed in again: it is recognised by its texts and
    its author in the history, and is not written twice.

    Args:
        table: The table service.
        clock: Clock of the process.
        workers: The listed fleet; None if it is not known.
        edit: What to write.

    Raises:
        errors.ListsRefusedError: The lists are wrong or do not fit the fleet.
        errors.ConfigurationConflictError: Another version was written first.
        errors.StoreDownError: The store does not answer; nothing was written.
        errors.CommandOutcomeUnknownError: The write may be applied.
    """
    checked = check_edit(edit.plans, edit.allowances, workers)
    if checked.problems:
        raise errors.ListsRefusedError(tuple(map(str, checked.problems)), ())
    found = _read_before_write(table, clock, edit)
    written = _judge(found, edit)
    if written is not None:
        return written
    at_risk = tuple(map(str, checked.conflicts))
    _check_fits(found, edit, workers, at_risk)
    written = _commit(table, clock, found, edit)
    logs.log_event(
        "configuration_written", version=written.version, author=edit.author
    )
    return written._replace(at_risk=at_risk)


def _check_fits(
    found: _Found,
    edit: Edit,
    workers: dict[str, model.Worker] | None,
    at_risk: tuple[str, ...],
) -> None:
    new = _list_guarantees(edit.plans, edit.allowances)
    if workers is None and new:
        raise errors.FleetUnknownError(
            "the host list was not read yet, so guarantees cannot be checked",
            retry_after_ms=_RETRY_AFTER_MS,
        )
    if not at_risk:
        return
    current = found.current
    if (
        edit.allow_at_risk
        and current is not None
        and new == _list_guarantees(current.plans, current.allowances)
    ):
        return
    raise errors.ListsRefusedError((), at_risk)


def _list_guarantees(
    plans: str, allowances: str
) -> dict[str, tuple[model.Guarantee, ...]] | None:
    """Return the guarantees of each account that has some."""
    try:
        lists = list_files.parse_lists(plans, allowances)
    except errors.InvalidListsError:
        return None
    return {
        name: guarantees
        for name in lists.accounts
        if (guarantees := model.get_plan(lists, name).guarantees)
    }


def _commit(
    table: tableclient.TableClient,
    clock: clocks.Clock,
    found: _Found,
    edit: Edit,
) -> Written:
    """Write the edit, or raise what `write_lists` raises."""
    stored = configurationrows.Stored(
        edit.base_version + 1,
        edit.plans,
        edit.allowances,
        edit.author,
        clock.wall_ms(),
    )
    history_key = configurationrows.make_history_key(stored.version)
    value = configurationrows.encode_stored(stored)
    transaction = tableclient.Transaction(
        checks={
            configurationrows.CURRENT_KEY: found.row_version,
            history_key: 0,
        },
        puts={
            configurationrows.CURRENT_KEY: value,
            configurationrows.HEAD_KEY: configurationrows.encode_head(
                stored.version
            ),
            history_key: value,
        },
    )
    try:
        tableclient.commit_transaction(
            table, transaction, clock.now_ms() + _COMMIT_TIMEOUT_MS
        )
    except errors.StoreUnavailableError as error:
        raise _make_store_down(error) from error
    except (errors.WriteConflictError, errors.OutcomeUnknownError) as error:
        return _resolve_outcome(table, clock, edit, error)
    return Written(stored.version, True, stored.version)


def _resolve_outcome(
    table: tableclient.TableClient,
    clock: clocks.Clock,
    edit: Edit,
    cause: errors.CyclamenshelfError,
) -> Written:
    """Return the outcome if the rows show that it was written, or raise."""
    give_up_ms = clock.now_ms() + _RESOLVE_TIMEOUT_MS
    while True:
        try:
            found = _read_found(table, edit)
            written = _judge(found, edit)
            if written is not None:
                return written._replace(changed=_is_successor(found, edit))
            if isinstance(cause, errors.WriteConflictError):
                raise _make_conflict(found, edit) from cause
        except errors.StoreUnavailableError:
            pass  # Asked again until the time is up.
        if clock.now_ms() >= give_up_ms:
            break
        clock.sleep_ms(_RESOLVE_INTERVAL_MS)
    if isinstance(cause, errors.WriteConflictError):
        # Nothing was written, but what was written instead is not known.
        raise _make_store_down(cause) from cause
    raise errors.CommandOutcomeUnknownError(
        f"version {edit.base_version + 1} may or may not be written; "
        "ask the history, or hand in the same edit again",
        run=errors.Run.UNKNOWN,
        retry_after_ms=_RETRY_AFTER_MS,
    ) from cause


def _read_before_write(
    table: tableclient.TableClient, clock: clocks.Clock, edit: Edit
) -> _Found:
    """Read the rows, and again if the answer is lost.

    Raises:
        errors.StoreDownError: The store does not answer; nothing was written.
    """
    give_up_ms = clock.now_ms() + _READ_TIMEOUT_MS
    while True:
        try:
            return _read_found(table, edit)
        except errors.StoreUnavailableError as error:
            if clock.now_ms() >= give_up_ms:
                raise _make_store_down(error) from error
        clock.sleep_ms(_RESOLVE_INTERVAL_MS)


def _read_found(table: tableclient.TableClient, edit: Edit) -> _Found:
    """Read the rows that tell the outcome, in one call.

    Raises:
        errors.StoreUnavailableError: The table service does not answer.
    """
    base_key = configurationrows.make_history_key(edit.base_version)
    next_key = configurationrows.make_history_key(edit.base_version + 1)
    keys = [configurationrows.CURRENT_KEY, base_key, next_key]
    rows = tableclient.read_rows(table, keys)

    def decode(key: str) -> configurationrows.Stored | None:
        row = rows.get(key)
        if row is None:
            return None
        return configurationrows.decode_stored(key, row.value)

    row = rows.get(configurationrows.CURRENT_KEY)
    try:
        return _Found(
            row.version if row is not None else 0,
            decode(configurationrows.CURRENT_KEY),
            decode(base_key),
            decode(next_key),
        )
    except errors.InvalidListsError as error:
        problems = tuple(map(str, error.problems))
        raise errors.ListsRefusedError(problems, ()) from error


def _judge(found: _Found, edit: Edit) -> Written | None:
    """Return the outcome if the edit is stored, or None if it can be written.

    Raises:
        errors.ConfigurationConflictError: It can no longer be written.
    """
    current = found.current
    if current is not None and _has_texts(current, edit):
        return Written(current.version, False, current.version)
    if current is not None and _is_successor(found, edit):
        return Written(edit.base_version + 1, False, current.version)
    if edit.base_version != (current.version if current is not None else 0):
        raise _make_conflict(found, edit)
    return None


def _is_successor(found: _Found, edit: Edit) -> bool:
    """Return whether the version after the one read is this very edit."""
    successor = found.successor
    return (
        successor is not None
        and _has_texts(successor, edit)
        and successor.author == edit.author
    )


def _has_texts(stored: configurationrows.Stored, edit: Edit) -> bool:
    return (stored.plans, stored.allowances) == (edit.plans, edit.allowances)


def _make_conflict(
    found: _Found, edit: Edit
) -> errors.ConfigurationConflictError:
    current = found.current
    return errors.ConfigurationConflictError(
        base_version=edit.base_version,
        current_version=current.version if current is not None else 0,
        author=current.author if current is not None else "",
        time_ms=current.time_ms if current is not None else 0,
        diff=configurationhistory.make_diff(found.base, current),
    )


def _make_store_down(error: Exception) -> errors.StoreDownError:
    return errors.StoreDownError(str(error), retry_after_ms=_RETRY_AFTER_MS)
