"""Tests of the learned speeds of workers."""

import math
import random

import pytest

from cyclamenshelf_core.workerprofiles import speeds

KEY = speeds.GroupKey("j", 0)


def record_step(profiles, factors, key=KEY, run_ms=1_000, seed=1, tasks=3):
    """Record tasks of a step, of varying length, on workers of some speed."""
    rng = random.Random(seed)
    for worker_id, factor in factors.items():
        for number in range(tasks):
            noise = rng.lognormvariate(0, 0.2)
            speeds.record_run(
                profiles,
                key,
                (worker_id, number),
                worker_id,
                run_ms * factor * noise,
            )


def record_gang(profiles, factors, run, run_ms=2_000):
    """Record the members of one run of a gang, which do the same work."""
    key = speeds.GroupKey("g", 0, run)
    for worker_id, factor in factors.items():
        speeds.record_run(
            profiles, key, worker_id, worker_id, run_ms * factor, "", 0.02
        )


def learn(profiles, rounds=5):
    for _ in range(rounds):
        speeds.update(profiles)


def get_ranks(profiles, factors):
    return {name: speeds.get_rank(profiles, name) for name in factors}


# One worker in four takes less than half as long as the others.
FACTORS = {f"w{n}": 0.46 if n % 4 == 0 else 1.0 for n in range(16)}


def test_two_gangs_tell_fast_workers_from_others():
    # Nearly all urgent work ran in gangs, which taught nothing: after a minute
    # the owner knew half of the workers.
    profiles = speeds.Profiles()
    names = list(FACTORS)
    for run in range(2):
        random.Random(run).shuffle(names)
        for start in range(0, len(names), 8):
            members = {name: FACTORS[name] for name in names[start : start + 8]}
            record_gang(profiles, members, 1 + 2 * run + start // 8)
    learn(profiles)
    ranks = get_ranks(profiles, FACTORS)
    assert {n for n in ranks if ranks[n] < -2} == {
        n for n in FACTORS if FACTORS[n] < 1
    }
    assert max(ranks.values()) == 0


def test_first_runs_of_a_step_count():
    # The first four runs of each group were dropped, often half of them.
    profiles = speeds.Profiles()
    for number in range(12):
        key = speeds.GroupKey(f"j{number}", 0)
        record_step(profiles, {"a": 1, "b": 1, "late": 2.2}, key, tasks=1)
    learn(profiles)
    assert speeds.is_slow(profiles, "late")
    assert not speeds.is_slow(profiles, "a")


def test_tasks_of_many_times_the_usual_length_do_not_make_a_worker_slow():
    # One task in thirty takes seven times as long as the others of its step.
    profiles = speeds.Profiles()
    for number in range(8):
        key = speeds.GroupKey(f"j{number}", 0)
        factors = dict.fromkeys(("a", "b", "c", "d"), 1.0)
        record_step(profiles, factors, key, seed=number)
    for number in range(2):
        speeds.record_run(
            profiles, speeds.GroupKey(f"j{number}", 0), "long", "a", 7_000
        )
    learn(profiles)
    assert speeds.get_rank(profiles, "a") == 0


def test_worker_that_became_fast_is_no_longer_slow():
    # What was learned of a worker must not outlast a change of its speed.
    profiles = speeds.Profiles()
    others = {f"w{n}": 1.0 for n in range(6)}
    for key, factor in (("old", 2.0), ("new", 0.5)):
        record_step(profiles, others, speeds.GroupKey(key, 0))
        record_step(profiles, {"w": factor}, speeds.GroupKey(key, 0), tasks=60)
    learn(profiles)
    ranks = get_ranks(profiles, {"w": 1.0, "w0": 1.0})
    assert ranks["w"] <= ranks["w0"]


def test_worker_of_which_nothing_is_known_ranks_between_fast_and_slow():
    # It counted like a fast one, so urgent work took it before those.
    profiles = speeds.Profiles()
    for run in range(1, 4):
        record_gang(profiles, {"fast": 0.4, "a": 1, "b": 1, "slow": 2}, run)
    learn(profiles)
    ranks = get_ranks(profiles, ("fast", "new", "slow"))
    assert ranks["fast"] < ranks["new"] < ranks["slow"]
    assert speeds.get_log_factor(profiles, "new") is None


def test_few_varying_tasks_leave_equal_workers_typical():
    # A uniform fleet would be packed by what is only noise.
    profiles = speeds.Profiles()
    factors = dict.fromkeys((f"w{n}" for n in range(10)), 1.0)
    for number in range(30):
        key = speeds.GroupKey(f"j{number}", 0)
        record_step(profiles, factors, key, seed=number, tasks=1)
        learn(profiles, 1)
    ranks = list(get_ranks(profiles, factors).values())
    assert ranks.count(0) >= 9


def test_dropped_groups_are_not_unlearned():
    # Only recent groups are kept.
    profiles = speeds.Profiles()
    for run in range(1, 4):
        record_gang(profiles, FACTORS, run)
    learn(profiles)
    for number in range(speeds._MAX_GROUPS):
        speeds.record_run(
            profiles, speeds.GroupKey(f"j{number}", 0), 0, "w1", 1_000
        )
    learn(profiles)
    assert speeds.get_rank(profiles, "w0") < -2
    assert len(profiles.groups) == speeds._MAX_GROUPS


def test_image_that_runs_slowly_on_a_worker_does_not_slow_others_there():
    profiles = speeds.Profiles()
    factors = {"a": 1.0, "b": 1.0, "c": 1.0}
    for number in range(20):
        for image, factor in (("x", 1.7), ("y", 1.0)):
            for worker_id, value in (factors | {"a": factor}).items():
                speeds.record_run(
                    profiles,
                    speeds.GroupKey(f"{image}{number}", 0, 1),
                    worker_id,
                    worker_id,
                    1_000 * value,
                    image,
                )
    learn(profiles)
    assert speeds.get_rank(profiles, "a", "x") > speeds.get_rank(
        profiles, "a", "y"
    )


def test_forgotten_worker_is_unknown():
    # A worker that restarts may have moved to another machine.
    profiles = speeds.Profiles()
    for run in range(1, 4):
        record_gang(profiles, FACTORS, run)
    learn(profiles)
    speeds.forget_worker(profiles, "w0")
    learn(profiles)
    assert speeds.get_log_factor(profiles, "w0") is None


def test_restored_belief_is_used_until_runs_tell_otherwise():
    profiles = speeds.Profiles()
    speeds.restore(profiles, "w0", speeds.Belief(math.log(3), 100))
    for number in range(1, 8):
        speeds.restore(profiles, f"w{number}", speeds.Belief(0, 100))
    learn(profiles)
    assert speeds.is_slow(profiles, "w0")
    for run in range(1, 20):
        record_gang(profiles, {f"w{n}": 1.0 for n in range(8)}, run)
    learn(profiles)
    assert not speeds.is_slow(profiles, "w0")


@pytest.mark.parametrize("runs", [1, 40])
def test_single_worker_is_not_compared_with_itself(runs):
    profiles = speeds.Profiles()
    for number in range(runs):
        speeds.record_run(profiles, KEY, number, "only", 1_000)
    learn(profiles)
    assert speeds.get_log_factor(profiles, "only") is None
