"""Entry point of the command line: dispatches to the command groups."""

from collections.abc import Mapping
import json
import os
import sys
from typing import TextIO

from cyclamenshelf_cli import accounts
from cyclamenshelf_cli import config
from cyclamenshelf_cli import drain
from cyclamenshelf_cli import exitcodes
from cyclamenshelf_cli import guarantees
from cyclamenshelf_cli import jobs
from cyclamenshelf_cli import options
from cyclamenshelf_cli import output as outputs
from cyclamenshelf_cli import quarantine
from cyclamenshelf_cli import report
from cyclamenshelf_cli import status
from cyclamenshelf_cli import workers

DOC = f"""\
Operate cyclamenshelf from the command line.

Usage:
  cyclamenshelf <group> [<arguments>...]
  cyclamenshelf <group> --help
  cyclamenshelf --help

Groups:
  config      read, check, compare and apply the two lists; their history
  status      state of one entry host
  workers     the listed workers
  accounts    the client accounts
  guarantees  held, lent out, reclaimable or at risk
  jobs        list, show, explain, preview and cancel jobs
  quarantine  take a worker out of service
  drain       make one entry host exit
  report      service-level burn of each plan

{exitcodes.TABLE}"""
GROUPS = {
    "config": config.run,
    "status": status.run,
    "workers": workers.run,
    "accounts": accounts.run,
    "guarantees": guarantees.run,
    "jobs": jobs.run,
    "quarantine": quarantine.run,
    "drain": drain.run,
    "report": report.run,
}


def run(
    argv: list[str], environ: Mapping[str, str], stdout: TextIO, stderr: TextIO
) -> int:
    """Run one command and return its exit code."""
    environment = options.Environment(environ, stdout, stderr)
    if argv[:1] in (["--help"], ["-h"]):
        print(DOC.strip(), file=stdout)
        return exitcodes.SUCCESS
    run_group = GROUPS.get(argv[0]) if argv else None
    if run_group is None:
        print(DOC.strip(), file=stderr)
        return exitcodes.USAGE_ERROR
    try:
        return run_group(argv, environment)
    except exitcodes.CommandFailedError as failure:
        _print_failure(argv, environment, failure)
        return failure.exit_code


def _print_failure(
    argv: list[str],
    environment: options.Environment,
    failure: exitcodes.CommandFailedError,
) -> None:
    """Print a failure to stderr and, with `--format=json`, JSON to stdout."""
    first_line, *other_lines = str(failure).splitlines()
    print(
        f"cyclamenshelf: {outputs.replace_unprintable(first_line)}",
        file=environment.stderr,
    )
    for line in other_lines:
        print(outputs.replace_unprintable(line), file=environment.stderr)
    if "--format=json" in argv or "--format json" in " ".join(argv):
        error = failure.details | {
            "exit_code": failure.exit_code,
            "error": str(failure),
        }
        print(json.dumps(error, indent=2), file=environment.stdout)


def main() -> int:
    """Run the command given in `sys.argv` and return its exit code."""
    try:
        return run(sys.argv[1:], os.environ, sys.stdout, sys.stderr)
    except BrokenPipeError:
        # The reader, such as `head`, closed the pipe. Redirects stdout, so that
        # flushing it at exit does not fail as well.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exitcodes.SUCCESS
    except KeyboardInterrupt:
        return 130


if __name__ == "__main__":
    sys.exit(main())
