"""Load balancing between the backend servers of each service."""

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

# Other hosts use the same slots, so a report of few free slots soon becomes
# stale. The limit grows by one slot for each step of the report's age.
_RECOVERY_STEP_MS = 100


class BackendStats:
    """Load, circuit breaker and outlier statistics of one backend server.

    Attributes:
        in_flight: Requests of this host that have not ended.
        concurrency_limit: Concurrent requests of this host that the server
            could accept when it last reported its free slots, or None.
        paused_until_ms: Time before which the server asked for no requests.
        ejected_until_ms: End of the last ejection.
        ejections: Ejections so far; determines the duration of the next one.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.concurrency_limit: int | None = None
        self.limit_set_at_ms = 0
        self.paused_until_ms = 0
        self.breaker = breakers.Breaker()
        self.requests = slidingcount.SlidingCount(outliers.WINDOW_MS)
        self.failures = slidingcount.SlidingCount(outliers.WINDOW_MS)
        self.ejected_until_ms = 0
        self.ejections = 0


class Backends:
    """The statistics of each backend server and the marks of leaving ones.

    Attributes:
        stats_by_key: By id and incarnation, so that a server that returns
            under a new incarnation starts with a closed circuit breaker.
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
        self.stats_by_key: dict[tuple[str, str], BackendStats] = {}
        self.leaving = leaving.LeavingMarks(clock)
        host_list.observers.append(lambda hosts: _apply_host_list(self, hosts))
        _apply_host_list(self, host_list.hosts)


class Assignment(NamedTuple):
    """A request that was assigned to a backend server and has not ended."""

    backend: hostlist.Backend
    stats: BackendStats
    token: int


def has_service(backends: Backends, service: str) -> bool:
    """Return whether the host list contains a server of the service."""
    listed = backends.host_list.hosts.backends.values()
    return any(backend.service == service for backend in listed)


def compute_wait_ms(backends: Backends, service: str) -> int | None:
    """Return the milliseconds until a server accepts requests again.

    Only pauses that servers requested are counted. Returns None if all servers
    are leaving, ejected or excluded by an open circuit breaker.
    """
    now_ms = backends.clock.now_ms()
    with backends.lock:
        waits = [
            max(0, stats.paused_until_ms - now_ms)
            for _, stats in _list_available(backends, service)
        ]
    return min(waits, default=None)


def count_slots(backends: Backends, service: str) -> int:
    """Return the number of slots for this host's requests, free or in use."""
    now_ms = backends.clock.now_ms()
    with backends.lock:
        return sum(
            max(
                stats.in_flight,
                _compute_concurrency_limit(backend, stats, now_ms),
            )
            for backend, stats in _list_available(backends, service)
        )


def assign_backend(
    backends: Backends, service: str, avoided_ids: frozenset[str]
) -> Assignment | None:
    """Choose a server for a request and count the request as in flight.

    Chooses the server with more free slots out of two random servers with free
    slots. Servers with a half-open breaker are probed first, and servers in
    `avoided_ids` are used only if there is no other. Returns None if no server
    is available.
    """
    now_ms = backends.clock.now_ms()
    with backends.lock:
        available = _list_available(backends, service)
        free_slots = {
            backend.id: _compute_concurrency_limit(backend, stats, now_ms)
            - stats.in_flight
            for backend, stats in available
        }
        with_free_slots = [
            item for item in available if free_slots[item[0].id] > 0
        ] or available
        preferred = [
            item for item in with_free_slots if item[0].id not in avoided_ids
        ] or with_free_slots
        half_open = [
            item for item in preferred if _is_half_open(item[1], now_ms)
        ]
        if not preferred:
            return None
        candidates = half_open or preferred
        sampled = backends.generator.sample(candidates, min(2, len(candidates)))
        backend, stats = min(
            sampled,
            key=lambda item: (-free_slots[item[0].id], item[1].in_flight),
        )
        stats.in_flight += 1
        token = breakers.record_request(stats.breaker, now_ms)
        return Assignment(backend, stats, token)


def record_response(
    backends: Backends, assignment: Assignment, slots_free: int | None
) -> None:
    """Record a complete response and the free slots that it reported."""
    with backends.lock:
        _record_finished(backends, assignment, failed=False)
        breakers.record_success(assignment.stats.breaker, assignment.token)
        if slots_free is not None:
            _set_limit(backends, assignment.stats, slots_free)


def record_server_error(backends: Backends, assignment: Assignment) -> None:
    """Record a complete response that says the request failed.

    The server is live and the request itself may be at fault, so the response
    counts only in the comparison with the other servers. Otherwise, bad
    requests of one account could open the circuit breakers of all servers.
    """
    with backends.lock:
        _record_finished(backends, assignment, failed=True)
        breakers.record_success(assignment.stats.breaker, assignment.token)
        _eject_outlier(backends, assignment)


