"""The `accounts` command: lists the client accounts and their usage."""

from cyclamenshelf_cli import exitcodes
from cyclamenshelf_cli import link
from cyclamenshelf_cli import options
from cyclamenshelf_cli import output as outputs

DOC = f"""\
List the client accounts in force with their plans and use.

Usage:
  cyclamenshelf accounts [--operator=URL]... [options]
  cyclamenshelf accounts --help

Options:
{options.COMMON_OPTIONS}
{exitcodes.TABLE}
Examples:
  cyclamenshelf accounts
  cyclamenshelf accounts --format=json
"""


def run(argv: list[str], environment: options.Environment) -> int:
    """Run the command and return its exit code."""
    arguments = options.parse_arguments(DOC, argv, environment)
    if arguments is None:
        return exitcodes.SUCCESS
    session = options.make_session(arguments, environment)
    value = link.fetch(session.client, "/v1/accounts").value
    if session.output.use_json:
        outputs.print_json(session.output, value)
        return exitcodes.SUCCESS
    outputs.print_table(
        session.output,
        (
            "ACCOUNT",
            "PLAN",
            "TOKENS",
            "WEIGHT",
            "QUEUED",
            "ACCELERATORS",
            "RATE/S",
            "GUARANTEES",
        ),
        [
            (
                account["name"],
                account["plan"],
                account["tokens"],
                account["weight"],
                _format_usage(
                    account["queued_jobs"], account["max_queued_jobs"]
                ),
                _format_usage(
                    account["accelerators"], account["max_accelerators"]
                ),
                account["request_rate_per_s"],
                account["guarantees"],
            )
            for account in value["accounts"]
        ],
    )
    if not value["store_answers"]:
        outputs.print_line(
            session.output, "the store does not answer; '-' is not known"
        )
    return exitcodes.SUCCESS


def _format_usage(used: int | None, allowed: int) -> str:
    return f"{outputs.format_value(used)} of {allowed}"
