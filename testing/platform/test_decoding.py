"""Tests for the decoding of operators' rows, worker entries and job bodies."""

import json
import sys

from cyclamenshelf_platform import callers
from cyclamenshelf_platform import operator
import hypothesis
from hypothesis import strategies as st
import pytest
from testing.platform import standin

from cyclamenshelf_core import errors
from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks import queues

KEY = ports.RowKey("servers", "i-1")
ENTRY = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "state": "ready",
    "capacity": {"cpu": 1, "memory_request_mb": 2, "gpu": 3},
    "labels": ["a", "r1-3"],
    "born": 5,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)


def decode_worker(value):
    return operator.decode_worker(ports.Row(KEY, 3, value))


def test_valid_entry_is_decoded():
    worker = decode_worker(json.dumps(ENTRY).encode())
    assert worker.rack == "r1-3"
    assert worker.capacity == taskjobs.Resources(1, 2, 3)
    assert worker.draining_ms is None


@pytest.mark.parametrize(
    ("route_fields", "expected"),
    [
        ({}, None),
        ({"recommendation": None}, None),
        (
            {"recommendation": {"decision_ms": 40, "period_ms": 3}},
            queues.AdviceLatency(40, 3),
        ),
    ],
)
def test_queue_has_terms_of_recommendation_service(route_fields, expected):
    config = json.loads(standin.make_config())
    config["routes"][0] |= route_fields
    row = ports.Row(operator.LISTS_KEY, 3, json.dumps(config).encode())
    assert operator.decode_lists(row).queues[0].advice == expected


def test_draining_entry_has_remaining_time():
    value = ENTRY | {"state": "draining", "drain_remaining_ms": 900}
    assert decode_worker(json.dumps(value).encode()).draining_ms == 900


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"null",
        json.dumps(ENTRY | {"state": "resting"}).encode(),
        json.dumps(ENTRY | {"address": 7}).encode(),
        json.dumps(ENTRY | {"address": "nowhere"}).encode(),
        json.dumps(ENTRY | {"labels": [1]}).encode(),
        json.dumps(ENTRY | {"capacity": {"cpu": "1"}}).encode(),
        json.dumps(ENTRY | {"born": 1.5}).encode(),
        json.dumps(
            {name: v for name, v in ENTRY.items() if name != "service"}
        ).encode(),
    ],
)
def test_malformed_entry_gives_no_worker(value):
    # Other programs write entries too, so a malformed one must be ignored.
    assert decode_worker(value) is None


@hypothesis.given(st.sampled_from(sorted(ENTRY)), JSON)
def test_arbitrary_entry_fields_raise_no_error(field, value):
    decode_worker(json.dumps(ENTRY | {field: value}).encode())


@hypothesis.given(JSON)
def test_arbitrary_json_gives_no_lists(value):
    row = ports.Row(operator.LISTS_KEY, 3, json.dumps(value).encode())
    assert operator.decode_lists(row) is None


def test_lists_hold_queues_and_accounts():
    row = ports.Row(operator.LISTS_KEY, 3, standin.make_config())
    lists = operator.decode_lists(row)
    assert (lists.version, lists.row_version) == (7, 3)
    assert lists.queues[0].path_prefix == "/q/"
    assert lists.accounts[0].guaranteed == 8


@hypothesis.given(JSON)
def test_arbitrary_json_is_rejected_as_job(value):
    with pytest.raises(errors.InvalidFieldError):
        callers.decode_job(json.dumps(value).encode())


def test_valid_body_is_decoded():
    payload, steps, schedule = callers.decode_job(
        json.dumps(
            {
                "specification": "text",
                "steps": [
                    {"count": 4, "cpu": 500, "data_rack": "r1-3"},
                    {"count": 2, "gang_scheduled": True, "after": [0]},
                ],
            }
        ).encode()
    )
    assert payload == "text"
    assert steps[0].need == taskjobs.Resources(500, 0, 0)
    assert steps[1].gang
    assert steps[1].after == (0,)
    assert schedule == (0, 0, 0)


@pytest.mark.parametrize("after", [[1], [-1], [0, 5]])
def test_step_may_wait_for_earlier_steps_only(after):
    body = {"steps": [{"count": 1}, {"count": 1, "after": after}]}
    with pytest.raises(errors.InvalidFieldError):
        callers.decode_job(json.dumps(body).encode())


def test_standard_library_keeps_its_platform_module():
    # Guards against a `platform` package at the root of the repository, which
    # would shadow the module of the standard library.
    assert "platform" in sys.modules
    assert hasattr(sys.modules["platform"], "python_version")
