"""Tests for host processes that run against test servers of the platform."""

import contextlib
import signal
import time

import pytest
from testing.platform import clusters
from testing.platform import standin

from cyclamenshelf_core import errors
from cyclamenshelf_daemon.tasks import ports

JOB_BODY = {"specification": "x", "steps": [{"count": 2, "cpu": 500, "gpu": 1}]}


def test_job_is_served_by_any_host_and_survives_loss_of_owner(cluster):
    # Guards against losing a job, or starting its tasks again, when the host
    # that owns it is killed.
    owner = cluster.start_host("a")
    cluster.start_host("b")
    assert cluster.call("b", "POST", body=JOB_BODY)[0] == 200
    assert cluster.call("a", "POST", body=JOB_BODY)[0] == 200
    worker = cluster.worker_server.worker
    clusters.wait_until(lambda: len(worker.running) == 2, "both tasks run")
    cluster.wait_for_state("b", "running")
    owner.kill()
    clusters.wait_until(lambda: worker.epoch == 2, "the other host took over")
    for name in list(worker.running):
        worker.end(name)
    cluster.wait_for_state("b", "completed")
    assert len(worker.started) == 2
    assert set(cluster.worker_server.expected) == {"i-1"}


def test_rejected_calls_and_state_lookups(cluster):
    # Guards against wrong status codes, and against API keys that stay valid
    # after the operators have removed them.
    cluster.start_host("a")
    assert cluster.call("a", "GET")[0] == 410
    assert cluster.call("a", "DELETE")[0] == 410
    assert cluster.call("a", "GET", "/q/") == (200, {"pending": 0})
    assert cluster.call("a", "GET", "/other/")[0] == 404
    assert cluster.call("a", "POST", body=JOB_BODY, key="no")[0] == 401
    assert cluster.call("a", "POST", body={"steps": []})[0] == 400
    nested = "[" * 100_000 + "]" * 100_000
    assert cluster.call("a", "POST", text=nested)[0] == 400
    cluster.store_server.fake_store.put(
        "op", "config", standin.make_config(9, ("key-2",))
    )
    clusters.wait_until(
        lambda: cluster.call("a", "GET", key="key-1")[0] == 401,
        "the new lists take effect",
    )
    assert cluster.call("a", "POST", body=JOB_BODY, key="key-2")[0] == 410
    path = "/q/00000000000000b2"
    assert cluster.call("a", "POST", path, JOB_BODY, "key-2")[0] == 200
    assert cluster.call("a", "POST", path, JOB_BODY, "key-1")[0] == 401
    assert cluster.call("a", "DELETE", path, key="key-2")[0] == 200
    text = cluster.pool.request(
        "GET", f"http://127.0.0.1:{cluster.ports['a'][2]}/metrics"
    ).data.decode()
    assert 'cyclamenshelf_events_total{event="job_stored"} 1' in text
    assert 'cyclamenshelf_calls_ms_count{method="POST",status="200"} 1' in text


def test_largest_job_is_run_beside_others(cluster):
    # A job whose progress exceeded a row was accepted, and from then on no
    # task of any job was started.
    cluster.worker_server.worker.poll_s = 0.5
    cluster.start_host("a")
    step = {"count": 10_000, "cpu": 1, "memory_request_mb": 1}
    assert cluster.call("a", "POST", body={"steps": [step]})[0] == 200
    other_path = "/q/00000000000000b2"
    assert cluster.call("a", "POST", other_path, JOB_BODY)[0] == 200
    worker = cluster.worker_server.worker

    def list_others():
        return [name for name in list(worker.running) if "b2." in name]

    clusters.wait_until(lambda: len(list_others()) == 2, "the other job runs")
    clusters.wait_until(
        lambda: len(worker.running) == 10_002,
        "all tasks run",
        clusters.LONG_TIMEOUT_S,
    )
    for name in list(worker.running):
        worker.end(name)
    clusters.wait_until(
        lambda: cluster.call("a", "GET") == (200, {"state": "completed"}),
        "the job is completed",
        clusters.LONG_TIMEOUT_S,
    )
    assert len(worker.started) == 10_002


def test_job_cancelled_before_its_late_insert_never_runs(cluster):
    # The cancellation was answered with 410, and the job ran when its insert
    # was carried out seconds later.
    cluster.start_host("a")
    fake_store, inserts = cluster.store_server.fake_store, []

    def lose_inserts(transaction):
        if any(key.key == f"job.{clusters.JOB_ID}" for key in transaction.puts):
            inserts.append(transaction)
            raise errors.OutcomeUnknownError("table", "no answer")

    fake_store.before_commit = lose_inserts
    assert cluster.call("a", "POST", body=JOB_BODY)[0] == 504
    assert cluster.call("a", "GET")[0] == 504
    assert cluster.call("a", "DELETE")[0] == 410
    assert cluster.call("a", "GET")[0] == 410
    fake_store.before_commit = lambda transaction: None
    for insert in inserts:
        with contextlib.suppress(errors.WriteConflictError):
            fake_store.commit(insert, 0)
    assert cluster.call("a", "POST", body=JOB_BODY)[0] == 410
    other_path = "/q/00000000000000b2"
    assert cluster.call("a", "POST", other_path, JOB_BODY)[0] == 200
    worker = cluster.worker_server.worker
    clusters.wait_until(lambda: len(worker.running) == 2, "the other job runs")
    assert not [
        name for name in worker.running if name.startswith(clusters.JOB_ID)
    ]


