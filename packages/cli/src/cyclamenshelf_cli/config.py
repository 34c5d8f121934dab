"""The `config` commands: read, check, compare and apply the two lists."""

import difflib
import os
import pathlib
from typing import Any

from cyclamenshelf_cli import exitcodes
from cyclamenshelf_cli import link
from cyclamenshelf_cli import options
from cyclamenshelf_cli import output as outputs
from cyclamenshelf_core import errors
from cyclamenshelf_core import lists as list_files

DOC = f"""\
Read and change the two lists: plans.yaml and allowances.yaml.

Usage:
  cyclamenshelf config get [--directory=DIR] [--version=N] [--overwrite]
                           [--operator=URL]... [options]
  cyclamenshelf config check [--directory=DIR] [--operator=URL]... [options]
  cyclamenshelf config diff [--directory=DIR] [--operator=URL]... [options]
  cyclamenshelf config apply [--directory=DIR] [--author=NAME]
                           [--allow-at-risk] [--operator=URL]... [options]
  cyclamenshelf config history [<version>] [--before=N] [--limit=N]
                           [--operator=URL]... [options]
  cyclamenshelf config --help

get writes both lists and the version they were read at (base_version) into a
directory. check tells what an edit would break, before anything changes. diff
compares the files with the current lists. apply writes both lists if the
version they were read at is still the current one; after a cut link, the same
apply can be repeated. history lists versions, or shows one.

Options:
  --directory=DIR         Where the files are [default: .].
  --version=N             Get the lists of an old version, to be applied on
                          the current one.
  --overwrite             Replace files that were edited.
  --allow-at-risk         Accept guarantees that cannot be assigned now, if
                          all of them are in force already.
  --before=N              List versions before this one.
  --limit=N               List at most so many versions, up to 100.
{options.AUTHOR_OPTION}{options.COMMON_OPTIONS}
{exitcodes.TABLE}
Examples:
  cyclamenshelf config get --directory=lists
  cyclamenshelf config check --directory=lists
  cyclamenshelf config diff --directory=lists
  cyclamenshelf config apply --directory=lists --author=ann
  cyclamenshelf config history --limit=5
  cyclamenshelf config history 12
  cyclamenshelf config get --directory=lists --version=12 --overwrite
"""
_LIST_NAMES = ("plans", "allowances")
_BASE_VERSION_FILE = "base_version"


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


def _get_lists(session: options.Session, arguments: dict[str, Any]) -> int:
    version = options.parse_number(arguments, "--version")
    current = link.fetch(session.client, "/v1/config").value
    requested = current
    if version is not None:
        requested = link.fetch(
            session.client, f"/v1/config/history/{version}"
        ).value
    directory = pathlib.Path(arguments["--directory"])
    if not arguments["--overwrite"]:
        _check_not_edited(session, directory, requested)
    _write_lists(directory, requested, current["version"])
    if current["source"] == "memory":
        print(
            "cyclamenshelf: the store gave no lists; these are the ones in "
            "force on the host",
            file=session.output.stderr,
        )
    if session.output.use_json:
        outputs.print_json(
            session.output,
            _summarise(requested) | {"base_version": current["version"]},
        )
    else:
        outputs.print_line(
            session.output,
            f"version {requested['version']} of {requested['author'] or '-'}, "
            f"{outputs.format_time(requested['time_ms'])}, written to "
            f"{directory}; base version {current['version']}",
        )
    return exitcodes.SUCCESS


def _check_lists(session: options.Session, arguments: dict[str, Any]) -> int:
    texts = _read_lists(arguments)
    problems = _find_problems(texts)
    if problems:
        findings = {"problems": problems, "conflicts": [], "impact": []}
        return _print_check_result(session, arguments, findings)
    findings = link.post_query(session.client, "/v1/config:check", texts).value
    return _print_check_result(session, arguments, findings)


def _print_check_result(
    session: options.Session,
    arguments: dict[str, Any],
    findings: dict[str, Any],
) -> int:
    output = session.output
    finding_count = sum(
        len(findings[name]) for name in ("problems", "conflicts", "impact")
    )
    if output.use_json:
        outputs.print_json(output, findings)
    else:
        _print_problems(session, arguments, findings["problems"])
        for conflict in findings["conflicts"]:
            outputs.print_line(output, conflict["text"])
        for text in findings["impact"]:
            outputs.print_line(output, text)
        for name in ("fleet_checked", "jobs_checked"):
            if not findings.get(name, True):
                # Removes the suffix "_checked" from the name.
                outputs.print_line(output, f"not checked: {name[:-8]} unknown")
        outputs.print_line(output, f"findings: {finding_count}")
    return exitcodes.CHECK_FAILED if finding_count else exitcodes.SUCCESS


