"""Hypothesis profiles shared by all tests."""

import os

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, max_examples=100
)
hypothesis.settings.register_profile(
    "long", deadline=None, max_examples=5_000, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
