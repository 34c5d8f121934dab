import pytest
from testing.daemon import faketable

from cyclamenshelf_core import errors
from cyclamenshelf_core import model
from cyclamenshelf_daemon import configurationedit
from cyclamenshelf_daemon import configurationhistory

RACK = "[{workers: 2, accelerators: 8, within: rack}]"
FLEET = {
    name: model.Worker(name, "", "dc0", "r0", 8) for name in ("w0", "w1", "w2")
}


@pytest.fixture
def fake():
    return faketable.FakeTable()


def write_edit(
    fake, base_version, weight, author="ann", fleet=FLEET, **options
):
    guarantees = options.pop("guarantees", "[]")
    edit = configurationedit.Edit(
        base_version,
        *faketable.make_lists(weight, guarantees),
        author,
        **options,
    )
    return configurationedit.write_lists(fake.client, fake.clock, fleet, edit)


def list_authors(fake):
    listed = configurationhistory.list_versions(fake.client, None, 100)
    return [(stored.version, stored.author) for stored in listed]


def test_write_stores_author_and_time_under_a_padded_history_key(fake):
    assert write_edit(fake, 0, 1) == (1, True, 1, ())
    row = fake.table.rows["config/history/00000001"]
    assert row["value"] == fake.table.rows["config/current"]["value"]
    assert row["value"]["author"] == "ann"
    assert row["value"]["time_ms"] >= faketable.START_WALL_MS


def test_write_between_read_and_commit_is_a_conflict(fake):
    write_edit(fake, 0, 1)
    fake.before_answer = lambda: write_edit(fake, 1, 2, author="bob")
    with pytest.raises(errors.ConfigurationConflictError) as caught:
        write_edit(fake, 1, 3)
    assert caught.value.author == "bob"
    assert list_authors(fake) == [(2, "bob"), (1, "ann")]


def test_edit_repeated_after_a_later_one_is_not_a_conflict(fake):
    # The response to the first edit was lost, and another operator wrote the
    # next version before the edit was repeated.
    write_edit(fake, 0, 1)
    write_edit(fake, 1, 2, author="bob")
    assert write_edit(fake, 0, 1) == (1, False, 2, ())


def test_same_lists_of_another_author_are_not_a_repeated_edit(fake):
    write_edit(fake, 0, 1)
    write_edit(fake, 1, 2)
    with pytest.raises(errors.ConfigurationConflictError):
        write_edit(fake, 0, 1, author="bob")


@pytest.mark.parametrize(
    ("script", "rest"),
    [
        (["ok", "lost"], "ok"),
        (["ok", "lost"] + ["dropped"] * 4, "ok"),
        (["ok", "held"], "ok"),
    ],
)
def test_lost_response_to_a_write_is_resolved(fake, script, rest):
    write_edit(fake, 0, 1)
    fake.script, fake.rest = script, rest
    assert write_edit(fake, 1, 2) == (2, True, 2, ())
    fake.deliver_held()
    assert list_authors(fake) == [(2, "ann"), (1, "ann")]


def test_lost_response_is_resolved_by_the_history_row(fake):
    # The first attempt of the write is applied, but its response and all
    # retries are lost.
    write_edit(fake, 0, 1)
    fake.script, fake.rest = ["ok", "lost"], "dropped"
    sleep = fake.clock.sleep_ms

    def sleep_and_restore_link(duration_ms):
        sleep(duration_ms)
        if fake.now_ms > 7_000:
            fake.rest = "ok"

    clock = fake.clock._replace(sleep_ms=sleep_and_restore_link)
    fake.client = fake.client._replace(clock=clock)
    fake.clock = clock
    assert write_edit(fake, 1, 2) == (2, True, 2, ())


def test_write_that_may_arrive_later_is_unknown_and_safe_to_repeat(fake):
    write_edit(fake, 0, 1)
    fake.script, fake.rest = ["ok", "held"], "down"
    with pytest.raises(errors.CommandOutcomeUnknownError) as caught:
        write_edit(fake, 1, 2)
    assert caught.value.run == errors.Run.UNKNOWN
    fake.rest = "ok"
    fake.deliver_held()
    assert write_edit(fake, 1, 2).version == 2
    assert list_authors(fake) == [(2, "ann"), (1, "ann")]


def test_edit_whose_guarantees_do_not_fit_is_refused(fake):
    fleet = {"w0": FLEET["w0"]}
    with pytest.raises(errors.ListsRefusedError) as caught:
        write_edit(fake, 0, 1, fleet=fleet, guarantees=RACK)
    assert "account shop" in caught.value.conflicts[0]
    assert fake.table.rows == {}


def test_unchanged_guarantees_at_risk_do_not_block_an_edit(fake):
    # Operators must be able to revoke a token while a rack is unavailable.
    write_edit(fake, 0, 1, guarantees=RACK)
    fleet = {"w0": FLEET["w0"]}
    options = {"fleet": fleet, "allow_at_risk": True}
    written = write_edit(fake, 1, 2, guarantees=RACK, **options)
    assert len(written.at_risk) == 1
    with pytest.raises(errors.ListsRefusedError):
        write_edit(fake, 2, 2, guarantees=RACK.replace("2", "3"), **options)


def test_guarantees_are_refused_until_the_host_list_is_read(fake):
    with pytest.raises(errors.FleetUnknownError):
        write_edit(fake, 0, 1, fleet=None, guarantees=RACK)
    assert write_edit(fake, 0, 1, fleet=None).changed


def test_history_is_listed_in_pages(fake):
    for base_version in range(5):
        write_edit(fake, base_version, base_version + 1)
    listed = configurationhistory.list_versions(fake.client, 4, 2)
    assert [stored.version for stored in listed] == [3, 2]
    with pytest.raises(errors.NotFoundError):
        configurationhistory.read_version(fake.client, 6)