def _diff_lists(session: options.Session, arguments: dict[str, Any]) -> int:
    texts = _read_lists(arguments)
    current = link.fetch(session.client, "/v1/config").value
    base_version = _read_base_version(arguments)
    diff = "".join(
        "".join(
            difflib.unified_diff(
                _split_lines(current[name]),
                _split_lines(texts[name]),
                f"{name} (version {current['version']})",
                f"{name} ({arguments['--directory']})",
            )
        )
        for name in _LIST_NAMES
    )
    if session.output.use_json:
        outputs.print_json(
            session.output,
            {
                "base_version": base_version,
                "current_version": current["version"],
                "diff": diff,
            },
        )
        return exitcodes.SUCCESS
    outputs.print_diff(session.output, diff)
    if base_version != current["version"]:
        outputs.print_line(
            session.output,
            f"the files were read at version {base_version}, but version "
            f"{current['version']} is current",
        )
    elif not diff:
        outputs.print_line(session.output, "no difference")
    return exitcodes.SUCCESS


def _apply_lists(session: options.Session, arguments: dict[str, Any]) -> int:
    author = options.get_author(arguments, session.environment)
    texts = _read_lists(arguments)
    problems = _find_problems(texts)
    if problems:
        _print_problems(session, arguments, problems)
        raise exitcodes.CommandFailedError(
            exitcodes.REFUSED, "the lists are wrong; nothing was sent"
        )
    base_version = _read_base_version(arguments)
    try:
        result = link.send_command(
            session.client,
            "PUT",
            "/v1/config",
            texts
            | {
                "base_version": base_version,
                "author": author,
                "allow_at_risk": arguments["--allow-at-risk"],
            },
        ).value
    except exitcodes.CommandFailedError as failure:
        _print_failure_details(session, failure)
        raise
    _write_base_version(
        pathlib.Path(arguments["--directory"]), result["version"]
    )
    if session.output.use_json:
        outputs.print_json(session.output, result)
    else:
        _print_apply_result(session, result)
    return exitcodes.SUCCESS


def _print_failure_details(
    session: options.Session, failure: exitcodes.CommandFailedError
) -> None:
    """Print the details in the host's response to a failed apply.

    The failure itself is printed afterwards, by `main`.
    """
    output = session.output
    if output.use_json:
        return
    details = failure.details
    for text in (*details.get("problems", ()), *details.get("conflicts", ())):
        outputs.print_line(output, text)
    if failure.exit_code == exitcodes.CONFLICT:
        outputs.print_line(
            output,
            f"version {details['current_version']} of {details['author']}, "
            f"{outputs.format_time(details['time_ms'])}, changed this:",
        )
        outputs.print_diff(output, details["diff"])
        outputs.print_line(
            output,
            "get the current lists into another directory, put your edit in "
            "and apply that",
        )


def _print_apply_result(
    session: options.Session, result: dict[str, Any]
) -> None:
    version, output = result["version"], session.output
    outcome = "written" if result["changed"] else "holds these lists already"
    outputs.print_line(output, f"version {version} {outcome}")
    if result["current_version"] != version:
        outputs.print_line(
            output, f"version {result['current_version']} is current"
        )
    state = "in force" if result["in_force"] else "not yet in force"
    outputs.print_line(output, f"{state} on host {result['host']}")
    for text in result["at_risk"]:
        outputs.print_line(output, f"at risk: {text}")


