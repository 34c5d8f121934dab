"""Tests of queues whose steps need approval by the recommendation service."""

import threading

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import advice
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues

State = taskprogress.State
TERMS = queues.AdviceLatency(1, 1)
GROUP = taskjobs.Group("j", 0, 0)


class Adviser:
    """Fake recommendation service that approves some workers.

    Attributes:
        unanswered_calls: Number of the next calls that get no response.
        calls_under_way: Calls in progress.
        most_calls_under_way: Maximum number of calls in progress so far.
    """

    def __init__(self, cell, approved):
        self.cell = cell
        self.approved = approved
        self.valid_ms = 60_000
        self.unanswered_calls = 0
        self.calls = []
        self.calls_under_way = self.most_calls_under_way = 0
        self.lock = threading.Lock()

    def advise(self, step, workers, timeout_ms):
        with self.lock:
            self.calls.append((step, workers))
            self.calls_under_way += 1
            self.most_calls_under_way = max(
                self.most_calls_under_way, self.calls_under_way
            )
        threading.Event().wait(0.01)
        with self.lock:
            self.calls_under_way -= 1
            if self.unanswered_calls:
                self.unanswered_calls -= 1
                raise ports.AdviserSilentError("status 429")
            return ports.Recommendation(
                {
                    name: self.give(name)
                    for name in workers
                    if name in self.approved
                },
                self.valid_ms,
            )

    def give(self, name):
        ticket = f"{name}-{len(self.calls)}"
        for worker in self.cell.workers:
            if worker.info.id == name:
                worker.tickets.add(ticket)
        return ticket


@pytest.fixture
def adviser(cell):
    service = Adviser(cell, {"w1"})
    cell.advise = service.advise
    (queue,) = cell.lists.queues
    cell.lists = cell.lists._replace(queues=(queue._replace(advice=TERMS),))
    for worker in cell.workers:
        worker.tickets = set()
    return service


def test_step_runs_on_approved_workers_only(cell, adviser):
    cell.start_owner()
    job_id = cell.submit(builders.make_step(3))
    cell.wait_for_runs(job_id, 3)
    assert not cell.workers[0].started
    cell.end_all(job_id)
    cell.wait_for_state(job_id, State.COMPLETED)
    # A denial by the service is final, so no worker is named twice.
    assert adviser.calls == [(f"{job_id}.0.0", ("w0", "w1"))]


def test_steps_are_requested_one_at_a_time(cell, adviser):
    cell.start_owner()
    jobs = [cell.submit(builders.make_step(1)) for _ in range(5)]
    for job_id in jobs:
        cell.wait_for_runs(job_id, 1)
    assert adviser.most_calls_under_way == 1


def test_refused_ticket_is_requested_again(cell, adviser):
    adviser.give = lambda name: "stale" if len(adviser.calls) == 1 else "good"
    cell.workers[1].tickets.add("good")
    cell.start_owner()
    job_id = cell.submit(builders.make_step(1))
    cell.wait_for_runs(job_id, 1)
    assert len(adviser.calls) == 2


def test_call_without_a_response_is_repeated(cell, adviser):
    adviser.unanswered_calls = 2
    cell.start_owner()
    job_id = cell.submit(builders.make_step(1))
    cell.wait_for_runs(job_id, 1)
    assert len(adviser.calls) == 3


def test_step_without_an_approved_worker_stays_queued(cell, adviser):
    adviser.approved.clear()
    cell.start_owner()
    job_id = cell.submit(builders.make_step(1))
    conftest.wait_until(lambda: adviser.calls, "the service is called")
    other = cell.submit(builders.make_step(1), queue="other")
    for worker in cell.workers:
        worker.tickets = None
    cell.wait_for_runs(other, 1)
    assert not cell.list_runs(job_id)
    assert len(adviser.calls) == 1


@pytest.fixture
def approved_step():
    """Advice with a ticket for worker w0 issued at 1,000 ms, and w0."""
    tenure_advice = advice.Advice()
    worker = fleet.Worker(
        ports.WorkerInfo(
            "w0", 5, "w0:1", "s", "r", frozenset(), taskjobs.NO_RESOURCES, None
        ),
        max_lease_ms=6_000,
    )
    advice.request_advice(tenure_advice, GROUP, (0, 0), [worker], TERMS, 1_000)
    response = ports.Recommendation({"w0": "t"}, 3_000)
    advice.record_response(
        tenure_advice, tenure_advice.requests.get(), response, 1_000
    )
    return tenure_advice, worker


@pytest.mark.parametrize(
    ("now_ms", "started_ms", "ticket"),
    [(1_000, 5, "t"), (3_599, 5, "t"), (3_600, 5, ""), (1_000, 6, "")],
)
def test_ticket_expires_and_is_for_one_incarnation(
    approved_step, now_ms, started_ms, ticket
):
    tenure_advice, worker = approved_step
    worker.info = worker.info._replace(started_ms=started_ms)
    assert advice.get_ticket(tenure_advice, GROUP, worker, now_ms) == ticket
    usable = advice.list_approved_workers(
        tenure_advice, GROUP, {"w0": worker}, now_ms
    )
    assert usable == ({"w0"} if ticket else set())


def test_step_has_one_request_at_a_time_and_is_dropped_with_its_job(
    approved_step,
):
    tenure_advice, worker = approved_step
    advice.request_advice(tenure_advice, GROUP, (0, 0), [worker], TERMS, 9_000)
    advice.request_advice(tenure_advice, GROUP, (0, 0), [worker], TERMS, 9_000)
    assert tenure_advice.requests.qsize() == 1
    advice.drop_job(tenure_advice, "j")
    assert not tenure_advice.steps
