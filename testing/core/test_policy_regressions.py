"""Histories of scheduling decisions that once broke an invariant."""

from testing.core import builders
from testing.core import test_policy_histories as histories

from cyclamenshelf_core import model


def test_urgent_job_arrives_before_the_claim_of_its_account_is_fulfilled():
    # Guards against a start that the next decision preempts: the claim of a
    # background job was fulfilled before the urgent job of the same account was
    # considered.
    history = histories.Histories()
    history.flood("a", 2, "normal", True, 1)
    history.flood("b", 4, "background", True, 1)
    history.requeue("j0038")
    spec = builders.make_job("", "b", urgency="urgent").spec
    shape = model.Shape(1, 2, model.Within.DATA_CENTRE)
    job_id = history.add_job(
        "b", spec._replace(shape=shape, expected_run_ms=562_000)
    )
    history.requeue("j0039")
    history.decide()
    history.finish_stops()
    history.decide()
    assert job_id in history.running


def test_urgent_gang_kept_back_for_others_is_decided_in_the_same_decision():
    # It was blocked, as account a had used the capacity recently. The job of a
    # that started behind it made the next decision preempt for the gang, before
    # any victim of the first decision had stopped.
    history = histories.Histories()
    history.decide()
    history.lose_rack(2)
    history.lose_worker("w0009")
    history.reclaim("a")
    gang = builders.make_job("", "c", 3, 8, "rack", "urgent", True)
    gang_id = history.add_job("c", gang.spec)
    history.flood("c", 2, "background", True, 1)
    history.return_all()
    history.lose({"w0003", "w0004"})
    history.return_all()
    history.wait(1)
    history.decide()
    history.edit_lists(histories.LISTS[0])
    history.lose_rack(0)
    history.finish_stops()
    history.decide()
    history.finish_stops()
    history.decide()
    assert gang_id in history.running


def test_job_kept_back_for_others_is_answered_once():
    # Its reservation came first, and then its turn in the fair queue.
    history = histories.Histories()
    history.reclaim("a")
    history.serve_reclaims()
    history.reclaim("b")
    history.edit_lists(histories.LISTS[0])
    history.lose_worker("w0003")
    history.wait(700)
    history.flood("a", 2, "background", True, 1)
    history.serve_reclaims()
    del history.running["j0002"]
    history.serve_reclaims()
