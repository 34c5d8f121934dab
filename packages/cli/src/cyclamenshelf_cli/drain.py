"""The `drain` command: drains one entry host."""

from cyclamenshelf_cli import exitcodes
from cyclamenshelf_cli import link
from cyclamenshelf_cli import options
from cyclamenshelf_cli import output as outputs

DOC = f"""\
Make one entry host answer what it has and exit.

Usage:
  cyclamenshelf drain [--author=NAME] --operator=URL [options]
  cyclamenshelf drain --help

The host is named by one --operator; CYCLAMENSHELF_OPERATORS is not used, and
the command is sent once, so that a cut link cannot drain another host. With
exit code 6, ask that host for its status.

Options:
{options.AUTHOR_OPTION}{options.COMMON_OPTIONS}
{exitcodes.TABLE}
Examples:
  cyclamenshelf drain --operator=http://127.0.0.1:7001 --author=ann
"""


def run(argv: list[str], environment: options.Environment) -> int:
    """Run the command and return its exit code."""
    arguments = options.parse_arguments(DOC, argv, environment)
    if arguments is None:
        return exitcodes.SUCCESS
    arguments["--operator"] = [arguments["--operator"]]
    session = options.make_session(arguments, environment)
    author = options.get_author(arguments, environment)
    value = link.send_command_once(
        session.client, "/v1/drain", {"author": author}
    ).value
    if session.output.use_json:
        outputs.print_json(session.output, value)
    else:
        outputs.print_line(session.output, f"host {value['host']} is draining")
    return exitcodes.SUCCESS
