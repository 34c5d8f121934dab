"""Operator requests that read, check and write the lists."""

from typing import Any

from cyclamenshelf_core import editimpact
from cyclamenshelf_core import errors
from cyclamenshelf_core import lists as list_files
from cyclamenshelf_daemon import configuration
from cyclamenshelf_daemon import configurationedit
from cyclamenshelf_daemon import configurationhistory
from cyclamenshelf_daemon import configurationrows
from cyclamenshelf_daemon import operatorcontext
from cyclamenshelf_daemon import operatorjobs
from cyclamenshelf_daemon import webserver

_DEFAULT_LIMIT = 20
_MAX_VERSION = 99_999_999
# A version that this host wrote is usually in force on this host within this
# time.
_IN_FORCE_WAIT_MS = 2_000
_EMPTY_LISTS = configurationrows.StoredLists(0, "", "", "", 0)


def get_config(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return the current lists, or those in force if the read fails."""
    try:
        stored = configurationhistory.read_current(context.table)
        source = "store"
    except (errors.StoreUnavailableError, errors.ListsRefusedError) as error:
        stored = context.configuration.stored
        source = "memory"
        if stored is None:
            raise _make_store_down_error(error) from error
    return webserver.make_json(
        200, (stored or _EMPTY_LISTS)._asdict() | {"source": source}
    )


def put_config(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Write both lists if the base version is still current."""
    body = operatorcontext.read_body(
        request,
        {"base_version": int, "plans": str, "allowances": str, "author": str},
        {"allow_at_risk": bool},
    )
    operatorcontext.check_text("author", body["author"])
    if not 0 <= body["base_version"] < _MAX_VERSION:
        raise errors.InvalidFieldError(
            "base_version", f"0 to {_MAX_VERSION - 1}", body["base_version"]
        )
    result = configurationedit.write_lists(
        context.table,
        context.clock,
        operatorcontext.get_fleet(context),
        configurationedit.Edit(**body),
    )
    in_force = configuration.wait_for_version(
        context.configuration, result.version, _IN_FORCE_WAIT_MS
    )
    return webserver.make_json(
        200, result._asdict() | {"host": context.host_id, "in_force": in_force}
    )


def check_config(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return the problems, conflicts and impact of an edit; write nothing."""
    body = operatorcontext.read_body(request, {"plans": str, "allowances": str})
    fleet = operatorcontext.get_fleet(context)
    check_result = configurationedit.check_edit(
        body["plans"], body["allowances"], fleet
    )
    jobs = operatorjobs.try_read_active_jobs(context)
    impact: list[str] = []
    if not check_result.problems and jobs is not None:
        impact = editimpact.find_impact(
            context.configuration.lists,
            list_files.parse_lists(body["plans"], body["allowances"]),
            jobs,
        )
    return webserver.make_json(
        200,
        {
            "problems": [
                problem._asdict() | {"text": str(problem)}
                for problem in check_result.problems
            ],
            "conflicts": [
                conflict._asdict()
                | {
                    "guarantee": conflict.guarantee._asdict(),
                    "text": str(conflict),
                }
                for conflict in check_result.conflicts
            ],
            "impact": impact,
            "fleet_checked": fleet is not None,
            "jobs_checked": jobs is not None,
            "in_force_version": context.configuration.lists.version,
        },
    )


def list_history(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return a page of versions without their texts, newest first."""
    before = operatorcontext.read_query_number(
        request, "before", None, _MAX_VERSION
    )
    limit = operatorcontext.read_query_number(
        request, "limit", _DEFAULT_LIMIT, configurationhistory.MAX_LIMIT
    )
    try:
        versions = configurationhistory.list_versions(
            context.table, before, limit or _DEFAULT_LIMIT
        )
    except errors.StoreUnavailableError as error:
        raise _make_store_down_error(error) from error
    return webserver.make_json(
        200, {"versions": [_summarize(stored) for stored in versions]}
    )


def get_version(
    context: operatorcontext.OperatorContext, request: webserver.Request
) -> webserver.Response:
    """Return a version with its texts."""
    text = request.args[0]
    if len(text) > len(str(_MAX_VERSION)):
        raise errors.NotFoundError(f"no configuration version {text[:20]}")
    try:
        stored = configurationhistory.read_version(context.table, int(text))
    except errors.StoreUnavailableError as error:
        raise _make_store_down_error(error) from error
    return webserver.make_json(200, stored._asdict())


def _summarize(stored: configurationrows.StoredLists) -> dict[str, Any]:
    return {
        "version": stored.version,
        "author": stored.author,
        "time_ms": stored.time_ms,
    }


def _make_store_down_error(error: Exception) -> errors.StoreDownError:
    return errors.StoreDownError(str(error), retry_after_ms=5_000)


ROUTES: list[operatorcontext.Route] = [
    ("GET", "/v1/config", get_config),
    ("PUT", "/v1/config", put_config),
    ("POST", "/v1/config:check", check_config),
    ("GET", "/v1/config/history", list_history),
    ("GET", r"/v1/config/history/([0-9]+)", get_version),
]
