import pytest
from testing.daemon import faketable

from cyclamenshelf_daemon import configuration


@pytest.fixture
def fake():
    return faketable.FakeTable()


@pytest.fixture
def host(fake):
    store(fake, 1)
    host = configuration.Configuration(fake.client, fake.clock)
    configuration.refresh(host)
    return host


def store(fake, version, /, **fields):
    plans, allowances = faketable.make_lists(version)
    value = {
        "version": version,
        "plans": plans,
        "allowances": allowances,
        "author": "ann",
        "time_ms": 0,
    }
    put = {"key": "config/current", "value": value | fields}
    body = {"id": f"store-{version}", "puts": [put]}
    faketable.tableservice.apply_transaction(fake.table, body)


@pytest.mark.parametrize(
    "fields", [{"plans": "accounts: ["}, {"plans": 1}, {"version": "3"}]
)
def test_stored_lists_that_do_not_parse_keep_the_good_ones(fake, host, fields):
    store(fake, 2, **fields)
    configuration.refresh(host)
    assert host.lists.version == 1
    assert host.rejected.problems
    store(fake, 3)
    configuration.refresh(host)
    assert host.lists.version == 3
    assert host.rejected is None


def test_rejected_lists_leave_the_version_unconfirmed(fake, host):
    # The host's version is not the current one, so the bound has to run out.
    store(fake, 2, plans="")
    fake.clock.sleep_ms(configuration.CONFIRM_BOUND_MS)
    configuration.refresh(host)
    assert not configuration.is_confirmed(host)


def test_older_answer_that_arrives_last_changes_nothing(fake, host):
    store(fake, 2)

    def overtake():
        store(fake, 3)
        configuration.refresh(host)

    fake.before_answer = overtake
    configuration.refresh(host)
    assert host.lists.version == 3
    assert host.stored.version == 3


def test_store_down_past_the_bound_ends_the_confirmation(fake, host):
    fake.rest = "down"
    fake.clock.sleep_ms(configuration.CONFIRM_BOUND_MS - 10)
    configuration.refresh(host)
    assert configuration.is_confirmed(host)
    fake.clock.sleep_ms(10)
    configuration.refresh(host)
    assert not configuration.is_confirmed(host)
    assert host.lists.version == 1
    fake.rest = "ok"
    configuration.refresh(host)
    assert configuration.is_confirmed(host)


def test_confirmation_counts_from_before_the_read(fake, host):
    # An answer that waited says nothing about the time it waited.
    fake.before_answer = lambda: fake.clock.sleep_ms(70_000)
    configuration.refresh(host)
    assert not configuration.is_confirmed(host)


def test_waiting_for_a_version_asks_for_a_read_at_once(fake, host):
    assert configuration.wait_for_version(host, 1, 0)
    assert not configuration.wait_for_version(host, 2, 100)
    assert host.wake.is_set()


def test_version_that_overtakes_a_slow_parse_stays(fake, host, monkeypatch):
    parse = configuration.list_files.parse_lists

    def parse_slowly(*arguments):
        monkeypatch.undo()
        store(fake, 3)
        configuration.refresh(host)
        return parse(*arguments)

    store(fake, 2)
    monkeypatch.setattr(configuration.list_files, "parse_lists", parse_slowly)
    configuration.refresh(host)
    assert host.lists.version == 3


def test_store_that_went_back_neither_reverts_nor_confirms(fake, host):
    store(fake, 2)
    configuration.refresh(host)
    store(fake, 1)
    fake.clock.sleep_ms(configuration.CONFIRM_BOUND_MS)
    configuration.refresh(host)
    assert host.lists.version == 2
    assert not configuration.is_confirmed(host)
