import pytest

from cyclamenshelf_core import tenure


@pytest.mark.parametrize("ttl_ms", [1, 1_000, 3_000, 15_000])
def test_holder_stops_before_a_challenger_may_take_over(ttl_ms):
    # The challenger sees the row at the earliest when the renewal was sent.
    valid_until = tenure.compute_valid_until(1_000, ttl_ms)
    assert valid_until < tenure.compute_lapsed_at(1_000, ttl_ms)


@pytest.mark.parametrize(
    ("round_trip_ms", "expected"), [(0, 3_000), (1_000, 4_000), (9_999, 15_000)]
)
def test_slow_store_lengthens_the_lease(round_trip_ms, expected):
    assert tenure.choose_ttl(round_trip_ms) == expected
