import collections
import concurrent.futures
import json
import random

import pytest
import urllib3

from cyclamenshelf_core import breaker as breakers
from cyclamenshelf_core import errors
from cyclamenshelf_core import retrybudget
from cyclamenshelf_daemon import routing
from cyclamenshelf_standin import backendservice

Run = errors.Run


def expect_refusal(fleet, error=errors.BackendFailedError, **headers):
    with pytest.raises(error) as refusal:
        fleet.route(**headers)
    return refusal.value


def test_lost_response_never_runs_a_request_twice(make_fleet):
    fleet = make_fleet()
    for index in range(3):
        fleet.add_backend(f"b{index}", lose_answers=4)
    refused = set()
    for index in range(40):
        try:
            fleet.route(request_id=f"r{index}")
        except errors.BackendFailedError as refusal:
            assert refusal.run is Run.UNKNOWN
            refused.add(f"r{index}")
    assert refused
    assert max(collections.Counter(fleet.list_run_ids()).values()) == 1
    assert refused <= set(fleet.list_run_ids())


def test_repeatable_request_is_retried_after_a_lost_response(make_fleet):
    fleet = make_fleet()
    fleet.add_backend("b0", lose_answers=1)
    assert fleet.route(request_id="r", repeatable="1").status == 200
    assert fleet.list_run_ids() == ["r", "r"]


@pytest.mark.parametrize("repeatable", ["0", "1"])
def test_request_refused_as_not_run_was_not_run(make_fleet, repeatable):
    fleet = make_fleet()
    fleet.add_backend("b0", refusing=True)
    fleet.add_backend("b1")
    fleet.servers["b1"].stop()
    for _ in range(6):
        refusal = expect_refusal(fleet, repeatable=repeatable)
        assert refusal.run is Run.NOT_RUN
        assert refusal.retry_after_ms > 0
    assert fleet.list_run_ids() == []


def test_unknown_run_of_an_earlier_attempt_is_reported(make_fleet):
    # Guards against reporting "not run" after a first attempt that was run and
    # whose response was lost, if all later attempts are refused.
    fleet = make_fleet()
    state = fleet.add_backend("b0", lose_answers=1)
    sleep_ms = fleet.router.clock.sleep_ms

    def reject_from_now(duration_ms):
        state.refusing = True
        sleep_ms(duration_ms)

    fleet.router.clock = fleet.router.clock._replace(sleep_ms=reject_from_now)
    assert expect_refusal(fleet, repeatable="1").run is Run.UNKNOWN
    assert len(fleet.list_run_ids()) == 1


def test_refused_connection_and_refusal_are_retried_elsewhere(make_fleet):
    fleet = make_fleet()
    fleet.add_backend("b0", refusing=True)
    fleet.add_backend("b1")
    fleet.add_backend("b2")
    fleet.servers["b1"].stop()
    for index in range(12):
        assert fleet.route(request_id=f"r{index}").status == 200
    assert set(collections.Counter(fleet.list_run_ids()).values()) == {1}


def test_passed_deadline_is_refused_without_being_sent(make_fleet):
    fleet = make_fleet()
    fleet.add_backend("b0")
    for deadline in ("0", "-5"):
        refusal = expect_refusal(
            fleet, errors.DeadlinePassedError, deadline_ms=deadline
        )
        assert refusal.run is Run.NOT_RUN
    assert fleet.list_run_ids() == []
    with pytest.raises(errors.InvalidFieldError):
        fleet.route(deadline_ms="soon")


def test_deadline_is_forwarded_as_remaining_time_and_bounded(make_fleet):
    fleet = make_fleet()
    state = fleet.add_backend("b0")
    fleet.route(deadline_ms="5000")
    fleet.route(deadline_ms="999999999")
    first, second = (int(item["deadline_ms"]) for item in state.records)
    assert 0 < first <= 5_000
    assert 5_000 < second <= routing.MAX_DEADLINE_MS


def test_deadline_that_passes_after_the_send_is_unknown(make_fleet):
    fleet = make_fleet()
    fleet.add_backend("b0", slow_ms=500)
    refusal = expect_refusal(
        fleet, errors.DeadlinePassedError, deadline_ms="100"
    )
    assert refusal.run is Run.UNKNOWN
    assert len(fleet.list_run_ids()) == 1


def test_short_deadlines_do_not_open_the_breaker(make_fleet):
    # Guards against one account's very short deadlines making the server
    # unavailable to other accounts.
    fleet = make_fleet()
    fleet.add_backend("b0", slow_ms=100)
    for _ in range(2 * breakers.FAILURES_TO_OPEN):
        expect_refusal(fleet, errors.DeadlinePassedError, deadline_ms="20")
    assert fleet.route(account="b").status == 200


def test_open_breaker_sends_one_probe_then_closes(make_fleet, manual_clock):
    fleet = make_fleet(manual_clock)
    state = fleet.add_backend("b0", lose_answers=100)
    for _ in range(breakers.FAILURES_TO_OPEN):
        expect_refusal(fleet)
    assert expect_refusal(fleet).run is Run.NOT_RUN
    assert len(fleet.list_run_ids()) == breakers.FAILURES_TO_OPEN
    manual_clock.advance(breakers.OPEN_MS)
    assert expect_refusal(fleet).run is Run.UNKNOWN
    assert expect_refusal(fleet).run is Run.NOT_RUN
    assert len(fleet.list_run_ids()) == breakers.FAILURES_TO_OPEN + 1
    state.lose_answers = 0
    manual_clock.advance(breakers.OPEN_MS)
    assert fleet.route().status == 200


