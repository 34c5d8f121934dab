import pytest
from testing.core import builders

from cyclamenshelf_core import policy

_LATER_MS = builders.NOW_MS + 30_000


def _decide(workers, lists, queued=(), running=(), **fields):
    fields.setdefault("now_ms", _LATER_MS)
    snapshot = builders.make_snapshot(workers, lists, queued, running, **fields)
    made = policy.decide(snapshot)
    starts = {
        d.job_id: d.placement for d in made if isinstance(d, policy.Start)
    }
    preempted = [d.job_id for d in made if isinstance(d, policy.Preempt)]
    blocked = {
        d.job_id: d.reason for d in made if isinstance(d, policy.Blocked)
    }
    return starts, preempted, blocked


def test_non_preemptible_job_does_not_use_guarantee_of_others():
    # A non-preemptible job there could not be stopped to reclaim the guarantee.
    workers = builders.make_workers(1, 2)
    lists = builders.make_lists({"a": [builders.make_guarantee(2)]})
    non_preemptible = builders.make_job("firm", "b", accelerators=1)
    borrower = builders.make_job("loan", "b", accelerators=1, preemptible=True)
    starts, _, blocked = _decide(workers, lists, [non_preemptible, borrower])
    assert blocked == {"firm": "guarantee_reserved"}
    assert list(starts) == ["loan"]


def test_reclaim_preempts_only_as_many_borrowers_as_needed():
    # Either borrower frees enough capacity, so preempting both is a failure.
    workers = builders.make_workers(1, 2)
    lists = builders.make_lists({"a": [builders.make_guarantee(2)]})
    borrowers = [
        builders.make_running(
            builders.make_job(f"loan-{worker}", "b", preemptible=True), worker
        )
        for worker in workers
    ]
    job = builders.make_job("own", "a")
    _, preempted, blocked = _decide(workers, lists, [job], borrowers)
    assert len(preempted) == 1
    assert blocked == {"own": "waiting_for_preemption"}


@pytest.mark.parametrize(
    ("preemptible", "urgency", "expected"),
    [
        (True, "background", ["low"]),
        (False, "background", []),
        (True, "normal", []),
    ],
)
def test_urgent_job_preempts_only_preemptible_background_jobs(
    preemptible, urgency, expected
):
    low = builders.make_job(
        "low", "b", urgency=urgency, preemptible=preemptible
    )
    job = builders.make_job("now", "a", urgency="urgent")
    _, preempted, _ = _decide(
        builders.make_workers(1, 1),
        builders.make_lists(),
        [job],
        [builders.make_running(low, "w0000")],
    )
    assert preempted == expected


def test_compaction_moves_a_preemptible_job_to_fit_a_gang():
    # Each rack has enough capacity, but a small job occupies part of it.
    workers = builders.make_workers(2, 2)
    small = [
        builders.make_running(
            builders.make_job(f"s{worker}", "b", 1, 4, preemptible=True), worker
        )
        for worker in ("w0000", "w0002")
    ]
    gang = builders.make_job("gang", "a", 2)
    _, preempted, blocked = _decide(
        workers, builders.make_lists(), [gang], small
    )
    assert len(preempted) == 1
    assert blocked == {"gang": "waiting_for_preemption"}


@pytest.mark.parametrize(
    ("preemptible", "starts_now"), [(True, True), (False, False)]
)
def test_only_preemptible_jobs_are_backfilled_after_60_s(
    preemptible, starts_now
):
    long = builders.make_job("long", "b", run_ms=600_000)
    gang = builders.make_job("gang", "a", 2)
    small = builders.make_job(
        "small", "b", 1, 1, preemptible=preemptible, accepted_ms=_LATER_MS
    )
    starts, _, blocked = _decide(
        builders.make_workers(1, 2),
        builders.make_lists(),
        [gang, small],
        [builders.make_running(long, "w0000")],
        now_ms=builders.NOW_MS + 61_000,
    )
    assert blocked["gang"] == "waiting_for_reserved_workers"
    assert ("small" in starts) == starts_now


@pytest.mark.parametrize(("started_ms", "expected"), [(-1, []), (1, ["s"])])
def test_reservation_preempts_only_jobs_backfilled_after_it(
    started_ms, expected
):
    # Without the limit, a new reservation preempted jobs that had just started.
    gang = builders.make_job("gang", "a", 2)
    small = builders.make_job(
        "s", "b", 1, 1, preemptible=True, accepted_ms=_LATER_MS
    )
    held_ms = builders.NOW_MS + 70_000
    placement = builders.make_running(gang, "w0000", "w0001").placement
    _, preempted, _ = _decide(
        builders.make_workers(1, 2),
        builders.make_lists(),
        [gang],
        [builders.make_running(small, "w0000", since_ms=held_ms + started_ms)],
        now_ms=held_ms + 1_000,
        claims={"gang": policy.Claim(placement, "hold", held_ms)},
    )
    assert preempted == expected


