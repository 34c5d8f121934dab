"""Group commit: merges small transactions into larger ones."""

import concurrent.futures
import queue
import threading
from typing import NamedTuple

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon import tableclient

# Shortest time between groups. With 9 hosts the table gets at most about 270
# writes per second.
MIN_INTERVAL_MS = 33
_COMMIT_TIMEOUT_MS = 4_000
# While the table fails, the time for a group allows only one call of 2 s.
_FAILING_COMMIT_TIMEOUT_MS = 2_500
# Timeouts of a caller: until its group is sent, and until the response.
_QUEUE_WAIT_S = 8
_RESPONSE_WAIT_S = 12
_STORE = "table"


class _Item(NamedTuple):
    transaction: tableclient.Transaction
    future: concurrent.futures.Future[int]


class GroupCommitter:
    """Queue of transactions that wait to be committed in a group.

    Attributes:
        deferred: Items left out of the last group, for the next one.
        failing: Whether the last group got no definite response.
    """

    def __init__(self, client: tableclient.TableClient) -> None:
        self.client = client
        self.items: queue.SimpleQueue[_Item] = queue.SimpleQueue()
        self.deferred: list[_Item] = []
        self.failing = False


def start_committing(committer: GroupCommitter) -> None:
    """Start the thread that commits the groups."""
    threading.Thread(
        target=_run_committer,
        args=(committer,),
        name="group-commit",
        daemon=True,
    ).start()


def submit_transaction(
    committer: GroupCommitter, transaction: tableclient.Transaction
) -> concurrent.futures.Future[int]:
    """Queue a transaction; its future has the result of `commit_transaction`.

    Each transaction of a group succeeds or fails by its own checks. If the
    future is cancelled before its group is collected, the transaction is never
    sent.
    """
    future: concurrent.futures.Future[int] = concurrent.futures.Future()
    committer.items.put(_Item(transaction, future))
    return future


def wait_for_commit(future: concurrent.futures.Future[int]) -> int:
    """Return the result of a submitted transaction, within a bounded time.

    Raises:
        errors.WriteConflictError: A row is at another version; not written.
        errors.StoreUnavailableError: The transaction was not written.
        errors.OutcomeUnknownError: The transaction may or may not be applied.
    """
    try:
        return future.result(timeout=_QUEUE_WAIT_S)
    except TimeoutError:
        if future.cancel():
            raise errors.StoreUnavailableError(
                _STORE, "not sent within the queue timeout"
            ) from None
    try:
        return future.result(timeout=_RESPONSE_WAIT_S)
    except TimeoutError:
        raise errors.OutcomeUnknownError(
            _STORE, "no response within the timeout"
        ) from None


def commit(
    committer: GroupCommitter, transaction: tableclient.Transaction
) -> int:
    """Submit a transaction and wait for it; see `wait_for_commit`."""
    return wait_for_commit(submit_transaction(committer, transaction))


def _run_committer(committer: GroupCommitter) -> None:
    clock = committer.client.clock
    while True:
        started_ms = clock.now_ms()
        group = _collect_group(committer)
        if not supervision.run_logged(
            "group_commit_failed", _commit_all, committer, group
        ):
            _fail_items(
                group, errors.OutcomeUnknownError(_STORE, "internal error")
            )
        if committer.failing:
            _fail_queued(committer)
        spent_ms = clock.now_ms() - started_ms
        clock.sleep_ms(max(0, MIN_INTERVAL_MS - spent_ms))


def _commit_all(committer: GroupCommitter, group: list[_Item]) -> None:
    while group:
        group = _commit_group(committer, group)


def _fail_items(group: list[_Item], error: errors.StoreError) -> None:
    for item in group:
        if not item.future.done():
            item.future.set_exception(error)


def _fail_queued(committer: GroupCommitter) -> None:
    """Fail all queued transactions without sending them.

    Otherwise callers would wait for one failing group after another. The
    acceptance of a job then falls back to the journal at once.
    """
    waiting = committer.deferred
    committer.deferred = []
    while not committer.items.empty():
        waiting.append(committer.items.get())
    claimed = [
        item for item in waiting if item.future.set_running_or_notify_cancel()
    ]
    _fail_items(
        claimed,
        errors.StoreUnavailableError(
            _STORE, "not sent: the table does not respond"
        ),
    )


def _collect_group(committer: GroupCommitter) -> list[_Item]:
    """Return items that fit in one transaction and write different rows."""
    waiting = committer.deferred
    committer.deferred = []
    if not waiting:
        waiting.append(committer.items.get())
    while not committer.items.empty():
        waiting.append(committer.items.get())
    group: list[_Item] = []
    written: set[str] = set()
    checks: dict[str, int] = {}
    for item in waiting:
        rows = {*item.transaction.puts, *item.transaction.deletes}
        full = len(written) + len(rows) > tableclient.MAX_ROWS
        if (
            full
            or rows & written
            or _has_conflicting_check(checks, item.transaction)
        ):
            committer.deferred.append(item)
        elif item.future.set_running_or_notify_cancel():
            group.append(item)
            written |= rows
            checks |= item.transaction.checks
    return group


def _has_conflicting_check(
    checks: dict[str, int], transaction: tableclient.Transaction
) -> bool:
    """Return whether a check expects another version than `checks` does."""
    return any(
        checks.get(key, version) != version
        for key, version in transaction.checks.items()
    )


def _commit_group(committer: GroupCommitter, group: list[_Item]) -> list[_Item]:
    """Commit a group; return the items to retry without the failed ones."""
    clock = committer.client.clock
    merged = _merge_transactions([item.transaction for item in group])
    timeout_ms = (
        _FAILING_COMMIT_TIMEOUT_MS if committer.failing else _COMMIT_TIMEOUT_MS
    )
    try:
        revision = tableclient.commit_transaction(
            committer.client, merged, clock.now_ms() + timeout_ms
        )
    except errors.WriteConflictError as conflict:
        committer.failing = False
        return _fail_conflicting(group, conflict)
    except errors.StoreError as error:
        committer.failing = True
        _fail_items(group, error)
        return []
    committer.failing = False
    for item in group:
        item.future.set_result(revision)
    return []


def _fail_conflicting(
    group: list[_Item], conflict: errors.WriteConflictError
) -> list[_Item]:
    remaining = []
    for item in group:
        versions = {
            key: version
            for key, version in conflict.versions.items()
            if item.transaction.checks.get(key, version) != version
        }
        if versions:
            item.future.set_exception(errors.WriteConflictError(versions))
        else:
            remaining.append(item)
    return remaining


def _merge_transactions(
    transactions: list[tableclient.Transaction],
) -> tableclient.Transaction:
    checks: dict[str, int] = {}
    puts: dict[str, object] = {}
    deletes: list[str] = []
    for transaction in transactions:
        checks |= transaction.checks
        puts |= transaction.puts
        deletes += transaction.deletes
    return tableclient.Transaction(checks, puts, tuple(deletes))
