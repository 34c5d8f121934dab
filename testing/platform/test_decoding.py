"""Tests for the decoding of operators' rows, worker entries and job bodies."""

import json
import sys
import types

from cyclamenshelf_platform import callers
from cyclamenshelf_platform import operator
from cyclamenshelf_platform import store
from cyclamenshelf_platform import workers
import hypothesis
from hypothesis import strategies as st
import pytest
from testing.platform import standin

from cyclamenshelf_core import errors
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core import taskjobs
from cyclamenshelf_daemon import httpclient
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
                    {
                        "count": 2,
                        "gang_scheduled": True,
                        "after": [0],
                        "image": "solver",
                    },
                ],
            }
        ).encode()
    )
    assert payload == "text"
    assert steps[0].need == taskjobs.Resources(500, 0, 0)
    assert steps[1].gang
    assert [step.image for step in steps] == ["", "solver"]
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


def nest(depth=100_000):
    return b"[" * depth + b"]" * depth


def make_odd_entries():
    """Return entries as another program may write them, by what is odd."""
    text = json.dumps(ENTRY)
    huge = int("9" * 300)
    odd = {
        "nested": nest(),
        "nested in a field that is not read": (
            text[:-1].encode() + b',"x":' + nest() + b"}"
        ),
        "nested labels": json.dumps(ENTRY | {"labels": []})
        .encode()
        .replace(b"[]", nest()),
        "text that cannot be encoded": text.replace(
            '"svc"', '"\\ud800"'
        ).encode(),
    }
    for name, field in {
        "port 0": {"address": "10.0.0.1:0"},
        "port 99999": {"address": "10.0.0.1:99999"},
        "port of 20 digits": {"address": "10.0.0.1:" + "8" * 20},
        "huge core count": {"capacity": ENTRY["capacity"] | {"cpu": huge}},
        "huge start time": {"born": huge},
        "negative capacity": {"capacity": ENTRY["capacity"] | {"gpu": -1}},
        "fraction": {"born": 1.5},
        "truth value": {"born": True},
        "labels as text": {"labels": "ab"},
    }.items():
        odd[name] = json.dumps(ENTRY | field).encode()
    return odd


@pytest.mark.parametrize("name", make_odd_entries())
def test_odd_entry_names_no_worker(name):
    # 10 of 13 such entries raised in the owner's thread, or were taken over.
    assert decode_worker(make_odd_entries()[name]) is None


@pytest.mark.parametrize(
    "value",
    [
        nest(),
        json.dumps({"version": int("9" * 300), "routes": []}).encode(),
        b'{"version":1e400,"routes":[]}',
        b'{"version":1,"routes":' + nest() + b"}",
        b'{"version":1,"routes":[],"tenants":7}',
    ],
)
def test_odd_lists_leave_those_in_force(value):
    assert (
        operator.decode_lists(ports.Row(operator.LISTS_KEY, 3, value)) is None
    )


@pytest.mark.parametrize(
    "body",
    [
        nest(),
        b'{"specification":"","steps":' + nest() + b"}",
        b'{"specification":"","steps":[{"count":' + b"9" * 300 + b"}]}",
        b'{"specification":"","steps":[{"count":1000000000}]}',
        b'{"specification":"","steps":[{"count":1e400}]}',
        b'{"specification":"\\ud800","steps":[{"count":1}]}',
    ],
)
def test_odd_body_of_a_caller_is_an_invalid_field(body):
    with pytest.raises(errors.InvalidFieldError):
        callers.decode_job(body)


@pytest.mark.parametrize(
    "content",
    [
        nest(),
        b"[]",
        b"7",
        b'{"clock_ms":1e400}',
        b'{"clock_ms":1,"running":[[]]}',
        b'{"clock_ms":1,"finished":[[1,"n",1,"odd",""]]}',
        b'{"clock_ms":1,"finished":' + nest() + b"}",
    ],
)
def test_odd_response_of_a_worker_is_taken_for_none(monkeypatch, content):
    def respond(connection, make_renewal):
        return workers._decode_renewal_response(
            jsontexts.decode(content), decode_worker(json.dumps(ENTRY).encode())
        )

    monkeypatch.setattr(workers, "_send_renewal", respond)
    closed = []
    connection = types.SimpleNamespace(close=lambda: closed.append(None))
    with pytest.raises(ports.WorkerSilentError):
        workers._renew_lease(connection, None)
    assert closed


@pytest.mark.parametrize(
    ("entry", "percent"),
    [
        (["j.0.0.0", 1, "", 40], 40),
        (["j.0.0.0", 1, "", 40, 12], 40),
        (["j.0.0.0", 1, None, None], 0),
        (["j.0.0.0", 1, ""], 0),
    ],
)
def test_progress_of_a_running_task_is_decoded(entry, percent):
    # A worker that reports none must not be taken for one that is silent.
    response = workers._decode_renewal_response(
        {"clock_ms": 1, "running": [entry]},
        decode_worker(json.dumps(ENTRY).encode()),
    )
    assert response.running == (ports.RunningTask("j.0.0.0", 1, "", percent),)


@pytest.mark.parametrize(
    "body", [nest(), b"[]", b"{}", b'{"rows":[{}],"row_version":"x"}', b"7"]
)
def test_odd_response_of_the_store_is_a_store_error(monkeypatch, body):
    monkeypatch.setattr(
        httpclient,
        "call",
        lambda *arguments, **named: httpclient.HttpResult(200, {}, body),
    )
    client = store.make_store(None, "http://store")
    with pytest.raises(errors.StoreUnavailableError):
        client.read("table", 100)
    with pytest.raises(errors.OutcomeUnknownError):
        client.commit(ports.Transaction({}, {}), 100)
