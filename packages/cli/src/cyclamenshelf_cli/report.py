"""The `report` command: shows the service-level burn of each plan."""

import datetime
import pathlib

from cyclamenshelf_cli import burnreport
from cyclamenshelf_cli import exitcodes
from cyclamenshelf_cli import link
from cyclamenshelf_cli import options
from cyclamenshelf_core import burn

DOC = f"""\
Show how fast each plan spends its error budget, and what spent it.

Usage:
  cyclamenshelf report [--html=FILE] [--operator=URL]... [options]
  cyclamenshelf report --help

Options:
  --html=FILE             Also write the report as a page with a plot.
{options.COMMON_OPTIONS}
{exitcodes.TABLE}
Examples:
  cyclamenshelf report --operator=http://127.0.0.1:7001
  cyclamenshelf report --html=burn.html
  cyclamenshelf report --format=json
"""


def run(argv: list[str], environment: options.Environment) -> int:
    """Run the command and return its exit code."""
    arguments = options.parse_arguments(DOC, argv, environment)
    if arguments is None:
        return exitcodes.SUCCESS
    session = options.make_session(arguments, environment)
    response = link.fetch(session.client, "/v1/burn").value
    burns = [burn.decode_burn(value) for value in response["burn"]]
    if session.output.use_json:
        print(burnreport.format_json(burns), file=environment.stdout)
    else:
        print(burnreport.format_text(burns), end="", file=environment.stdout)
    if arguments["--html"]:
        moment = datetime.datetime.fromtimestamp(
            response["time_ms"] / 1000, datetime.UTC
        )
        page = burnreport.format_html(burns, f"{moment:%Y-%m-%d %H:%M:%S}Z")
        pathlib.Path(arguments["--html"]).write_text(page, encoding="utf-8")
    return exitcodes.SUCCESS
