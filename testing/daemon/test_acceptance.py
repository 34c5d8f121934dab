"""Acceptance, its journal, and the import of the journal."""

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


def accept_or_refuse(host, key, body=None):
    try:
        return accept(host, key, body)
    except errors.RequestRefusedError as refusal:
        return refusal


def put_journaled(platform, job):
    content = json.dumps(jobrows.encode_job(job)).encode()
    platform.objects.objects[f"accept/{job.cell}/{job.id}"] = content


def make_journaled(key, body=None):
    """Return a job as a host journals it; nothing is sent to the table.

    An insert that was sent to a table that is down can be applied as soon as
    it is back, so a job that a host has journaled may be in both stores.
    """
    return acceptance.make_job(
        cells.CELL, cells.ACCOUNT, key, body or cells.make_body(), 1
    )


@pytest.mark.parametrize("fault", [{}, {"lose_answers": 3}, {"down": True}])
def test_same_key_on_two_hosts_at_once_is_one_job(
    platform, host, start_host, fault
):
    other = start_host("h1")
    platform.table_faults.update(fault)
    with cells.concurrent_calls(16) as calls:
        accepted = list(
            calls.map(
                lambda index: accept(host if index % 2 else other, "k"),
                range(16),
            )
        )
    platform.table_faults.update({"down": False})
    (job_id,) = {one.job.id for one in accepted}
    cells.wait_for_state(platform, job_id, "succeeded")
    assert (
        cells.count_complete_attempts(cells.list_runs(platform, job_id), 1) == 1
    )


@pytest.mark.parametrize("table_down", [False, True])
def test_same_key_with_another_body_is_refused(platform, host, table_down):
    platform.table_faults.update({"down": table_down})
    accept(host, "k")
    with pytest.raises(errors.KeyReusedError) as refusal:
        accept(host, "k", cells.make_body(2))
    assert refusal.value.run == "not_run"


def test_retry_after_the_plan_shrank_gets_the_first_job(platform, host):
    # The refusal said "not run" of a job that was accepted and ran.
    first = accept(host, "k", cells.make_body(2)).job
    lists = host.acceptance.get_lists()
    small = {
        name: plan._replace(max_accelerators=8)
        for name, plan in lists.plans.items()
    }
    shrunk = host._replace(
        acceptance=host.acceptance._replace(
            get_lists=lambda: lists._replace(plans=small)
        )
    )
    assert accept(shrunk, "k", cells.make_body(2)).job.id == first.id
    with pytest.raises(errors.NeverFitsError):
        accept(shrunk, "new", cells.make_body(2))


def test_acceptance_falls_to_the_journal_while_the_table_is_down(
    platform, host
):
    # Groups gave up one after the other: callers waited for minutes or got an
    # untyped time-out.
    platform.table_faults.update({"down": True})
    with cells.concurrent_calls(60) as calls:
        results = list(
            calls.map(
                lambda index: accept_or_refuse(host, f"k{index}"), range(24)
            )
        )
    assert all(
        isinstance(result, acceptance.Accepted) and result.journaled
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
    # More rows than one group holds: the rest waited group by group.
    platform.table_faults.update({"down": True})
    platform.objects_faults.update({"down": True})
    with cells.concurrent_calls(120) as calls:
        results = list(
            calls.map(
                lambda index: accept_or_refuse(host, f"k{index}"), range(120)
            )
        )
    assert {type(result) for result in results} == {errors.StoreDownError}
    assert {result.run for result in results} == {"unknown"}


@pytest.mark.parametrize(
    ("down", "run"), [("refused", "not_run"), ("no answer", "unknown")]
)
def test_both_stores_down(platform, host, down, run):
    # "Not run" only where no write was sent.
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
    refusal = accept_or_refuse(host, "k")
    assert isinstance(refusal, errors.StoreDownError)
    assert refusal.run == run
    assert refusal.job_id == jobrows.make_job_id(cells.ACCOUNT, "k")


def test_journaled_key_whose_entry_cannot_be_read_is_not_said_not_run(
    platform, host, monkeypatch
):
    # The job is in the journal and runs later; nothing was sent this time.
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
    refusal = accept_or_refuse(host, "k")
    assert refusal.run == "unknown"


def test_malformed_journal_objects_do_not_block_the_import(platform, host):
    # A value that did not parse ended the poller's thread.
    job = make_journaled("k")
    prefix = f"accept/{cells.CELL}/"
    for index, content in enumerate([b"{", b"[]", b"{}", b"\xff", b"null"]):
        platform.objects.objects[f"{prefix}a{index}"] = content
    stray = jobrows.encode_job(job) | {"id": "j-other"}
    platform.objects.objects[prefix + "a9"] = json.dumps(stray).encode()
    put_journaled(platform, job)
    cells.wait_for_state(platform, job.id, "succeeded", limit_s=8)
    kept = [key for key in platform.objects.objects if "malformed/" in key]
    assert len(kept) == 6


def test_malformed_job_row_does_not_stop_the_cell(platform, host):
    # Each owner that read the row ended by it, on every host in turn.
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
    job = make_journaled("k")
    shape = model.Shape(1, 64, model.Within.CELL)
    large = job._replace(spec=job.spec._replace(shape=shape))
    put_journaled(platform, large)
    job = cells.wait_for_state(platform, job.id, "rejected", limit_s=8)
    assert job.run == "not_run"
    assert job.reason.startswith("never_fits")
    assert f"active/{cells.CELL}/{job.id}" not in platform.table.rows


def test_journaled_job_whose_key_is_taken_is_recorded_as_rejected(
    platform, host
):
    # It was deleted from the journal without a trace.
    other = make_journaled("k", cells.make_body(2))
    first = accept(host, "k").job
    put_journaled(platform, other)
    prefix = f"rejected/{cells.CELL}/{first.id}/"
    key = prefix + other.digest
    content = cells.wait_until(
        lambda: platform.objects.objects.get(key), "the rejection", 8
    )
    rejected = jobrows.decode_job(json.loads(content))
    assert (rejected.state, rejected.run) == ("rejected", "not_run")
    job = cells.wait_for_state(platform, first.id, "succeeded")
    assert job.digest == first.digest


def test_insert_applied_after_the_job_was_journaled_is_the_same_job(
    platform, host
):
    # The table takes longer than the host tries, so both stores hold the job.
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
