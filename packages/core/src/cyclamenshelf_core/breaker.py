"""A circuit breaker that stops requests to a failing server."""

import enum

FAILURES_TO_OPEN = 5
OPEN_MS = 10_000


class State(enum.StrEnum):
    """State of a breaker; while half-open, it allows a single probe."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """Circuit breaker of one server.

    Attributes:
        failures: Consecutive failures while closed.
        opened_at_ms: Time at which the breaker last opened, or None while
            closed.
        probing: Whether the single probe of the half-open state is in flight.
        generation: Incremented at each change of state. An outcome counts
            only in the generation in which its request was sent, so that a
            late response neither closes nor opens the breaker.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.opened_at_ms: int | None = None
        self.probing = False
        self.generation = 0


def get_state(breaker: Breaker, now_ms: int) -> State:
    """Return the state at `now_ms`."""
    if breaker.opened_at_ms is None:
        return State.CLOSED
    if now_ms - breaker.opened_at_ms < OPEN_MS:
        return State.OPEN
    return State.HALF_OPEN


def allows_request(breaker: Breaker, now_ms: int) -> bool:
    """Return whether a request may be sent at `now_ms`."""
    state = get_state(breaker, now_ms)
    return state is State.CLOSED or (
        state is State.HALF_OPEN and not breaker.probing
    )


def record_request(breaker: Breaker, now_ms: int) -> int:
    """Record that a request is sent and return the token for its outcome.

    Raises:
        ValueError: The breaker does not allow a request at `now_ms`.
    """
    if not allows_request(breaker, now_ms):
        raise ValueError("breaker is open or its probe is still in flight")
    if get_state(breaker, now_ms) is State.HALF_OPEN:
        breaker.probing = True
        breaker.generation += 1
    return breaker.generation


def record_success(breaker: Breaker, token: int) -> None:
    """Record a response; the response to a probe closes the breaker."""
    if token != breaker.generation:
        return
    breaker.failures = 0
    if breaker.probing:
        breaker.probing = False
        breaker.opened_at_ms = None
        breaker.generation += 1


def record_failure(breaker: Breaker, token: int, now_ms: int) -> None:
    """Record a failure.

    The breaker opens after `FAILURES_TO_OPEN` consecutive failures, or when
    the probe fails.
    """
    if token != breaker.generation:
        return
    breaker.failures += 1
    if breaker.probing or breaker.failures >= FAILURES_TO_OPEN:
        breaker.opened_at_ms = now_ms
        breaker.probing = False
        breaker.failures = 0
        breaker.generation += 1


def record_inconclusive(breaker: Breaker, token: int) -> None:
    """End a request that counts neither as a success nor as a failure.

    Examples are a request that the server rejected without running it, and
    one that was abandoned. If it was the probe, another may be sent.
    """
    if token == breaker.generation:
        breaker.probing = False
