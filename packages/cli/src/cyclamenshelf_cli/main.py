"""The command line of operators: picks the command group."""

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
  jobs        list, show, explain and cancel jobs
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
    argv: list[str], environ: Mapping[str, str], out: TextIO, err: TextIO
) -> int:
    """Run one command and return its exit code."""
    environment = options.Environment(environ, out, err)
    if argv[:1] in (["--help"], ["-h"]):
        print(DOC.strip(), file=out)
        return exitcodes.DONE
    group = GROUPS.get(argv[0]) if argv else None
    if group is None:
        print(DOC.strip(), file=err)
        return exitcodes.USAGE
    try:
        return group(argv, environment)
    except exitcodes.CommandFailedError as failure:
        _report_failure(argv, environment, failure)
        return failure.exit_code


def _report_failure(
    argv: list[str],
    environment: options.Environment,
    failure: exitcodes.CommandFailedError,
) -> None:
    """Print a failure; in JSON format also for programs to read."""
    first, *others = str(failure).splitlines()
    print(f"cyclamenshelf: {outputs.clean(first)}", file=environment.err)
    for line in others:
        print(outputs.clean(line), file=environment.err)
    if "--format=json" in argv or "--format json" in " ".join(argv):
        error = failure.details | {
            "exit_code": failure.exit_code,
            "error": str(failure),
        }
        print(json.dumps(error, indent=2), file=environment.out)


def main() -> int:
    """Run one command of the process and return its exit code."""
    try:
        return run(sys.argv[1:], os.environ, sys.stdout, sys.stderr)
    except BrokenPipeError:
        # The reader, such as `head`, has what it wanted.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exitcodes.DONE
    except KeyboardInterrupt:
        return 130


if __name__ == "__main__":
    sys.exit(main())
