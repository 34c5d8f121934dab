"""Tests for HTTP requests to workers and to the recommendation service."""

from cyclamenshelf_platform import workers
import pytest
from testing.platform import standin

from cyclamenshelf_daemon import httpclient
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
def pool():
    created = httpclient.make_pool(1)
    yield created
    created.clear()


def make_start_order(worker_server, ticket):
    address = f"127.0.0.1:{worker_server.server.port}"
    info = worker_server.worker.info._replace(address=address)
    return ports.StartOrder(info, "j.0.0.0", 1, "x", "", 9, 1, ticket)


def test_start_order_carries_its_ticket(worker_server, pool):
    worker_server.worker.tickets = {"good"}
    client = workers.make_workers(pool)
    refusal = client.start(make_start_order(worker_server, "stale"), 5_000)
    assert refusal is ports.Refusal.NO_TICKET
    assert client.start(make_start_order(worker_server, "good"), 5_000) is None


def test_order_of_a_pace_is_refused_once_a_newer_owner_has_called(
    worker_server, pool
):
    # An earlier owner would have let a best-effort task work on.
    info = make_start_order(worker_server, "").worker
    client = workers.make_workers(pool)
    order = ports.PaceOrder(info, "j.0.0.0", 1, 30, 2)
    assert client.pace(order, 5_000) is None
    earlier = order._replace(percent=100, epoch=1)
    assert client.pace(earlier, 5_000) is ports.Refusal.FENCED
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
