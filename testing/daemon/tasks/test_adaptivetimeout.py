"""Timeouts of calls to a store that is slow or loses responses."""

import pytest

from cyclamenshelf_daemon.tasks import adaptivetimeout


@pytest.mark.parametrize(
    ("response_times_ms", "timeout_ms"),
    [
        ([], 500),
        ([20], 500),
        ([200], 800),
        ([1_100], 1_500),
        ([None], 1_000),
        ([None, None], 1_500),
        ([None, 20], 500),
    ],
)
def test_timeout_follows_response_times_and_doubles_without_a_response(
    response_times_ms, timeout_ms
):
    # Guards against a fixed timeout below the response time of a slow store:
    # every call was repeated until the caller's deadline, though each one had
    # been carried out.
    timeout = adaptivetimeout.AdaptiveTimeout()
    for response_ms in response_times_ms:
        if response_ms is None:
            adaptivetimeout.record_timeout(timeout)
        else:
            adaptivetimeout.record_response(timeout, response_ms)
    assert timeout.timeout_ms == timeout_ms
