"""The `quarantine` commands: add workers to quarantine and remove them."""

import urllib.parse

from cyclamenshelf_cli import exitcodes
from cyclamenshelf_cli import link
from cyclamenshelf_cli import options
from cyclamenshelf_cli import output as outputs

DOC = f"""\
Take a worker out of service for new work, or put it back.

Usage:
  cyclamenshelf quarantine add <worker> --reason=TEXT [--author=NAME]
                           [--operator=URL]... [options]
  cyclamenshelf quarantine remove <worker> [--author=NAME]
                           [--operator=URL]... [options]
  cyclamenshelf quarantine --help

Both can be repeated without harm. `workers` lists what is in quarantine.

Options:
  --reason=TEXT           Why, kept with the quarantine.
{options.AUTHOR_OPTION}{options.COMMON_OPTIONS}
{exitcodes.TABLE}
Examples:
  cyclamenshelf quarantine add w3 --reason="fan replaced today" --author=ann
  cyclamenshelf quarantine remove w3 --author=ann
"""


def run(argv: list[str], environment: options.Environment) -> int:
    """Run one command and return its exit code."""
    arguments = options.parse_arguments(DOC, argv, environment)
    if arguments is None:
        return exitcodes.SUCCESS
    session = options.make_session(arguments, environment)
    body = {"author": options.get_author(arguments, environment)}
    worker = urllib.parse.quote(arguments["<worker>"], safe="")
    method, state = "DELETE", "not in quarantine"
    if arguments["add"]:
        method, state = "POST", "in quarantine"
        body["reason"] = arguments["--reason"]
    value = link.send_command(
        session.client, method, f"/v1/workers/{worker}/quarantine", body
    ).value
    if session.output.use_json:
        outputs.print_json(session.output, value)
        return exitcodes.SUCCESS
    suffix = "" if value["changed"] else ", as before"
    outputs.print_line(session.output, f"{value['worker']} is {state}{suffix}")
    if not value["listed"]:
        outputs.print_line(
            session.output, "the host list does not show this worker now"
        )
    return exitcodes.SUCCESS
