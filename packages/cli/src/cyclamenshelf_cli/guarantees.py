"""The `guarantees` command: lists the guarantees and their state."""

from typing import Any

from cyclamenshelf_cli import exitcodes
from cyclamenshelf_cli import link
from cyclamenshelf_cli import options
from cyclamenshelf_cli import output as outputs

DOC = f"""\
List the guarantees: held, lent out, reclaimable now, or at risk.

Usage:
  cyclamenshelf guarantees [--operator=URL]... [options]
  cyclamenshelf guarantees --help

Options:
{options.COMMON_OPTIONS}
{exitcodes.TABLE}
Examples:
  cyclamenshelf guarantees
  cyclamenshelf guarantees --format=json
"""


def run(argv: list[str], environment: options.Environment) -> int:
    """Run the command and return its exit code."""
    arguments = options.parse_arguments(DOC, argv, environment)
    if arguments is None:
        return exitcodes.SUCCESS
    session = options.make_session(arguments, environment)
    value = link.fetch(session.client, "/v1/guarantees").value
    if session.output.use_json:
        outputs.print_json(session.output, value)
        return exitcodes.SUCCESS
    outputs.print_table(
        session.output,
        ("ACCOUNT", "GUARANTEE", "STATE", "HELD", "LENT", "WORKERS"),
        [
            (
                use["account"],
                outputs.format_shape(use["guarantee"]),
                _describe_state(use),
                use["held"],
                use["lent"],
                use["workers"],
            )
            for use in value["guarantees"]
        ],
    )
    if not value["store_answers"]:
        outputs.print_line(
            session.output, "the store does not answer; '-' is not known"
        )
    return exitcodes.SUCCESS


def _describe_state(use: dict[str, Any]) -> str | None:
    if use["at_risk"]:
        return "at risk"
    if use["reclaimable"] is None:
        return None
    return "reclaimable" if use["reclaimable"] else "not reclaimable"
