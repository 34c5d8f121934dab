"""Checks and writes operators' edits of the plans and allowances lists."""

from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import lists as list_files
from cyclamenshelf_core import model
from cyclamenshelf_daemon import configurationhistory
from cyclamenshelf_daemon import configurationrows
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import tableclient

# The sum of these timeouts, with 2 s per call, must stay below the 30 s for
# which the command line waits for a response.
_READ_TIMEOUT_MS = 2_000
_COMMIT_TIMEOUT_MS = 6_000
_RESOLVE_TIMEOUT_MS = 6_000
_RESOLVE_INTERVAL_MS = 250
_RETRY_AFTER_MS = 5_000


class Edit(NamedTuple):
    """Lists submitted by an operator.

    Attributes:
        base_version: The version that the operator edited; 0 if there was none.
        allow_at_risk: Whether to accept guarantees that cannot be assigned to
            workers now, provided that the edit leaves all guarantees
            unchanged.
    """

    base_version: int
    plans: str
    allowances: str
    author: str
    allow_at_risk: bool = False


class CheckResult(NamedTuple):
    """Problems and fleet conflicts of an edit; both empty if it is valid."""

    problems: tuple[errors.Problem, ...] = ()
    conflicts: tuple[list_files.FleetConflict, ...] = ()


class WriteResult(NamedTuple):
    """Result of writing an edit.

    Attributes:
        version: The version that contains the submitted lists.
        changed: Whether this call wrote the lists as a new version.
        current_version: The current version, which may be newer.
        at_risk: Accepted guarantees that cannot be assigned to workers now.
    """

    version: int
    changed: bool
    current_version: int
    at_risk: tuple[str, ...] = ()


class _EditRows(NamedTuple):
    """Rows that determine the outcome of an edit.

    Attributes:
        row_version: Version of the row of the current lists; 0 for no row.
        current: The current lists.
        base: The lists on which the edit is based.
        successor: The lists stored as the version after `base`.
    """

    row_version: int
    current: configurationrows.StoredLists | None
    base: configurationrows.StoredLists | None
    successor: configurationrows.StoredLists | None


def check_edit(
    plans: str, allowances: str, workers: dict[str, model.Worker] | None
) -> CheckResult:
    """Return the problems and fleet conflicts of lists; write nothing.

    Args:
        plans: YAML of the plans list.
        allowances: YAML of the allowances list.
        workers: The listed fleet; None if it is not known.
    """
    try:
        lists = list_files.parse_lists(plans, allowances)
    except errors.InvalidListsError as error:
        return CheckResult(problems=tuple(error.problems))
    if workers is None:
        return CheckResult()
    return CheckResult(conflicts=tuple(list_files.check_fleet(lists, workers)))


def write_lists(
    table: tableclient.TableClient,
    clock: clocks.Clock,
    workers: dict[str, model.Worker] | None,
    edit: Edit,
) -> WriteResult:
    """Write both lists as the version after the base version.

    Submitting the same edit again is safe: the history shows by texts and
    author that it is already stored, so it is not written twice.

    Args:
        table: The table service.
        clock: Clock of the process.
        workers: The listed fleet; None if it is not known.
        edit: The edit to write.

    Raises:
        errors.ListsRefusedError: The lists are invalid or do not fit the fleet.
        errors.ConfigurationConflictError: Another version was written first.
        errors.StoreDownError: The store is unavailable; nothing was
            written.
        errors.CommandOutcomeUnknownError: The write may or may not be applied.
    """
    check_result = check_edit(edit.plans, edit.allowances, workers)
    if check_result.problems:
        raise errors.ListsRefusedError(
            tuple(map(str, check_result.problems)), ()
        )
    edit_rows = _read_with_retries(table, clock, edit)
    result = _find_stored_result(edit_rows, edit)
    if result is not None:
        return result
    at_risk = tuple(map(str, check_result.conflicts))
    _check_guarantees(edit_rows, edit, workers, at_risk)
    result = _commit(table, clock, edit_rows, edit)
    logs.log_event(
        "configuration_written", version=result.version, author=edit.author
    )
    return result._replace(at_risk=at_risk)


def _check_guarantees(
    edit_rows: _EditRows,
    edit: Edit,
    workers: dict[str, model.Worker] | None,
    at_risk: tuple[str, ...],
) -> None:
    new_guarantees = _list_guarantees(edit.plans, edit.allowances)
    if workers is None and new_guarantees:
        raise errors.FleetUnknownError(
            "cannot check guarantees: the host list has not been read yet",
            retry_after_ms=_RETRY_AFTER_MS,
        )
    if not at_risk:
        return
    current = edit_rows.current
    if (
        edit.allow_at_risk
        and current is not None
        and new_guarantees
        == _list_guarantees(current.plans, current.allowances)
    ):
        return
    raise errors.ListsRefusedError((), at_risk)


