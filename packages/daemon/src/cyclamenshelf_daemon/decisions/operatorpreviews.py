"""Operator request that tells where a job would go, without submitting it."""

from typing import Any

from cyclamenshelf_core import errors
from cyclamenshelf_core import model
from cyclamenshelf_core.preview import jobpreview
from cyclamenshelf_daemon import acceptance
from cyclamenshelf_daemon import operatorcontext
from cyclamenshelf_daemon import operatorjobs
from cyclamenshelf_daemon import webserver
from cyclamenshelf_daemon.decisions import snapshots

# Distinguishes the job from every submitted one, whose id starts with "j-".
_PREVIEW_KEY = "preview"


def preview_job(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return what the cell owner would do with a job now; nothing is stored.

    Raises:
        errors.InvalidFieldError: The body does not describe a job.
        errors.NotFoundError: The account is not listed.
        errors.NotOwnerError: Another host owns the cell.
        errors.HostBusyError: The cell owner did not respond in time.
    """
    body = operatorcontext.read_body(request, {"account": str, "job": dict})
    account = body["account"]
    lists = context.configuration.lists
    if account not in lists.accounts:
        raise errors.NotFoundError(f"no client account {account[:80]}")
    job = acceptance.make_job(
        context.cell,
        account,
        _PREVIEW_KEY,
        body["job"],
        context.clock.wall_ms(),
    )._replace(id=_PREVIEW_KEY)
    owner = operatorjobs.get_leaseholding_owner(context)
    if owner is None:
        raise operatorjobs.make_not_owner_error(context)
    try:
        acceptance.check_shape_fits(
            lists, context.host_list.hosts.workers, account, job.spec.shape
        )
    except errors.NeverFitsError as refusal:
        return _make_response(context, account, "refuse", refusal)
    snapshot = snapshots.request_snapshot(owner)
    found = jobpreview.preview_job(snapshot, job)
    limit = model.get_plan(lists, account).max_queued_jobs
    if found.queued >= limit:
        refusal = errors.QueueFullError(
            f"{found.queued} jobs are queued; the plan allows at most {limit}"
        )
        return _make_response(context, account, "refuse", refusal)
    return _make_response(
        context,
        account,
        found.outcome,
        found.reason,
        placement=[part._asdict() for part in found.placement],
        preempted=list(found.preempted),
        queued=found.queued,
    )


def _make_response(
    context: operatorcontext.OperatorContext,
    account: str,
    outcome: str,
    reason: str | errors.RequestRefusedError,
    **details: Any,
) -> webserver.Response:
    if isinstance(reason, errors.RequestRefusedError):
        reason = f"{reason.code}: {reason}"
    return webserver.make_json(
        200,
        {
            "account": account,
            "outcome": outcome,
            "reason": reason,
            "placement": [],
            "preempted": [],
            "queued": None,
            "host": context.host_id,
        }
        | details,
    )


ROUTES: list[operatorcontext.Route] = [
    ("POST", "/v1/jobs:preview", preview_job),
]
