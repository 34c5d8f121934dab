"""Whether work can run at all on the workers of a fleet."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import feasibility

_KIND = feasibility.WorkerKind(
    "service", frozenset({"a", "r0"}), builders.CAPACITY
)
_SMALL = _KIND._replace(
    capacity=builders.CAPACITY._replace(accelerators=4), labels=frozenset({"b"})
)
FLEET = feasibility.Fleet([_KIND, _KIND, _SMALL])


@pytest.mark.parametrize(
    ("step", "slots", "can_run"),
    [
        (builders.make_step(1, 1), 20, True),
        (builders.make_step(1, 8), 2, True),
        (builders.make_step(1, 9), 0, False),
        (builders.make_step(1, 1, cpu_millis=33_000), 0, False),
        (builders.make_step(1, 1, label="a"), 16, True),
        (builders.make_step(1, 1, label="c"), 0, False),
        (builders.make_step(9, 1, max_per_worker=1), 3, True),
        (builders.make_step(4, 1, max_per_worker=1, gang=True), 3, False),
        (builders.make_step(3, 5, gang=True), 2, False),
        (builders.make_step(2, 5, gang=True), 2, True),
    ],
)
def test_work_that_no_worker_can_take_cannot_run(step, slots, can_run):
    job = builders.make_job("j", step)
    assert feasibility.count_slots(FLEET, job, step) == slots
    assert feasibility.can_run(FLEET, job, step) is can_run


def test_work_runs_only_on_workers_of_its_service():
    step = builders.make_step()
    job = builders.make_job("j", step, service="other")
    assert not feasibility.can_run(FLEET, job, step)


@pytest.mark.parametrize(
    ("step", "waiting", "running", "startable"),
    [
        (builders.make_step(4, 8), 4, 0, 2),
        (builders.make_step(4, 8), 2, 2, 0),
        (builders.make_step(9, 1, max_per_worker=1), 6, 3, 0),
        (builders.make_step(3, 5, gang=True), 3, 0, 0),
        (builders.make_step(2, 5, gang=True), 2, 0, 2),
    ],
)
def test_tasks_that_find_no_worker_beside_their_own_ask_for_nothing(
    step, waiting, running, startable
):
    job = builders.make_job("j", step)
    assert (
        feasibility.count_startable(FLEET, job, step, waiting, running)
        == startable
    )
