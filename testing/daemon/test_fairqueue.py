import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import fairqueue

SERVICE = "s"


class Simulation:
    """Simulates accounts that always have waiting requests of fixed length."""

    def __init__(self, weights, run_ms, slots):
        self.queue = fairqueue.FairQueue(slots, 100, 50)
        self.weights, self.run_ms, self.slots = weights, run_ms, slots
        self.slot_ms = dict.fromkeys(weights, 0)

    def run(self, total_ms):
        running = []
        for now_ms in range(total_ms):
            for ticket in [t for end_ms, t in running if end_ms == now_ms]:
                fairqueue.remove_ticket(self.queue, ticket, now_ms)
            running = [item for item in running if item[0] > now_ms]
            for account, weight in self.weights.items():
                while fairqueue.count_waiting(self.queue, account) < 10:
                    fairqueue.add_ticket(self.queue, SERVICE, account, weight)
            while ticket := fairqueue.grant_next(
                self.queue, SERVICE, self.slots, now_ms
            ):
                run_ms = self.run_ms[ticket.account]
                self.slot_ms[ticket.account] += run_ms
                running.append((now_ms + run_ms, ticket))
        return self.slot_ms


@pytest.mark.parametrize("slots", [1, 4, 9])
@pytest.mark.parametrize("weights", [(1, 1), (3, 1), (1, 4)])
@pytest.mark.parametrize("run_ms", [(20, 20), (200, 10)])
def test_contended_slots_are_shared_by_weight(slots, weights, run_ms):
    # Guards against sharing by the number of requests: those of the flood may
    # take 20 times as long.
    accounts = ("flood", "small")
    slot_ms = Simulation(
        dict(zip(accounts, weights, strict=True)),
        dict(zip(accounts, run_ms, strict=True)),
        slots,
    ).run(10_000)
    share = slot_ms["small"] / sum(slot_ms.values())
    assert share == pytest.approx(weights[1] / sum(weights), abs=0.06)


@pytest.mark.parametrize("slots", [8, 40])
def test_bulk_caller_leaves_a_free_slot_for_a_small_one(slots):
    queue = fairqueue.FairQueue(slots, 1_000, 500)
    for _ in range(400):
        fairqueue.add_ticket(queue, SERVICE, "bulk", 1)
    while fairqueue.grant_next(queue, SERVICE, slots, 0):
        pass
    small, _ = fairqueue.add_ticket(queue, SERVICE, "small", 1)
    assert fairqueue.grant_next(queue, SERVICE, slots, 0) is small


def test_small_account_is_next_after_a_long_flood():
    queue = fairqueue.FairQueue(1, 1_000, 500)
    for _ in range(400):
        fairqueue.add_ticket(queue, SERVICE, "bulk", 9)
    for now_ms in range(0, 1_000, 10):
        ticket = fairqueue.grant_next(queue, SERVICE, 1, now_ms)
        fairqueue.remove_ticket(queue, ticket, now_ms + 10)
    small, _ = fairqueue.add_ticket(queue, SERVICE, "small", 1)
    assert fairqueue.grant_next(queue, SERVICE, 1, 1_000) is small


def test_full_queue_evicts_from_the_longest_flow_and_refuses_it():
    queue = fairqueue.FairQueue(1, 8, 8)
    for _ in range(8):
        fairqueue.add_ticket(queue, SERVICE, "bulk", 1)
    _, victim = fairqueue.add_ticket(queue, SERVICE, "small", 1)
    assert victim.account == "bulk"
    assert victim.state is fairqueue.TicketState.EVICTED
    with pytest.raises(errors.QueueFullError) as refusal:
        fairqueue.add_ticket(queue, SERVICE, "bulk", 1)
    assert refusal.value.run is errors.Run.NOT_RUN


class FairQueueMachine(stateful.RuleBasedStateMachine):
    """Guards bounds, counts and first-in-first-out order in each account."""

    def __init__(self):
        super().__init__()
        self.queue = fairqueue.FairQueue(8, 14, 7)
        self.waiting = {}
        self.held = []

    @stateful.rule(
        account=st.sampled_from("abc"),
        service=st.sampled_from("xy"),
        weight=st.integers(1, 3),
    )
    def add(self, account, service, weight):
        try:
            ticket, victim = fairqueue.add_ticket(
                self.queue, service, account, weight
            )
        except errors.QueueFullError:
            own = fairqueue.count_waiting(self.queue, account)
            assert own == 7 or self.queue.held + self.queue.waiting >= 14
            return
        if victim is not None:
            assert victim.account != account
            assert self.waiting[victim.service, victim.account].pop() is victim
        self.waiting.setdefault((service, account), []).append(ticket)

    @stateful.rule(service=st.sampled_from("xy"), slots=st.integers(0, 9))
    def grant(self, service, slots):
        ticket = fairqueue.grant_next(self.queue, service, slots, 0)
        held = [item for item in self.held if item.service == service]
        waiting = {
            account: tickets
            for (name, account), tickets in self.waiting.items()
            if name == service and tickets
        }
        room = min(8 - len(self.held), min(slots, 8) - len(held))
        if ticket is None:
            busy = {item.account for item in held}
            kept = fairqueue.count_reserved(min(slots, 8))
            assert not waiting or room <= kept
            assert room <= 0 or waiting.keys() <= busy
            return
        assert room > 0
        assert waiting[ticket.account].pop(0) is ticket
        self.held.append(ticket)

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(data=st.data())
    def finish(self, data):
        ticket = data.draw(st.sampled_from(self.held))
        self.held.remove(ticket)
        fairqueue.remove_ticket(self.queue, ticket, 5)

    @stateful.rule(data=st.data())
    def give_up(self, data):
        tickets = [item for row in self.waiting.values() for item in row]
        if tickets:
            ticket = data.draw(st.sampled_from(tickets))
            self.waiting[ticket.service, ticket.account].remove(ticket)
            fairqueue.remove_ticket(self.queue, ticket, 5)

    @stateful.invariant()
    def counts_agree_and_stay_in_bounds(self):
        waiting = sum(map(len, self.waiting.values()))
        assert self.queue.waiting == waiting
        assert self.queue.held == len(self.held) <= 8
        assert waiting + len(self.held) <= 14


TestFairQueueMachine = FairQueueMachine.TestCase
