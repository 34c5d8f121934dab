"""The `workers` command: lists the workers."""

from cyclamenshelf_cli import exitcodes
from cyclamenshelf_cli import link
from cyclamenshelf_cli import options
from cyclamenshelf_cli import output as outputs

DOC = f"""\
List the workers with their use, guarantees and quarantine.

Usage:
  cyclamenshelf workers [--operator=URL]... [options]
  cyclamenshelf workers --help

Options:
{options.COMMON_OPTIONS}
{exitcodes.TABLE}
Examples:
  cyclamenshelf workers
  cyclamenshelf workers --format=json
"""


def run(argv: list[str], environment: options.Environment) -> int:
    """Run the command and return its exit code."""
    arguments = options.parse_arguments(DOC, argv, environment)
    if arguments is None:
        return exitcodes.SUCCESS
    session = options.make_session(arguments, environment)
    value = link.fetch(session.client, "/v1/workers").value
    if session.output.use_json:
        outputs.print_json(session.output, value)
        return exitcodes.SUCCESS
    outputs.print_table(
        session.output,
        (
            "WORKER",
            "DATA CENTRE",
            "RACK",
            "IN USE",
            "ACCELERATORS",
            "GUARANTEED TO",
            "QUARANTINE",
        ),
        [
            (
                worker["id"],
                worker["data_centre"],
                worker["rack"],
                worker["in_use"],
                worker["accelerators"],
                worker["guaranteed_to"],
                (worker["quarantine"] or {}).get("reason"),
            )
            for worker in value["workers"]
        ],
    )
    for worker_id in value["unlisted_quarantines"]:
        outputs.print_line(
            session.output, f"in quarantine but not listed: {worker_id}"
        )
    if not value["store_answers"]:
        outputs.print_line(
            session.output, "the store does not answer; '-' is not known"
        )
    return exitcodes.SUCCESS
