"""The operators' lists of queues and client accounts of task jobs."""

import hmac
from typing import NamedTuple


class AdviceLatency(NamedTuple):
    """Expected response time of the recommendation service for a queue.

    Attributes:
        decision_ms: Time that a response takes.
        worker_ms: Additional time for each proposed worker.
    """

    decision_ms: int
    worker_ms: int


class Queue(NamedTuple):
    """A queue to which callers submit jobs.

    Attributes:
        public: Whether calls need no key.
        advice: Response time of the recommendation service that approves the
            workers of a step; None if every worker may run it.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    slowdown_factor: float
    target_latency_ms: int
    public: bool
    advice: AdviceLatency | None = None


class ClientAccount(NamedTuple):
    """A client account; `guaranteed` accelerators are reserved for it."""

    name: str
    keys: frozenset[str]
    guaranteed: int


class Lists(NamedTuple):
    """One version of the lists.

    Attributes:
        row_version: Version of the row that holds them; 0 before the first
            read.
    """

    version: int
    row_version: int
    queues: tuple[Queue, ...]
    accounts: tuple[ClientAccount, ...]


NO_LISTS = Lists(0, 0, (), ())


def find_queue(lists: Lists, host: str, path: str) -> Queue | None:
    """Return the queue with the longest matching path prefix, or None."""
    matching = [
        queue
        for queue in lists.queues
        if queue.host == host and path.startswith(queue.path_prefix)
    ]
    return max(matching, key=lambda q: len(q.path_prefix), default=None)


def find_account(lists: Lists, key: str) -> ClientAccount | None:
    """Return the account that has a key, or None."""
    for account in lists.accounts:
        for account_key in account.keys:
            if hmac.compare_digest(account_key.encode(), key.encode()):
                return account
    return None


def get_queue(lists: Lists, name: str) -> Queue | None:
    """Return a queue by its name, or None."""
    for queue in lists.queues:
        if queue.name == name:
            return queue
    return None


def get_guaranteed(lists: Lists, account: str) -> int:
    """Return the number of accelerators that are guaranteed to an account."""
    for listed in lists.accounts:
        if listed.name == account:
            return listed.guaranteed
    return 0