def _show_history(session: options.Session, arguments: dict[str, Any]) -> int:
    version = options.parse_number(arguments, "<version>")
    output = session.output
    if version is not None:
        stored = link.fetch(
            session.client, f"/v1/config/history/{version}"
        ).value
        if output.use_json:
            outputs.print_json(output, stored)
            return exitcodes.SUCCESS
        outputs.print_line(
            output,
            f"# version {stored['version']} of {stored['author']}, "
            f"{outputs.format_time(stored['time_ms'])}",
        )
        for name in _LIST_NAMES:
            outputs.print_line(output, f"# {name}.yaml")
            for line in stored[name].splitlines():
                outputs.print_line(output, line)
        return exitcodes.SUCCESS
    query = "&".join(
        f"{name}={number}"
        for name in ("before", "limit")
        if (number := options.parse_number(arguments, f"--{name}")) is not None
    )
    page = link.fetch(session.client, f"/v1/config/history?{query}").value
    if output.use_json:
        outputs.print_json(output, page)
        return exitcodes.SUCCESS
    outputs.print_table(
        output,
        ("VERSION", "TIME", "AUTHOR"),
        [
            (
                entry["version"],
                outputs.format_time(entry["time_ms"]),
                entry["author"],
            )
            for entry in page["versions"]
        ],
    )
    return exitcodes.SUCCESS


def _find_problems(texts: dict[str, str]) -> list[dict[str, Any]]:
    """Return the problems that can be detected without a host."""
    try:
        list_files.parse_lists(texts["plans"], texts["allowances"])
    except errors.InvalidListsError as error:
        return [
            problem._asdict() | {"text": str(problem)}
            for problem in error.problems
        ]
    return []


def _print_problems(
    session: options.Session,
    arguments: dict[str, Any],
    problems: list[dict[str, Any]],
) -> None:
    """Print problems, with the path of the file instead of the list name."""
    directory = pathlib.Path(arguments["--directory"])
    for problem in problems:
        path = directory / f"{problem['source']}.yaml"
        text = problem["text"].removeprefix(problem["source"])
        outputs.print_line(session.output, f"{path}{text}")


def _read_lists(arguments: dict[str, Any]) -> dict[str, str]:
    directory = pathlib.Path(arguments["--directory"])
    return {
        name: _read_file(directory / f"{name}.yaml") for name in _LIST_NAMES
    }


def _read_base_version(arguments: dict[str, Any]) -> int:
    path = pathlib.Path(arguments["--directory"]) / _BASE_VERSION_FILE
    text = _read_file(path).strip()
    if not (text.isascii() and text.isdecimal()) or len(text) > 8:
        raise exitcodes.CommandFailedError(
            exitcodes.USAGE_ERROR, f"{path}: expected a version"
        )
    return int(text)


def _read_file(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8"
        raise exitcodes.CommandFailedError(
            exitcodes.USAGE_ERROR,
            f"{path}: {reason}; `config get` writes the files",
        ) from error


def _check_not_edited(
    session: options.Session, directory: pathlib.Path, requested: dict[str, Any]
) -> None:
    """Raise if an existing file differs from the text to be written.

    Raises:
        exitcodes.CommandFailedError: A file differs or cannot be read.
    """
    for name in _LIST_NAMES:
        path = directory / f"{name}.yaml"
        if path.exists() and _read_file(path) != requested[name]:
            raise exitcodes.CommandFailedError(
                exitcodes.USAGE_ERROR,
                f"{path} differs; --overwrite replaces it",
            )


def _write_lists(
    directory: pathlib.Path, requested: dict[str, Any], base_version: int
) -> None:
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for name in _LIST_NAMES:
            _replace_file(directory / f"{name}.yaml", requested[name])
    except OSError as error:
        raise exitcodes.CommandFailedError(
            exitcodes.USAGE_ERROR, f"{directory}: {error.strerror}"
        ) from error
    # Written last, so that an interrupted `get` cannot combine old list texts
    # with a newer base version.
    _write_base_version(directory, base_version)


def _write_base_version(directory: pathlib.Path, base_version: int) -> None:
    try:
        _replace_file(directory / _BASE_VERSION_FILE, f"{base_version}\n")
    except OSError as error:
        raise exitcodes.CommandFailedError(
            exitcodes.USAGE_ERROR, f"{directory}: {error.strerror}"
        ) from error


def _replace_file(path: pathlib.Path, text: str) -> None:
    temporary_path = path.with_name(path.name + ".new")
    with open(temporary_path, "w", encoding="utf-8", newline="") as file:
        file.write(text)
    os.replace(temporary_path, path)


def _summarise(stored: dict[str, Any]) -> dict[str, Any]:
    return {name: stored[name] for name in ("version", "author", "time_ms")}


def _split_lines(text: str) -> list[str]:
    return [line + "\n" for line in text.splitlines()]


_HANDLERS = {
    "get": _get_lists,
    "check": _check_lists,
    "diff": _diff_lists,
    "apply": _apply_lists,
    "history": _show_history,
}
