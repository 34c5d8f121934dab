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
LONGEST_GRANT_MS = renewal.MAX_LEASE_MS + lease_times.compute_margin(
    renewal.MAX_LEASE_MS
)


class Renewals(NamedTuple):
    """The tasks of one worker to renew, and the start of the youngest.

    Attributes:
        awaited: Whether reports are wanted soon, whatever is renewed.
    """

    task_ids: tuple[str, ...] = ()
    youngest_started_ms: int = 0
    awaited: bool = False


class WorkerLink:
    """The connection of a cell owner to one worker.

    Attributes:
        renewals: Replaced, never changed, by the owner's thread.
        granted_until_ms: Time by which every task lease that this owner, or
            an earlier one, gave this worker has lapsed, unless renewed.
        silent: Whether the last renewal went unanswered.
        renewed_at_ms: When the last renewal that was answered was sent.
        renewed: The tasks that it renewed.
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
        self.granted_until_ms = clock.now_ms() + LONGEST_GRANT_MS
        self.silent = False
        self.renewed_at_ms = 0
        self.renewed: tuple[str, ...] = ()
        self.wake = threading.Event()
        self.stopped = threading.Event()


class Reports(NamedTuple):
    """Where a link sends what it learns.

    Attributes:
        on_tasks: Called with the worker id, the time its renewal was sent
            and its tasks by id.
        on_silent: Called with the worker id when a renewal fails.
        on_fenced: Called when the worker has seen a newer epoch, or the link
            cannot go on.
    """

    on_tasks: Callable[[str, int, dict[str, workerclient.TaskReport]], None]
    on_silent: Callable[[str], None]
    on_fenced: Callable[[], None]


def start_link(link: WorkerLink, reports: Reports) -> None:
    """Start the thread of a link; its first message fences older epochs."""
    threading.Thread(
        target=_run_link,
        args=(link, reports),
        name=f"worker-{link.worker.id}",
        daemon=True,
    ).start()


def stop_link(link: WorkerLink) -> None:
    """End the thread of a link; task leases are no longer renewed."""
    link.stopped.set()
    link.wake.set()


def update_renewals(link: WorkerLink, renewals: Renewals) -> None:
    """Set the tasks to renew; a new task is renewed at once."""
    added = set(renewals.task_ids) - set(link.renewals.task_ids)
    awaited = renewals.awaited and not link.renewals.awaited
    link.renewals = renewals
    if added or awaited:
        link.wake.set()


def note_grant(link: WorkerLink, lease_ms: int) -> None:
    """Record, before it is sent, that a lease is granted."""
    until = link.clock.now_ms() + _add_margin(lease_ms)
    link.granted_until_ms = max(link.granted_until_ms, until)


def _run_link(link: WorkerLink, reports: Reports) -> None:
    if not supervision.run_logged("link_failed", _keep_renewing, link, reports):
        reports.on_fenced()


def _keep_renewing(link: WorkerLink, reports: Reports) -> None:
    while not link.stopped.is_set():
        link.wake.clear()
        interval_ms = _renew(link, reports)
        link.wake.wait(interval_ms / 1000)


def _renew(link: WorkerLink, reports: Reports) -> int:
    """Send one renewal and return the time to the next.

    A silent worker is only asked for its tasks. To grant leases in messages
    that may arrive, or not, would put off for ever the time from which its
    tasks are known to have ended.
    """
    probing = link.silent
    renewals = Renewals() if probing else link.renewals
    interval_ms = renewal.MAX_INTERVAL_MS
    if renewals.task_ids:
        age_ms = link.clock.now_ms() - renewals.youngest_started_ms
        interval_ms = renewal.choose_interval(age_ms)
    if renewals.awaited:
        interval_ms = renewal.MIN_INTERVAL_MS
    lease_ms = renewal.choose_lease(interval_ms, link.tenure.ttl_ms)
    if renewals.task_ids:
        note_grant(link, lease_ms)
    sent_at_ms = link.clock.now_ms()
    try:
        tasks = workerclient.renew_leases(
            link.client, link.worker, renewals.task_ids, lease_ms
        )
    except errors.FencedError:
        link.stopped.set()
        reports.on_fenced()
        return 0
    except errors.WorkerError:
        link.silent = True
        reports.on_silent(link.worker.id)
        return _RETRY_INTERVAL_MS
    link.silent = False
    link.renewed_at_ms, link.renewed = sent_at_ms, renewals.task_ids
    if _list_running(tasks) <= set(renewals.task_ids):
        # No task holds a longer lease that an earlier owner gave.
        link.granted_until_ms = link.clock.now_ms() + _add_margin(lease_ms)
    reports.on_tasks(link.worker.id, sent_at_ms, tasks)
    return 0 if probing else interval_ms


def _add_margin(lease_ms: int) -> int:
    return lease_ms + lease_times.compute_margin(lease_ms)


def _list_running(tasks: dict[str, workerclient.TaskReport]) -> set[str]:
    return {
        task.id
        for task in tasks.values()
        if task.state in ("reserved", "running")
    }
