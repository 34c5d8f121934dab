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


def write(fake, base, weight, author="ann", fleet=FLEET, **options):
    guarantees = options.pop("guarantees", "[]")
    edit = configurationedit.Edit(
        base, *faketable.make_lists(weight, guarantees), author, **options
    )
    return configurationedit.write_lists(fake.client, fake.clock, fleet, edit)


def list_authors(fake):
    listed = configurationhistory.list_versions(fake.client, None, 100)
    return [(stored.version, stored.author) for stored in listed]


def test_write_keeps_author_and_time_in_a_history_row_of_eight_digits(fake):
    assert write(fake, 0, 1) == (1, True, 1, ())
    row = fake.table.rows["config/history/00000001"]
    assert row["value"] == fake.table.rows["config/current"]["value"]
    assert row["value"]["author"] == "ann"
    assert row["value"]["time_ms"] >= faketable.START_WALL_MS


def test_write_between_read_and_commit_is_a_conflict(fake):
    write(fake, 0, 1)
    fake.before_answer = lambda: write(fake, 1, 2, author="bob")
    with pytest.raises(errors.ConfigurationConflictError) as caught:
        write(fake, 1, 3)
    assert caught.value.author == "bob"
    assert list_authors(fake) == [(2, "bob"), (1, "ann")]


def test_edit_repeated_after_a_later_one_is_not_a_conflict(fake):
    # The link was cut before the answer, and another operator went on.
    write(fake, 0, 1)
    write(fake, 1, 2, author="bob")
    assert write(fake, 0, 1) == (1, False, 2, ())


def test_same_lists_of_another_author_are_not_taken_for_a_repeat(fake):
    write(fake, 0, 1)
    write(fake, 1, 2)
    with pytest.raises(errors.ConfigurationConflictError):
        write(fake, 0, 1, author="bob")


@pytest.mark.parametrize(
    ("script", "rest"),
    [
        (["ok", "lost"], "ok"),
        (["ok", "lost"] + ["dropped"] * 4, "ok"),
        (["ok", "held"], "ok"),
    ],
)
def test_lost_answer_of_a_write_is_resolved(fake, script, rest):
    write(fake, 0, 1)
    fake.script, fake.rest = script, rest
    assert write(fake, 1, 2) == (2, True, 2, ())
    fake.deliver_held()
    assert list_authors(fake) == [(2, "ann"), (1, "ann")]


def test_lost_answer_is_resolved_by_the_history_row(fake):
    # Every send of the write is lost, and the first one was applied.
    write(fake, 0, 1)
    fake.script, fake.rest = ["ok", "lost"], "dropped"
    sleep = fake.clock.sleep_ms

    def heal(duration_ms):
        sleep(duration_ms)
        if fake.now_ms > 7_000:
            fake.rest = "ok"

    clock = fake.clock._replace(sleep_ms=heal)
    fake.client = fake.client._replace(clock=clock)
    fake.clock = clock
    assert write(fake, 1, 2) == (2, True, 2, ())


def test_write_that_may_arrive_later_is_unknown_and_safe_to_repeat(fake):
    write(fake, 0, 1)
    fake.script, fake.rest = ["ok", "held"], "down"
    with pytest.raises(errors.CommandOutcomeUnknownError) as caught:
        write(fake, 1, 2)
    assert caught.value.run == errors.Run.UNKNOWN
    fake.rest = "ok"
    fake.deliver_held()
    assert write(fake, 1, 2).version == 2
    assert list_authors(fake) == [(2, "ann"), (1, "ann")]


def test_edit_whose_guarantees_do_not_fit_is_refused(fake):
    fleet = {"w0": FLEET["w0"]}
    with pytest.raises(errors.ListsRefusedError) as caught:
        write(fake, 0, 1, fleet=fleet, guarantees=RACK)
    assert "account shop" in caught.value.conflicts[0]
    assert fake.table.rows == {}


def test_known_guarantees_at_risk_do_not_stop_another_edit(fake):
    # A token has to be revocable while a rack is lost.
    write(fake, 0, 1, guarantees=RACK)
    fleet = {"w0": FLEET["w0"]}
    options = {"fleet": fleet, "allow_at_risk": True}
    written = write(fake, 1, 2, guarantees=RACK, **options)
    assert len(written.at_risk) == 1
    with pytest.raises(errors.ListsRefusedError):
        write(fake, 2, 2, guarantees=RACK.replace("2", "3"), **options)


def test_fleet_that_was_never_read_refuses_guarantees_as_unchecked(fake):
    with pytest.raises(errors.FleetUnknownError):
        write(fake, 0, 1, fleet=None, guarantees=RACK)
    assert write(fake, 0, 1, fleet=None).changed


def test_history_is_listed_in_pages(fake):
    for base in range(5):
        write(fake, base, base + 1)
    listed = configurationhistory.list_versions(fake.client, 4, 2)
    assert [stored.version for stored in listed] == [3, 2]
    with pytest.raises(errors.NotFoundError):
        configurationhistory.read_version(fake.client, 6)
