"""Tests of job acceptance, its journal and the import of the journal."""

import json

import pytest
from testing import cells

from cyclamenshelf_core import errors
from cyclamenshelf_core import jobrows
from cyclamenshelf_core import model
from cyclamenshelf_daemon import acceptance
from cyclamenshelf_daemon import objectclient
from cyclamenshelf_daemon import tableclient
from cyclamenshelf_standin import tableservice


def accept(host, key, body=None):
    return acceptance.accept_job(
        host.acceptance, cells.ACCOUNT, key, body or cells.make_body()
    )


def accept_or_return_refusal(host, key, body=None):
    try:
        return accept(host, key, body)
    except errors.RequestRefusedError as refusal:
        return refusal


def put_journal_entry(platform, job):
    content = json.dumps(jobrows.encode_job(job)).encode()
    platform.objects.objects[f"accept/{job.cell}/{job.id}"] = content


def make_job_for_journal(key, body=None):
    """Return a job to put into the journal without an insert into the table.

    If a host journals a job, its insert may still be applied once the table is
    available again, so that both stores have the job.
    """
    return acceptance.make_job(
        cells.CELL, cells.ACCOUNT, key, body or cells.make_body(), 1
    )


@pytest.mark.parametrize("fault", [{}, {"lose_answers": 3}, {"down": True}])
def test_concurrent_requests_with_one_key_create_one_job(
    platform, host, start_host, fault
):
    # Hosts that receive the same request, or a retry of it, must not create
    # a second job, also when responses are lost or the table is unavailable.
    other_host = start_host("h1")
    platform.table_faults.update(fault)
    with cells.concurrent_calls(16) as calls:
        accepted = list(
            calls.map(
                lambda index: accept(host if index % 2 else other_host, "k"),
                range(16),
            )
        )
    platform.table_faults.update({"down": False})
    (job_id,) = {result.job.id for result in accepted}
    cells.wait_for_state(platform, job_id, "succeeded")
    assert (
        cells.count_complete_attempts(cells.list_runs(platform, job_id), 1) == 1
    )


@pytest.mark.parametrize("table_down", [False, True])
def test_same_key_with_another_body_is_refused(platform, host, table_down):
    # Returning the first job would drop the second body without an error.
    platform.table_faults.update({"down": table_down})
    accept(host, "k")
    with pytest.raises(errors.KeyReusedError) as refusal:
        accept(host, "k", cells.make_body(2))
    assert refusal.value.run == "not_run"


def test_retry_after_the_plan_shrank_returns_the_first_job(platform, host):
    # The retry was refused with "not run" although its job had been accepted
    # and had run.
    first = accept(host, "k", cells.make_body(2)).job
    lists = host.acceptance.get_lists()
    small_plans = {
        name: plan._replace(max_accelerators=8)
        for name, plan in lists.plans.items()
    }
    host_with_small_plans = host._replace(
        acceptance=host.acceptance._replace(
            get_lists=lambda: lists._replace(plans=small_plans)
        )
    )
    assert (
        accept(host_with_small_plans, "k", cells.make_body(2)).job.id
        == first.id
    )
    with pytest.raises(errors.NeverFitsError):
        accept(host_with_small_plans, "new", cells.make_body(2))


def test_jobs_are_journaled_while_the_table_is_down(platform, host):
    # The groups of transactions timed out one after the other, so callers
    # waited for minutes or got an untyped time-out.
    platform.table_faults.update({"down": True})
    with cells.concurrent_calls(60) as calls:
        results = list(
            calls.map(
                lambda index: accept_or_return_refusal(host, f"k{index}"),
                range(24),
            )
        )
    assert all(
        isinstance(result, acceptance.AcceptedJob) and result.journaled
        for result in results
    )
    platform.table_faults.update({"down": False})
    for result in results:
        cells.wait_for_state(platform, result.job.id, "succeeded", limit_s=60)
    cells.wait_until(
        lambda: (
            not [key for key in platform.objects.objects if "accept/" in key]
        ),
        "imported",
    )


def test_queued_transactions_fail_unsent_when_the_table_is_down(platform, host):
    # The jobs exceed one group. The remaining ones used to wait for the
    # time-out of each group before theirs.
    platform.table_faults.update({"down": True})
    platform.objects_faults.update({"down": True})
    with cells.concurrent_calls(120) as calls:
        results = list(
            calls.map(
                lambda index: accept_or_return_refusal(host, f"k{index}"),
                range(120),
            )
        )
    assert {type(result) for result in results} == {errors.StoreDownError}
    assert {result.run for result in results} == {"unknown"}


@pytest.mark.parametrize(
    ("down", "run"), [("refused", "not_run"), ("no answer", "unknown")]
)
def test_refusal_with_both_stores_down_says_whether_a_write_was_sent(
    platform, host, down, run
):
    # "Not run" is only true if no write was sent: a write without a response
    # may have been applied.
    if down == "refused":
        table = host.acceptance.table._replace(url="http://127.0.0.1:1")
        objects = objectclient.ObjectClient(host.pool, "http://127.0.0.1:1")
        host.acceptance.committer.client = table
        host = host._replace(
            acceptance=host.acceptance._replace(table=table, objects=objects)
        )
    else:
        platform.table_faults.update({"down": True})
        platform.objects_faults.update({"down": True})
    refusal = accept_or_return_refusal(host, "k")
    assert isinstance(refusal, errors.StoreDownError)
    assert refusal.run == run
    assert refusal.job_id == jobrows.make_job_id(cells.ACCOUNT, "k")


