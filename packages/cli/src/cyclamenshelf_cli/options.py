"""Options shared by all commands, and the session built from them."""

from collections.abc import Mapping
import re
from typing import Any
from typing import NamedTuple
from typing import TextIO

import docopt

from cyclamenshelf_cli import exitcodes
from cyclamenshelf_cli import link
from cyclamenshelf_cli import output as outputs

COMMON_OPTIONS = """\
  --operator=URL          Operators' address of an entry host; repeat it for
                          more hosts, which are tried in order. Without it,
                          CYCLAMENSHELF_OPERATORS is split at spaces.
  --credential-file=FILE  File with the operators' credential. Without it,
                          CYCLAMENSHELF_CREDENTIAL_FILE names the file, or
                          CYCLAMENSHELF_CREDENTIAL holds the credential.
  --timeout-s=SECONDS     How long to wait for a host that is connected
                          [default: 30].
  --format=FORMAT         text or json [default: text].
  --help                  Show this text.
"""
AUTHOR_OPTION = """\
  --author=NAME           Who asks, kept with the change. Without it,
                          CYCLAMENSHELF_AUTHOR is used.
"""
_URL_PATTERN = re.compile(r"https?://[^/@\s?#]+")
_CREDENTIAL_PATTERN = re.compile(r"[!-~]+")
_MAX_TIMEOUT_S = 600


class Environment(NamedTuple):
    """Environment variables and output streams of the process."""

    environ: Mapping[str, str]
    stdout: TextIO
    stderr: TextIO


class Session(NamedTuple):
    """Client, output settings and environment of one command."""

    client: link.Client
    output: outputs.Output
    environment: Environment


def parse_arguments(
    doc: str, argv: list[str], environment: Environment
) -> dict[str, Any] | None:
    """Return the parsed arguments, or None after printing the help text.

    Raises:
        exitcodes.CommandFailedError: The arguments do not match the usage.
    """
    if "--help" in argv or "-h" in argv:
        print(doc.strip(), file=environment.stdout)
        return None
    try:
        return docopt.docopt(doc, argv, default_help=False)
    except docopt.DocoptExit as error:
        # The message of docopt repeats the arguments, which may contain a
        # credential.
        raise exitcodes.CommandFailedError(
            exitcodes.USAGE_ERROR,
            "the arguments do not fit the usage\n" + error.usage.strip(),
        ) from None


def make_session(
    arguments: dict[str, Any], environment: Environment
) -> Session:
    """Return a session configured by the common options.

    Raises:
        exitcodes.CommandFailedError: An option is missing or invalid.
    """
    if arguments["--format"] not in ("text", "json"):
        raise _make_usage_error("--format: expected text or json")
    output = outputs.make_output(
        environment.stdout,
        environment.stderr,
        environment.environ,
        arguments["--format"],
    )
    urls = (
        arguments["--operator"]
        or environment.environ.get("CYCLAMENSHELF_OPERATORS", "")
        .replace(",", " ")
        .split()
    )
    if not urls:
        raise _make_usage_error(
            "no entry host: give --operator or set CYCLAMENSHELF_OPERATORS"
        )
    for url in urls:
        # URLs appear in messages, so they must not contain a password.
        if not _URL_PATTERN.fullmatch(url.rstrip("/")):
            raise _make_usage_error(
                "--operator: expected http://HOST:PORT or https://HOST:PORT"
            )
    return Session(
        link.make_client(
            tuple(url.rstrip("/") for url in urls),
            _read_credential(arguments["--credential-file"], environment),
            _parse_timeout(arguments["--timeout-s"]),
        ),
        output,
        environment,
    )


def get_author(arguments: dict[str, Any], environment: Environment) -> str:
    """Return the author of a change, from the option or the environment.

    Raises:
        exitcodes.CommandFailedError: No author is given.
    """
    author = arguments["--author"] or environment.environ.get(
        "CYCLAMENSHELF_AUTHOR"
    )
    if not author:
        raise _make_usage_error(
            "no author: give --author or set CYCLAMENSHELF_AUTHOR"
        )
    return author


def parse_number(arguments: dict[str, Any], name: str) -> int | None:
    """Return a numeric argument, or None if it is not given.

    Raises:
        exitcodes.CommandFailedError: The argument is not a number.
    """
    text = arguments[name]
    if text is None:
        return None
    if not (text.isascii() and text.isdecimal()) or len(text) > 8:
        raise _make_usage_error(f"{name}: expected a number, got {text!r:.40}")
    return int(text)


def _read_credential(path: str | None, environment: Environment) -> str:
    path = path or environment.environ.get("CYCLAMENSHELF_CREDENTIAL_FILE")
    if path:
        try:
            with open(path, encoding="utf-8") as file:
                credential = file.read().strip()
        except (OSError, UnicodeError) as error:
            reason = getattr(error, "strerror", None) or "not a text file"
            raise _make_usage_error(f"credential file {path}: {reason}") from (
                None
            )
    else:
        credential = environment.environ.get("CYCLAMENSHELF_CREDENTIAL", "")
        credential = credential.strip()
    if not _CREDENTIAL_PATTERN.fullmatch(credential):
        raise _make_usage_error(
            "no credential of printable ASCII characters: give "
            "--credential-file or set CYCLAMENSHELF_CREDENTIAL"
        )
    return credential


def _parse_timeout(text: str) -> float:
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = 0
    if not 0 < timeout_s <= _MAX_TIMEOUT_S:
        raise _make_usage_error(
            f"--timeout-s: expected over 0, up to {_MAX_TIMEOUT_S}"
        )
    return timeout_s


def _make_usage_error(message: str) -> exitcodes.CommandFailedError:
    return exitcodes.CommandFailedError(exitcodes.USAGE_ERROR, message)
