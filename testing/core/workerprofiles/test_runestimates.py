"""Tests of learned run times."""

import math
import random

import pytest

from cyclamenshelf_core.workerprofiles import runestimates

KIND = runestimates.Kind("q", "")


def learn_steps(times, count, spread, error, seed=1):
    """Record steps of varying run time whose declarations err as much."""
    rng = random.Random(seed)
    for number in range(count):
        run_ms = 2_000 * math.exp(rng.gauss(0, spread))
        declared_ms = int(run_ms * math.exp(rng.gauss(0, error)))
        runestimates.record_run(
            times, KIND, f"j{number}", 0, declared_ms, run_ms
        )


def estimate(times, declared_ms, job_id="new"):
    return runestimates.estimate_run_ms(times, KIND, job_id, 0, declared_ms)


def test_unknown_kind_has_the_declared_run_time():
    assert estimate(runestimates.RunTimes(), 1_234) == 1_234


def test_guessed_declarations_count_little():
    # Declarations are up to 90% off: by a tenth of the real run time a job
    # seemed late at once, and was served after all others.
    times = runestimates.RunTimes()
    learn_steps(times, 60, spread=0.4, error=1.2)
    assert 1_000 < estimate(times, 200) < 3_000


def test_accurate_declarations_are_kept():
    times = runestimates.RunTimes()
    learn_steps(times, 60, spread=0.8, error=0.05)
    assert estimate(times, 500) == pytest.approx(500, rel=0.3)
    assert estimate(times, 8_000) == pytest.approx(8_000, rel=0.3)


def test_declarations_that_are_too_low_throughout_are_corrected():
    times = runestimates.RunTimes()
    rng = random.Random(1)
    for number in range(30):
        run_ms = rng.uniform(2_000, 8_000)
        runestimates.record_run(
            times, KIND, f"j{number}", 0, int(run_ms / 2), run_ms
        )
    assert estimate(times, 2_000) == pytest.approx(4_000, rel=0.2)


def test_step_that_has_run_has_the_observed_run_time():
    times = runestimates.RunTimes()
    for run_ms in (5_000, 5_000, 35_000):
        runestimates.record_run(times, KIND, "j", 0, 900, run_ms)
    assert estimate(times, 900, "j") < 9_000
    runestimates.forget_job(times, "j")
    assert not times.by_job
