"""Committing many small transactions as few large ones."""

import concurrent.futures
import queue
import threading
from typing import NamedTuple

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon import tableclient

# With 9 hosts at this pace the table sees at most 270 writes a second.
MIN_INTERVAL_MS = 33
_GIVE_UP_MS = 4_000
# While the table fails, a group gets time for one call of 2 s.
_GIVE_UP_FAILING_MS = 2_500
# Longest waits of a caller: until its group is sent, and until its answer.
_QUEUE_WAIT_S = 8
_ANSWER_WAIT_S = 12
_STORE = "table"


class _Item(NamedTuple):
    transaction: tableclient.Transaction
    future: concurrent.futures.Future[int]


class GroupCommitter:
    """The queue of transactions that wait for their group.

    Attributes:
        failing: Whether the last group got no definite answer.
    """

    def __init__(self, client: tableclient.TableClient) -> None:
        self.client = client
        self.items: queue.SimpleQueue[_Item] = queue.SimpleQueue()
        self.postponed: list[_Item] = []
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
    """Queue a transaction; the future gives what `commit_transaction` does.

    Each transaction of a group succeeds or fails by its own checks. A future
    that is cancelled in time is never sent.
    """
    future: concurrent.futures.Future[int] = concurrent.futures.Future()
    committer.items.put(_Item(transaction, future))
    return future


def wait_for_commit(future: concurrent.futures.Future[int]) -> int:
    """Return the result of a submitted transaction, within a bounded time.

    Raises:
        errors.WriteConflictError: A row differs; nothing was written.
        errors.StoreUnavailableError: The transaction was not written.
        errors.OutcomeUnknownError: The transaction may or may not be applied.
    """
    try:
        return future.result(timeout=_QUEUE_WAIT_S)
    except TimeoutError:
        if future.cancel():
            raise errors.StoreUnavailableError(_STORE, "not sent") from None
    try:
        return future.result(timeout=_ANSWER_WAIT_S)
    except TimeoutError:
        raise errors.OutcomeUnknownError(_STORE, "no answer yet") from None


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
            _fail(group, errors.OutcomeUnknownError(_STORE, "internal error"))
        if committer.failing:
            _fail_waiting(committer)
        spent_ms = clock.now_ms() - started_ms
        clock.sleep_ms(max(0, MIN_INTERVAL_MS - spent_ms))


def _commit_all(committer: GroupCommitter, group: list[_Item]) -> None:
    while group:
        group = _commit_group(committer, group)


def _fail(group: list[_Item], error: errors.StoreError) -> None:
    for item in group:
        if not item.future.done():
            item.future.set_exception(error)


def _fail_waiting(committer: GroupCommitter) -> None:
    """Fail what is queued, unsent, so that no caller waits for group by group.

    An acceptance then goes to the journal at once.
    """
    waiting = committer.postponed
    committer.postponed = []
    while not committer.items.empty():
        waiting.append(committer.items.get())
    claimed = [
        item for item in waiting if item.future.set_running_or_notify_cancel()
    ]
    _fail(claimed, errors.StoreUnavailableError(_STORE, "not sent: no answers"))


def _collect_group(committer: GroupCommitter) -> list[_Item]:
    """Return items that together fit a transaction and share no written row."""
    waiting = committer.postponed
    committer.postponed = []
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
        if full or rows & written or _disagree(checks, item.transaction):
            committer.postponed.append(item)
        elif item.future.set_running_or_notify_cancel():
            group.append(item)
            written |= rows
            checks |= item.transaction.checks
    return group


def _disagree(
    checks: dict[str, int], transaction: tableclient.Transaction
) -> bool:
    """Return whether the transaction expects another version of a row."""
    return any(
        checks.get(key, version) != version
        for key, version in transaction.checks.items()
    )


def _commit_group(committer: GroupCommitter, group: list[_Item]) -> list[_Item]:
    """Commit a group; return the items to try again without the failed ones."""
    clock = committer.client.clock
    merged = _merge([item.transaction for item in group])
    bound_ms = _GIVE_UP_FAILING_MS if committer.failing else _GIVE_UP_MS
    try:
        revision = tableclient.commit_transaction(
            committer.client, merged, clock.now_ms() + bound_ms
        )
    except errors.WriteConflictError as conflict:
        committer.failing = False
        return _fail_conflicting(group, conflict)
    except errors.StoreError as error:
        committer.failing = True
        _fail(group, error)
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


def _merge(
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
