"""A circuit breaker for one server."""

import enum

FAILURES_TO_OPEN = 5
OPEN_MS = 10_000


class State(enum.StrEnum):
    """Whether requests may be sent."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """State of one breaker.

    Attributes:
        failures: Failures in a row while closed.
        opened_at_ms: Time of the last opening, or None while closed.
        probing: Whether the one probe of the half-open state is out.
        generation: Raised at each change of state; an outcome counts only in
            the generation that its request was sent in, so that a late one
            neither closes nor opens the breaker.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.opened_at_ms: int | None = None
        self.probing = False
        self.generation = 0


def get_state(breaker: Breaker, now_ms: int) -> State:
    """Return the state at this time."""
    if breaker.opened_at_ms is None:
        return State.CLOSED
    if now_ms - breaker.opened_at_ms < OPEN_MS:
        return State.OPEN
    return State.HALF_OPEN


def allows_request(breaker: Breaker, now_ms: int) -> bool:
    """Return whether a request may be sent now."""
    state = get_state(breaker, now_ms)
    return state is State.CLOSED or (
        state is State.HALF_OPEN and not breaker.probing
    )


def note_sent(breaker: Breaker, now_ms: int) -> int:
    """Count a request as sent and return the token for its outcome.

    Raises:
        ValueError: The breaker does not allow a request now.
    """
    if not allows_request(breaker, now_ms):
        raise ValueError("breaker is open or its probe is out")
    if get_state(breaker, now_ms) is State.HALF_OPEN:
        breaker.probing = True
        breaker.generation += 1
    return breaker.generation


def note_success(breaker: Breaker, token: int) -> None:
    """Count an answer; the answer to a probe closes the breaker."""
    if token != breaker.generation:
        return
    breaker.failures = 0
    if breaker.probing:
        breaker.probing = False
        breaker.opened_at_ms = None
        breaker.generation += 1


def note_failure(breaker: Breaker, token: int, now_ms: int) -> None:
    """Count a failure; enough in a row, or a failed probe, open the breaker."""
    if token != breaker.generation:
        return
    breaker.failures += 1
    if breaker.probing or breaker.failures >= FAILURES_TO_OPEN:
        breaker.opened_at_ms = now_ms
        breaker.probing = False
        breaker.failures = 0
        breaker.generation += 1


def note_refusal(breaker: Breaker, token: int) -> None:
    """Count a refusal without a run, which says nothing about failures."""
    if token == breaker.generation:
        breaker.probing = False
