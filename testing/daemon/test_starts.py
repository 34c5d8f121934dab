"""Tests of gang starts with lost or late messages and unknown outcomes."""

import threading

import pytest
from testing import cells

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import gangs
from cyclamenshelf_daemon import workerclient


def check_one_complete_attempt(platform, job_id, parts):
    runs = cells.list_runs(platform, job_id)
    assert cells.count_complete_attempts(runs, parts) == 1
    cells.check_no_overlap(runs)
    return runs


def test_refused_reservation_does_not_block_the_next_start(
    platform, host, monkeypatch
):
    # Guards against a job that never starts: the worker kept the stopped
    # reservation under a task id that the next start reuses, and refused it.
    reserve, refused = workerclient.reserve_task, []

    def refuse_once(client, worker, task_id, *rest):
        if task_id.endswith(".1") and not refused:
            refused.append(task_id)
            raise errors.WorkerRefusedError(worker.id, "no_capacity")
        return reserve(client, worker, task_id, *rest)

    monkeypatch.setattr(workerclient, "reserve_task", refuse_once)
    job_id = cells.submit(host, "k", cells.make_body(2, repeatable=False))
    cells.wait_for_state(platform, job_id, "succeeded", limit_s=8)
    check_one_complete_attempt(platform, job_id, 2)


@pytest.mark.parametrize("fault", ["lose_answers", "drop_requests"])
def test_start_record_of_unknown_outcome(platform, host, monkeypatch, fault):
    # The job must run once, whether or not the start record was committed. No
    # part was started, so a job that may not be repeated must not fail.
    reserve, armed = workerclient.reserve_task, []

    def arm(*arguments):
        if not armed:
            armed.append(True)
            platform.table_faults.update({fault: 10_000})
            cells.threading.Timer(
                1.5, platform.table_faults.update, ({fault: 0},)
            ).start()
        return reserve(*arguments)

    monkeypatch.setattr(workerclient, "reserve_task", arm)
    job_id = cells.submit(host, "k", cells.make_body(2, repeatable=False))
    job = cells.wait_for_state(platform, job_id, "succeeded", "failed")
    assert job.state == "succeeded"
    check_one_complete_attempt(platform, job_id, 2)


def test_start_record_that_takes_effect_late(platform, host, monkeypatch):
    # The write timed out at the owner and is applied while the owner finds out
    # whether it was committed.
    reserve, armed = workerclient.reserve_task, []

    def arm(*arguments):
        if not armed:
            armed.append(True)
            platform.table_faults.update({"hold_ms": 1_000})
            cells.threading.Timer(
                0.3, platform.table_faults.update, ({"hold_ms": 0},)
            ).start()
        return reserve(*arguments)

    monkeypatch.setattr(workerclient, "reserve_task", arm)
    job_id = cells.submit(host, "k", cells.make_body(2, repeatable=False))
    cells.wait_for_state(platform, job_id, "succeeded")
    check_one_complete_attempt(platform, job_id, 2)


@pytest.mark.parametrize("fault", ["lose_starts", "lose_start_answers"])
def test_lost_start_of_one_part_is_retried(platform, host, fault):
    cells.set_faults(platform.workers["w1"], **{fault: 1})
    job_id = cells.submit(host, "k", cells.make_body(2, repeatable=False))
    cells.wait_for_state(platform, job_id, "succeeded")
    assert len(check_one_complete_attempt(platform, job_id, 2)) == 1


