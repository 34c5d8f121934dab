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

import signal
import sys
import threading

import docopt

from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_daemon import daemon
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import settings as settings_files


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
    stopping = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopping.set())
    running = daemon.start_daemon(
        settings, secrets, clocks.make_system_clock(), stopping
    )
    stopping.wait()
    daemon.stop_daemon(running)
    return 0


if __name__ == "__main__":
    sys.exit(main())