def test_failing_servers_are_ejected_but_never_more_than_half(make_fleet):
    fleet = make_fleet()
    for index in range(4):
        fleet.add_backend(f"b{index}", failing=index < 3)
    for _ in range(300):
        fleet.route()
    stats_by_key = fleet.router.backends.stats_by_key.values()
    now_ms = fleet.router.clock.now_ms()
    assert sum(stats.ejected_until_ms > now_ms for stats in stats_by_key) <= 2
    used = {state.id for state in fleet.states.values() if state.records}
    assert used == {"b0", "b1", "b2", "b3"}


def test_retries_stay_within_the_budget(make_fleet, manual_clock):
    fleet = make_fleet(manual_clock)
    fleet.add_backend("b0", refusing=True)
    sent = []
    pool_request = fleet.pool.request
    fleet.pool.request = lambda *args, **kwargs: (
        sent.append(args) or pool_request(*args, **kwargs)
    )
    started_ms = manual_clock.clock.now_ms()
    for _ in range(100):
        expect_refusal(fleet)
    windows = (manual_clock.clock.now_ms() - started_ms) // 10_000 + 1
    assert 100 < len(sent) <= 100 + windows * retrybudget.MIN_RETRIES


def test_retry_after_pauses_the_server_that_sent_it(make_fleet, manual_clock):
    fleet = make_fleet(manual_clock)
    state = fleet.add_backend("b0", refusing=True, retry_after_s=20)
    assert expect_refusal(fleet).retry_after_ms > 10_000
    state.refusing = False
    assert expect_refusal(fleet).run is Run.NOT_RUN
    assert fleet.list_run_ids() == []
    manual_clock.advance(20_000)
    assert fleet.route().status == 200


def test_exceeded_rate_is_refused_as_not_run(make_fleet):
    fleet = make_fleet()
    fleet.add_backend("b0")
    fleet.router.admit = lambda account: account != "a"
    refusal = expect_refusal(fleet, errors.QueueFullError)
    assert refusal.run is Run.NOT_RUN and refusal.retry_after_ms
    assert fleet.route(account="b").status == 200


def test_full_queue_is_refused_as_not_run(make_fleet):
    fleet = make_fleet(slots=1, threads=16)
    fleet.add_backend("b0", slow_ms=100)
    with concurrent.futures.ThreadPoolExecutor(30) as executor:
        calls = [
            executor.submit(fleet.route, request_id=f"r{index}")
            for index in range(30)
        ]
        failures = [call.exception() for call in calls]
    refused = {f"r{i}" for i, failure in enumerate(failures) if failure}
    assert refused and not refused & set(fleet.list_run_ids())
    assert len(fleet.list_run_ids()) + len(refused) == 30


def test_response_is_complete_and_belongs_to_its_request(make_fleet):
    # Guards against mixed-up responses: each takes a random time, so that they
    # arrive out of order.
    fleet = make_fleet(slots=40, threads=256)
    for index in range(3):
        fleet.add_backend(f"b{index}")
    generator = random.Random(1)
    pool = urllib3.PoolManager(maxsize=40, retries=False)

    def call(url, index, run_ms, repeat):
        body = {"run_ms": run_ms, "answer": f"<{index}>", "repeat": repeat}
        headers = {"Authorization": f"Bearer {'abc'[index % 3]}"}
        response = pool.request(
            "POST", url, body=json.dumps(body), headers=headers
        )
        assert response.status == 200
        assert int(response.headers["Content-Length"]) == len(response.data)
        return response.data == f"<{index}>".encode() * repeat

    with (
        fleet.serve(threads=256) as url,
        concurrent.futures.ThreadPoolExecutor(30) as executor,
    ):
        calls = [
            executor.submit(
                call,
                url,
                index,
                generator.randrange(30),
                generator.choice([1, 9, 400_000]),
            )
            for index in range(400)
        ]
        assert all(item.result() for item in calls)


@pytest.mark.parametrize("repeat", [1_000, 2_000_000])
def test_truncated_response_is_reported_as_an_error(make_fleet, repeat):
    fleet = make_fleet()
    fleet.add_backend("b0", break_off=True)
    body = json.dumps({"answer": "x", "repeat": repeat})
    headers = {"Authorization": "Bearer a"}
    with fleet.serve() as url:
        try:
            response = urllib3.request(
                "POST", url, body=body, headers=headers, retries=False
            )
        except urllib3.exceptions.ProtocolError:
            assert repeat > 1_048_576
        else:
            assert response.status == 502
            assert response.json()["run"] == "unknown"
    assert fleet.router.dispatcher.queue.held == 0
    assert {
        stats.in_flight for stats in fleet.router.backends.stats_by_key.values()
    } == {0}


@pytest.mark.parametrize(
    "raw_response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4, 5\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nno length",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Request-Id: z\r\n\r\ny",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncut",
        b"nonsense\r\n\r\n",
    ],
)
def test_response_with_invalid_length_or_request_id_is_refused(
    make_fleet, raw_response
):
    fleet = make_fleet()
    with backendservice.serve_raw_response(raw_response) as address:
        fleet.update_host_list("raw", address)
        assert (
            expect_refusal(
                fleet, errors.RequestRefusedError, deadline_ms="300"
            ).run
            is Run.UNKNOWN
        )


def test_surplus_bytes_never_reach_the_next_request(make_fleet):
    fleet = make_fleet()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
    with backendservice.serve_raw_response(
        head + b"one" + head + b"two"
    ) as address:
        fleet.update_host_list("raw", address)
        assert [fleet.route().body for _ in range(5)] == [b"one"] * 5
