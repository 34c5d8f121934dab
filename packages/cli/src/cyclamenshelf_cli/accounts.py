"""Command about the client accounts."""

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
{options.COMMON}
{exitcodes.TABLE}
Examples:
  cyclamenshelf accounts
  cyclamenshelf accounts --format=json
"""


def run(argv: list[str], environment: options.Environment) -> int:
    """Run the command and return its exit code."""
    arguments = options.parse_arguments(DOC, argv, environment)
    if arguments is None:
        return exitcodes.DONE
    session = options.make_session(arguments, environment)
    value = link.read(session.link, "/v1/accounts").value
    if session.output.json:
        outputs.print_json(session.output, value)
        return exitcodes.DONE
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
                _pair(account["queued_jobs"], account["max_queued_jobs"]),
                _pair(account["accelerators"], account["max_accelerators"]),
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
    return exitcodes.DONE


def _pair(used: int | None, allowed: int) -> str:
    return f"{outputs.show(used)} of {allowed}"
