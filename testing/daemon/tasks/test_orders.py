"""How orders to workers are delivered, and what is reported of them."""

import pytest
from testing.daemon.tasks import fakefleet

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers
from cyclamenshelf_daemon.tasks import orders
from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.sending import orderqueue

ACCEPTED = ports.OrderOutcome()
SILENT = ports.OrderOutcome(error="timeout")
ARGUMENTS = orders.StartArguments("x", "", "")


class Delivery:
    """An order context whose worker answers by a list of outcomes.

    Attributes:
        outcomes: Outcomes of the next calls; an exception is raised.
        called: Kind of each call and the run that it names, in order.
        reported: What was reported of each order, in order.
    """

    def __init__(self):
        clock = clocks.make_system_clock()
        self.outcomes = []
        self.called = []
        self.reported = []
        self.ended = set()
        self.worker = fleet.Worker(fakefleet.FakeWorker("w0").info, 6_000)
        fleet.record_response(self.worker, 1_000, clock.now_ms())
        self.context = orders.OrderContext(
            ports.WorkerClient(
                connect=None,
                start=lambda *call: self.respond("start", *call),
                stop=lambda *call: self.respond("stop", *call),
                pace=lambda *call: self.respond("pace", *call),
            ),
            orderqueue.OrderQueue(),
            ownership.Tenure(1, 1, clock.now_ms()),
            clock,
            6_000,
            is_live=lambda run: run not in self.ended,
            may_start=lambda info: True,
            on_started=self.make_report("started"),
            on_unacknowledged=self.make_report("unacknowledged"),
            on_not_sent=self.make_report("not_sent"),
            on_stopped=self.make_report("stopped"),
            on_fenced=self.make_report("fenced"),
            on_paced=self.make_report("paced"),
            registry=metrics.Metrics(),
        )

    def respond(self, kind, order, timeout_ms, on_outcome):
        self.called.append((kind, order.run))
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        on_outcome(outcome)

    def make_report(self, event):
        return lambda subject, *values: self.reported.append((event, *values))

    def make_run(self, number, phase):
        group = taskjobs.Group("j", 0, 0)
        now_ms = self.context.clock.now_ms()
        run = ledgers.Run(taskjobs.Task(group, number), number, "w0", now_ms)
        run.phase = phase
        return run


@pytest.fixture
def delivery():
    return Delivery()


@pytest.mark.parametrize(
    ("outcomes", "reported"),
    [
        ([ACCEPTED], ("started", None)),
        ([SILENT, ACCEPTED], ("started", None)),
        ([SILENT, SILENT], ("unacknowledged",)),
        (
            [ports.OrderOutcome(ports.Refusal.NO_ROOM)],
            ("started", ports.Refusal.NO_ROOM),
        ),
        # The first call may have started a run that has ended since.
        (
            [SILENT, ports.OrderOutcome(ports.Refusal.OLD)],
            ("unacknowledged",),
        ),
        ([ValueError("odd address")], ("unacknowledged",)),
    ],
)
def test_start_is_reported_by_what_may_have_happened(
    delivery, outcomes, reported
):
    # A start that is taken for refused while it runs makes a task run twice.
    delivery.outcomes = list(outcomes)
    run = delivery.make_run(1, ledgers.Phase.STARTING)
    orders.send_start(delivery.context, delivery.worker, run, ARGUMENTS)
    assert delivery.reported == [reported]
    assert not delivery.outcomes
    assert not delivery.context.queue.under_way


def test_start_of_a_cancelled_job_is_not_sent(delivery):
    # Tasks of a job that was cancelled while it started were started first.
    run = delivery.make_run(1, ledgers.Phase.STOPPING)
    orders.send_start(delivery.context, delivery.worker, run, ARGUMENTS)
    assert not delivery.called
    assert delivery.reported == [("not_sent",)]


def test_stop_of_a_run_that_has_ended_is_not_sent(delivery):
    # Thousands of stops may wait while the tasks end by themselves.
    runs = [delivery.make_run(n, ledgers.Phase.STOPPING) for n in range(3)]
    delivery.ended = {runs[1]}
    delivery.outcomes = [SILENT, ACCEPTED, ACCEPTED]
    orders.send_stops(
        delivery.context, [(delivery.worker, run) for run in runs]
    )
    assert delivery.called == [("stop", 0), ("stop", 0), ("stop", 2)]
    assert delivery.reported == [
        ("stopped", True),
        ("stopped", False),
        ("stopped", True),
    ]


def test_stop_without_a_response_is_repeated_and_given_up(delivery):
    run = delivery.make_run(1, ledgers.Phase.STOPPING)
    delivery.outcomes = [SILENT] * 3
    orders.send_stops(delivery.context, [(delivery.worker, run)])
    assert delivery.called == [("stop", 1)] * 3
    assert delivery.reported == [("stopped", False)]


def test_worker_with_a_newer_fence_ends_the_tenure(delivery):
    # A former owner would otherwise go on to send orders.
    run = delivery.make_run(1, ledgers.Phase.RUNNING)
    delivery.outcomes = [ports.OrderOutcome(ports.Refusal.FENCED)]
    orders.send_pace(delivery.context, delivery.worker, run, 50)
    assert delivery.reported == [("fenced",), ("paced", 50, False)]


def test_no_order_is_sent_after_the_tenure(delivery):
    delivery.context.tenure.ended.set()
    run = delivery.make_run(1, ledgers.Phase.STARTING)
    orders.send_start(delivery.context, delivery.worker, run, ARGUMENTS)
    orders.send_stops(delivery.context, [(delivery.worker, run)])
    orders.send_pace(delivery.context, delivery.worker, run, 50)
    assert not delivery.called
    assert delivery.reported == [
        ("not_sent",),
        ("stopped", False),
        ("paced", 50, False),
    ]
