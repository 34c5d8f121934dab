"""Updates of what the owner has learned, with its log line and metrics."""

from cyclamenshelf_core import planstate
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core.workerprofiles import speeds
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import metrics
from cyclamenshelf_daemon.tasks import ownerstate

# An update takes some milliseconds, however many samples have come.
_UPDATE_INTERVAL_MS = 2_000


def learn_if_due(owner: ownerstate.Owner) -> None:
    """Update the workers' speeds if there are new samples."""
    profiles = owner.ledger.speeds
    now_ms = owner.context.clock.now_ms()
    if not profiles.changed or now_ms < owner.learned_ms + _UPDATE_INTERVAL_MS:
        return
    owner.learned_ms = now_ms
    before = speeds.count_known(profiles)
    speeds.update(profiles)
    known = speeds.count_known(profiles)
    if known != before:
        logs.log_event(
            "worker_speeds_learned",
            fast=known.fast,
            typical=known.typical,
            slow=known.slow,
            workers=len(owner.workers),
        )


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