@pytest.mark.parametrize(
    ("job", "reason"),
    [
        (builders.make_job("j", "a", 2), "never_fits"),
        (builders.make_job("j", "a", 4, 4), "never_fits"),
        (builders.make_job("j", "unlisted"), "account_not_listed"),
        (builders.make_job("j", "b"), "no_capacity"),
        (builders.make_job("j", "a", 1, 8), "plan_limit"),
    ],
)
def test_reason_codes_of_blocked_jobs(job, reason):
    busy = builders.make_job("busy", "a")
    _, _, blocked = _decide(
        builders.make_workers(1, 1),
        builders.make_lists(max_accelerators=12),
        [job],
        [builders.make_running(busy, "w0000")],
    )
    assert blocked == {"j": reason}


def test_burst_of_starts_is_shared_by_account_weight():
    # Without a charge at the start, one account could take the whole fleet.
    jobs = [
        builders.make_job(f"{account}{index}", account, 1, 1)
        for account in "ab"
        for index in range(16)
    ]
    starts, _, _ = _decide(
        builders.make_workers(1, 2), builders.make_lists(weights={"a": 3}), jobs
    )
    assert sum(job_id.startswith("a") for job_id in starts) == 12


def test_job_near_its_deadline_goes_first_by_corrected_run_time():
    # The declared run time alone makes the latest start appear too late.
    early = builders.make_job("early", accepted_ms=builders.NOW_MS - 1)
    due = builders.make_job(
        "due", run_ms=300_000, deadline_ms=_LATER_MS + 1_500_000
    )
    fleet = builders.make_workers(1, 1), builders.make_lists(), [early, due]
    assert list(_decide(*fleet)[0]) == ["early"]
    assert list(_decide(*fleet, run_time_ratios={"a": 4.0})[0]) == ["due"]


def test_tightest_rack_is_filled_first():
    workers = builders.make_workers(3, 2)
    half = builders.make_running(builders.make_job("half", "b", 1, 4), "w0002")
    job = builders.make_job("j", "a", 1, 4)
    starts, _, _ = _decide(workers, builders.make_lists(), [job], [half])
    assert starts["j"][0].worker_id == "w0002"


def test_takeover_estimates_usage_and_ratios_from_running_jobs():
    # A new owner has no history. A job at 4 times its declared run time must
    # still correct the run times of its account.
    state = policy.PolicyState()
    over = builders.make_running(builders.make_job("over", "a"), "w0000")
    policy.advance(
        state,
        builders.make_snapshot(
            builders.make_workers(1, 1),
            builders.make_lists(),
            (),
            [over],
            now_ms=builders.NOW_MS + 240_000,
        ),
    )
    assert state.ratio_samples == {"a": [4.0]}
    assert 1600 < state.usage["a"] < 1920


@pytest.mark.parametrize(("recent", "starts"), [(0.0, 6), (346.0, 5)])
def test_large_account_leaves_free_what_others_used_recently(recent, starts):
    # 346 accelerator-seconds equal a constant allocation of 0.4 accelerators.
    jobs = [builders.make_job(f"j{index}", "a", 1, 4) for index in range(6)]
    found, _, blocked = _decide(
        builders.make_workers(1, 3),
        builders.make_lists(),
        jobs,
        usage={"b": recent},
    )
    assert len(found) == starts
    assert set(blocked.values()) <= {"kept_for_others"}


def test_large_account_preempts_no_background_job_for_kept_capacity():
    # A decision that was to leave capacity free for others preempted a
    # background job, because less was free than in the previous decision.
    job = builders.make_job("j", "a", 1, 4, urgency="urgent")
    own = [
        builders.make_running(builders.make_job(f"own{w}", "a", 1, 8), w)
        for w in ("w0000", "w0001")
    ]
    low = builders.make_job(
        "low", "c", 1, 8, urgency="background", preemptible=True
    )
    _, preempted, blocked = _decide(
        builders.make_workers(1, 3),
        builders.make_lists(),
        [job],
        [*own, builders.make_running(low, "w0002")],
        usage={"b": 346.0},
    )
    assert preempted == []
    assert blocked == {"j": "kept_for_others"}
