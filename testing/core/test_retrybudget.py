import pytest

from cyclamenshelf_core import retrybudget


@pytest.mark.parametrize(
    ("requests", "expected"), [(0, 10), (100, 10), (1_000, 100)]
)
def test_retries_are_limited_to_a_tenth_of_the_requests(requests, expected):
    # Guards against retries that multiply the load on an overloaded service.
    budget = retrybudget.RetryBudget()
    for index in range(requests):
        retrybudget.record_request(budget, index * 9_000 // requests)
    retries = 0
    while retrybudget.allows_retry(budget, 9_000):
        retrybudget.record_retry(budget, 9_000)
        retries += 1
    assert retries == expected


def test_requests_outside_the_window_add_no_budget():
    budget = retrybudget.RetryBudget()
    for _ in range(1_000):
        retrybudget.record_request(budget, 0)
    later = retrybudget.WINDOW_MS
    for _ in range(retrybudget.MIN_RETRIES):
        retrybudget.record_retry(budget, later)
    assert not retrybudget.allows_retry(budget, later)
