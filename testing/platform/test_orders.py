"""Orders to runners and questions to the recommendation service, on wire."""

from cyclamenshelf_platform import workers
import pytest
from testing.platform import standin

from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon.tasks import ports


@pytest.fixture
def runner():
    made = standin.RunnerServer("i-1")
    yield made
    made.server.stop()


@pytest.fixture
def adviser():
    made = standin.AdviserServer()
    yield made
    made.server.stop()


@pytest.fixture
def pool():
    made = httpclient.make_pool(1)
    yield made
    made.clear()


def make_start(runner, ticket):
    address = f"127.0.0.1:{runner.server.port}"
    info = runner.worker.info._replace(address=address)
    return ports.StartOrder(info, "j.0.0.0", 1, "x", "", 9, 1, ticket)


def test_start_carries_its_ticket(runner, pool):
    runner.worker.tickets = {"good"}
    orders = workers.make_workers(pool)
    refusal = orders.start(make_start(runner, "stale"), 5_000)
    assert refusal is ports.Refusal.NO_TICKET
    assert orders.start(make_start(runner, "good"), 5_000) is None


def test_advice_names_the_step_and_gives_tickets(adviser, pool):
    advise = workers.make_advise(pool, adviser.url)
    answer = advise("j.0.1", ("i-1", "i-2"), 5_000)
    assert answer == ports.Recommendation({"i-1": "c81e-7a21d94b"}, 3_000)
    assert adviser.bodies == [{"step": "j.0.1", "workers": ["i-1", "i-2"]}]


def test_busy_service_gives_no_advice(adviser, pool):
    adviser.status = 429
    advise = workers.make_advise(pool, adviser.url)
    with pytest.raises(ports.AdviserSilentError, match="429"):
        advise("j.0.1", ("i-1",), 5_000)
