"""HTTP error responses for refused requests, shared by all interfaces."""

from typing import Any

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import webserver


def make_refusal_response(
    refusal: errors.RequestRefusedError, details: dict[str, Any] | None = None
) -> webserver.Response:
    """Return the HTTP response for a refused request.

    Args:
        refusal: Supplies the status, the fields of the body and, if it has a
            retry delay, the Retry-After header.
        details: Additional fields of the body.
    """
    headers: tuple[tuple[str, str], ...] = ()
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // 1000)
        headers = (("Retry-After", str(seconds)),)
    return webserver.make_json(
        refusal.status,
        {
            "code": refusal.code,
            "message": str(refusal),
            "field": refusal.field,
            "run": refusal.run,
            "job_id": refusal.job_id,
            "retry_after_ms": refusal.retry_after_ms,
        }
        | (details or {}),
        headers,
    )
