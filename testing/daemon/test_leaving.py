import pytest

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_daemon import leaving
from cyclamenshelf_daemon import routing
from cyclamenshelf_daemon import webserver
from cyclamenshelf_standin import hostservice


def test_own_announcement_takes_effect_at_once(make_fleet):
    fleet = make_fleet()
    state = fleet.add_backend("b0", leaving=True)
    assert fleet.route().status == 200
    with pytest.raises(errors.BackendFailedError) as refusal:
        fleet.route()
    assert refusal.value.run is errors.Run.NOT_RUN
    assert len(state.records) == 1
    assert routing.list_leaving(fleet.router) == ["b0"]


@pytest.mark.parametrize("slots", [1, 8])
def test_listed_as_leaving_gets_nothing_while_others_serve(make_fleet, slots):
    fleet = make_fleet(slots=slots)
    leaving_state, staying_state = (
        fleet.add_backend("b0"),
        fleet.add_backend("b1"),
    )
    fleet.update_host_list("b0", leaving=True)
    for _ in range(20):
        fleet.route()
    assert (len(leaving_state.records), len(staying_state.records)) == (0, 20)


@pytest.mark.parametrize(
    ("listings", "usable"),
    [
        ([("leaving", "1"), ("live", "1")], False),  # A stale list.
        ([("leaving", "1"), ("live", "2")], True),
        ([("live", "2")], True),  # Marked in an earlier incarnation.
        ([("leaving", ""), ("live", "")], True),
    ],
)
def test_server_is_used_again_under_a_new_incarnation(
    make_fleet, listings, usable
):
    fleet = make_fleet()
    fleet.add_backend("b0")
    fleet.update_host_list("b0", incarnation=listings[0][1] and "1")
    routing.mark_leaving(fleet.router, ["b0"])
    for state, incarnation in listings:
        fleet.update_host_list(
            "b0", leaving=state == "leaving", incarnation=incarnation
        )
    listed = fleet.host_list.hosts.backends["b0"]
    assert (
        leaving.is_marked(fleet.router.backends.leaving, listed) is not usable
    )


def test_marks_are_reported_with_their_incarnation(make_fleet):
    # Guards against a mark that arrives late and applies to the server's next
    # incarnation.
    sender, receiver = make_fleet(), make_fleet()
    sender.update_host_list("b0", "x", leaving=True, incarnation="1")
    marks = routing.list_leaving(sender.router)
    for incarnation, expected in (("1", True), ("2", False)):
        receiver.update_host_list("b0", "x", incarnation=incarnation)
        routing.mark_leaving(receiver.router, marks)
        listed = receiver.host_list.hosts.backends["b0"]
        marked = leaving.is_marked(receiver.router.backends.leaving, listed)
        assert marked is expected


def test_relayed_mark_without_incarnation_expires_and_is_not_relayed(
    make_fleet, manual_clock
):
    fleet = make_fleet(manual_clock)
    fleet.add_backend("b0")
    routing.mark_leaving(fleet.router, ["b0"])
    with pytest.raises(errors.BackendFailedError):
        fleet.route()
    assert routing.list_leaving(fleet.router) == []
    manual_clock.advance(leaving.RELAYED_MARK_MS)
    assert fleet.route().status == 200


def test_poll_of_the_host_list_reads_state_and_incarnation(manual_clock):
    hosts = hostservice.HostRegistry()
    entry = {
        "id": "b0",
        "kind": "backend",
        "state": "leaving",
        "address": "x",
        "service": "s",
        "slots": 8,
    }
    hosts.hosts = {"b0": entry, "b1": entry | {"id": "b1", "incarnation": 7}}
    server = webserver.start_server(
        "127.0.0.1", 0, hostservice.make_handler(hosts), threads=2
    )
    host_list = hostlist.HostList(
        httpclient.make_pool(),
        f"http://127.0.0.1:{server.port}",
        manual_clock.clock,
    )
    hostlist.refresh_hosts(host_list)
    server.stop()
    found = host_list.hosts.backends
    assert found["b0"].leaving and found["b0"].incarnation == ""
    assert found["b1"].incarnation == "7"
