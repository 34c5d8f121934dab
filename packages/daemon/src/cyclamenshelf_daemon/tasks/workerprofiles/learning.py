"""Updates of what the owner has learned, with its log line and metrics."""

from cyclamenshelf_core.workerprofiles import speeds
from cyclamenshelf_daemon import logs
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
