"""Start-time fair queueing of accounts for a bounded number of slots.

This module only makes the decisions; `dispatch` adds the lock and the waiting
threads. A free slot is granted to the account with the smallest virtual start
time. Each grant advances the account's next virtual start time by the time
that the slot is held, divided by the weight. That time is unknown when the slot
is granted: it is estimated from the account's recent requests and corrected
when the slot is released. Counting requests instead of slot time would favour
accounts with long requests.

The last free slots are reserved for accounts that hold few slots. Otherwise an
account with few requests would have to wait until a long request of a bulk
caller ends.
"""

import collections
import enum

from cyclamenshelf_core import errors

_DEFAULT_COST_MS = 100.0
_COST_SMOOTHING = 0.2
# Pairs of a minimum number of slots and of how many of them are reserved for
# accounts that hold few.
_RESERVED_SLOTS = ((32, 2), (8, 1), (0, 0))
_RETRY_AFTER_MS = 1_000


class TicketState(enum.Enum):
    """The state of a request in the queue."""

    WAITING = "waiting"
    GRANTED = "granted"
    EVICTED = "pushed_out"
    RELEASED = "released"


class Ticket:
    """One request that waits for a slot or holds one.

    Attributes:
        granted_ms: Time when the slot was granted.
        charged_ms: Slot time that was charged to the account.
    """

    def __init__(self, service: str, account: str) -> None:
        self.service = service
        self.account = account
        self.state = TicketState.WAITING
        self.granted_ms = 0
        self.charged_ms = 0.0


class Flow:
    """The requests of one account to one service.

    Attributes:
        cost_ms: Moving average of the time that its requests hold a slot.
        held: Slots that its requests hold.
    """

    def __init__(self, weight: int, cost_ms: float) -> None:
        self.weight = weight
        self.cost_ms = cost_ms
        self.waiting: collections.deque[Ticket] = collections.deque()
        self.held = 0
        self.virtual_start = 0.0


class ServiceQueue:
    """The flows to one service.

    Attributes:
        virtual_time: Virtual start time of the last granted request.
        cost_ms: Moving average of the time that requests hold a slot.
    """

    def __init__(self) -> None:
        self.flows: dict[str, Flow] = {}
        self.held = 0
        self.virtual_time = 0.0
        self.cost_ms = _DEFAULT_COST_MS


class FairQueue:
    """All requests that wait for a dispatch slot or hold one.

    Attributes:
        max_held: Maximum number of requests that hold a slot.
        max_requests: Maximum number of requests that hold a slot or wait.
        max_account_waiting: Maximum number of waiting requests per account.
    """

    def __init__(
        self, max_held: int, max_requests: int, max_account_waiting: int
    ) -> None:
        self.max_held = max_held
        self.max_requests = max_requests
        self.max_account_waiting = max_account_waiting
        self.services: dict[str, ServiceQueue] = {}
        self.held = 0
        self.waiting = 0


def add_ticket(
    queue: FairQueue, service: str, account: str, weight: int
) -> tuple[Ticket, Ticket | None]:
    """Queue a request; return its ticket and the ticket evicted for it.

    When the queue is full, the last request of the account with the most
    waiting requests relative to its weight is evicted, if this account has
    fewer.

    Raises:
        errors.QueueFullError: The queue is full for this account.
    """
    check_account(queue, account)
    victim = None
    if queue.held + queue.waiting >= queue.max_requests:
        victim = _evict_last_waiting(queue, account, weight)
    service_queue = queue.services.setdefault(service, ServiceQueue())
    flow = service_queue.flows.setdefault(
        account, Flow(weight, service_queue.cost_ms)
    )
    flow.weight = weight
    ticket = Ticket(service, account)
    flow.waiting.append(ticket)
    queue.waiting += 1
    return ticket, victim


def check_account(queue: FairQueue, account: str) -> None:
    """Check that an account may queue one more request.

    Safe to call without the lock, to reject a request early.

    Raises:
        errors.QueueFullError: The account has too many waiting requests.
    """
    if count_waiting(queue, account) >= queue.max_account_waiting:
        raise _make_queue_full_error(
            "the account has too many waiting requests"
        )


