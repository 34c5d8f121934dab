import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from cyclamenshelf_core import breaker as breakers

State = breakers.State


def open_breaker(now_ms=0):
    breaker = breakers.Breaker()
    for _ in range(breakers.FAILURES_TO_OPEN):
        token = breakers.note_sent(breaker, now_ms)
        breakers.note_failure(breaker, token, now_ms)
    return breaker


def test_probe_answer_closes_and_probe_failure_opens_again():
    breaker = open_breaker()
    later = breakers.OPEN_MS
    probe = breakers.note_sent(breaker, later)
    with pytest.raises(ValueError, match="probe"):
        breakers.note_sent(breaker, later)
    breakers.note_failure(breaker, probe, later)
    assert breakers.get_state(breaker, later + 1) is State.OPEN
    probe = breakers.note_sent(breaker, 2 * later)
    breakers.note_success(breaker, probe)
    assert breakers.get_state(breaker, 2 * later) is State.CLOSED


def test_late_answer_from_before_the_opening_does_not_close():
    breaker = breakers.Breaker()
    late = breakers.note_sent(breaker, 0)
    for _ in range(breakers.FAILURES_TO_OPEN):
        breakers.note_failure(breaker, breakers.note_sent(breaker, 0), 0)
    breakers.note_sent(breaker, breakers.OPEN_MS)
    breakers.note_success(breaker, late)
    assert not breakers.allows_request(breaker, breakers.OPEN_MS)


class BreakerMachine(stateful.RuleBasedStateMachine):
    """Guards the rules of each state against outcomes in any order."""

    def __init__(self):
        super().__init__()
        self.breaker = breakers.Breaker()
        self.now_ms = 0
        self.out = []
        self.probes_out = set()

    @stateful.rule(step_ms=st.sampled_from([1, 999, breakers.OPEN_MS]))
    def wait(self, step_ms):
        self.now_ms += step_ms

    @stateful.precondition(
        lambda self: breakers.allows_request(self.breaker, self.now_ms)
    )
    @stateful.rule()
    def send(self):
        state = breakers.get_state(self.breaker, self.now_ms)
        token = breakers.note_sent(self.breaker, self.now_ms)
        self.out.append(token)
        if state is State.HALF_OPEN:
            assert not self.probes_out
            self.probes_out.add(token)

    @stateful.precondition(lambda self: self.out)
    @stateful.rule(data=st.data(), kind=st.sampled_from("SFR"))
    def end(self, data, kind):
        before = breakers.get_state(self.breaker, self.now_ms)
        token = data.draw(st.sampled_from(self.out))
        self.out.remove(token)
        if kind == "S":
            breakers.note_success(self.breaker, token)
        elif kind == "F":
            breakers.note_failure(self.breaker, token, self.now_ms)
        else:
            breakers.note_refusal(self.breaker, token)
        after = breakers.get_state(self.breaker, self.now_ms)
        if token not in self.probes_out:
            allowed = {State.OPEN} if before is State.CLOSED else set()
            assert after in {before} | allowed
        else:
            expected = {"S": State.CLOSED, "F": State.OPEN, "R": before}
            assert after is expected[kind]
        self.probes_out.discard(token)

    @stateful.invariant()
    def sends_nothing_while_open_or_probing(self):
        state = breakers.get_state(self.breaker, self.now_ms)
        allowed = breakers.allows_request(self.breaker, self.now_ms)
        assert not (state is State.OPEN and allowed)
        assert not (self.probes_out and allowed)


TestBreakerMachine = BreakerMachine.TestCase
