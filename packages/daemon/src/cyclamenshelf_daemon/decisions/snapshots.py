"""The inputs of a cell owner's decision."""

import queue

from cyclamenshelf_core import errors
from cyclamenshelf_core import model
from cyclamenshelf_core import policy
from cyclamenshelf_core import workerhealth
from cyclamenshelf_daemon import attempts
from cyclamenshelf_daemon import ownerstate

_REQUEST_TIMEOUT_S = 2.0
_RETRY_AFTER_MS = 1_000


def make_snapshot(owner: ownerstate.CellOwner) -> policy.Snapshot:
    """Return the inputs of a decision; called in the owner's thread."""
    wall_ms = owner.context.clock.wall_ms()
    unix_offset_ms = wall_ms - owner.context.clock.now_ms()
    return policy.Snapshot(
        now_ms=wall_ms,
        lists=owner.context.get_lists(),
        workers={
            worker_id: worker
            for worker_id, worker in owner.workers.items()
            if worker_id in owner.responding_workers
            and worker_id not in owner.quarantined
            and not workerhealth.is_quarantined(
                owner.health, worker_id, owner.context.clock.now_ms()
            )
        },
        queued=sorted(
            (
                job
                for job in owner.jobs.values()
                if job.id not in owner.attempts
                and job.state is model.JobState.QUEUED
            ),
            key=lambda job: (job.accepted_ms, job.id),
        ),
        running={
            attempt.job.id: policy.RunningJob(
                attempt.job,
                attempt.job.placement,
                # An adopted attempt was started by an earlier owner.
                min(
                    attempt.job.started_ms or wall_ms,
                    attempt.tracked_since_ms + unix_offset_ms,
                )
                if attempt.phase is not attempts.Phase.STARTING
                else attempt.tracked_since_ms + unix_offset_ms,
                attempt.phase is attempts.Phase.STOPPING,
            )
            for attempt in owner.attempts.values()
        },
    )


def request_snapshot(owner: ownerstate.CellOwner) -> policy.Snapshot:
    """Return the inputs of the next decision, from any other thread.

    Raises:
        errors.HostBusyError: The owner's thread has not responded in time.
    """
    response: queue.SimpleQueue[policy.Snapshot] = queue.SimpleQueue()

    def respond() -> None:
        # Copies, as the next decision changes the state.
        snapshot = policy.add_state(owner.policy_state, make_snapshot(owner))
        response.put(
            snapshot._replace(
                usage=None if snapshot.usage is None else dict(snapshot.usage),
                claims=dict(snapshot.claims),
            )
        )

    owner.inbox.put(respond)
    try:
        return response.get(timeout=_REQUEST_TIMEOUT_S)
    except queue.Empty:
        raise errors.HostBusyError(
            "the cell owner has not responded in time",
            retry_after_ms=_RETRY_AFTER_MS,
        ) from None
