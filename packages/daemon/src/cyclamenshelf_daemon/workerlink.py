"""One thread per worker: renews its task leases and reports its tasks."""

from collections.abc import Callable
import threading
from typing import NamedTuple

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import model
from cyclamenshelf_core import renewal
from cyclamenshelf_core import tenure as lease_times
from cyclamenshelf_daemon import celllease
from cyclamenshelf_daemon import supervision
from cyclamenshelf_daemon import workerclient

_RETRY_INTERVAL_MS = 500
MAX_GRANT_MS = renewal.MAX_LEASE_MS + lease_times.compute_margin(
    renewal.MAX_LEASE_MS
)


class Renewals(NamedTuple):
    """The tasks of one worker whose leases are renewed.

    Attributes:
        newest_started_ms: When the newest of the tasks was started.
        reports_needed: Whether to request reports at the shortest interval,
            whatever is renewed.
    """

    task_ids: tuple[str, ...] = ()
    newest_started_ms: int = 0
    reports_needed: bool = False


class WorkerLink:
    """The connection of a cell owner to one worker.

    Attributes:
        renewals: Replaced, never mutated, by the owner's thread.
        granted_until_ms: Time by which every task lease that this owner, or
            an earlier one, granted on this worker expires unless renewed.
        unresponsive: Whether the last renewal got no response.
        renewed_at_ms: When the last successful renewal was sent.
        renewed_task_ids: The tasks of the last successful renewal.
    """

    def __init__(
        self,
        worker: model.Worker,
        client: workerclient.WorkerClient,
        clock: clocks.Clock,
        tenure: celllease.Tenure,
    ) -> None:
        self.worker = worker
        self.client = client
        self.clock = clock
        self.tenure = tenure
        self.renewals = Renewals()
        self.granted_until_ms = clock.now_ms() + MAX_GRANT_MS
        self.unresponsive = False
        self.renewed_at_ms = 0
        self.renewed_task_ids: tuple[str, ...] = ()
        self.wake = threading.Event()
        self.stopped = threading.Event()


class LinkCallbacks(NamedTuple):
    """Callbacks of a link.

    Attributes:
        on_tasks: Called with the worker id, the time its renewal was sent
            and its tasks by id.
        on_unresponsive: Called with the worker id when a renewal fails.
        on_fenced: Called when the worker has received a newer epoch, or the
            thread of the link has failed.
    """

    on_tasks: Callable[[str, int, dict[str, workerclient.TaskReport]], None]
    on_unresponsive: Callable[[str], None]
    on_fenced: Callable[[], None]


def start_link(link: WorkerLink, callbacks: LinkCallbacks) -> None:
    """Start the thread of a link.

    Its first message makes the worker reject commands of older epochs.
    """
    threading.Thread(
        target=_run_link,
        args=(link, callbacks),
        name=f"worker-{link.worker.id}",
        daemon=True,
    ).start()


def stop_link(link: WorkerLink) -> None:
    """End the thread of a link; task leases are no longer renewed."""
    link.stopped.set()
    link.wake.set()


def update_renewals(link: WorkerLink, renewals: Renewals) -> None:
    """Set the tasks to renew.

    Renews at once if a task was added or reports are needed from now on.
    """
    added = set(renewals.task_ids) - set(link.renewals.task_ids)
    reports_needed = (
        renewals.reports_needed and not link.renewals.reports_needed
    )
    link.renewals = renewals
    if added or reports_needed:
        link.wake.set()


def record_grant(link: WorkerLink, lease_ms: int) -> None:
    """Record a lease; must be called before the lease is sent."""
    expires_ms = link.clock.now_ms() + _add_margin(lease_ms)
    link.granted_until_ms = max(link.granted_until_ms, expires_ms)


def _run_link(link: WorkerLink, callbacks: LinkCallbacks) -> None:
    if not supervision.run_logged(
        "link_failed", _run_renewal_loop, link, callbacks
    ):
        callbacks.on_fenced()


def _run_renewal_loop(link: WorkerLink, callbacks: LinkCallbacks) -> None:
    while not link.stopped.is_set():
        link.wake.clear()
        interval_ms = _send_renewal(link, callbacks)
        link.wake.wait(interval_ms / 1000)


def _send_renewal(link: WorkerLink, callbacks: LinkCallbacks) -> int:
    """Send one renewal; return the time until the next in milliseconds.

    A request to an unresponsive worker renews no leases and only reads its
    tasks. Such a request may still arrive, so granting leases in it would
    postpone without end the time by which its tasks must have stopped.
    """
    probing = link.unresponsive
    renewals = Renewals() if probing else link.renewals
    interval_ms = renewal.MAX_INTERVAL_MS
    if renewals.task_ids:
        age_ms = link.clock.now_ms() - renewals.newest_started_ms
        interval_ms = renewal.choose_interval(age_ms)
    if renewals.reports_needed:
        interval_ms = renewal.MIN_INTERVAL_MS
    lease_ms = renewal.choose_lease(interval_ms, link.tenure.ttl_ms)
    if renewals.task_ids:
        record_grant(link, lease_ms)
    sent_at_ms = link.clock.now_ms()
    try:
        tasks = workerclient.renew_leases(
            link.client, link.worker, renewals.task_ids, lease_ms
        )
    except errors.FencedError:
        link.stopped.set()
        callbacks.on_fenced()
        return 0
    except errors.WorkerError:
        link.unresponsive = True
        callbacks.on_unresponsive(link.worker.id)
        return _RETRY_INTERVAL_MS
    link.unresponsive = False
    link.renewed_at_ms, link.renewed_task_ids = sent_at_ms, renewals.task_ids
    if _list_running(tasks) <= set(renewals.task_ids):
        # No task has a longer lease that an earlier owner granted.
        link.granted_until_ms = link.clock.now_ms() + _add_margin(lease_ms)
    callbacks.on_tasks(link.worker.id, sent_at_ms, tasks)
    return 0 if probing else interval_ms


def _add_margin(lease_ms: int) -> int:
    return lease_ms + lease_times.compute_margin(lease_ms)


def _list_running(tasks: dict[str, workerclient.TaskReport]) -> set[str]:
    return {
        task.id
        for task in tasks.values()
        if task.state in ("reserved", "running")
    }
