import pytest

from cyclamenshelf_core import retrybudget


@pytest.mark.parametrize(
    ("requests", "expected"), [(0, 10), (100, 10), (1_000, 100)]
)
def test_retries_stop_at_a_tenth_of_the_traffic(requests, expected):
    budget = retrybudget.RetryBudget()
    for index in range(requests):
        retrybudget.note_request(budget, index * 9_000 // requests)
    retries = 0
    while retrybudget.allows_retry(budget, 9_000):
        retrybudget.note_retry(budget, 9_000)
        retries += 1
    assert retries == expected


def test_traffic_outside_the_window_gives_no_budget():
    budget = retrybudget.RetryBudget()
    for _ in range(1_000):
        retrybudget.note_request(budget, 0)
    later = retrybudget.WINDOW_MS
    for _ in range(retrybudget.MIN_RETRIES):
        retrybudget.note_retry(budget, later)
    assert not retrybudget.allows_retry(budget, later)
