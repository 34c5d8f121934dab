"""Operator requests that read this host, the fleet and the accounts."""

from typing import Any

from cyclamenshelf_core import burn
from cyclamenshelf_core import errors
from cyclamenshelf_core import guaranteereport
from cyclamenshelf_core import model
from cyclamenshelf_daemon import configuration
from cyclamenshelf_daemon import endedjobs
from cyclamenshelf_daemon import operatorcontext
from cyclamenshelf_daemon import operatorjobs
from cyclamenshelf_daemon import quarantinerows
from cyclamenshelf_daemon import webserver

_MAX_VERSION = 99_999_999
_MAX_WAIT_MS = 10_000
_RETRY_AFTER_MS = 2_000


def show_status(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return the state of this host, without reading the store.

    With `version` and `wait_ms`, first wait up to `wait_ms` until that
    configuration version is in force.
    """
    version = operatorcontext.read_query_number(
        request, "version", 0, _MAX_VERSION
    )
    wait_ms = operatorcontext.read_query_number(
        request, "wait_ms", 0, _MAX_WAIT_MS
    )
    configuration.wait_for_version(
        context.configuration, version or 0, wait_ms or 0
    )
    return webserver.make_json(
        200,
        {
            "host": context.host_id,
            "cell": context.cell,
            "state": "draining" if context.draining.is_set() else "serving",
        }
        | _describe_configuration(context)
        | _describe_owner(context)
        | {
            "members": context.get_members(),
            "listed_workers": len(context.host_list.hosts.workers),
            "host_list_age_ms": _get_host_list_age(context),
        },
    )


def show_peers(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return the other entry hosts and the counters of peer messages."""
    return webserver.make_json(
        200,
        {
            "members": context.get_members(),
            "counters": context.get_peer_counters(),
        },
    )


def show_burn(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return the error budget burn of each plan over the budget period."""
    now_ms = context.clock.wall_ms()
    lists = context.configuration.lists
    try:
        ended = list(
            endedjobs.list_ended_jobs(
                context.table,
                context.cell,
                now_ms - burn.BUDGET_PERIOD_MS,
                now_ms,
            )
        )
    except errors.StoreUnavailableError as error:
        raise errors.StoreDownError(
            str(error), retry_after_ms=_RETRY_AFTER_MS
        ) from error

    def get_plan_name(account: str) -> str:
        listed = lists.accounts.get(account)
        return listed.plan if listed else "(not listed)"

    burns = burn.compute_burn(ended, get_plan_name, now_ms)
    return webserver.make_json(
        200,
        {
            "time_ms": now_ms,
            "burn": [burn.encode_burn(plan_burn) for plan_burn in burns],
        },
    )


def list_workers(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return the listed workers; `in_use` is null in a store outage."""
    workers = context.host_list.hosts.workers
    jobs = operatorjobs.try_read_active_jobs(context)
    quarantines = _try_read_quarantines(context)
    held = _count_allocated(jobs or [])
    guaranteed: dict[str, list[str]] = {}
    for use in _report_guarantees(context, jobs):
        for worker_id in use.workers:
            guaranteed.setdefault(worker_id, []).append(use.account)
    return webserver.make_json(
        200,
        {
            "workers": [
                {
                    "id": worker.id,
                    "data_centre": worker.data_centre,
                    "rack": worker.rack,
                    "accelerators": worker.accelerators,
                    "in_use": None if jobs is None else held.get(worker.id, 0),
                    "guaranteed_to": guaranteed.get(worker.id, []),
                    "quarantine": _describe_quarantine(quarantines, worker.id),
                }
                for worker in sorted(workers.values())
            ],
            "unlisted_quarantines": sorted(
                (quarantines or {}).keys() - workers.keys()
            ),
            "store_answers": jobs is not None and quarantines is not None,
        },
    )


def list_accounts(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return the accounts in force; usage is null in a store outage."""
    lists = context.configuration.lists
    jobs = operatorjobs.try_read_active_jobs(context)
    return webserver.make_json(
        200,
        {
            "configuration_version": lists.version,
            "accounts": [
                _describe_account(lists, account, jobs)
                for account in sorted(lists.accounts.values())
            ],
            "store_answers": jobs is not None,
        },
    )


def list_guarantees(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return the use of each guarantee; counts are null in a store outage."""
    jobs = operatorjobs.try_read_active_jobs(context)
    store_available = jobs is not None
    return webserver.make_json(
        200,
        {
            "configuration_version": context.configuration.lists.version,
            "guarantees": [
                use._asdict()
                | {
                    "guarantee": use.guarantee._asdict(),
                    "held": use.held if store_available else None,
                    "lent": use.lent if store_available else None,
                    "reclaimable": use.reclaimable if store_available else None,
                }
                for use in _report_guarantees(context, jobs)
            ],
            "store_answers": store_available,
        },
    )


def _describe_configuration(
    context: operatorcontext.OperatorContext,
) -> dict[str, Any]:
    held = context.configuration
    rejected = held.rejected
    return {
        "configuration_version": held.lists.version,
        "configuration_confirmed": configuration.is_confirmed(held),
        "configuration_age_ms": configuration.get_confirmation_age(held),
        "configuration_bound_ms": configuration.CONFIRM_BOUND_MS,
        "configuration_problems": list(rejected.problems) if rejected else [],
    }


def _describe_owner(
    context: operatorcontext.OperatorContext,
) -> dict[str, Any]:
    owner = context.get_owner()
    if owner is None:
        return {
            "owner_epoch": None,
            "lease_valid": False,
            "workers_heard": None,
            "active_jobs": None,
        }
    return {
        "owner_epoch": owner.tenure.epoch,
        "lease_valid": context.clock.now_ms() < owner.tenure.valid_until_ms,
        "workers_heard": len(owner.responding_workers),
        "active_jobs": len(owner.jobs),
    }


def _get_host_list_age(context: operatorcontext.OperatorContext) -> int | None:
    read_at_ms = context.host_list.read_at_ms
    return None if read_at_ms is None else context.clock.now_ms() - read_at_ms


def _report_guarantees(
    context: operatorcontext.OperatorContext, jobs: list[model.Job] | None
) -> list[guaranteereport.GuaranteeUse]:
    return guaranteereport.report_guarantees(
        context.configuration.lists,
        context.host_list.hosts.workers,
        jobs or [],
    )


def _count_allocated(jobs: list[model.Job]) -> dict[str, int]:
    held: dict[str, int] = {}
    for job in jobs:
        if guaranteereport.holds_accelerators(job):
            for part in job.placement:
                held[part.worker_id] = (
                    held.get(part.worker_id, 0) + part.accelerators
                )
    return held


def _describe_account(
    lists: model.Lists, account: model.Account, jobs: list[model.Job] | None
) -> dict[str, Any]:
    plan = lists.plans[account.plan]
    account_jobs = [job for job in jobs or [] if job.account == account.name]
    queued = sum(job.state is model.JobState.QUEUED for job in account_jobs)
    return {
        "name": account.name,
        "plan": plan.name,
        "tokens": len(account.token_sha256),
        "weight": plan.weight,
        "queued_jobs": None if jobs is None else queued,
        "max_queued_jobs": plan.max_queued_jobs,
        "accelerators": None
        if jobs is None
        else sum(_count_allocated(account_jobs).values()),
        "max_accelerators": plan.max_accelerators,
        "request_rate_per_s": plan.request_rate_per_s,
        "guarantees": len(plan.guarantees),
    }


def _try_read_quarantines(
    context: operatorcontext.OperatorContext,
) -> dict[str, quarantinerows.Quarantine] | None:
    try:
        return quarantinerows.read_quarantines(context.table, context.cell)
    except errors.StoreUnavailableError:
        return None


def _describe_quarantine(
    quarantines: dict[str, quarantinerows.Quarantine] | None, worker_id: str
) -> dict[str, Any] | None:
    quarantine = (quarantines or {}).get(worker_id)
    return quarantine._asdict() if quarantine is not None else None


ROUTES: list[operatorcontext.Route] = [
    ("GET", "/v1/status", show_status),
    ("GET", "/v1/peers", show_peers),
    ("GET", "/v1/burn", show_burn),
    ("GET", "/v1/workers", list_workers),
    ("GET", "/v1/accounts", list_accounts),
    ("GET", "/v1/guarantees", list_guarantees),
]
