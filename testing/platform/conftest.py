"""Fixtures of the tests with host processes."""

import pytest
from testing.platform import clusters


@pytest.fixture
def cluster(tmp_path):
    created = clusters.Cluster(tmp_path)
    yield created
    for host in created.processes:
        host.kill()
        host.wait()
    created.pool.clear()
    for store in {created.store_server, *created.store_servers.values()}:
        store.server.stop()
    created.worker_server.server.stop()
