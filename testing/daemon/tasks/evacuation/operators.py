"""Operators that ask to empty data centres and take them back."""

from cyclamenshelf_daemon.tasks import ports
from cyclamenshelf_daemon.tasks.evacuation import requests

TABLE = "op"
BOUND_MS = 5_000
_PREFIX = "empty."


def evacuate(fake_store, data_centre):
    fake_store.put(TABLE, _PREFIX + data_centre, b"{}")


def take_back(fake_store, data_centre):
    key = ports.RowKey(TABLE, _PREFIX + data_centre)
    fake_store.commit(ports.Transaction({}, {}, (key,)), 1_000)


def make_requests(copy, clock, bound_ms=BOUND_MS):
    """Return the requests in a copy of the operators' table."""

    def decode(row):
        prefix, _, data_centre = row.key.key.rpartition(".")
        return data_centre if prefix else None

    return requests.Requests(copy, decode, clock, bound_ms)