def grant_next(
    queue: FairQueue, service: str, slots: int, now_ms: int
) -> Ticket | None:
    """Grant a slot to the next request of a service, if one is free.

    Args:
        queue: The queue.
        service: Service whose requests are considered.
        slots: Slots that the service has at present, free or held.
        now_ms: Time now.
    """
    service_queue = queue.services.get(service)
    if service_queue is None:
        return None
    slots = min(slots, queue.max_held)
    free = min(slots - service_queue.held, queue.max_held - queue.held)
    reserved = count_reserved(slots)
    candidates = [
        (
            max(flow.virtual_start, service_queue.virtual_time),
            flow.held,
            account,
        )
        for account, flow in service_queue.flows.items()
        if flow.waiting and (free > reserved or flow.held < reserved)
    ]
    if free <= 0 or not candidates:
        return None
    start, _, account = min(candidates)
    flow = service_queue.flows[account]
    ticket = flow.waiting.popleft()
    queue.waiting -= 1
    ticket.state = TicketState.GRANTED
    ticket.granted_ms, ticket.charged_ms = now_ms, flow.cost_ms
    service_queue.virtual_time = start
    flow.virtual_start = start + flow.cost_ms / flow.weight
    flow.held += 1
    service_queue.held += 1
    queue.held += 1
    return ticket


def remove_ticket(queue: FairQueue, ticket: Ticket, now_ms: int) -> None:
    """Remove a request that waits or holds a slot."""
    service_queue = queue.services[ticket.service]
    flow = service_queue.flows.get(ticket.account)
    if flow is not None and ticket.state is TicketState.WAITING:
        flow.waiting.remove(ticket)
        queue.waiting -= 1
    elif flow is not None and ticket.state is TicketState.GRANTED:
        flow.held -= 1
        service_queue.held -= 1
        queue.held -= 1
        _correct_charge(service_queue, flow, ticket, now_ms)
    ticket.state = TicketState.RELEASED
    _remove_idle_flows(service_queue)


def _correct_charge(
    service_queue: ServiceQueue, flow: Flow, ticket: Ticket, now_ms: int
) -> None:
    """Replace the estimated charge by the time that the slot was held."""
    used_ms = max(1, now_ms - ticket.granted_ms)
    flow.virtual_start += (used_ms - ticket.charged_ms) / flow.weight
    for item in (flow, service_queue):
        item.cost_ms += _COST_SMOOTHING * (used_ms - item.cost_ms)


def count_waiting(queue: FairQueue, account: str) -> int:
    """Return the number of an account's waiting requests, to all services."""
    flows = [
        service_queue.flows.get(account)
        for service_queue in list(queue.services.values())
    ]
    return sum(len(flow.waiting) for flow in flows if flow is not None)


def count_reserved(slots: int) -> int:
    """Return how many slots are reserved for accounts that hold few."""
    return next(
        reserved
        for min_slots, reserved in _RESERVED_SLOTS
        if slots >= min_slots
    )


def _evict_last_waiting(queue: FairQueue, account: str, weight: int) -> Ticket:
    """Evict a request of the account with most waiting for its weight."""
    loads = [
        (len(flow.waiting) / flow.weight, name, service_queue)
        for service_queue in queue.services.values()
        for name, flow in service_queue.flows.items()
        if flow.waiting and name != account
    ]
    own_load = (count_waiting(queue, account) + 1) / weight
    load, name, service_queue = max(
        loads, key=lambda item: item[:2], default=(0.0, "", None)
    )
    if service_queue is None or load <= own_load:
        raise _make_queue_full_error("too many requests are waiting")
    victim = service_queue.flows[name].waiting.pop()
    queue.waiting -= 1
    victim.state = TicketState.EVICTED
    return victim


def _remove_idle_flows(service_queue: ServiceQueue) -> None:
    """Remove idle flows whose virtual start time has been reached."""
    idle = [
        account
        for account, flow in service_queue.flows.items()
        if not flow.waiting
        and not flow.held
        and flow.virtual_start <= service_queue.virtual_time
    ]
    for account in idle:
        del service_queue.flows[account]


def _make_queue_full_error(reason: str) -> errors.QueueFullError:
    return errors.QueueFullError(reason, retry_after_ms=_RETRY_AFTER_MS)
