"""Tests of how well a task fits a worker."""

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.taskplacement import fit

TOTAL = taskjobs.Resources(64_000, 256, 8)


def compute(accelerators, memory_mb, need, cpu_millis=30_000):
    available = taskjobs.Resources(cpu_millis, memory_mb, accelerators)
    return fit.compute_remainder(available, need, TOTAL)


def test_task_takes_the_last_memory_beside_free_accelerators():
    # Workers with full memory and free accelerators add up: nothing can use
    # these, while small tasks take both from other workers.
    need = taskjobs.Resources(2_000, 30, 1)
    assert compute(4, 36, need) < compute(3, 128, need)


def test_large_memory_stays_for_tasks_that_need_it():
    # A task that needs little memory goes where little is left.
    need = taskjobs.Resources(2_000, 10, 1)
    assert compute(4, 60, need) < compute(4, 200, need)


def test_whole_workers_stay_free():
    need = taskjobs.Resources(2_000, 30, 1)
    assert compute(6, 160, need) < compute(8, 256, need, 64_000)


def test_workers_without_accelerators_or_memory_fit():
    available = taskjobs.Resources(4_000, 0, 0)
    need = taskjobs.Resources(1_000, 0, 0)
    assert fit.compute_remainder(available, need, available) == 0.75