def test_unreadable_journal_entry_is_not_reported_as_not_run(
    platform, host, monkeypatch
):
    # The first request journaled the job, which runs later. The second one
    # sends nothing to the table and cannot read the journal entry, but must
    # not conclude that the job will not run.
    platform.table_faults.update({"down": True})
    accept(host, "k")

    def refuse(client, key):
        raise errors.StoreUnavailableError("objects", "refused")

    monkeypatch.setattr(objectclient, "get_object", refuse)
    monkeypatch.setattr(
        host.acceptance.committer.client.pool,
        "cut",
        (platform.table_url,),
    )
    refusal = accept_or_return_refusal(host, "k")
    assert refusal.run == "unknown"


def test_malformed_journal_objects_do_not_block_the_import(platform, host):
    # An entry that could not be parsed terminated the job poller's thread.
    job = make_job_for_journal("k")
    prefix = f"accept/{cells.CELL}/"
    for index, content in enumerate([b"{", b"[]", b"{}", b"\xff", b"null"]):
        platform.objects.objects[f"{prefix}a{index}"] = content
    mismatched = jobrows.encode_job(job) | {"id": "j-other"}
    platform.objects.objects[prefix + "a9"] = json.dumps(mismatched).encode()
    put_journal_entry(platform, job)
    cells.wait_for_state(platform, job.id, "succeeded", limit_s=8)
    malformed_keys = [
        key for key in platform.objects.objects if "malformed/" in key
    ]
    assert len(malformed_keys) == 6


def test_malformed_job_row_does_not_stop_the_cell(platform, host):
    # The row terminated each cell owner that read it, on one host after
    # another.
    with platform.table.lock:
        tableservice.apply_transaction(
            platform.table,
            {
                "id": "x",
                "puts": [
                    {"key": "job/j-bad", "value": {"state": "queued"}},
                    {"key": f"active/{cells.CELL}/j-bad", "value": {}},
                ],
            },
        )
    job = accept(host, "k").job
    cells.wait_for_state(platform, job.id, "succeeded", limit_s=8)


def test_journaled_job_is_checked_against_the_lists_at_import(platform, host):
    # A job from the journal must not bypass the check against the lists.
    job = make_job_for_journal("k")
    shape = model.Shape(1, 64, model.Within.CELL)
    oversized_job = job._replace(spec=job.spec._replace(shape=shape))
    put_journal_entry(platform, oversized_job)
    job = cells.wait_for_state(platform, job.id, "rejected", limit_s=8)
    assert job.run == "not_run"
    assert job.reason.startswith("never_fits")
    assert f"active/{cells.CELL}/{job.id}" not in platform.table.rows


def test_journaled_job_whose_key_is_in_use_is_recorded_as_rejected(
    platform, host
):
    # The entry was deleted from the journal without recording the rejection.
    journaled_job = make_job_for_journal("k", cells.make_body(2))
    first = accept(host, "k").job
    put_journal_entry(platform, journaled_job)
    prefix = f"rejected/{cells.CELL}/{first.id}/"
    key = prefix + journaled_job.digest
    content = cells.wait_until(
        lambda: platform.objects.objects.get(key), "the rejection", 8
    )
    rejected = jobrows.decode_job(json.loads(content))
    assert (rejected.state, rejected.run) == ("rejected", "not_run")
    job = cells.wait_for_state(platform, first.id, "succeeded")
    assert job.digest == first.digest


def test_late_insert_of_a_journaled_job_does_not_run_it_twice(platform, host):
    # The table applies the insert after the host has given up and journaled
    # the job, so both stores have it.
    platform.table_faults.update({"hold_ms": 1_000})
    accepted = accept(host, "k")
    assert accepted.journaled
    job_id = accepted.job.id
    cells.wait_until(
        lambda: f"job/{job_id}" in platform.table.rows, "the late insert"
    )
    platform.table_faults.update({"hold_ms": 0})
    with pytest.raises(errors.KeyReusedError):
        accept(host, "k", cells.make_body(2))
    cells.wait_for_state(platform, job_id, "succeeded", limit_s=8)
    assert (
        cells.count_complete_attempts(cells.list_runs(platform, job_id), 1) == 1
    )


def test_transactions_of_a_group_fail_by_their_own_checks(platform, host):
    # A conflict of one transaction must not fail the others in its group.
    committer = host.acceptance.committer
    futures = [
        cells.groupcommit.submit_transaction(
            committer,
            tableclient.Transaction(
                {f"x/{index}": index % 2}, {f"x/{index}": 1}
            ),
        )
        for index in range(120)
    ]
    for index, future in enumerate(futures):
        error = future.exception(cells.LIMIT_S)
        assert isinstance(error, errors.WriteConflictError) == index % 2
