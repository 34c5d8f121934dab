"""Previews of jobs that have not been submitted."""

from testing.core import builders

from cyclamenshelf_core.preview import jobpreview

WORKERS = builders.make_workers(racks=1, per_rack=2)
PREVIEWED = builders.make_job("preview", account="b")


def preview(queued=(), running=(), lists=None, job=PREVIEWED):
    snapshot = builders.make_snapshot(
        WORKERS, lists or builders.make_lists(), queued, running
    )
    found = jobpreview.preview_job(snapshot, job)
    # The snapshot is the owner's; a preview must not change what it decides.
    assert snapshot.queued == list(queued)
    return found


def test_job_that_fits_would_start_on_the_free_worker():
    running = builders.make_running(builders.make_job("j1"), "w0000")
    found = preview(running=[running])
    assert found.outcome is jobpreview.Outcome.START
    assert [part.worker_id for part in found.placement] == ["w0001"]
    assert found.preempted == ()


def test_job_without_room_would_wait_and_names_the_reason():
    running = [
        builders.make_running(builders.make_job(f"j{i}"), f"w000{i}")
        for i in range(2)
    ]
    queued = [builders.make_job("j2", account="b")]
    found = preview(queued, running)
    assert found.outcome is jobpreview.Outcome.WAIT
    assert found.reason
    assert found.queued == 1


def test_only_jobs_that_would_be_stopped_for_it_are_attributed_to_it():
    # Guards against blaming a job for what the next decision does anyway.
    running = [
        builders.make_running(
            builders.make_job(f"j{i}", preemptible=True), f"w000{i}"
        )
        for i in range(2)
    ]
    lists = builders.make_lists({"b": [builders.make_guarantee(2)]})
    waiting = builders.make_job("j2", account="b")
    found = preview([waiting], running, lists)
    assert found.outcome is jobpreview.Outcome.PREEMPT
    assert len(found.preempted) == 1
