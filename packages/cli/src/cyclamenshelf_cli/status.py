"""The `status` command: shows the state of one entry host."""

from cyclamenshelf_cli import exitcodes
from cyclamenshelf_cli import link
from cyclamenshelf_cli import options
from cyclamenshelf_cli import output as outputs

DOC = f"""\
Show the state of the first entry host that answers.

Usage:
  cyclamenshelf status [--version=N] [--wait-s=SECONDS]
                       [--operator=URL]... [options]
  cyclamenshelf status --help

Options:
  --version=N             Exit with 1 unless this configuration version, or a
                          newer one, is in force on the host.
  --wait-s=SECONDS        Wait for that version, up to 10 s [default: 0].
{options.COMMON_OPTIONS}
{exitcodes.TABLE}
Examples:
  cyclamenshelf status --operator=http://127.0.0.1:7001
  cyclamenshelf status --version=12 --wait-s=5
  cyclamenshelf status --format=json
"""
_MAX_WAIT_S = 10


def run(argv: list[str], environment: options.Environment) -> int:
    """Run the command and return its exit code."""
    arguments = options.parse_arguments(DOC, argv, environment)
    if arguments is None:
        return exitcodes.SUCCESS
    session = options.make_session(arguments, environment)
    version = options.parse_number(arguments, "--version") or 0
    wait_s = min(options.parse_number(arguments, "--wait-s") or 0, _MAX_WAIT_S)
    status = link.fetch(
        session.client, f"/v1/status?version={version}&wait_ms={wait_s * 1000}"
    ).value
    if session.output.use_json:
        outputs.print_json(session.output, status)
    else:
        fields = {
            name.replace("_", " "): value for name, value in status.items()
        }
        members = status["members"]
        if members:
            fields["members"] = [
                f"{member.get('host', '?')} {member.get('state', '')}".strip()
                for member in members
            ]
        outputs.print_fields(session.output, fields)
    reached = status["configuration_version"] >= version
    return exitcodes.SUCCESS if reached else exitcodes.CHECK_FAILED
