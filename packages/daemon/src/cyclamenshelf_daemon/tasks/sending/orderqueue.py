"""Which orders to workers are sent next.

Each worker has its own queue and a limited number of orders under way, so that
one that does not respond delays no orders to others. The orders to a worker
belong to flows, one for each job, which take turns: those of a small job, or
that free room for an urgent one, do not wait behind thousands of a large job.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import threading
from typing import NamedTuple

# Orders to one worker that are under way at a time. A response takes some
# milliseconds between data centres, so fewer would limit the orders a second.
_MAX_UNDER_WAY = 8
# The limit of a worker that has not responded yet; each response raises it by
# one. The workers of a data centre may all be silent.
_FIRST_UNDER_WAY = 2
# Orders to all workers that are under way at a time, each with a connection. A
# small host has 1,638 descriptors, and all workers may be silent at once.
_MAX_TOTAL = 500

# Sends an order; calls its argument once, in any thread and also before it
# returns, when the order takes up no turn any more: with True if the worker
# responded or was not called. It must not raise.
Send = Callable[[Callable[[bool], None]], None]


class Order(NamedTuple):
    """An order to a worker.

    Attributes:
        flow: The job that the order belongs to.
        send: Sends the order.
    """

    worker_id: str
    flow: str
    send: Send


class _WorkerQueue:
    """Orders to one worker.

    Attributes:
        flows: Orders that wait, by flow. The first flow is next.
        under_way: Number of orders that are under way.
        limit: How many may be under way; one after an order without response.
        sending: Whether a thread is passing on orders of this worker.
    """

    def __init__(self) -> None:
        self.flows: dict[str, collections.deque[Send]] = {}
        self.under_way = 0
        self.limit = _FIRST_UNDER_WAY
        self.sending = False


class OrderQueue:
    """Orders of an owner to all workers, which several threads add and end.

    Attributes:
        under_way: Number of orders that are under way.
        held_back: Workers whose orders wait as too many are under way.
        serving: Whether a thread is passing on orders of such workers.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.workers: dict[str, _WorkerQueue] = {}
        self.under_way = 0
        self.held_back: dict[str, _WorkerQueue] = {}
        self.serving = False
        self.closed = False


def add_orders(queue: OrderQueue, orders: Iterable[Order]) -> bool:
    """Add orders, and send those whose turn it is.

    Args:
        queue: The queue.
        orders: The orders. Thousands are added together, as a thread that
            takes the lock for each of them waits for the one that sends.

    Returns:
        Whether the orders were added; False for a closed queue.
    """
    added: dict[str, _WorkerQueue] = {}
    with queue.lock:
        if queue.closed:
            return False
        for order in orders:
            waiting = queue.workers.setdefault(order.worker_id, _WorkerQueue())
            waiting.flows.setdefault(order.flow, collections.deque()).append(
                order.send
            )
            added[order.worker_id] = waiting
    for worker_id, waiting in added.items():
        _send_next(queue, worker_id, waiting)
    return True


def close(queue: OrderQueue) -> None:
    """Drop the orders that wait; those under way still end."""
    with queue.lock:
        queue.closed = True
        for orders in queue.workers.values():
            orders.flows.clear()


def _send_next(queue: OrderQueue, worker_id: str, orders: _WorkerQueue) -> None:
    """Send orders of a worker while there is room for one."""

    def finish(responsive: bool) -> None:
        with queue.lock:
            queue.under_way -= 1
            orders.under_way -= 1
            orders.limit = (
                min(_MAX_UNDER_WAY, orders.limit + 1) if responsive else 1
            )
        _serve_held_back(queue)
        _send_next(queue, worker_id, orders)

    while True:
        with queue.lock:
            # An order that ends at once must not send the next one, to a
            # depth of the whole queue.
            if orders.sending:
                return
            send = _take(queue, worker_id, orders)
            if send is None:
                return
            orders.sending = True
        try:
            send(finish)
        finally:
            with queue.lock:
                orders.sending = False


def _serve_held_back(queue: OrderQueue) -> None:
    """Send orders of workers that were held back while there is room.

    A worker may have nothing to send any more, or as much under way as it may.
    """
    while True:
        with queue.lock:
            # As in `_send_next`, orders may end at once, of many workers.
            if (
                queue.serving
                or not queue.held_back
                or queue.under_way >= _MAX_TOTAL
            ):
                return
            worker_id = next(iter(queue.held_back))
            orders = queue.held_back.pop(worker_id)
            queue.serving = True
        try:
            _send_next(queue, worker_id, orders)
        finally:
            with queue.lock:
                queue.serving = False


def _take(
    queue: OrderQueue, worker_id: str, orders: _WorkerQueue
) -> Send | None:
    """Return the next order, and let the next flow have the turn after it."""
    if not orders.flows:
        if not orders.under_way and queue.workers.get(worker_id) is orders:
            del queue.workers[worker_id]
        return None
    if orders.under_way >= orders.limit:
        return None
    if queue.under_way >= _MAX_TOTAL:
        queue.held_back[worker_id] = orders
        return None
    flow = next(iter(orders.flows))
    waiting = orders.flows.pop(flow)
    send = waiting.popleft()
    if waiting:
        orders.flows[flow] = waiting
    queue.under_way += 1
    orders.under_way += 1
    return send
