import pytest

from cyclamenshelf_core import tenure


@pytest.mark.parametrize("ttl_ms", [1, 1_000, 3_000, 15_000])
def test_holder_stops_before_a_challenger_may_claim_the_lease(ttl_ms):
    # Guards against two owners at once. A challenger can read the row no
    # earlier than the renewal was sent.
    valid_until = tenure.compute_valid_until(1_000, ttl_ms)
    assert valid_until < tenure.compute_takeover_time(1_000, ttl_ms)


@pytest.mark.parametrize(
    ("round_trip_ms", "expected"), [(0, 3_000), (1_000, 4_000), (9_999, 15_000)]
)
def test_slow_store_lengthens_the_lease(round_trip_ms, expected):
    # Guards against a lease that expires before a slow store confirms its
    # renewal.
    assert tenure.choose_ttl(round_trip_ms) == expected
