import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from cyclamenshelf_core import breaker as breakers

State = breakers.State


def open_breaker(now_ms=0):
    breaker = breakers.Breaker()
    for _ in range(breakers.FAILURES_TO_OPEN):
        token = breakers.record_request(breaker, now_ms)
        breakers.record_failure(breaker, token, now_ms)
    return breaker


def test_probe_success_closes_and_probe_failure_reopens():
    # Guards against a half-open breaker that allows a second probe, or whose
    # state does not follow the outcome of the probe.
    breaker = open_breaker()
    later = breakers.OPEN_MS
    probe = breakers.record_request(breaker, later)
    with pytest.raises(ValueError, match="probe"):
        breakers.record_request(breaker, later)
    breakers.record_failure(breaker, probe, later)
    assert breakers.get_state(breaker, later + 1) is State.OPEN
    probe = breakers.record_request(breaker, 2 * later)
    breakers.record_success(breaker, probe)
    assert breakers.get_state(breaker, 2 * later) is State.CLOSED


def test_late_response_to_an_earlier_request_does_not_close():
    # Guards against a late response that closes the breaker while its probe
    # is in flight.
    breaker = breakers.Breaker()
    late = breakers.record_request(breaker, 0)
    for _ in range(breakers.FAILURES_TO_OPEN):
        breakers.record_failure(breaker, breakers.record_request(breaker, 0), 0)
    breakers.record_request(breaker, breakers.OPEN_MS)
    breakers.record_success(breaker, late)
    assert not breakers.allows_request(breaker, breakers.OPEN_MS)


class BreakerMachine(stateful.RuleBasedStateMachine):
    """Checks the state transitions for outcomes that arrive in any order.

    Guards against a late outcome that changes the state of a later
    generation, and against more than one probe in flight.
    """

    def __init__(self):
        super().__init__()
        self.breaker = breakers.Breaker()
        self.now_ms = 0
        self.in_flight = []
        self.probes_in_flight = set()

    @stateful.rule(step_ms=st.sampled_from([1, 999, breakers.OPEN_MS]))
    def wait(self, step_ms):
        self.now_ms += step_ms

    @stateful.precondition(
        lambda self: breakers.allows_request(self.breaker, self.now_ms)
    )
    @stateful.rule()
    def send(self):
        state = breakers.get_state(self.breaker, self.now_ms)
        token = breakers.record_request(self.breaker, self.now_ms)
        self.in_flight.append(token)
        if state is State.HALF_OPEN:
            assert not self.probes_in_flight
            self.probes_in_flight.add(token)

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(data=st.data(), kind=st.sampled_from("SFR"))
    def end(self, data, kind):
        before = breakers.get_state(self.breaker, self.now_ms)
        token = data.draw(st.sampled_from(self.in_flight))
        self.in_flight.remove(token)
        if kind == "S":
            breakers.record_success(self.breaker, token)
        elif kind == "F":
            breakers.record_failure(self.breaker, token, self.now_ms)
        else:
            breakers.record_inconclusive(self.breaker, token)
        after = breakers.get_state(self.breaker, self.now_ms)
        if token not in self.probes_in_flight:
            allowed = {State.OPEN} if before is State.CLOSED else set()
            assert after in {before} | allowed
        else:
            expected = {"S": State.CLOSED, "F": State.OPEN, "R": before}
            assert after is expected[kind]
        self.probes_in_flight.discard(token)

    @stateful.invariant()
    def sends_nothing_while_open_or_probing(self):
        state = breakers.get_state(self.breaker, self.now_ms)
        allowed = breakers.allows_request(self.breaker, self.now_ms)
        assert not (state is State.OPEN and allowed)
        assert not (self.probes_in_flight and allowed)


TestBreakerMachine = BreakerMachine.TestCase
