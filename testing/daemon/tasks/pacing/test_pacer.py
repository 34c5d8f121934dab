"""Best-effort and latency-sensitive tasks that share a worker."""

import pytest
from testing.core import taskbuilders as builders
from testing.daemon.tasks import conftest
from testing.daemon.tasks import leasedworkers

from cyclamenshelf_core import taskprogress
from cyclamenshelf_core.pacing import control

TARGET_MS = 100
TERMS = control.PacingTerms(interval_ms=20, max_excess_ms=1_500)


@pytest.fixture
def shared(cell):
    """A cell of one worker with a latency-sensitive and a best-effort task."""
    cell.pacing_terms = TERMS
    worker, other = cell.workers
    cell.unlist_worker(other)
    cell.workers.remove(other)
    cell.start_owner()
    leasedworkers.wait_for_workers(cell)
    serving = cell.submit(
        builders.make_step(1, 4, long_running=True, tail_target_ms=TARGET_MS)
    )
    cell.wait_for_state(serving, taskprogress.State.RUNNING)
    worker.readings[f"{serving}.0.0.0"] = 20
    best_effort = cell.submit(
        builders.make_step(1, 1, fills=True, run_ms=60_000)
    )
    cell.wait_for_runs(best_effort, 1)
    cell.serving, cell.best_effort = f"{serving}.0.0.0", f"{best_effort}.0.0.0"
    return cell


def wait_for_pace(cell, percent):
    (worker,) = cell.workers
    conftest.wait_until(
        lambda: worker.paces.get(cell.best_effort) == percent,
        f"a pace of {percent}",
    )


def test_best_effort_task_is_slowed_down_beside_a_tail_above_its_target(shared):
    # Best-effort tasks were stopped, or never started there at all.
    (worker,) = shared.workers
    conftest.wait_until(lambda: worker.paces, "a first pace")
    assert worker.paces[shared.best_effort] < control.MAX_PERCENT
    worker.readings[shared.serving] = 2 * TARGET_MS
    wait_for_pace(shared, control.MIN_PERCENT)
    assert shared.best_effort in worker.running
    worker.readings[shared.serving] = 20
    conftest.wait_until(
        lambda: worker.paces[shared.best_effort] > 20, "a higher pace"
    )


def test_lost_answer_to_a_pace_is_sent_again(shared):
    # The task would have worked on at its earlier pace.
    (worker,) = shared.workers
    conftest.wait_until(lambda: worker.paces, "a first pace")
    worker.lose_paces = 2
    worker.readings[shared.serving] = 2 * TARGET_MS
    conftest.wait_until(lambda: worker.lose_paces == 0, "lost answers")
    worker.paces.clear()
    wait_for_pace(shared, control.MIN_PERCENT)


def test_best_effort_task_is_stopped_where_the_minimum_does_not_help(shared):
    (worker,) = shared.workers
    worker.readings[shared.serving] = 2 * TARGET_MS
    conftest.wait_until(
        lambda: shared.best_effort not in worker.running, "a stop"
    )
    assert worker.paces[shared.best_effort] == control.MIN_PERCENT
    assert shared.serving in worker.running


def test_new_owner_paces_what_an_earlier_one_has_left(shared):
    # It knows no pace that the earlier owner had ordered.
    (worker,) = shared.workers
    conftest.wait_until(lambda: worker.paces, "a first pace")
    shared.tenures[-1].ended.set()
    worker.paces.clear()
    worker.readings[shared.serving] = 2 * TARGET_MS
    shared.start_owner()
    wait_for_pace(shared, control.MIN_PERCENT)


def test_pace_is_lifted_when_the_latency_sensitive_task_has_gone(shared):
    # The best-effort task would have stayed slow beside nothing.
    (worker,) = shared.workers
    conftest.wait_until(lambda: worker.paces, "a first pace")
    worker.readings[shared.serving] = 2 * TARGET_MS
    wait_for_pace(shared, control.MIN_PERCENT)
    shared.cancel(shared.serving.split(".")[0])
    wait_for_pace(shared, control.MAX_PERCENT)


def test_best_effort_task_does_not_start_beside_a_tail_near_its_target(cell):
    cell.pacing_terms = TERMS
    cell.start_owner()
    leasedworkers.wait_for_workers(cell)
    step = builders.make_step(
        2, 4, long_running=True, max_per_worker=1, tail_target_ms=TARGET_MS
    )
    serving = cell.submit(step)
    cell.wait_for_runs(serving, 2)
    near, low = cell.workers
    for worker, tail_ms in ((near, 90), (low, 20)):
        for name in worker.running:
            worker.readings[name] = tail_ms
    best_effort = cell.submit(builders.make_step(3, 1, fills=True))
    cell.wait_for_runs(best_effort, 3)
    assert not any(name.startswith(best_effort) for name in near.running)
