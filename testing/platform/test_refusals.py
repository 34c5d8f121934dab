"""Responses to calls that are refused."""

from cyclamenshelf_platform import callers
import pytest

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import webserver


@pytest.mark.parametrize(
    ("retry_after_ms", "retry_s"), [(None, "1"), (1_000, "1"), (7_001, "8")]
)
def test_caller_refused_under_overload_is_not_sent_back_too_early(
    retry_after_ms, retry_s
):
    def refuse(request):
        raise errors.OverloadedError("late", retry_after_ms=retry_after_ms)

    request = webserver.Request("POST", "/q/1", {}, {}, b"{}")
    response = callers._map_errors(refuse, request)
    assert response.status == 429
    assert ("Retry-After", retry_s) in response.headers
