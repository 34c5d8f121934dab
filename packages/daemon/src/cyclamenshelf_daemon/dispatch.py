"""Blocks request threads until the fair queue grants a dispatch slot."""

from collections.abc import Callable
import threading

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import backends as backend_servers
from cyclamenshelf_daemon import fairqueue

# Interval at which waiting threads check for free slots. Slots also become
# available without an event: when a pause that a backend server asked for or
# the wait of a circuit breaker ends, or when a load report gets too old.
_RECHECK_MS = 50
_RETRY_AFTER_MS = 1_000


class Dispatcher:
    """The fair queue and the events on which its threads wait.

    Attributes:
        wait: Waits for an event, with a timeout in milliseconds.
    """

    def __init__(
        self,
        queue: fairqueue.FairQueue,
        backends: backend_servers.Backends,
        clock: clocks.Clock,
    ) -> None:
        self.queue = queue
        self.backends = backends
        self.clock = clock
        self.lock = threading.Lock()
        self.events: dict[fairqueue.Ticket, threading.Event] = {}
        self.wait: Callable[[threading.Event, int], None] = _wait


def acquire_slot(
    dispatcher: Dispatcher,
    service: str,
    account: str,
    weight: int,
    deadline_ms: int,
) -> fairqueue.Ticket:
    """Wait for a dispatch slot and return the ticket that holds it.

    Raises:
        errors.QueueFullError: The queue is full.
        errors.DeadlinePassedError: No slot became free before the deadline.
        errors.BackendFailedError: No backend server is available.
    """
    # Under overload most requests are refused here, without the lock.
    # Otherwise they would contend for it with threads that were granted a slot.
    fairqueue.check_account(dispatcher.queue, account)
    event = threading.Event()
    with dispatcher.lock:
        ticket, evicted = fairqueue.add_ticket(
            dispatcher.queue, service, account, weight
        )
        dispatcher.events[ticket] = event
        if evicted is not None:
            dispatcher.events[evicted].set()
        _grant_slots(dispatcher, service)
    try:
        while not _check_granted(dispatcher, ticket, deadline_ms):
            dispatcher.wait(event, _RECHECK_MS)
    except errors.RequestRefusedError:
        release_slot(dispatcher, ticket)
        raise
    finally:
        del dispatcher.events[ticket]
    return ticket


def release_slot(dispatcher: Dispatcher, ticket: fairqueue.Ticket) -> None:
    """Release the slot and grant it to a waiting request."""
    with dispatcher.lock:
        fairqueue.remove_ticket(
            dispatcher.queue, ticket, dispatcher.clock.now_ms()
        )
        for service in dispatcher.queue.services:
            _grant_slots(dispatcher, service)


def _wait(event: threading.Event, timeout_ms: int) -> None:
    event.wait(timeout_ms / 1000)


def _check_granted(
    dispatcher: Dispatcher, ticket: fairqueue.Ticket, deadline_ms: int
) -> bool:
    """Return whether the ticket holds a slot; raise if it cannot get one."""
    if ticket.state is fairqueue.TicketState.GRANTED:
        return True
    with dispatcher.lock:
        if ticket.state is fairqueue.TicketState.WAITING:
            _grant_slots(dispatcher, ticket.service)
        state = ticket.state
    if state is fairqueue.TicketState.GRANTED:
        return True
    if state is fairqueue.TicketState.EVICTED:
        raise errors.QueueFullError(
            "evicted from the queue by an account with fewer waiting requests",
            retry_after_ms=_RETRY_AFTER_MS,
        )
    if dispatcher.clock.now_ms() >= deadline_ms:
        raise errors.DeadlinePassedError(
            "deadline passed before a dispatch slot was free"
        )
    wait_ms = backend_servers.compute_wait_ms(
        dispatcher.backends, ticket.service
    )
    if wait_ms is None or dispatcher.clock.now_ms() + wait_ms >= deadline_ms:
        raise errors.BackendFailedError(
            f"no backend server of {ticket.service[:80]} is available",
            retry_after_ms=wait_ms or _RETRY_AFTER_MS,
        )
    return False


def _grant_slots(dispatcher: Dispatcher, service: str) -> None:
    """Grant the free slots of a service and wake their threads."""
    queue = dispatcher.queue
    if not queue.services[service].flows:
        return
    slots = backend_servers.count_slots(dispatcher.backends, service)
    while True:
        ticket = fairqueue.grant_next(
            queue, service, slots, dispatcher.clock.now_ms()
        )
        if ticket is None:
            return
        dispatcher.events[ticket].set()