def _list_guarantees(
    plans: str, allowances: str
) -> dict[str, tuple[model.Guarantee, ...]] | None:
    """Return the guarantees by account; None if the lists do not parse."""
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
    edit_rows: _EditRows,
    edit: Edit,
) -> WriteResult:
    """Write the edit in one transaction; raise as `write_lists` does."""
    stored = configurationrows.StoredLists(
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
            configurationrows.CURRENT_KEY: edit_rows.row_version,
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
        raise _make_store_down_error(error) from error
    except (errors.WriteConflictError, errors.OutcomeUnknownError) as error:
        return _resolve_outcome(table, clock, edit, error)
    return WriteResult(stored.version, True, stored.version)


def _resolve_outcome(
    table: tableclient.TableClient,
    clock: clocks.Clock,
    edit: Edit,
    cause: errors.CyclamenshelfError,
) -> WriteResult:
    """Read the rows until they show whether the edit was written.

    Raises the error that `write_lists` raises if it was not written or the
    outcome stays unknown.
    """
    timeout_at_ms = clock.now_ms() + _RESOLVE_TIMEOUT_MS
    while True:
        try:
            edit_rows = _read_edit_rows(table, edit)
            result = _find_stored_result(edit_rows, edit)
            if result is not None:
                return result._replace(changed=_is_successor(edit_rows, edit))
            if isinstance(cause, errors.WriteConflictError):
                raise _make_conflict_error(edit_rows, edit) from cause
        except errors.StoreUnavailableError:
            pass  # Retried until the timeout.
        if clock.now_ms() >= timeout_at_ms:
            break
        clock.sleep_ms(_RESOLVE_INTERVAL_MS)
    if isinstance(cause, errors.WriteConflictError):
        # This edit was not written, but the row that conflicted with it could
        # not be read, so no conflict can be reported.
        raise _make_store_down_error(cause) from cause
    raise errors.CommandOutcomeUnknownError(
        f"version {edit.base_version + 1} may or may not be written; "
        "check the history, or submit the same edit again",
        run=errors.Run.UNKNOWN,
        retry_after_ms=_RETRY_AFTER_MS,
    ) from cause


def _read_with_retries(
    table: tableclient.TableClient, clock: clocks.Clock, edit: Edit
) -> _EditRows:
    """Read the rows of the edit, with retries if the store does not answer.

    Raises:
        errors.StoreDownError: The store is unavailable; nothing was
            written.
    """
    timeout_at_ms = clock.now_ms() + _READ_TIMEOUT_MS
    while True:
        try:
            return _read_edit_rows(table, edit)
        except errors.StoreUnavailableError as error:
            if clock.now_ms() >= timeout_at_ms:
                raise _make_store_down_error(error) from error
        clock.sleep_ms(_RESOLVE_INTERVAL_MS)


def _read_edit_rows(table: tableclient.TableClient, edit: Edit) -> _EditRows:
    """Read the rows that determine the outcome, in one call.

    Raises:
        errors.StoreUnavailableError: The table service does not respond.
    """
    base_key = configurationrows.make_history_key(edit.base_version)
    next_key = configurationrows.make_history_key(edit.base_version + 1)
    keys = [configurationrows.CURRENT_KEY, base_key, next_key]
    rows = tableclient.read_rows(table, keys)

    def decode(key: str) -> configurationrows.StoredLists | None:
        row = rows.get(key)
        if row is None:
            return None
        return configurationrows.decode_stored(key, row.value)

    row = rows.get(configurationrows.CURRENT_KEY)
    try:
        return _EditRows(
            row.version if row is not None else 0,
            decode(configurationrows.CURRENT_KEY),
            decode(base_key),
            decode(next_key),
        )
    except errors.InvalidListsError as error:
        problems = tuple(map(str, error.problems))
        raise errors.ListsRefusedError(problems, ()) from error


def _find_stored_result(edit_rows: _EditRows, edit: Edit) -> WriteResult | None:
    """Return the result if the edit is already stored, else None.

    Raises:
        errors.ConfigurationConflictError: The base version is not current.
    """
    current = edit_rows.current
    if current is not None and _has_same_lists(current, edit):
        return WriteResult(current.version, False, current.version)
    if current is not None and _is_successor(edit_rows, edit):
        return WriteResult(edit.base_version + 1, False, current.version)
    if edit.base_version != (current.version if current is not None else 0):
        raise _make_conflict_error(edit_rows, edit)
    return None


def _is_successor(edit_rows: _EditRows, edit: Edit) -> bool:
    """Return whether the version after the base version is this edit."""
    successor = edit_rows.successor
    return (
        successor is not None
        and _has_same_lists(successor, edit)
        and successor.author == edit.author
    )


def _has_same_lists(stored: configurationrows.StoredLists, edit: Edit) -> bool:
    return (stored.plans, stored.allowances) == (edit.plans, edit.allowances)


def _make_conflict_error(
    edit_rows: _EditRows, edit: Edit
) -> errors.ConfigurationConflictError:
    current = edit_rows.current
    return errors.ConfigurationConflictError(
        base_version=edit.base_version,
        current_version=current.version if current is not None else 0,
        author=current.author if current is not None else "",
        time_ms=current.time_ms if current is not None else 0,
        diff=configurationhistory.make_diff(edit_rows.base, current),
    )


def _make_store_down_error(error: Exception) -> errors.StoreDownError:
    return errors.StoreDownError(str(error), retry_after_ms=_RETRY_AFTER_MS)
