import pytest

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import httpclient
from cyclamenshelf_standin import platform as platforms


@pytest.fixture
def platform():
    running = platforms.start_platform(workers=2, backends=1)
    yield running
    platforms.stop_platform(running)


@pytest.fixture
def host_list(platform):
    return hostlist.HostList(
        httpclient.make_pool(),
        platform.hosts_url,
        clocks.make_system_clock(),
    )


def test_change_is_read_after_a_304_response(platform, host_list):
    # The entity tag of an unchanged list must not hide later changes.
    hostlist.refresh_hosts(host_list)
    first = host_list.hosts
    hostlist.refresh_hosts(host_list)
    assert host_list.hosts is first
    platform.hosts.hosts["b0"]["state"] = "leaving"
    hostlist.refresh_hosts(host_list)
    assert host_list.hosts.backends["b0"].leaving


def test_last_list_stays_in_force_while_the_service_is_down(
    platform, host_list
):
    # An outage of the service must not remove workers.
    hostlist.refresh_hosts(host_list)
    platform.hosts_faults.update({"down": True})
    hostlist.refresh_hosts(host_list)
    assert set(host_list.hosts.workers) == {"w0", "w1"}


@pytest.mark.parametrize(
    "field",
    [
        {"accelerators": "many"},
        {"accelerators": -1},
        {"address": 7},
        {"rack": None},
        {"kind": ["worker"]},
    ],
)
def test_odd_entry_leaves_the_others_and_its_host_as_they_were(
    platform, host_list, field
):
    # One malformed entry kept the whole list from being read.
    hostlist.refresh_hosts(host_list)
    first = host_list.hosts
    platform.hosts.hosts["odd"] = {"id": 5, "kind": "worker"}
    platform.hosts.hosts["w0"] |= field
    platform.hosts.hosts["b0"]["state"] = "leaving"
    hostlist.refresh_hosts(host_list)
    assert host_list.hosts.backends["b0"].leaving
    assert host_list.hosts.workers == first.workers
