"""Operate cyclamenshelf from the command line.

Usage:
  cyclamenshelf status --operator=URL
  cyclamenshelf --help

Options:
  --operator=URL  Operators' address of any entry host.
  --help          Show this text.

Exit codes: 0 done, 3 the host does not answer.
"""

import sys

import docopt
import urllib3


def main() -> int:
    """Run one command and return its exit code."""
    arguments = docopt.docopt(__doc__)
    try:
        response = urllib3.request(
            "GET", arguments["--operator"] + "/v1/status", timeout=5.0
        )
    except urllib3.exceptions.HTTPError as error:
        print(f"cyclamenshelf: {error}", file=sys.stderr)
        return 3
    print(response.data.decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
