"""Threads whose duty lasts as long as the process survive any exception."""

import threading

import pytest
from testing.daemon import faketable
from testing.daemon.tasks import conftest as tasks

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon import configuration
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import supervision


def test_repeated_call_goes_on_after_an_exception(monkeypatch):
    monkeypatch.setattr(supervision, "_FAILURE_PAUSE_MS", 0)
    stopping, calls = threading.Event(), []

    def call():
        calls.append(None)
        if len(calls) == 3:
            stopping.set()
        raise RecursionError

    supervision.run_until_stopped("call_failed", stopping, call)
    assert len(calls) == 3


@pytest.mark.parametrize(
    ("module", "function", "start"),
    [
        (hostlist, "refresh_hosts", hostlist.start_polling),
        (configuration, "refresh", configuration.start_polling),
    ],
)
def test_polling_goes_on_after_an_exception(
    monkeypatch, module, function, start
):
    # The thread ended with the exception, and the host used the lists that it
    # had read last for as long as it ran.
    monkeypatch.setattr(supervision, "_FAILURE_PAUSE_MS", 0)
    monkeypatch.setattr(module, "_POLL_INTERVAL_MS", 10)
    calls = []

    def refresh(polled):
        calls.append(None)
        if len(calls) == 2:
            raise RecursionError

    monkeypatch.setattr(module, function, refresh)
    fake = faketable.FakeTable()
    polled = {
        hostlist: hostlist.HostList(
            httpclient.make_pool(), "http://unused", clocks.make_system_clock()
        ),
        configuration: configuration.Configuration(fake.client, fake.clock),
    }[module]
    start(polled)
    tasks.wait_until(lambda: len(calls) > 2, "another poll")
