"""Tests of the limits beyond which a job of steps is refused."""

import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import errors
from cyclamenshelf_core import joblimits
from cyclamenshelf_core import progresspages
from cyclamenshelf_core import taskjobs

MAX_ROW_BYTES = progresspages.DEFAULT_MAX_ROW_BYTES


@pytest.mark.parametrize(
    ("steps", "repetitions"),
    [
        ([builders.make_step(10_000)], 0),
        ([builders.make_step(5_000)] * 2, 10),
        ([builders.make_step(10)], 10_000),
        ([builders.make_step(512, gang=True)] * 2, 0),
    ],
)
def test_largest_jobs_are_accepted(steps, repetitions):
    joblimits.check_counts(tuple(steps), repetitions)


@pytest.mark.parametrize(
    ("steps", "repetitions"),
    [
        ([builders.make_step(10_001)], 0),
        ([builders.make_step(5_000), builders.make_step(5_001)], 0),
        ([builders.make_step(20_000), builders.make_step(-15_000)], 0),
        ([builders.make_step(0)], 0),
        ([builders.make_step(1)], 10_001),
        ([builders.make_step(10_000)], 11),
        ([builders.make_step(513, gang=True)], 0),
    ],
)
def test_larger_jobs_are_refused(steps, repetitions):
    # A job that could not be kept, started or ended was accepted.
    with pytest.raises(errors.InvalidFieldError):
        joblimits.check_counts(tuple(steps), repetitions)


def test_row_of_a_job_is_bounded_by_its_encoded_size():
    # A text of 4,000 bytes takes up to six times as many in a row.
    job = builders.make_job("j", payload="\x01" * 4_000)
    joblimits.check_row(job, MAX_ROW_BYTES)
    longest = MAX_ROW_BYTES - len(taskjobs.encode_job(job._replace(payload="")))
    joblimits.check_row(job._replace(payload="x" * longest), MAX_ROW_BYTES)
    with pytest.raises(errors.InvalidFieldError, match="65536 bytes"):
        joblimits.check_row(
            job._replace(payload="x" * (longest + 1)), MAX_ROW_BYTES
        )