def record_failure(backends: Backends, assignment: Assignment) -> None:
    """Record a request without a complete response."""
    now_ms = backends.clock.now_ms()
    breaker = assignment.stats.breaker
    with backends.lock:
        _record_finished(backends, assignment, failed=True)
        breakers.record_failure(breaker, assignment.token, now_ms)
        if breaker.opened_at_ms == now_ms:
            logs.log_event(
                "breaker_open", "WARNING", backend=assignment.backend.id
            )
        _eject_outlier(backends, assignment)


def record_refusal(backends: Backends, assignment: Assignment) -> None:
    """Record that the server had no free slot and did not run the request."""
    with backends.lock:
        assignment.stats.in_flight -= 1
        breakers.record_inconclusive(assignment.stats.breaker, assignment.token)
        _set_limit(backends, assignment.stats, 0)


def pause_backend(
    backends: Backends, assignment: Assignment, retry_after_ms: int
) -> None:
    """Send no requests to a server for the time that it asked for."""
    with backends.lock:
        until_ms = backends.clock.now_ms() + retry_after_ms
        assignment.stats.paused_until_ms = until_ms


def record_abandoned(backends: Backends, assignment: Assignment) -> None:
    """Record the end of a request that says nothing about the server."""
    with backends.lock:
        assignment.stats.in_flight -= 1
        breakers.record_inconclusive(assignment.stats.breaker, assignment.token)


def _record_finished(
    backends: Backends, assignment: Assignment, failed: bool
) -> None:
    now_ms = backends.clock.now_ms()
    stats = assignment.stats
    stats.in_flight -= 1
    slidingcount.add_events(stats.requests, now_ms)
    if failed:
        slidingcount.add_events(stats.failures, now_ms)


def _set_limit(
    backends: Backends, stats: BackendStats, slots_free: int
) -> None:
    stats.concurrency_limit = stats.in_flight + slots_free
    stats.limit_set_at_ms = backends.clock.now_ms()


def _apply_host_list(backends: Backends, hosts: hostlist.Hosts) -> None:
    leaving.apply_host_list(backends.leaving, hosts.backends)
    listed = {_make_key(backend) for backend in hosts.backends.values()}
    with backends.lock:
        for key in backends.stats_by_key.keys() - listed:
            del backends.stats_by_key[key]


def _make_key(backend: hostlist.Backend) -> tuple[str, str]:
    return backend.id, backend.incarnation


def _is_half_open(stats: BackendStats, now_ms: int) -> bool:
    state = breakers.get_state(stats.breaker, now_ms)
    return state is breakers.State.HALF_OPEN


def _list_not_leaving(
    backends: Backends, service: str
) -> list[tuple[hostlist.Backend, BackendStats]]:
    """Return the servers of a service that are not leaving."""
    return [
        (
            backend,
            backends.stats_by_key.setdefault(
                _make_key(backend), BackendStats()
            ),
        )
        for backend in backends.host_list.hosts.backends.values()
        if backend.service == service
        and not leaving.is_marked(backends.leaving, backend)
    ]


def _list_available(
    backends: Backends, service: str
) -> list[tuple[hostlist.Backend, BackendStats]]:
    """Return the servers that can be sent a request now."""
    now_ms = backends.clock.now_ms()
    not_leaving = _list_not_leaving(backends, service)
    allowed = [
        item
        for item in not_leaving
        if breakers.allows_request(item[1].breaker, now_ms)
    ]
    ejected = outliers.select_ejected(
        {backend.id: stats.ejected_until_ms for backend, stats in allowed},
        len(not_leaving) - len(allowed),
        len(not_leaving),
        now_ms,
    )
    return [item for item in allowed if item[0].id not in ejected]


def _compute_concurrency_limit(
    backend: hostlist.Backend, stats: BackendStats, now_ms: int
) -> int:
    """Return how many concurrent requests of this host the server accepts."""
    if now_ms < stats.paused_until_ms:
        return 0
    if _is_half_open(stats, now_ms):
        return 1
    if stats.concurrency_limit is None:
        return backend.slots
    recovered = (now_ms - stats.limit_set_at_ms) // _RECOVERY_STEP_MS
    return min(stats.concurrency_limit + recovered, backend.slots)


def _eject_outlier(backends: Backends, assignment: Assignment) -> None:
    backend, stats, _ = assignment
    now_ms = backends.clock.now_ms()
    others = [
        other
        for _, other in _list_not_leaving(backends, backend.service)
        if other is not stats
    ]
    if stats.ejected_until_ms > now_ms or not outliers.is_outlier(
        slidingcount.sum_events(stats.failures, now_ms),
        slidingcount.sum_events(stats.requests, now_ms),
        sum(slidingcount.sum_events(o.failures, now_ms) for o in others),
        sum(slidingcount.sum_events(o.requests, now_ms) for o in others),
    ):
        return
    ejection_ms = outliers.compute_ejection_duration(stats.ejections)
    stats.ejections += 1
    stats.ejected_until_ms = now_ms + ejection_ms
    stats.requests = slidingcount.SlidingCount(outliers.WINDOW_MS)
    stats.failures = slidingcount.SlidingCount(outliers.WINDOW_MS)
    logs.log_event(
        "backend_ejected", "WARNING", backend=backend.id, for_ms=ejection_ms
    )
