"""The HTTP interface to operators and health checks."""

from collections.abc import Callable
import threading
from typing import NamedTuple

from cyclamenshelf_daemon import cellowner
from cyclamenshelf_daemon import configuration
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import webserver


class OperatorContext(NamedTuple):
    """What the interface to operators is built on.

    Attributes:
        draining: Set while the host is about to stop.
        get_owner: Returns the cell owner if this process is it.
    """

    host_id: str
    configuration: configuration.Configuration
    host_list: hostlist.HostList
    draining: threading.Event
    get_owner: Callable[[], cellowner.CellOwner | None]


def make_handler(context: OperatorContext) -> webserver.Handler:
    """Return the HTTP handler for operators."""

    def check_health(request: webserver.Request) -> webserver.Response:
        return webserver.make_json(200, {})

    def check_readiness(request: webserver.Request) -> webserver.Response:
        status = 503 if context.draining.is_set() else 200
        return webserver.make_json(status, {})

    def show_status(request: webserver.Request) -> webserver.Response:
        owner = context.get_owner()
        return webserver.make_json(
            200,
            {
                "host": context.host_id,
                "configuration_version": context.configuration.lists.version,
                "owner_epoch": owner.tenure.epoch if owner else None,
                "workers_heard": len(owner.heard) if owner else None,
                "active_jobs": len(owner.jobs) if owner else None,
            },
        )

    return webserver.make_router(
        [
            ("GET", "/healthz", check_health),
            ("GET", "/readyz", check_readiness),
            ("GET", "/v1/status", show_status),
        ]
    )
