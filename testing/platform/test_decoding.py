"""Tests for the decoding of operators' rows, worker entries and job bodies."""

import json
import sys
import types

from cyclamenshelf_platform import callers
from cyclamenshelf_platform import operator
from cyclamenshelf_platform import settings
from cyclamenshelf_platform import store
from cyclamenshelf_platform import workers
import hypothesis
from hypothesis import strategies as st
import pytest
from testing.platform import standin

from cyclamenshelf_core import errors
from cyclamenshelf_core import jsontexts
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.pacing import control
from cyclamenshelf_core.stopping import losses
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
    ("fields", "data_centre", "cold_ms"),
    [
        ({}, "", 0),
        ({"zone": "z", "cold_remaining_ms": 700}, "z", 700),
        ({"zone": "z", "cold_remaining_ms": 700.5}, "z", 700),
        ({"zone": "z", "cold_remaining_ms": -1}, "z", 0),
        ({"zone": "z", "cold_remaining_ms": "700"}, "z", 0),
        ({"zone": "z", "cold_remaining_ms": None}, "z", 0),
    ],
)
def test_entry_has_data_centre_and_time_left_cold(fields, data_centre, cold_ms):
    # A malformed hint must not make a worker unusable.
    worker = decode_worker(json.dumps(ENTRY | fields).encode())
    assert (worker.data_centre, worker.cold_ms) == (data_centre, cold_ms)


@pytest.mark.parametrize(
    ("key", "value", "data_centre"),
    [
        ("evacuate/z", b"{}", "z"),
        ("evacuate/z", b"", "z"),
        ("evacuate/z", b"\xff", "z"),
        ("evacuate/z", None, None),
        ("evacuate/", b"{}", None),
        ("evacuate", b"{}", None),
        ("evacuate/z/1", b"{}", "z/1"),
        ("config", b"{}", None),
    ],
)
def test_row_asks_to_empty_a_data_centre_by_its_key(key, value, data_centre):
    # A malformed value must not let tasks start there.
    row = ports.Row(ports.RowKey("op", key), 3, value)
    assert operator.decode_evacuation(row) == data_centre


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
        json.dumps(ENTRY | {"zone": 7}).encode(),
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


def test_running_task_is_decoded_with_and_without_its_reading():
    # Workers of some deployments report four fields of each run.
    response = workers._decode_renewal_response(
        {"clock_ms": 1, "running": [["a", 2, "c", 100, 41], ["b", 1, "", 0]]},
        decode_worker(json.dumps(ENTRY).encode()),
    )
    assert response.running == (
        ports.RunningTask("a", 2, "c", reading=41.0),
        ports.RunningTask("b", 1, "", 0),
    )


SETTINGS = """
node_name=host
limits.cpu_share=0.5
limits.cpu_cores=2
listen_addresses.front_addr=127.0.0.1:1
listen_addresses.readiness_addr=127.0.0.1:2
zone=z
ip_address=127.0.0.1
internal_port_range=3,9
platform.address=127.0.0.1:4
bounds.max_hold_ms=6000
bounds.grace_period_s=6
bounds.status_s=120
"""
STOP_SETTINGS = """
bounds.restore_ms=600
bounds.stop_timeout_ms=400
bounds.rate_interval_ms=100
bounds.disruption_ms=4500
"""


@pytest.mark.parametrize(
    ("text", "stop_terms", "pacing_terms"),
    [
        (SETTINGS, losses.DEFAULT_TERMS, None),
        (
            SETTINGS + STOP_SETTINGS,
            losses.StopTerms(600, 400),
            control.PacingTerms(100, 4_500),
        ),
    ],
    ids=["absent", "given"],
)
def test_terms_of_workers_are_read_where_the_settings_have_them(
    tmp_path, text, stop_terms, pacing_terms
):
    # A constant restore of 100 ms made stops of wide gangs look cheap.
    path = tmp_path / "settings"
    path.write_text(text)
    read = settings.read_settings(str(path))
    assert (read.stop_terms, read.pacing_terms) == (stop_terms, pacing_terms)


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


@pytest.mark.parametrize(
    ("fields", "percent", "reading"),
    [
        (["n", 1, ""], 100, None),
        (["n", 1, "", 40], 40, None),
        (["n", 1, "", 40.5, 7], 40, 7.0),
        (["n", 1, "", None], 100, None),
        (["n", 1, None, None], 100, None),
    ],
)
def test_listed_task_has_its_percentage(fields, percent, reading):
    # A missing or malformed one must not make the worker unresponsive.
    response = workers._decode_renewal_response(
        {"clock_ms": 1, "running": [fields]},
        decode_worker(json.dumps(ENTRY).encode()),
    )
    assert response.running == (
        ports.RunningTask("n", 1, "", percent, reading),
    )


def test_step_says_how_many_tasks_may_be_unavailable():
    step = {"count": 3, "long_running": True, "optional": 2}
    body = json.dumps({"specification": "", "steps": [step]}).encode()
    assert callers.decode_job(body)[1][0].max_unavailable == 2
