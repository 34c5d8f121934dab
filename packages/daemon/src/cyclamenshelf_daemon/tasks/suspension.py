"""Why the owner makes no decision."""

import enum

from cyclamenshelf_daemon.tasks import ownership
from cyclamenshelf_daemon.tasks import ownerstate
from cyclamenshelf_daemon.tasks.evacuation import requests


class Suspension(enum.StrEnum):
    """Why the owner may not start anything now."""

    LEASE_UNPROVED = "lease_unproved"
    WORKERS_UNCONFIRMED = "workers_unconfirmed"
    # Operators may have asked to empty a data centre since the last reading.
    EVACUATIONS_UNCONFIRMED = "evacuations_unconfirmed"
    # The list of workers has not been read yet.
    WORKERS_UNREAD = "workers_unread"
    # A new owner waits for the responses of the workers.
    SETTLING = "settling"


def find_obstacle(owner: ownerstate.Owner) -> Suspension | None:
    """Return why the owner may not start anything, or None if it may."""
    if not ownership.is_lease_valid(owner.tenure, owner.context.clock):
        return Suspension.LEASE_UNPROVED
    if not ownerstate.is_worker_list_current(owner):
        return Suspension.WORKERS_UNCONFIRMED
    if not requests.are_current(owner.context.evacuations):
        return Suspension.EVACUATIONS_UNCONFIRMED
    return None


def is_settling(owner: ownerstate.Owner, now_ms: int) -> bool:
    """Return whether a new owner waits for the responses of the workers."""
    return now_ms < owner.settle_until_ms and any(
        worker.last_response_ms is None for worker in owner.workers.values()
    )


def find_suspension(owner: ownerstate.Owner, now_ms: int) -> Suspension | None:
    """Return why the owner makes no decision, or None if it makes them."""
    if owner.listed_workers is None:
        return Suspension.WORKERS_UNREAD
    obstacle = find_obstacle(owner)
    if obstacle is None and is_settling(owner, now_ms):
        return Suspension.SETTLING
    return obstacle
