"""Command for the service-level burn report."""

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
{options.COMMON}
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
        return exitcodes.DONE
    session = options.make_session(arguments, environment)
    answer = link.read(session.link, "/v1/burn").value
    burns = [burn.decode_burn(value) for value in answer["burn"]]
    if session.output.json:
        print(burnreport.format_json(burns), file=environment.out)
    else:
        print(burnreport.format_text(burns), end="", file=environment.out)
    if arguments["--html"]:
        time = datetime.datetime.fromtimestamp(
            answer["time_ms"] / 1000, datetime.UTC
        )
        page = burnreport.format_html(burns, f"{time:%Y-%m-%d %H:%M:%S}Z")
        pathlib.Path(arguments["--html"]).write_text(page, encoding="utf-8")
    return exitcodes.DONE
