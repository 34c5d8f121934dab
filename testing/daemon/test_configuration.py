import pytest
from testing.daemon import faketable

from cyclamenshelf_daemon import configuration


@pytest.fixture
def fake():
    return faketable.FakeTable()


@pytest.fixture
def host(fake):
    store_lists(fake, 1)
    host = configuration.Configuration(fake.client, fake.clock)
    configuration.refresh(host)
    return host


def store_lists(fake, version, /, **overrides):
    plans, allowances = faketable.make_lists(version)
    value = {
        "version": version,
        "plans": plans,
        "allowances": allowances,
        "author": "ann",
        "time_ms": 0,
    }
    put = {"key": "config/current", "value": value | overrides}
    body = {"id": f"store-{version}", "puts": [put]}
    faketable.tableservice.apply_transaction(fake.table, body)


@pytest.mark.parametrize(
    "overrides", [{"plans": "accounts: ["}, {"plans": 1}, {"version": "3"}]
)
def test_stored_lists_that_do_not_parse_leave_the_old_ones_in_force(
    fake, host, overrides
):
    store_lists(fake, 2, **overrides)
    configuration.refresh(host)
    assert host.lists.version == 1
    assert host.rejected.problems
    store_lists(fake, 3)
    configuration.refresh(host)
    assert host.lists.version == 3
    assert host.rejected is None


def test_rejected_lists_leave_the_version_unconfirmed(fake, host):
    # The host's version is not the current one, so the confirmation must
    # expire.
    store_lists(fake, 2, plans="")
    fake.clock.sleep_ms(configuration.CONFIRM_BOUND_MS)
    configuration.refresh(host)
    assert not configuration.is_confirmed(host)


def test_delayed_response_does_not_revert_to_an_older_version(fake, host):
    store_lists(fake, 2)

    def refresh_with_newer_version():
        store_lists(fake, 3)
        configuration.refresh(host)

    fake.before_answer = refresh_with_newer_version
    configuration.refresh(host)
    assert host.lists.version == 3
    assert host.stored.version == 3


def test_confirmation_expires_while_the_store_is_unavailable(fake, host):
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


def test_confirmation_age_is_measured_from_when_the_read_is_sent(fake, host):
    # A delayed response does not confirm the version for the time it took.
    fake.before_answer = lambda: fake.clock.sleep_ms(70_000)
    configuration.refresh(host)
    assert not configuration.is_confirmed(host)


def test_waiting_for_a_version_wakes_the_polling_thread(fake, host):
    assert configuration.wait_for_version(host, 1, 0)
    assert not configuration.wait_for_version(host, 2, 100)
    assert host.wake.is_set()


def test_slow_parse_does_not_replace_a_newer_version(fake, host, monkeypatch):
    parse = configuration.list_files.parse_lists

    def parse_slowly(*arguments):
        monkeypatch.undo()
        store_lists(fake, 3)
        configuration.refresh(host)
        return parse(*arguments)

    store_lists(fake, 2)
    monkeypatch.setattr(configuration.list_files, "parse_lists", parse_slowly)
    configuration.refresh(host)
    assert host.lists.version == 3


def test_store_at_an_older_version_neither_reverts_nor_confirms(fake, host):
    store_lists(fake, 2)
    configuration.refresh(host)
    store_lists(fake, 1)
    fake.clock.sleep_ms(configuration.CONFIRM_BOUND_MS)
    configuration.refresh(host)
    assert host.lists.version == 2
    assert not configuration.is_confirmed(host)
