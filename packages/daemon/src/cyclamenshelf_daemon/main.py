"""Run an entry host of cyclamenshelf.

Usage:
  cyclamenshelfd --settings=FILE [--check-settings]
  cyclamenshelfd --help

Options:
  --settings=FILE   YAML file with the settings of this host.
  --check-settings  Check the settings, print every error and exit.
  --help            Show this text.

Exit codes: 0 stopped as asked, 2 invalid settings.
"""

import sys

import docopt

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import daemon
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import settings as settings_files
from cyclamenshelf_daemon import signals


def main() -> int:
    """Run the daemon until a stop is requested; return the exit code."""
    arguments = docopt.docopt(__doc__)
    try:
        settings = settings_files.read_settings(arguments["--settings"])
        secrets = settings_files.read_secrets(settings)
    except errors.InvalidSettingsError as error:
        for problem in error.problems:
            print(f"cyclamenshelfd: {problem}", file=sys.stderr)
        return 2
    if arguments["--check-settings"]:
        print(f"{arguments['--settings']}: no problems")
        return 0
    logs.set_up_logs(settings.host_id, settings.log_level)
    signals.block_signals()
    running = daemon.start_daemon(
        settings, secrets, clocks.make_system_clock(), signals.request_stop
    )
    signals.wait_for_stop()
    daemon.stop_daemon(running)
    return 0


if __name__ == "__main__":
    sys.exit(main())
