"""Updates of what the owner has learned, with its log line and metrics."""

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.workerprofiles import speeds
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import ownerstate

_UPDATE_INTERVAL_MS = 2_000
# The interval as a multiple of the time that an update takes, which is tens of
# milliseconds on a large fleet.
_PAUSE_FACTOR = 300


def learn_if_due(owner: ownerstate.Owner) -> None:
    """Update the workers' speeds if there are new samples."""
    profiles = owner.ledger.speeds
    now_ms = owner.context.clock.now_ms()
    if not profiles.changed or now_ms < owner.learn_after_ms:
        return
    before = speeds.count_known(profiles)
    speeds.update(profiles)
    known = speeds.count_known(profiles)
    ended_ms = owner.context.clock.now_ms()
    owner.learn_after_ms = ended_ms + max(
        _UPDATE_INTERVAL_MS, _PAUSE_FACTOR * (ended_ms - now_ms)
    )
    metrics.replace_gauges(
        owner.context.registry, "known_workers", "speed", known._asdict()
    )
    if known != before:
        logs.log_event(
            "worker_speeds_learned",
            fast=known.fast,
            typical=known.typical,
            slow=known.slow,
            workers=len(owner.workers),
        )


def clear_metric(registry: metrics.Metrics) -> None:
    """Remove the gauges; the next owner reports them on its own host."""
    metrics.replace_gauges(registry, "known_workers", "speed", {})


def is_off_rack(
    owner: ownerstate.Owner, job: taskjobs.TaskJob, start: planstate.Start
) -> bool:
    """Return whether a start is off the rack that its step prefers; count it.

    That is the rack of its data, or any single rack for a gang of one rack.
    """
    step = job.steps[start.group.step]
    racks = {
        owner.workers[worker_id].info.rack
        for _, worker_id in start.placements
        if worker_id in owner.workers
    }
    off_rack = bool(step.data_rack) and racks != {step.data_rack}
    if step.gang and step.same_rack and len(racks) > 1:
        off_rack = True
    if off_rack:
        metrics.count_event(
            owner.context.registry,
            "off_rack_tasks",
            len(start.placements),
            priority=str(job.priority),
        )
    return off_rack
