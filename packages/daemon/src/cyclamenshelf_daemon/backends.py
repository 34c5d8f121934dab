"""The backend servers of each service and the choice between them."""

import random
import threading
from typing import NamedTuple

from cyclamenshelf_core import breaker as breakers
from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import outliers
from cyclamenshelf_core import slidingcount
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import leaving
from cyclamenshelf_daemon import logs

# Other hosts use the same slots, so a report of few free slots is soon out of
# date. One more slot is tried for each step of its age.
_RECOVERY_STEP_MS = 100


class Load:
    """What this host knows of one backend server.

    Attributes:
        in_flight: Requests of this host that it has.
        limit: Requests of this host that it had room for when it last
            reported its free slots.
        hold_until_ms: It asked for no request before this time.
        ejected_until_ms: End of the last ejection.
        ejections: Ejections so far; decides how long the next one lasts.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.limit: int | None = None
        self.limit_at_ms = 0
        self.hold_until_ms = 0
        self.breaker = breakers.Breaker()
        self.requests = slidingcount.SlidingCount(outliers.WINDOW_MS)
        self.failures = slidingcount.SlidingCount(outliers.WINDOW_MS)
        self.ejected_until_ms = 0
        self.ejections = 0


class Backends:
    """The load of each backend server and the marks of those leaving.

    Attributes:
        loads: By id and incarnation: a server that returns under a new
            incarnation starts with a closed breaker.
    """

    def __init__(
        self,
        host_list: hostlist.HostList,
        clock: clocks.Clock,
        generator: random.Random,
    ) -> None:
        self.host_list = host_list
        self.clock = clock
        self.generator = generator
        self.lock = threading.Lock()
        self.loads: dict[tuple[str, str], Load] = {}
        self.leaving = leaving.LeavingMarks(clock)
        host_list.observers.append(lambda hosts: _note_reading(self, hosts))
        _note_reading(self, host_list.hosts)


class Sending(NamedTuple):
    """One request on its way to a backend server."""

    backend: hostlist.Backend
    load: Load
    token: int


def is_known(backends: Backends, service: str) -> bool:
    """Return whether the host list has a server of the service."""
    listed = backends.host_list.hosts.backends.values()
    return any(backend.service == service for backend in listed)


def find_wait(backends: Backends, service: str) -> int | None:
    """Return the milliseconds until a server accepts requests again.

    Only servers that asked for a pause are waited for. Returns None if all
    are leaving, ejected or behind an open breaker.
    """
    now_ms = backends.clock.now_ms()
    with backends.lock:
        waits = [
            max(0, load.hold_until_ms - now_ms)
            for _, load in _list_usable(backends, service)
        ]
    return min(waits, default=None)


def count_slots(backends: Backends, service: str) -> int:
    """Return the slots for requests of this host, free or in use."""
    now_ms = backends.clock.now_ms()
    with backends.lock:
        return sum(
            max(load.in_flight, _compute_limit(backend, load, now_ms))
            for backend, load in _list_usable(backends, service)
        )


def take_backend(
    backends: Backends, service: str, avoid: frozenset[str]
) -> Sending | None:
    """Choose a server, count the request in flight there and return both.

    Takes the one with more free slots of two random ones with a free slot. A
    half-open breaker is probed first; servers in `avoid` come last. Returns
    None if no server may be sent to.
    """
    now_ms = backends.clock.now_ms()
    with backends.lock:
        usable = _list_usable(backends, service)
        rooms = {
            backend.id: _compute_limit(backend, load, now_ms) - load.in_flight
            for backend, load in usable
        }
        free = [item for item in usable if rooms[item[0].id] > 0] or usable
        fresh = [item for item in free if item[0].id not in avoid] or free
        probes = [item for item in fresh if _is_half_open(item[1], now_ms)]
        if not fresh:
            return None
        choices = probes or fresh
        pair = backends.generator.sample(choices, min(2, len(choices)))
        backend, load = min(
            pair, key=lambda item: (-rooms[item[0].id], item[1].in_flight)
        )
        load.in_flight += 1
        token = breakers.record_request(load.breaker, now_ms)
        return Sending(backend, load, token)


def note_answer(
    backends: Backends, sending: Sending, slots_free: int | None
) -> None:
    """Count a whole answer with the free slots it reported."""
    with backends.lock:
        _finish(backends, sending, failed=False)
        breakers.record_success(sending.load.breaker, sending.token)
        if slots_free is not None:
            _set_limit(backends, sending.load, slots_free)


def note_server_error(backends: Backends, sending: Sending) -> None:
    """Count a whole answer that says the request failed.

    It shows a live server and may be the request's own fault, so that it
    counts only in the comparison with the other servers. One account's bad
    requests could otherwise open the breakers of all servers.
    """
    with backends.lock:
        _finish(backends, sending, failed=True)
        breakers.record_success(sending.load.breaker, sending.token)
        _eject_outlier(backends, sending)


def note_failure(backends: Backends, sending: Sending) -> None:
    """Count a request without a whole answer."""
    now_ms = backends.clock.now_ms()
    breaker = sending.load.breaker
    with backends.lock:
        _finish(backends, sending, failed=True)
        breakers.record_failure(breaker, sending.token, now_ms)
        if breaker.opened_at_ms == now_ms:
            logs.log_event(
                "breaker_open", "WARNING", backend=sending.backend.id
            )
        _eject_outlier(backends, sending)


def note_refusal(backends: Backends, sending: Sending) -> None:
    """Count a refusal without a run: the server had no free slot for us."""
    with backends.lock:
        sending.load.in_flight -= 1
        breakers.record_inconclusive(sending.load.breaker, sending.token)
        _set_limit(backends, sending.load, 0)


def hold_backend(
    backends: Backends, sending: Sending, retry_after_ms: int
) -> None:
    """Send a server nothing for as long as it asked."""
    with backends.lock:
        until_ms = backends.clock.now_ms() + retry_after_ms
        sending.load.hold_until_ms = until_ms


def note_abandoned(backends: Backends, sending: Sending) -> None:
    """Stop counting a request that tells nothing about the server."""
    with backends.lock:
        sending.load.in_flight -= 1
        breakers.record_inconclusive(sending.load.breaker, sending.token)


def _finish(backends: Backends, sending: Sending, failed: bool) -> None:
    now_ms = backends.clock.now_ms()
    load = sending.load
    load.in_flight -= 1
    slidingcount.add_events(load.requests, now_ms)
    if failed:
        slidingcount.add_events(load.failures, now_ms)


def _set_limit(backends: Backends, load: Load, slots_free: int) -> None:
    load.limit = load.in_flight + slots_free
    load.limit_at_ms = backends.clock.now_ms()


def _note_reading(backends: Backends, hosts: hostlist.Hosts) -> None:
    leaving.note_reading(backends.leaving, hosts.backends)
    listed = {_make_key(backend) for backend in hosts.backends.values()}
    with backends.lock:
        for key in backends.loads.keys() - listed:
            del backends.loads[key]


def _make_key(backend: hostlist.Backend) -> tuple[str, str]:
    return backend.id, backend.incarnation


def _is_half_open(load: Load, now_ms: int) -> bool:
    state = breakers.get_state(load.breaker, now_ms)
    return state is breakers.State.HALF_OPEN


def _list_staying(
    backends: Backends, service: str
) -> list[tuple[hostlist.Backend, Load]]:
    """Return the servers of a service that are not leaving."""
    return [
        (backend, backends.loads.setdefault(_make_key(backend), Load()))
        for backend in backends.host_list.hosts.backends.values()
        if backend.service == service
        and not leaving.is_marked(backends.leaving, backend)
    ]


def _list_usable(
    backends: Backends, service: str
) -> list[tuple[hostlist.Backend, Load]]:
    """Return the servers that may be sent a request now."""
    now_ms = backends.clock.now_ms()
    staying = _list_staying(backends, service)
    closed = [
        item
        for item in staying
        if breakers.allows_request(item[1].breaker, now_ms)
    ]
    ejected = outliers.select_ejected(
        {backend.id: load.ejected_until_ms for backend, load in closed},
        len(staying) - len(closed),
        len(staying),
        now_ms,
    )
    return [item for item in closed if item[0].id not in ejected]


def _compute_limit(backend: hostlist.Backend, load: Load, now_ms: int) -> int:
    """Return how many requests of this host the server has room for."""
    if now_ms < load.hold_until_ms:
        return 0
    if _is_half_open(load, now_ms):
        return 1
    if load.limit is None:
        return backend.slots
    recovered = (now_ms - load.limit_at_ms) // _RECOVERY_STEP_MS
    return min(load.limit + recovered, backend.slots)


def _eject_outlier(backends: Backends, sending: Sending) -> None:
    backend, load, _ = sending
    now_ms = backends.clock.now_ms()
    others = [
        other
        for _, other in _list_staying(backends, backend.service)
        if other is not load
    ]
    if load.ejected_until_ms > now_ms or not outliers.is_outlier(
        slidingcount.sum_events(load.failures, now_ms),
        slidingcount.sum_events(load.requests, now_ms),
        sum(slidingcount.sum_events(o.failures, now_ms) for o in others),
        sum(slidingcount.sum_events(o.requests, now_ms) for o in others),
    ):
        return
    ejection_ms = outliers.compute_ejection_duration(load.ejections)
    load.ejections += 1
    load.ejected_until_ms = now_ms + ejection_ms
    load.requests = slidingcount.SlidingCount(outliers.WINDOW_MS)
    load.failures = slidingcount.SlidingCount(outliers.WINDOW_MS)
    logs.log_event(
        "backend_ejected", "WARNING", backend=backend.id, for_ms=ejection_ms
    )
