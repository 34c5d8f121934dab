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


def test_unstoppable_work_keeps_off_others_guarantee():
    workers = builders.make_workers(1, 2)
    lists = builders.make_lists({"a": [builders.make_guarantee(2)]})
    firm = builders.make_job("firm", "b", accelerators=1)
    loan = builders.make_job("loan", "b", accelerators=1, stoppable=True)
    starts, _, blocked = _decide(workers, lists, [firm, loan])
    assert blocked == {"firm": "guarantee_reserved"}
    assert list(starts) == ["loan"]


def test_reclaim_stops_only_the_borrowers_in_the_way():
    workers = builders.make_workers(1, 2)
    lists = builders.make_lists({"a": [builders.make_guarantee(2)]})
    loans = [
        builders.run_job(
            builders.make_job(f"loan-{worker}", "b", stoppable=True), worker
        )
        for worker in workers
    ]
    job = builders.make_job("own", "a")
    _, preempted, blocked = _decide(workers, lists, [job], loans)
    assert len(preempted) == 1
    assert blocked == {"own": "waiting_for_preemption"}


@pytest.mark.parametrize(
    ("stoppable", "urgency", "expected"),
    [
        (True, "background", ["low"]),
        (False, "background", []),
        (True, "normal", []),
    ],
)
def test_urgent_work_stops_stoppable_background_only(
    stoppable, urgency, expected
):
    low = builders.make_job("low", "b", urgency=urgency, stoppable=stoppable)
    job = builders.make_job("now", "a", urgency="urgent")
    _, preempted, _ = _decide(
        builders.make_workers(1, 1),
        builders.make_lists(),
        [job],
        [builders.run_job(low, "w0000")],
    )
    assert preempted == expected


def test_gang_gets_room_by_moving_stoppable_work():
    workers = builders.make_workers(2, 2)
    small = [
        builders.run_job(
            builders.make_job(f"s{worker}", "b", 1, 4, stoppable=True), worker
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
    ("stoppable", "starts_now"), [(True, True), (False, False)]
)
def test_only_stoppable_work_is_backfilled_after_60_s(stoppable, starts_now):
    long = builders.make_job("long", "b", run_ms=600_000)
    gang = builders.make_job("gang", "a", 2)
    small = builders.make_job(
        "small", "b", 1, 1, stoppable=stoppable, accepted_ms=_LATER_MS
    )
    starts, _, blocked = _decide(
        builders.make_workers(1, 2),
        builders.make_lists(),
        [gang, small],
        [builders.run_job(long, "w0000")],
        now_ms=builders.NOW_MS + 61_000,
    )
    assert blocked["gang"] == "waiting_for_reserved_workers"
    assert ("small" in starts) == starts_now


@pytest.mark.parametrize(("started_ms", "expected"), [(-1, []), (1, ["s"])])
def test_reservation_stops_only_what_was_backfilled_after_it(
    started_ms, expected
):
    # Without the limit, a new reservation stopped what had just started.
    gang = builders.make_job("gang", "a", 2)
    small = builders.make_job(
        "s", "b", 1, 1, stoppable=True, accepted_ms=_LATER_MS
    )
    held_ms = builders.NOW_MS + 70_000
    placement = builders.run_job(gang, "w0000", "w0001").placement
    _, preempted, _ = _decide(
        builders.make_workers(1, 2),
        builders.make_lists(),
        [gang],
        [builders.run_job(small, "w0000", since_ms=held_ms + started_ms)],
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
def test_reasons(job, reason):
    busy = builders.make_job("busy", "a")
    _, _, blocked = _decide(
        builders.make_workers(1, 1),
        builders.make_lists(max_accelerators=12),
        [job],
        [builders.run_job(busy, "w0000")],
    )
    assert blocked == {"j": reason}


def test_accounts_share_by_weight_in_a_burst():
    jobs = [
        builders.make_job(f"{account}{index}", account, 1, 1)
        for account in "ab"
        for index in range(16)
    ]
    starts, _, _ = _decide(
        builders.make_workers(1, 2), builders.make_lists(weights={"a": 3}), jobs
    )
    assert sum(job_id.startswith("a") for job_id in starts) == 12


def test_near_deadline_goes_ahead_by_corrected_run_time():
    early = builders.make_job("early", accepted_ms=builders.NOW_MS - 1)
    due = builders.make_job(
        "due", run_ms=300_000, deadline_ms=_LATER_MS + 1_500_000
    )
    fleet = builders.make_workers(1, 1), builders.make_lists(), [early, due]
    assert list(_decide(*fleet)[0]) == ["early"]
    assert list(_decide(*fleet, ratios={"a": 4.0})[0]) == ["due"]


def test_tightest_rack_is_filled_first():
    workers = builders.make_workers(3, 2)
    half = builders.run_job(builders.make_job("half", "b", 1, 4), "w0002")
    job = builders.make_job("j", "a", 1, 4)
    starts, _, _ = _decide(workers, builders.make_lists(), [job], [half])
    assert starts["j"][0].worker_id == "w0002"


def test_takeover_starts_from_what_running_jobs_show():
    # A job 4 times over its declared time corrects its account's next job.
    state = policy.PolicyState()
    over = builders.run_job(builders.make_job("over", "a"), "w0000")
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
    assert state.samples == {"a": [4.0]}
    assert 1600 < state.usage["a"] < 1920


@pytest.mark.parametrize(("recent", "starts"), [(0.0, 6), (346.0, 5)])
def test_flood_leaves_free_what_others_used_of_late(recent, starts):
    # 346 accelerator-seconds are 0.4 accelerators held all the time.
    jobs = [builders.make_job(f"j{index}", "a", 1, 4) for index in range(6)]
    found, _, blocked = _decide(
        builders.make_workers(1, 3),
        builders.make_lists(),
        jobs,
        usage={"b": recent},
    )
    assert len(found) == starts
    assert set(blocked.values()) <= {"kept_for_others"}


def test_flood_stops_no_background_work_for_what_is_kept():
    # The next decision, with less free, stopped a background job for it.
    job = builders.make_job("j", "a", 1, 4, urgency="urgent")
    own = [
        builders.run_job(builders.make_job(f"own{w}", "a", 1, 8), w)
        for w in ("w0000", "w0001")
    ]
    low = builders.make_job(
        "low", "c", 1, 8, urgency="background", stoppable=True
    )
    _, preempted, blocked = _decide(
        builders.make_workers(1, 3),
        builders.make_lists(),
        [job],
        [*own, builders.run_job(low, "w0002")],
        usage={"b": 346.0},
    )
    assert preempted == []
    assert blocked == {"j": "kept_for_others"}
