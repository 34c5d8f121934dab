from hypothesis import given
from hypothesis import strategies as st
from testing.core import builders

from cyclamenshelf_core import guarantees
from cyclamenshelf_core import model

_KEY_A = guarantees.GuaranteeKey("a", 0)
_KEY_B = guarantees.GuaranteeKey("b", 0)


def test_finds_the_only_assignment_that_first_fit_misses():
    # First fit places the cell-wide guarantee on the only rack that has the
    # three workers of the rack guarantee.
    workers = builders.make_workers(2, 3)
    del workers["w0005"]
    lists = builders.make_lists(
        {
            "a": [builders.make_guarantee(2, within="cell")],
            "b": [builders.make_guarantee(3)],
        }
    )
    found = guarantees.assign_guarantees(lists, workers)
    assert not found.unplaced
    assert set(found.assigned[_KEY_B]) == {"w0000", "w0001", "w0002"}


def test_reassigns_workers_only_if_no_other_assignment_exists():
    # A needless change could preempt the borrowers on the new workers.
    workers = builders.make_workers(2, 3)
    lists = builders.make_lists({"a": [builders.make_guarantee(2)]})
    before = guarantees.Assignment({_KEY_A: ("w0004", "w0005")}, ())
    kept = guarantees.assign_guarantees(lists, workers, previous=before)
    assert kept.assigned == before.assigned

    lists = builders.make_lists(
        {
            "a": [builders.make_guarantee(1)],
            "b": [builders.make_guarantee(3), builders.make_guarantee(2)],
        }
    )
    workers = builders.make_workers(3, 3)
    for worker_id in ("w0005", "w0007", "w0008"):
        del workers[worker_id]
    split = guarantees.Assignment({_KEY_A: ("w0000",)}, ())
    moved = guarantees.assign_guarantees(lists, workers, previous=split)
    assert not moved.unplaced
    assert moved.assigned[_KEY_A] == ("w0006",)


def test_guarantees_share_a_worker_that_fits_both():
    lists = builders.make_lists(
        {
            "a": [builders.make_guarantee(1, 4)],
            "b": [builders.make_guarantee(1, 4)],
        }
    )
    found = guarantees.assign_guarantees(lists, builders.make_workers(1, 1))
    assert not found.unplaced


def test_avoids_busy_workers_and_reports_the_shortfall():
    workers = builders.make_workers(1, 3)
    lists = builders.make_lists({"a": [builders.make_guarantee(2)]})
    found = guarantees.assign_guarantees(lists, workers, frozenset({"w0000"}))
    assert found.assigned[_KEY_A] == ("w0001", "w0002")
    busy = frozenset({"w0000", "w0001"})
    refused = guarantees.assign_guarantees(lists, workers, busy)
    assert refused.unplaced == (_KEY_A,)
    assert "needs 2 workers" in refused.missing[_KEY_A]
    assert "best has 1" in refused.missing[_KEY_A]


@st.composite
def _packings(draw):
    """Draw guarantees that fit together on a fleet, and the fleet."""
    workers = builders.make_workers(4, 3, data_centres=2)
    left = {worker_id: 8 for worker_id in workers}
    cut = {}
    for _ in range(draw(st.integers(1, 9))):
        size = draw(st.sampled_from([2, 4, 8]))
        within = draw(st.sampled_from(model.Within))
        near = workers[draw(st.sampled_from(sorted(workers)))]
        members = [
            worker_id
            for worker_id, worker in workers.items()
            if left[worker_id] >= size
            and guarantees.get_group(worker, within)
            == guarantees.get_group(near, within)
        ]
        if not members:
            continue
        count = draw(st.integers(1, len(members)))
        for worker_id in members[:count]:
            left[worker_id] -= size
        account = draw(st.sampled_from(["a", "b", "c", "d"]))
        guarantee = builders.make_guarantee(count, size, within)
        cut.setdefault(account, []).append(guarantee)
    return builders.make_lists(cut), workers


@given(_packings())
def test_places_all_guarantees_where_an_assignment_exists(packing):
    lists, workers = packing
    found = guarantees.assign_guarantees(lists, workers)
    assert not found.unplaced
    for by_account in guarantees.sum_guaranteed(lists, found).values():
        assert sum(by_account.values()) <= 8


def test_failed_search_is_repeated_only_with_more_free_capacity():
    # Repeating it on every decision delayed the cell owner by a second.
    workers = builders.make_workers(2, 2)
    lists = builders.make_lists({"a": [builders.make_guarantee(2)]})
    held = {"w0000": {"b": 8}, "w0002": {"b": 8}}
    failed = guarantees.plan_guarantees(lists, workers, held)
    again = guarantees.plan_guarantees(lists, workers, held, failed)
    assert again.unplaced == (_KEY_A,)
    assert again.failed_search == failed.failed_search
    del held["w0002"]
    freed = guarantees.plan_guarantees(lists, workers, held, failed)
    assert freed.assigned[_KEY_A] == ("w0002", "w0003")
