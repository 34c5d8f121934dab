"""Index of ended jobs by hour, for reports and retention.

The index row of a job is written in the transaction that ends the job, so
that neither reports nor retention need to scan all jobs.
"""

from collections.abc import Iterator
import datetime
from typing import Any

from cyclamenshelf_core import burn
from cyclamenshelf_core import model
from cyclamenshelf_daemon import tableclient

RETENTION_MS = 7 * 24 * 3_600_000


def make_ended_key(job: model.Job) -> str:
    """Return the index key of an ended job."""
    assert job.ended_ms is not None
    return f"ended/{job.cell}/{_format_hour(job.ended_ms)}/{job.id}"


def make_ended_row(job: model.Job) -> dict[str, Any]:
    """Return the index row of an ended job."""
    assert job.ended_ms is not None
    return burn.EndedJob(
        job_id=job.id,
        account=job.account,
        urgency=job.spec.urgency,
        state=job.state,
        accepted_ms=job.accepted_ms,
        started_ms=job.started_ms,
        ended_ms=job.ended_ms,
        deadline_ms=job.spec.deadline_ms,
        reason=job.reason,
    )._asdict()


def list_ended_jobs(
    table: tableclient.TableClient, cell: str, since_ms: int, now_ms: int
) -> Iterator[burn.EndedJob]:
    """Yield the jobs that ended in the hours of `since_ms` to `now_ms`.

    Both hours are included as a whole.

    Raises:
        errors.StoreUnavailableError: The table service does not respond.
    """
    for hour_ms in range(
        since_ms - since_ms % burn.HOUR_MS, now_ms + 1, burn.HOUR_MS
    ):
        prefix = f"ended/{cell}/{_format_hour(hour_ms)}/"
        for row in tableclient.scan_rows(table, prefix):
            yield burn.EndedJob(**row.value)


def _format_hour(wall_ms: int) -> str:
    hour = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return hour.strftime("%Y%m%dT%H")
