import pytest

from cyclamenshelf_core import workerhealth


def fail_tasks(health, jobs, now_ms=0, first_attempt=1):
    return [
        workerhealth.record_failure(
            health, "w1", job, first_attempt + index, 0, now_ms
        )
        for index, job in enumerate(jobs)
    ]


@pytest.mark.parametrize(
    ("jobs", "quarantined"),
    [
        (["a", "b"], False),
        (["a", "a", "a", "a"], False),
        (["a", "a", "b"], True),
        (["a", "b", "c"], True),
    ],
)
def test_worker_is_quarantined_by_failures_of_several_jobs(jobs, quarantined):
    # Guards against a job that always fails and so quarantines its workers.
    health = workerhealth.WorkerHealth()
    fail_tasks(health, jobs)
    assert workerhealth.is_quarantined(health, "w1", 1) is quarantined


def test_success_clears_the_failure_count():
    # Guards against a quarantine for failures that are not consecutive.
    health = workerhealth.WorkerHealth()
    fail_tasks(health, ["a", "b"])
    workerhealth.record_success(health, "w1")
    assert fail_tasks(health, ["c"]) == [False]


def test_repeated_report_of_a_failure_counts_once():
    # A worker may report the same task more than once.
    health = workerhealth.WorkerHealth()
    for _ in range(5):
        workerhealth.record_failure(health, "w1", "a", 1, 0, 0)
        workerhealth.record_failure(health, "w1", "b", 1, 0, 0)
    assert not workerhealth.is_quarantined(health, "w1", 1)


def test_quarantine_doubles_up_to_its_limit():
    # Guards against a broken worker that returns as often as at first, and
    # against a quarantine that grows without limit.
    health = workerhealth.WorkerHealth()
    now_ms, lengths = 0, []
    for round_number in range(9):
        fail_tasks(health, ["a", "b", "c"], now_ms, 10 * round_number)
        until_ms = health.records["w1"].quarantined_until_ms
        lengths.append(until_ms - now_ms)
        now_ms = until_ms
    assert lengths[:3] == [60_000, 120_000, 240_000]
    assert lengths[-1] == workerhealth.MAX_QUARANTINE_MS
