"""Committing many small transactions as few large ones."""

import concurrent.futures
import queue
import threading
from typing import NamedTuple

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import tableclient

# With 9 hosts at this pace the table sees at most 270 writes a second.
MIN_INTERVAL_MS = 33
_GIVE_UP_MS = 4_000


class _Item(NamedTuple):
    transaction: tableclient.Transaction
    future: concurrent.futures.Future[int]


class GroupCommitter:
    """The queue of transactions that wait for their group."""

    def __init__(self, client: tableclient.TableClient) -> None:
        self.client = client
        self.items: queue.SimpleQueue[_Item] = queue.SimpleQueue()
        self.postponed: list[_Item] = []


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

    Each transaction of a group succeeds or fails by its own checks.
    """
    future: concurrent.futures.Future[int] = concurrent.futures.Future()
    committer.items.put(_Item(transaction, future))
    return future


def _run_committer(committer: GroupCommitter) -> None:
    clock = committer.client.clock
    while True:
        started_ms = clock.now_ms()
        group = _collect_group(committer)
        while group:
            group = _commit_group(committer, group)
        spent_ms = clock.now_ms() - started_ms
        clock.sleep_ms(max(0, MIN_INTERVAL_MS - spent_ms))


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
        else:
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
    try:
        revision = tableclient.commit_transaction(
            committer.client, merged, clock.now_ms() + _GIVE_UP_MS
        )
    except errors.WriteConflictError as conflict:
        return _fail_conflicting(group, conflict)
    except errors.StoreError as error:
        for item in group:
            item.future.set_exception(error)
        return []
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
