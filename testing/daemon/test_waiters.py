import threading

from cyclamenshelf_core import model
from cyclamenshelf_daemon import lookup
from cyclamenshelf_daemon import waiters as job_waiters


def test_places_are_bounded_and_given_back():
    waiters = job_waiters.Waiters(1)
    with job_waiters.register_waiter(waiters, "j") as event:
        with job_waiters.register_waiter(waiters, "j") as second:
            assert second is None
        job_waiters.notify(waiters, "other")
        assert not event.is_set()
        job_waiters.notify(waiters, "j")
        assert event.is_set()
    assert waiters.events == {}
    with job_waiters.register_waiter(waiters, "j") as event:
        assert event is not None


class _JobReads:
    """Answers look-ups: queued at first, ended once `ended` is set."""

    def __init__(self, monkeypatch):
        self.ended = threading.Event()
        self.read = threading.Semaphore(0)
        monkeypatch.setattr(lookup, "find_job", self.find)

    def find(self, context, account, job_id):
        self.read.release()
        ended = self.ended.is_set()
        state = model.JobState.SUCCEEDED if ended else model.JobState.QUEUED
        spec = None
        return model.Job(job_id, account, "c", "", spec, state, 0)


def make_context(clock, places):
    return lookup.LookupContext(
        "c", None, None, clock, job_waiters.Waiters(places)
    )


def test_caller_without_a_place_gets_the_state_at_once(
    monkeypatch, manual_clock
):
    reads = _JobReads(monkeypatch)
    context = make_context(manual_clock.clock, 0)
    job = lookup.wait_for_end(context, "a", "j", 20_000)
    assert job.state is model.JobState.QUEUED
    assert reads.read.acquire(blocking=False)
    assert not reads.read.acquire(blocking=False)


def test_hint_and_poll_both_end_the_wait(monkeypatch, manual_clock):
    # The second round loses the hint: the poll must find the end.
    for hinted in (True, False):
        reads = _JobReads(monkeypatch)
        context = make_context(manual_clock.clock, 1)
        jobs = []
        thread = threading.Thread(
            target=lambda jobs=jobs, context=context: jobs.append(
                lookup.wait_for_end(context, "a", "j", 20_000)
            )
        )
        thread.start()
        assert reads.read.acquire(timeout=10)
        reads.ended.set()
        if hinted:
            job_waiters.notify(context.waiters, "j")
        thread.join(timeout=10)
        assert jobs[0].state is model.JobState.SUCCEEDED