LARGE_STEP = {"count": 10_000}


@pytest.mark.parametrize(
    ("body", "limit"),
    [
        ({"steps": [{"count": 10_001}]}, "at most 10000 tasks"),
        ({"steps": [LARGE_STEP, {"count": -1}]}, "at least 1"),
        ({"steps": [LARGE_STEP], "repetitions": 11}, "100000 tasks over all"),
        (
            {"steps": [{"count": 513, "gang_scheduled": True}]},
            "a gang of at most 512 tasks",
        ),
        ({"steps": [{"count": 1}] * 9_000}, "at most 65536 bytes"),
        (
            {"steps": [{"count": 1}], "specification": "x" * 65_536},
            "at most 65536 bytes",
        ),
    ],
    ids=["tasks", "negative", "repeated", "gang", "steps", "payload"],
)
def test_job_that_cannot_be_kept_is_refused_with_the_limit(
    cluster, body, limit
):
    # The insert was tried again until the deadline, and answered with 503.
    cluster.start_host("a")
    status, response = cluster.call("a", "POST", body=body)
    assert status == 400
    assert limit in response["reason"]
    assert cluster.call("a", "GET")[0] == 410


def test_host_rejects_calls_while_store_rejects_it(cluster):
    # Guards against accepting a job that cannot be stored, and against a host
    # that stays ready during the outage or does not recover after it.
    cluster.start_host("a")
    cluster.store_server.busy = True
    status, _ = cluster.call("a", "POST", body=JOB_BODY)
    assert status == 503
    clusters.wait_until(
        lambda: cluster.get_readiness("a") == 503, "a is not ready"
    )
    clusters.wait_until(
        lambda: cluster.call("a", "GET")[0] == 503,
        "calls with an API key are rejected",
    )
    cluster.store_server.busy = False
    clusters.wait_until(
        lambda: cluster.get_readiness("a") == 200, "a is ready again"
    )
    assert cluster.call("a", "GET")[0] == 410
    assert not cluster.worker_server.worker.started


def test_stopped_host_hands_over_and_exits_on_its_own(cluster):
    # Guards against hosts that do not exit after SIGTERM: on a recorded day,
    # two hosts were killed at the end of their grace period.
    owner = cluster.start_host("a")
    cluster.start_host("b")
    clusters.wait_until(
        lambda: cluster.worker_server.worker.epoch == 1, "a is the owner"
    )
    owner.send_signal(signal.SIGTERM)
    clusters.wait_until(
        lambda: cluster.worker_server.worker.epoch == 2, "b is the owner"
    )
    assert cluster.call("a", "POST", body=JOB_BODY)[0] == 200
    assert owner.wait(clusters.TIMEOUT_S) == 0
    cluster.wait_for_state("b", "running")


def test_host_forwards_calls_while_store_rejects_it(cluster):
    # Guards against status 503 from a host that cannot reach the store while
    # other hosts can: callers of such hosts got it for the whole outage.
    cluster.start_host("a")
    cluster.start_host("b", own_store_server=True)
    cluster.wait_for_peers("b")
    assert cluster.call("a", "POST", body=JOB_BODY)[0] == 200
    cluster.store_servers["b"].busy = True
    assert cluster.call("b", "GET")[1]["state"] in ("queued", "running")
    job_path = "/q/00000000000000b2"
    assert cluster.call("b", "POST", job_path, body=JOB_BODY)[0] == 200
    assert cluster.call("a", "GET", job_path)[0] == 200
    assert (
        cluster.call("b", "POST", job_path, body=JOB_BODY, key="no")[0] == 401
    )
    assert cluster.call("b", "DELETE", job_path)[0] == 200


def test_data_centre_being_emptied_gets_no_tasks_until_taken_back(cluster):
    # The request was acknowledged, and tasks were started there all the same.
    cluster.start_host("a")
    fake_store = cluster.store_server.fake_store
    worker = cluster.worker_server.worker
    clusters.wait_until(lambda: worker.epoch == 1, "a is the owner")
    fake_store.put("op", "evacuate/z", b"{}")
    time.sleep(1)
    assert cluster.call("a", "POST", body=JOB_BODY)[0] == 200
    time.sleep(2)
    assert not worker.started
    fake_store.commit(
        ports.Transaction({}, {}, (ports.RowKey("op", "evacuate/z"),)), 0
    )
    clusters.wait_until(lambda: len(worker.running) == 2, "both tasks run")
