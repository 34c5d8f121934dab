"""Tests for HTTP requests to workers and to the recommendation service."""

import queue

from cyclamenshelf_platform import workers
import pytest
from testing.daemon.tasks import fakefleet
from testing.platform import standin

from cyclamenshelf_daemon import asynccalls
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import webserver
from cyclamenshelf_daemon.tasks import ports


@pytest.fixture
def worker_server():
    created = standin.WorkerServer("i-1")
    yield created
    created.server.stop()


@pytest.fixture
def adviser():
    created = standin.AdviserServer()
    yield created
    created.server.stop()


@pytest.fixture
def client():
    created = asynccalls.start_client()
    yield workers.make_workers(created)
    created.close()


@pytest.fixture
def pool():
    created = httpclient.make_pool(1)
    yield created
    created.clear()


def make_start_order(worker_server, ticket):
    address = f"127.0.0.1:{worker_server.server.port}"
    info = worker_server.worker.info._replace(address=address)
    return ports.StartOrder(info, "j.0.0.0", 1, "x", "", 9, 1, ticket)


def send(port, order):
    """Send an order; return its outcome."""
    outcomes = queue.SimpleQueue()
    port(order, 5_000, outcomes.put)
    return outcomes.get(timeout=10)


def test_start_order_carries_its_ticket(worker_server, client):
    worker_server.worker.tickets = {"good"}
    refused = send(client.start, make_start_order(worker_server, "stale"))
    assert refused == ports.OrderOutcome(ports.Refusal.NO_TICKET)
    accepted = send(client.start, make_start_order(worker_server, "good"))
    assert accepted == ports.OrderOutcome()


def test_order_of_a_pace_is_refused_once_a_newer_owner_has_called(
    worker_server, client
):
    # An earlier owner would have let a best-effort task work on.
    info = make_start_order(worker_server, "").worker
    order = ports.PaceOrder(info, "j.0.0.0", 1, 30, 2)
    assert send(client.pace, order) == ports.OrderOutcome()
    refused = send(client.pace, order._replace(percent=100, epoch=1))
    assert refused == ports.OrderOutcome(ports.Refusal.FENCED)
    assert worker_server.worker.paces == {"j.0.0.0": 30}


def test_advice_request_names_step_and_returns_tickets(adviser, pool):
    advise = workers.make_advise(pool, adviser.url)
    response = advise("j.0.1", ("i-1", "i-2"), 5_000)
    assert response == ports.Recommendation({"i-1": "c81e-7a21d94b"}, 3_000)
    assert adviser.bodies == [{"step": "j.0.1", "workers": ["i-1", "i-2"]}]


def test_busy_service_gives_no_advice(adviser, pool):
    adviser.status = 429
    advise = workers.make_advise(pool, adviser.url)
    with pytest.raises(ports.AdviserSilentError, match="429"):
        advise("j.0.1", ("i-1",), 5_000)


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (500, b"{}"),
        (409, b"odd"),
        (409, b"[" * 100_000),
        (409, b'{"reason":[]}'),
    ],
)
def test_odd_response_to_an_order_is_an_outcome(client, status, body):
    # An order without an outcome kept its worker's turn for good.
    server = webserver.start_server(
        "127.0.0.1",
        0,
        lambda request: webserver.Response(status, body),
        threads=1,
        stop_timeout_s=0,
    )
    info = fakefleet.FakeWorker("i-1").info._replace(
        address=f"127.0.0.1:{server.port}"
    )
    outcome = send(client.stop, ports.StopOrder(info, "j.0.0.0", 1, 1))
    server.stop()
    assert outcome.error
