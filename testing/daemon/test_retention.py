import threading

import pytest

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import jobrows
from cyclamenshelf_core import model
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import endedjobs
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import retention
from cyclamenshelf_daemon import tableclient
from cyclamenshelf_standin import platform as platforms

DAY_MS = 24 * 3_600_000
NOW_MS = 100 * DAY_MS


@pytest.fixture
def context():
    platform = platforms.start_platform(workers=1, backends=0)
    clock = clocks.Clock(lambda: 0, lambda: NOW_MS, lambda duration_ms: None)
    pool = httpclient.make_pool()
    table = tableclient.TableClient(pool, platform.table_url, clock)
    tenure = celllease.Tenure("c0", 1, 0, 0, 3_000, ())
    yield retention.RetentionContext(
        table,
        objectclient.ObjectClient(pool, platform.objects_url),
        tenure,
        threading.Event(),
    )
    platforms.stop_platform(platform)


def store_ended_job(context, job_id, ended_ms):
    key = f"answer/{job_id}/1/0"
    spec = model.JobSpec(
        model.Shape(1, 1, model.Within.RACK),
        model.Urgency.NORMAL,
        None,
        1,
        True,
        True,
        None,
    )
    job = model.Job(
        job_id,
        "shop",
        "c0",
        "digest",
        spec,
        model.JobState.SUCCEEDED,
        ended_ms - 10,
        ended_ms=ended_ms,
        manifest=(model.AnswerPart(key, 1, "x"),),
    )
    objectclient.put_object(context.objects, key, b"a")
    puts = {
        f"job/{job_id}": jobrows.encode_job(job),
        endedjobs.make_ended_key(job): endedjobs.make_ended_row(job),
    }
    tableclient.commit_transaction(
        context.table,
        tableclient.Transaction(dict.fromkeys(puts, 0), puts),
        5_000,
    )


def test_only_jobs_past_the_retention_time_are_deleted(context):
    store_ended_job(context, "old", NOW_MS - 8 * DAY_MS)
    store_ended_job(context, "young", NOW_MS - 6 * DAY_MS)
    assert retention.sweep_cell(context) == 1
    kept = tableclient.read_rows(context.table, ["job/old", "job/young"])
    assert set(kept) == {"job/young"}
    assert objectclient.list_objects(context.objects, "answer/", 9) == [
        "answer/young/1/0"
    ]


def test_sweep_after_the_lease_expired_deletes_no_row(context):
    # After the lease expires, another host may own the cell and its rows.
    store_ended_job(context, "old", NOW_MS - 8 * DAY_MS)
    context.tenure.valid_until_ms = 0
    with pytest.raises(retention.errors.LeaseLostError):
        retention.sweep_cell(context)
    assert tableclient.read_rows(context.table, ["job/old"])


def test_list_of_ended_jobs_covers_the_requested_hours(context):
    for age_hours in (1, 5, 30):
        store_ended_job(
            context, f"h{age_hours}", NOW_MS - age_hours * 3_600_000
        )
    listed = endedjobs.list_ended_jobs(
        context.table, "c0", NOW_MS - 6 * 3_600_000, NOW_MS
    )
    assert [job.job_id for job in listed] == ["h5", "h1"]
