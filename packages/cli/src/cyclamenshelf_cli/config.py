"""Commands about the two lists."""

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
{options.AUTHOR}{options.COMMON}
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
_NAMES = ("plans", "allowances")
_BASE_FILE = "base_version"


def run(argv: list[str], environment: options.Environment) -> int:
    """Run one command and return its exit code."""
    arguments = options.parse_arguments(DOC, argv, environment)
    if arguments is None:
        return exitcodes.DONE
    session = options.make_session(arguments, environment)
    for name, handle in _COMMANDS.items():
        if arguments[name]:
            return handle(session, arguments)
    raise AssertionError("docopt accepts no other command")


def _get(session: options.Session, arguments: dict[str, Any]) -> int:
    version = options.read_number(arguments, "--version")
    current = link.read(session.link, "/v1/config").value
    wanted = current
    if version is not None:
        wanted = link.read(session.link, f"/v1/config/history/{version}").value
    directory = pathlib.Path(arguments["--directory"])
    if not arguments["--overwrite"]:
        _refuse_edited(session, directory, wanted)
    _write_files(directory, wanted, current["version"])
    if current["source"] == "memory":
        print(
            "cyclamenshelf: the store gave no lists; these are the ones in "
            "force on the host",
            file=session.output.err,
        )
    if session.output.json:
        outputs.print_json(
            session.output,
            _summarize(wanted) | {"base_version": current["version"]},
        )
    else:
        outputs.print_line(
            session.output,
            f"version {wanted['version']} of {wanted['author'] or '-'}, "
            f"{outputs.format_time(wanted['time_ms'])}, written to "
            f"{directory}; base version {current['version']}",
        )
    return exitcodes.DONE


def _check(session: options.Session, arguments: dict[str, Any]) -> int:
    texts = _read_texts(arguments)
    problems = _find_problems(texts)
    if problems:
        found = {"problems": problems, "conflicts": [], "impact": []}
        return _report_check(session, arguments, found)
    found = link.ask(session.link, "/v1/config:check", texts).value
    return _report_check(session, arguments, found)


def _report_check(
    session: options.Session, arguments: dict[str, Any], found: dict[str, Any]
) -> int:
    output = session.output
    count = sum(
        len(found[name]) for name in ("problems", "conflicts", "impact")
    )
    if output.json:
        outputs.print_json(output, found)
    else:
        _print_problems(session, arguments, found["problems"])
        for conflict in found["conflicts"]:
            outputs.print_line(output, conflict["text"])
        for text in found["impact"]:
            outputs.print_line(output, text)
        for name in ("fleet_checked", "jobs_checked"):
            if not found.get(name, True):
                outputs.print_line(output, f"not checked: {name[:-8]} unknown")
        outputs.print_line(output, f"findings: {count}")
    return exitcodes.PROBLEMS_FOUND if count else exitcodes.DONE


def _diff(session: options.Session, arguments: dict[str, Any]) -> int:
    texts = _read_texts(arguments)
    current = link.read(session.link, "/v1/config").value
    base = _read_base(arguments)
    diff = "".join(
        "".join(
            difflib.unified_diff(
                _split(current[name]),
                _split(texts[name]),
                f"{name} (version {current['version']})",
                f"{name} ({arguments['--directory']})",
            )
        )
        for name in _NAMES
    )
    if session.output.json:
        outputs.print_json(
            session.output,
            {
                "base_version": base,
                "current_version": current["version"],
                "diff": diff,
            },
        )
        return exitcodes.DONE
    outputs.print_diff(session.output, diff)
    if base != current["version"]:
        outputs.print_line(
            session.output,
            f"the files were read at version {base}, but version "
            f"{current['version']} is current",
        )
    elif not diff:
        outputs.print_line(session.output, "no difference")
    return exitcodes.DONE


def _apply(session: options.Session, arguments: dict[str, Any]) -> int:
    author = options.read_author(arguments, session.environment)
    texts = _read_texts(arguments)
    problems = _find_problems(texts)
    if problems:
        _print_problems(session, arguments, problems)
        raise exitcodes.CommandFailedError(
            exitcodes.REFUSED, "the lists are wrong; nothing was sent"
        )
    base = _read_base(arguments)
    try:
        written = link.command(
            session.link,
            "PUT",
            "/v1/config",
            texts
            | {
                "base_version": base,
                "author": author,
                "allow_at_risk": arguments["--allow-at-risk"],
            },
        ).value
    except exitcodes.CommandFailedError as failure:
        _explain_failure(session, failure)
        raise
    _write_base(pathlib.Path(arguments["--directory"]), written["version"])
    if session.output.json:
        outputs.print_json(session.output, written)
    else:
        _print_written(session, written)
    return exitcodes.DONE


def _explain_failure(
    session: options.Session, failure: exitcodes.CommandFailedError
) -> None:
    """Print what the host found, before the failure itself is printed."""
    output = session.output
    if output.json:
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


