"""The operators' lists for queues of task jobs."""

import hmac
from typing import NamedTuple


class AdviceTerms(NamedTuple):
    """How the recommendation service answers for a queue.

    Attributes:
        decision_ms: Time that an answer takes.
        worker_ms: Time on top for each worker that is named.
    """

    decision_ms: int
    worker_ms: int


class Queue(NamedTuple):
    """A queue that callers hand jobs in to.

    Attributes:
        public: Whether calls need no key.
        advice: How to learn which workers may run a step; None if all may.
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
    advice: AdviceTerms | None = None


class ClientAccount(NamedTuple):
    """A client account; `guaranteed` accelerators are always its own."""

    name: str
    keys: frozenset[str]
    guaranteed: int


class Lists(NamedTuple):
    """One version of the lists.

    Attributes:
        row_version: Version of the row that holds them; 0 before the first.
    """

    version: int
    row_version: int
    queues: tuple[Queue, ...]
    accounts: tuple[ClientAccount, ...]


NO_LISTS = Lists(0, 0, (), ())


def find_queue(lists: Lists, host: str, path: str) -> Queue | None:
    """Return the queue with the longest prefix of the path, or None."""
    fitting = [
        queue
        for queue in lists.queues
        if queue.host == host and path.startswith(queue.path_prefix)
    ]
    return max(fitting, key=lambda q: len(q.path_prefix), default=None)


def find_account(lists: Lists, key: str) -> ClientAccount | None:
    """Return the account of a key, or None."""
    for account in lists.accounts:
        for known in account.keys:
            if hmac.compare_digest(known.encode(), key.encode()):
                return account
    return None


def get_queue(lists: Lists, name: str) -> Queue | None:
    """Return a queue by its name, or None."""
    for queue in lists.queues:
        if queue.name == name:
            return queue
    return None


def get_guaranteed(lists: Lists, account: str) -> int:
    """Return the accelerators that are guaranteed to an account."""
    for listed in lists.accounts:
        if listed.name == account:
            return listed.guaranteed
    return 0