def test_late_start_of_one_part_stops_the_gang(platform, host):
    # A delay of 1.7 s is within the start lease but exceeds the time to confirm
    # the gang. After 3.5 s the start arrives after the stop, and must not start
    # the part.
    cells.set_faults(platform.workers["w1"], delay_starts_ms=1_700)
    cells.set_faults(platform.workers["w3"], delay_starts_ms=3_500)
    body = cells.make_body(2, run_ms=2_500)
    ids = [cells.submit(host, key, body) for key in ("k1", "k2")]

    def list_outcomes(job_id):
        runs = cells.list_runs(platform, job_id).get(1, [])
        return {record["outcome"] for record in runs}

    for job_id in ids:
        cells.wait_until(
            lambda job_id=job_id: list_outcomes(job_id) - {"running"},
            "attempt 1 has been stopped",
        )
    for worker in platform.workers.values():
        cells.set_faults(worker, delay_starts_ms=0)
    for job_id in ids:
        cells.wait_for_state(platform, job_id, "succeeded")
        runs = check_one_complete_attempt(platform, job_id, 2)
        for record in runs[1]:
            assert record["ended_ms"] - record["started_ms"] < 2_300


def test_lease_lost_during_a_start_stops_the_started_parts(
    platform, host, monkeypatch
):
    # Guards against an attempt that is never advanced again while its first
    # part runs: the lease check before the second start raised an error out of
    # the operation. The lease must not be renewed before that check.
    start, renew = workerclient.start_task, celllease.renew
    started, refused = threading.Event(), threading.Event()
    renewing = threading.Lock()

    def renew_unless_expired(lease, tenure):
        with renewing:
            if started.is_set() and not refused.is_set():
                raise errors.StoreUnavailableError(
                    "table", "expired by the test"
                )
            renew(lease, tenure)

    def expire_lease(*arguments):
        report = start(*arguments)
        if not started.is_set():
            with renewing:
                host.owner.tenure.valid_until_ms = 0
                started.set()
        return report

    monkeypatch.setattr(celllease, "renew", renew_unless_expired)
    monkeypatch.setattr(workerclient, "start_task", expire_lease)
    start_part = gangs._start_part

    def start_in_order(context, link, job, part, confirm_deadline_ms):
        if part == 1 and not refused.is_set():
            assert started.wait(cells.LIMIT_S)
            try:
                return start_part(context, link, job, part, confirm_deadline_ms)
            finally:
                refused.set()
        return start_part(context, link, job, part, confirm_deadline_ms)

    monkeypatch.setattr(gangs, "_start_part", start_in_order)
    job_id = cells.submit(host, "k", cells.make_body(2, run_ms=3_000))
    cells.wait_for_state(platform, job_id, "succeeded", limit_s=15)
    runs = check_one_complete_attempt(platform, job_id, 2)
    assert [record["outcome"] for record in runs[1]] == ["stopped"]


def test_report_of_an_earlier_attempt_is_not_applied_to_the_next(
    platform, host, monkeypatch
):
    # Guards against reading the result of a stale task: if the task of attempt
    # 1 is not deleted, the job has its number until attempt 2 is committed.
    delete = workerclient.delete_task
    monkeypatch.setattr(workerclient, "delete_task", lambda *_: None)
    start, failures = workerclient.start_task, []

    def fail_first(client, worker, task_id, payload, *rest):
        first = task_id.endswith(".1.0")
        if first:
            failures.append(task_id)
        return start(client, worker, task_id, payload | {"fail": first}, *rest)

    monkeypatch.setattr(workerclient, "start_task", fail_first)
    job_id = cells.submit(host, "k", cells.make_body(1, run_ms=300))
    job = cells.wait_for_state(platform, job_id, "succeeded")
    monkeypatch.setattr(workerclient, "delete_task", delete)
    assert job.attempt == 2
    assert failures == [f"{job_id}.1.0"]


def test_start_of_an_older_epoch_is_refused_by_the_worker(platform, host):
    # Commands of a paused former owner arrive after those of the new owner.
    worker = host.owner.workers["w0"]
    old = workerclient.WorkerClient(host.pool, cells.CELL, 0)
    for command in (
        lambda: workerclient.reserve_task(old, worker, "j-x.1.0", 8, 5_000),
        lambda: workerclient.start_task(old, worker, "j-x.1.0", {}, 2_000),
        lambda: workerclient.renew_leases(old, worker, ("j-x.1.0",), 2_000),
    ):
        with pytest.raises(errors.FencedError):
            command()
    assert cells.list_runs(platform, "j-x") == {}
