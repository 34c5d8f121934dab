import threading

from cyclamenshelf_core import model
from cyclamenshelf_daemon import lookup
from cyclamenshelf_daemon import waiters as job_waiters


def test_waiters_are_limited_and_unregistered():
    # Without the limit, waiting callers could occupy all threads; without the
    # release, the limit would soon be used up.
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


class _FakeJobLookup:
    """Replaces `lookup.find_job`; the job is queued until `ended` is set."""

    def __init__(self, monkeypatch):
        self.ended = threading.Event()
        self.reads = threading.Semaphore(0)
        monkeypatch.setattr(lookup, "find_job", self.find)

    def find(self, context, account, job_id):
        self.reads.release()
        ended = self.ended.is_set()
        state = model.JobState.SUCCEEDED if ended else model.JobState.QUEUED
        spec = None
        return model.Job(job_id, account, "c", "", spec, state, 0)


def make_context(clock, max_waiting_threads):
    return lookup.LookupContext(
        "c", None, None, clock, job_waiters.Waiters(max_waiting_threads)
    )


def test_caller_over_the_limit_gets_the_current_state_at_once(
    monkeypatch, manual_clock
):
    # Waiting without a registration would exceed the limit on threads.
    fake_lookup = _FakeJobLookup(monkeypatch)
    context = make_context(manual_clock.clock, 0)
    job = lookup.wait_for_end(context, "a", "j", 20_000)
    assert job.state is model.JobState.QUEUED
    assert fake_lookup.reads.acquire(blocking=False)
    assert not fake_lookup.reads.acquire(blocking=False)


def test_notification_or_poll_ends_the_wait(monkeypatch, manual_clock):
    # A caller must not wait until its time-out because a notification was
    # lost. The second round sends none, so that only polling finds the end.
    for notified in (True, False):
        fake_lookup = _FakeJobLookup(monkeypatch)
        context = make_context(manual_clock.clock, 1)
        jobs = []
        thread = threading.Thread(
            target=lambda jobs=jobs, context=context: jobs.append(
                lookup.wait_for_end(context, "a", "j", 20_000)
            )
        )
        thread.start()
        assert fake_lookup.reads.acquire(timeout=10)
        fake_lookup.ended.set()
        if notified:
            job_waiters.notify(context.waiters, "j")
        thread.join(timeout=10)
        assert jobs[0].state is model.JobState.SUCCEEDED
