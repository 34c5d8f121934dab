import hypothesis
import hypothesis.strategies as st
import pytest

from cyclamenshelf_core import outliers


@pytest.mark.parametrize(
    ("counts", "expected"),
    [
        ((5, 10, 0, 100), True),
        ((9, 9, 0, 100), False),  # Too few requests.
        ((5, 10, 50, 100), False),  # The others fail as often.
        ((5, 10, 0, 0), False),  # No other requests to compare with.
    ],
)
def test_outlier_fails_far_more_often_than_the_others(counts, expected):
    # Guards against ejecting a server without evidence that it alone fails.
    assert outliers.is_outlier(*counts) is expected


@hypothesis.given(
    st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 9)),
    st.integers(0, 3),
)
def test_at_most_half_of_the_servers_are_ejected(until_ms, broken):
    servers = len(until_ms) + broken
    ejected = outliers.select_ejected(until_ms, broken, servers, 5)
    assert len(ejected) <= max(0, servers // 2 - broken)
    assert all(until_ms[id_] > 5 for id_ in ejected)
