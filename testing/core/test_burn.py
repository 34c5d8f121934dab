import pytest

from cyclamenshelf_core import burn

NOW_MS = 1_000 * burn.HOUR_MS


def make_job(**changes):
    return burn.EndedJob(
        job_id="j-1",
        account="shop",
        urgency="normal",
        state="succeeded",
        accepted_ms=NOW_MS - 10_000,
        started_ms=NOW_MS - 9_000,
        ended_ms=NOW_MS - 1_000,
        deadline_ms=None,
        reason="",
    )._replace(**changes)


def compute_by_objective(jobs):
    burns = burn.compute_burn(jobs, lambda account: "gold", NOW_MS)
    return {plan_burn.objective: plan_burn for plan_burn in burns}


@pytest.mark.parametrize(
    ("objective", "changes", "good"),
    [
        ("completed_by_deadline", {}, None),
        ("completed_by_deadline", {"deadline_ms": NOW_MS}, True),
        ("completed_by_deadline", {"deadline_ms": NOW_MS - 2_000}, False),
        (
            "completed_by_deadline",
            {"deadline_ms": NOW_MS, "state": "failed"},
            False,
        ),
        ("urgent_started", {}, None),
        ("urgent_started", {"urgency": "urgent"}, True),
        (
            "urgent_started",
            {"urgency": "urgent", "started_ms": NOW_MS - 5_000},
            False,
        ),
        (
            "urgent_started",
            {"urgency": "urgent", "started_ms": None, "state": "failed"},
            False,
        ),
        ("answered_whole", {}, True),
        ("answered_whole", {"state": "failed"}, False),
        ("answered_whole", {"state": "cancelled"}, None),
    ],
)
def test_jobs_are_evaluated_by_each_objective(objective, changes, good):
    # Guards against jobs that count for an objective that does not apply to
    # them, and against bad jobs that count as good.
    found = compute_by_objective([make_job(**changes)]).get(objective)
    if good is None:
        assert found is None
    else:
        assert found.windows[0].bad == (0 if good else 1)


def test_rate_is_the_bad_fraction_over_the_allowed_fraction():
    # Guards against a report that misstates how much of the budget is left.
    jobs = [make_job() for _ in range(998)]
    jobs += [make_job(state="failed", reason="worker lost")] * 2
    found = compute_by_objective(jobs)["answered_whole"]
    assert found.windows[0].rate == pytest.approx(2.0)
    assert found.budget_left == pytest.approx(-1.0)
    assert found.causes == (burn.Cause("shop", "worker lost", 2),)


def test_windows_count_only_jobs_that_ended_within_them():
    # Guards against old jobs that raise the burn rate of a short window.
    jobs = [
        make_job(ended_ms=NOW_MS - hours * burn.HOUR_MS + 1, state="failed")
        for hours in (1, 6, 72, 168, 169)
    ]
    found = compute_by_objective(jobs)["answered_whole"]
    assert [window.bad for window in found.windows] == [1, 2, 3]
    assert found.causes[0].bad == 4
