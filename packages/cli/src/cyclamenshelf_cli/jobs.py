"""The `jobs` commands: list, show, explain, preview and cancel jobs."""

import json
from typing import Any
import urllib.parse

from cyclamenshelf_cli import exitcodes
from cyclamenshelf_cli import link
from cyclamenshelf_cli import options
from cyclamenshelf_cli import output as outputs

DOC = f"""\
List, show, explain, preview and cancel jobs of any client account.

Usage:
  cyclamenshelf jobs list [--account=NAME] [--state=STATE] [--limit=N]
                          [--operator=URL]... [options]
  cyclamenshelf jobs show <job> [--operator=URL]... [options]
  cyclamenshelf jobs explain <job> [--operator=URL]... [options]
  cyclamenshelf jobs preview <file> --account=NAME [--operator=URL]... [options]
  cyclamenshelf jobs cancel <job> [--author=NAME] [--operator=URL]... [options]
  cyclamenshelf jobs --help

list shows active jobs; show also finds ended ones. explain tells why a job
waits; only the cell owner knows, so the command goes on to that host. preview
tells where a job would go now, and why, without submitting it; the file holds
the JSON body that a caller would send. cancel asks the cell owner; repeating it
does no harm.

Options:
  --account=NAME          Only jobs of this account; the account of the job to
                          preview.
  --state=STATE           Only jobs in this state, such as queued.
  --limit=N               At most so many jobs, up to 1000.
{options.AUTHOR_OPTION}{options.COMMON_OPTIONS}
{exitcodes.TABLE}
Examples:
  cyclamenshelf jobs list --account=shop --state=queued
  cyclamenshelf jobs show j-0123456789abcdef0123456789abcdef
  cyclamenshelf jobs explain j-0123456789abcdef0123456789abcdef
  cyclamenshelf jobs preview job.json --account=shop
  cyclamenshelf jobs cancel j-0123456789abcdef0123456789abcdef --author=ann
"""


def run(argv: list[str], environment: options.Environment) -> int:
    """Run one command and return its exit code."""
    arguments = options.parse_arguments(DOC, argv, environment)
    if arguments is None:
        return exitcodes.SUCCESS
    session = options.make_session(arguments, environment)
    for name, handler in _HANDLERS.items():
        if arguments[name]:
            return handler(session, arguments)
    raise AssertionError("docopt accepts no other command")


def _list_jobs(session: options.Session, arguments: dict[str, Any]) -> int:
    query = {
        name: arguments[f"--{name}"]
        for name in ("account", "state")
        if arguments[f"--{name}"] is not None
    }
    limit = options.parse_number(arguments, "--limit")
    if limit is not None:
        query["limit"] = str(limit)
    path = f"/v1/jobs?{urllib.parse.urlencode(query)}"
    value = link.fetch(session.client, path).value
    if session.output.use_json:
        outputs.print_json(session.output, value)
        return exitcodes.SUCCESS
    outputs.print_table(
        session.output,
        ("JOB", "ACCOUNT", "STATE", "URGENCY", "SHAPE", "ATTEMPT", "ACCEPTED"),
        [
            (
                job["job_id"],
                job["account"],
                job["state"],
                job["urgency"],
                outputs.format_shape(job["shape"]),
                job["attempt"],
                outputs.format_time(job["accepted_ms"]),
            )
            for job in value["jobs"]
        ],
    )
    omitted = value["total"] - len(value["jobs"])
    if omitted:
        outputs.print_line(session.output, f"{omitted} more")
    return exitcodes.SUCCESS


def _show_job(session: options.Session, arguments: dict[str, Any]) -> int:
    job = link.fetch(session.client, _make_job_path(arguments)).value
    if session.output.use_json:
        outputs.print_json(session.output, job)
    else:
        _print_job(session, job)
    return exitcodes.SUCCESS


def _print_job(session: options.Session, job: dict[str, Any]) -> None:
    fields: dict[str, Any] = {}
    for name, value in job.items():
        if name == "shape":
            fields[name] = outputs.format_shape(value)
        elif name == "placement":
            fields[name] = [part["worker_id"] for part in value]
        elif name.endswith("_ms") and name != "expected_run_ms":
            fields[name.removesuffix("_ms")] = outputs.format_time(value)
        else:
            fields[name.replace("_", " ")] = value
    outputs.print_fields(session.output, fields)


def _explain_job(session: options.Session, arguments: dict[str, Any]) -> int:
    path = _make_job_path(arguments) + "/explain"
    value = link.fetch(session.client, path).value
    if session.output.use_json:
        outputs.print_json(session.output, value)
        return exitcodes.SUCCESS
    outputs.print_line(session.output, f"{value['job_id']} is {value['state']}")
    for reason in value["reasons"]:
        outputs.print_line(session.output, f"- {reason}")
    return exitcodes.SUCCESS


def _preview_job(session: options.Session, arguments: dict[str, Any]) -> int:
    body = {
        "account": arguments["--account"],
        "job": _read_job(arguments["<file>"]),
    }
    value = link.send_command(
        session.client, "POST", "/v1/jobs:preview", body
    ).value
    if session.output.use_json:
        outputs.print_json(session.output, value)
        return exitcodes.SUCCESS
    for line in _describe_preview(value):
        outputs.print_line(session.output, line)
    return exitcodes.SUCCESS


def _read_job(path: str) -> Any:
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, UnicodeError, ValueError, RecursionError) as error:
        reason = getattr(error, "strerror", None) or "not a JSON text"
        raise exitcodes.CommandFailedError(
            exitcodes.USAGE_ERROR, f"{path}: {reason}"
        ) from None


def _describe_preview(value: dict[str, Any]) -> list[str]:
    workers = sorted({part["worker_id"] for part in value["placement"]})
    match value["outcome"]:
        case "start":
            first = f"it would start now on {', '.join(workers)}"
        case "preempt":
            first = (
                "it would start once jobs that are stopped for it have ended"
            )
        case "refuse":
            first = "it would be refused"
        case _:
            first = "it would wait"
    lines = [first]
    if value["reason"]:
        lines.append(f"- {value['reason']}")
    lines += [f"- {job} would be stopped" for job in value["preempted"]]
    if value["queued"]:
        lines.append(
            f"- jobs of {value['account']} that wait already: {value['queued']}"
        )
    return lines


def _cancel_job(session: options.Session, arguments: dict[str, Any]) -> int:
    author = options.get_author(arguments, session.environment)
    path = _make_job_path(arguments) + "/cancel"
    job = link.send_command(
        session.client, "POST", path, {"author": author}
    ).value
    if session.output.use_json:
        outputs.print_json(session.output, job)
    elif job["cancel_asked"]:
        outputs.print_line(
            session.output,
            f"{job['job_id']}: the cell owner is asked to cancel",
        )
    else:
        outputs.print_line(
            session.output, f"{job['job_id']} has ended: {job['state']}"
        )
    return exitcodes.SUCCESS


def _make_job_path(arguments: dict[str, Any]) -> str:
    return "/v1/jobs/" + urllib.parse.quote(arguments["<job>"], safe="")


_HANDLERS = {
    "list": _list_jobs,
    "show": _show_job,
    "explain": _explain_job,
    "preview": _preview_job,
    "cancel": _cancel_job,
}
