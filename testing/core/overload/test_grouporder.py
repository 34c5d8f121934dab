"""Tests of the order in which waiting groups are given room."""

import itertools

import hypothesis
from hypothesis import strategies as st
from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskplan
from cyclamenshelf_core.overload import grouporder

# An objective of 3 * 5 s + 1 s, so a result is of use for 32 s longer.
LATE_MS, EXPIRED_MS, OVERDUE_MS = -5_000, -40_000, -200_000


def make_group(job_id, slack_ms, accelerators=1, priority=1):
    step = builders.make_step(1, accelerators)
    job = builders.make_job(job_id, step, priority=priority)
    return builders.make_waiting_group(job, slack_ms=slack_ms)


def list_order(*groups):
    return [entry.job.id for entry in grouporder.sort_groups(list(groups))]


def test_burst_of_late_jobs_starts_the_smallest_first():
    # In a burst of large jobs, small callers waited behind all large ones that
    # had been accepted before, and none was in time.
    large = make_group("large", LATE_MS - 1_000, 8)
    small = [make_group(f"small{n}", LATE_MS, 1) for n in range(8)]
    workers = builders.make_workers(1, 1)
    result = taskplan.plan([large, *small], [], workers, {}, {})
    assert [group.job_id for group in result.blocked] == ["large"]


def test_jobs_of_no_use_come_after_all_others_of_their_priority():
    # After a burst, expired jobs kept those from starting that could still
    # have been in time.
    order = list_order(
        make_group("older", EXPIRED_MS - 1),
        make_group("expired", EXPIRED_MS),
        make_group("late", LATE_MS),
        make_group("in time", 0),
    )
    assert order == ["in time", "late", "older", "expired"]


def test_one_overdue_job_at_a_time_starts_under_lasting_overload():
    # Jobs that are in time arrive for ever; an accepted job still has to end.
    order = list_order(
        make_group("in time", 0),
        make_group("overdue", OVERDUE_MS),
        make_group("more overdue", OVERDUE_MS - 1),
    )
    assert order == ["more overdue", "in time", "overdue"]


def test_overdue_job_does_not_pass_a_higher_priority():
    groups = (make_group("overdue", OVERDUE_MS, priority=2),)
    groups += (make_group("in time", 0),)
    assert list_order(*groups) == ["in time", "overdue"]


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.integers(-300_000, 20_000),
            st.booleans(),
            st.booleans(),
        ),
        max_size=8,
    )
)
def test_priority_then_stops_then_guarantees_go_before_lateness(drawn):
    groups = [
        make_group(f"j{number}", slack_ms, priority=priority)._replace(
            preempting=preempting, guaranteed=guaranteed
        )
        for number, (priority, slack_ms, preempting, guaranteed) in enumerate(
            drawn
        )
    ]
    for first, second in itertools.pairwise(grouporder.sort_groups(groups)):
        assert _get_rank(first) <= _get_rank(second)


def _get_rank(entry):
    return entry.job.priority, not entry.preempting, not entry.guaranteed
