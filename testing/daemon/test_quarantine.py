"""Workers quarantined for their failures or by an operator get no work."""

from testing import cells

from cyclamenshelf_daemon import quarantinerows


def list_records(platform, worker_id):
    return list(platform.workers[worker_id].records)


def run_jobs(platform, host, prefix, count):
    job_ids = [cells.submit(host, f"{prefix}{index}") for index in range(count)]
    for job_id in job_ids:
        cells.wait_for_state(platform, job_id, "succeeded")


def test_worker_that_fails_all_jobs_gets_no_more_work(platform, host):
    # A worker that fails at once always looks idle, so that without a
    # quarantine it would attract all jobs.
    platform.workers["w0"].failing = True
    run_jobs(platform, host, "a", 16)
    cells.wait_until(
        lambda: host.owner.health.records["w0"].quarantines, "w0 is quarantined"
    )
    before = list_records(platform, "w0")
    run_jobs(platform, host, "b", 16)
    assert list_records(platform, "w0") == before


def test_worker_quarantined_by_an_operator_gets_no_work(platform, host):
    quarantinerows.add_quarantine(
        host.acceptance.table,
        host.acceptance.clock,
        host.owner.tenure.cell,
        "w1",
        quarantinerows.Quarantine("noisy fan", "ann", 0),
    )
    cells.wait_until(
        lambda: host.owner.quarantined == {"w1"}, "the quarantine is read"
    )
    run_jobs(platform, host, "a", 16)
    assert list_records(platform, "w1") == []