def _print_written(session: options.Session, written: dict[str, Any]) -> None:
    version, output = written["version"], session.output
    verb = "written" if written["changed"] else "holds these lists already"
    outputs.print_line(output, f"version {version} {verb}")
    if written["current_version"] != version:
        outputs.print_line(
            output, f"version {written['current_version']} is current"
        )
    state = "in force" if written["in_force"] else "not yet in force"
    outputs.print_line(output, f"{state} on host {written['host']}")
    for text in written["at_risk"]:
        outputs.print_line(output, f"at risk: {text}")


def _history(session: options.Session, arguments: dict[str, Any]) -> int:
    version = options.read_number(arguments, "<version>")
    output = session.output
    if version is not None:
        stored = link.read(session.link, f"/v1/config/history/{version}").value
        if output.json:
            outputs.print_json(output, stored)
            return exitcodes.DONE
        outputs.print_line(
            output,
            f"# version {stored['version']} of {stored['author']}, "
            f"{outputs.format_time(stored['time_ms'])}",
        )
        for name in _NAMES:
            outputs.print_line(output, f"# {name}.yaml")
            for line in stored[name].splitlines():
                outputs.print_line(output, line)
        return exitcodes.DONE
    query = "&".join(
        f"{name}={number}"
        for name in ("before", "limit")
        if (number := options.read_number(arguments, f"--{name}")) is not None
    )
    listed = link.read(session.link, f"/v1/config/history?{query}").value
    if output.json:
        outputs.print_json(output, listed)
        return exitcodes.DONE
    outputs.print_table(
        output,
        ("VERSION", "TIME", "AUTHOR"),
        [
            (
                one["version"],
                outputs.format_time(one["time_ms"]),
                one["author"],
            )
            for one in listed["versions"]
        ],
    )
    return exitcodes.DONE


def _find_problems(texts: dict[str, str]) -> list[dict[str, Any]]:
    """Return the problems that can be found without a host."""
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
    """Print problems with the file in place of the name of the list."""
    directory = pathlib.Path(arguments["--directory"])
    for problem in problems:
        path = directory / f"{problem['source']}.yaml"
        text = problem["text"].removeprefix(problem["source"])
        outputs.print_line(session.output, f"{path}{text}")


def _read_texts(arguments: dict[str, Any]) -> dict[str, str]:
    directory = pathlib.Path(arguments["--directory"])
    return {name: _read_file(directory / f"{name}.yaml") for name in _NAMES}


def _read_base(arguments: dict[str, Any]) -> int:
    path = pathlib.Path(arguments["--directory"]) / _BASE_FILE
    text = _read_file(path).strip()
    if not (text.isascii() and text.isdecimal()) or len(text) > 8:
        raise exitcodes.CommandFailedError(
            exitcodes.USAGE, f"{path}: expected a version"
        )
    return int(text)


def _read_file(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8"
        raise exitcodes.CommandFailedError(
            exitcodes.USAGE,
            f"{path}: {reason}; `config get` writes the files",
        ) from error


def _refuse_edited(
    session: options.Session, directory: pathlib.Path, wanted: dict[str, Any]
) -> None:
    """Raise if a file holds anything but what is to be written."""
    for name in _NAMES:
        path = directory / f"{name}.yaml"
        if path.exists() and _read_file(path) != wanted[name]:
            raise exitcodes.CommandFailedError(
                exitcodes.USAGE, f"{path} differs; --overwrite replaces it"
            )


def _write_files(
    directory: pathlib.Path, wanted: dict[str, Any], base: int
) -> None:
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for name in _NAMES:
            _replace_file(directory / f"{name}.yaml", wanted[name])
    except OSError as error:
        raise exitcodes.CommandFailedError(
            exitcodes.USAGE, f"{directory}: {error.strerror}"
        ) from error
    # Last, so that a get that is cut off cannot put old texts on a new base.
    _write_base(directory, base)


def _write_base(directory: pathlib.Path, base: int) -> None:
    try:
        _replace_file(directory / _BASE_FILE, f"{base}\n")
    except OSError as error:
        raise exitcodes.CommandFailedError(
            exitcodes.USAGE, f"{directory}: {error.strerror}"
        ) from error


def _replace_file(path: pathlib.Path, text: str) -> None:
    temporary = path.with_name(path.name + ".new")
    with open(temporary, "w", encoding="utf-8", newline="") as file:
        file.write(text)
    os.replace(temporary, path)


def _summarize(stored: dict[str, Any]) -> dict[str, Any]:
    return {name: stored[name] for name in ("version", "author", "time_ms")}


def _split(text: str) -> list[str]:
    return [line + "\n" for line in text.splitlines()]


_COMMANDS = {
    "get": _get,
    "check": _check,
    "diff": _diff,
    "apply": _apply,
    "history": _history,
}
