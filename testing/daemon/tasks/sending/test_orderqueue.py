"""Whose order to a worker is sent next."""

import pytest

from cyclamenshelf_daemon.tasks.sending import orderqueue


class Sender:
    """Records which orders are sent, and ends them on demand."""

    def __init__(self):
        self.queue = orderqueue.OrderQueue()
        self.sent = []
        self.finish = {}

    def add(self, worker_id, flow, name):
        def send(finish):
            self.sent.append(name)
            self.finish[name] = finish

        order = orderqueue.Order(worker_id, flow, send)
        return orderqueue.add_orders(self.queue, [order])


@pytest.fixture
def sender(monkeypatch):
    monkeypatch.setattr(orderqueue, "_MAX_UNDER_WAY", 2)
    monkeypatch.setattr(orderqueue, "_MAX_TOTAL", 3)
    return Sender()


def test_orders_of_a_small_job_do_not_wait_behind_a_large_one(sender):
    # A stop that frees room for an urgent job came after thousands of others.
    for number in range(6):
        sender.add("w0", "large", f"large-{number}")
    sender.add("w0", "small", "small-0")
    for name in ("large-0", "large-1"):
        sender.finish[name](True)
    assert sender.sent == ["large-0", "large-1", "large-2", "small-0"]


def test_silent_worker_gets_one_order_at_a_time(sender):
    # Each order to a silent worker uses a connection for 0.7 s.
    for number in range(4):
        sender.add("w0", "job", number)
    sender.finish[0](False)
    sender.finish[1](False)
    assert sender.sent == [0, 1, 2]
    sender.finish[2](True)
    assert sender.sent == [0, 1, 2, 3]


def test_worker_that_responds_gets_more_orders_at_a_time(sender, monkeypatch):
    # The connections of hundreds of silent workers would exceed what a host
    # may open.
    monkeypatch.setattr(orderqueue, "_MAX_UNDER_WAY", 3)
    monkeypatch.setattr(orderqueue, "_MAX_TOTAL", 100)
    for number in range(9):
        sender.add("w0", "job", number)
    assert sender.sent == [0, 1]
    sender.finish[0](True)
    assert sender.sent == [0, 1, 2, 3]
    sender.finish[1](True)
    assert sender.sent == [0, 1, 2, 3, 4]


def test_silent_worker_delays_no_orders_to_others(sender):
    for number in range(4):
        sender.add("silent", "job", f"silent-{number}")
    for number in range(4):
        sender.add("w1", "job", number)
        sender.finish[number](True)
    assert sender.sent == ["silent-0", "silent-1", 0, 1, 2, 3]


def test_worker_that_was_held_back_by_the_total_is_served(sender):
    sender.add("w0", "job", "a")
    sender.add("w0", "job", "b")
    sender.add("w1", "job", "c")
    sender.add("w2", "job", "d")
    assert sender.sent == ["a", "b", "c"]
    sender.finish["b"](True)
    assert sender.sent == ["a", "b", "c", "d"]


def test_worker_with_nothing_left_to_send_holds_back_no_other(sender):
    # The room that became free was offered to it alone; the other worker got
    # its order with the next one only.
    for number in range(3):
        sender.add(f"w{number}", "job", number)
    sender.add("w0", "job", "a")
    sender.add("w3", "job", "b")
    sender.queue.workers["w0"].flows.clear()
    sender.finish[1](True)
    assert sender.sent == [0, 1, 2, "b"]


def test_orders_of_many_held_back_workers_may_end_at_once(sender):
    # The owner's lease expires while a data centre is silent: each order that
    # was dropped sent one of the next worker, to a depth of all workers.
    for number in range(3):
        sender.add(f"w{number}", "job", number)
    dropped = []

    def drop(finish):
        dropped.append(finish)
        finish(True)

    orders = [
        orderqueue.Order(f"x{number}", "job", drop) for number in range(1_100)
    ]
    orderqueue.add_orders(sender.queue, orders)
    sender.finish[0](True)
    assert len(dropped) == 1_100
    assert sender.queue.under_way == 2


def test_thousands_of_orders_that_end_at_once_are_sent(sender):
    # Each of them sent the next one, to a depth that raised RecursionError.
    sent = []

    def send(finish):
        sent.append(finish)
        if len(sent) > 1:
            finish(True)

    order = orderqueue.Order("w0", "job", send)
    orderqueue.add_orders(sender.queue, [order] * 10_000)
    sent[0](True)
    assert len(sent) == 10_000
    assert not sender.queue.workers


def test_closed_queue_drops_what_waits_and_takes_no_more(sender):
    # The orders of an ended tenure would be sent with an old fencing token.
    for number in range(4):
        sender.add("w0", "job", number)
    orderqueue.close(sender.queue)
    assert not sender.add("w0", "job", 4)
    sender.finish[0](True)
    assert sender.sent == [0, 1]
