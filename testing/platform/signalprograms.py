"""Runs the daemon or the platform's host with signals at chosen moments.

Both programs start no component here: only their start-up and their wait for a
signal are real.

Usage:
  signalprograms.py send PROGRAM SIGNALS [--blocked]
  signalprograms.py steps PROGRAM

Commands:
  send   Send signals, separated by commas, before the program waits; exit as
         the program does.
  steps  Run the program in one process for each step of its wait, and send
         SIGTERM at that step. Print a line of JSON for each process.

Options:
  --blocked  Start the program with the signals blocked.
"""

import json
import os
import signal
import sys
import threading
import time
from unittest import mock

from cyclamenshelf_platform import main as platform_main
import docopt

from cyclamenshelf_daemon import main as daemon_main

# Time for the program to execute the steps before it blocks.
_STEPS_TIMEOUT_S = 0.5
_EXIT_TIMEOUT_S = 5
_POLL_S = 0.005


def run_daemon(on_started):
    settings = mock.Mock(host_id="host", log_level="INFO")
    sys.argv = ["cyclamenshelfd", "--settings=unused"]
    with (
        mock.patch.multiple(
            daemon_main.settings_files,
            read_settings=lambda path: settings,
            read_secrets=lambda settings: None,
        ),
        mock.patch.multiple(
            daemon_main.daemon,
            start_daemon=lambda *context: on_started(),
            stop_daemon=lambda running: None,
        ),
    ):
        return daemon_main.main()


def run_platform(on_started):
    os.environ["CYCLAMENSHELF_SETTINGS"] = "unused"
    settings = mock.MagicMock(host_id="host", grace_ms=0)
    server = mock.Mock()

    def start_server(*arguments, **options):
        # The server for readiness is started last.
        if arguments[-1] == "readiness":
            on_started()
        return server

    with (
        mock.patch.multiple(
            platform_main,
            hosts=mock.Mock(),
            callers=mock.Mock(make_readiness_handler=lambda host: "readiness"),
            _make_context=mock.Mock(),
            _DRAIN_MS=0,
        ),
        mock.patch.object(
            platform_main.settings_files, "read_settings", lambda path: settings
        ),
        mock.patch.object(
            platform_main.webserver, "start_server", start_server
        ),
    ):
        return platform_main.main()


PROGRAMS = {"daemon": run_daemon, "platform": run_platform}


def send_signal(signal_number):
    os.kill(os.getpid(), signal_number)


def run_with_signal_at_step(program, step, report):
    """Run a program that gets SIGTERM at one line that its wait executes.

    Args:
        program: Function that runs the program.
        step: Number of the line.
        report: Called with whether the program executed that many lines before
            it blocked.
    """
    lines = 0

    def trace(frame, event, argument):
        nonlocal lines
        if event == "line":
            lines += 1
            if lines == step:
                sys.settrace(None)
                report(True)
                send_signal(signal.SIGTERM)
        return trace

    def end_wait():
        if lines < step:
            report(False)
            send_signal(signal.SIGTERM)

    def start_tracing():
        timer = threading.Timer(_STEPS_TIMEOUT_S, end_wait)
        timer.daemon = True
        timer.start()
        sys.settrace(trace)

    return program(start_tracing)


def run_step(program, step):
    """Run a program in a child process; return what is to be printed."""
    reader, writer = os.pipe()
    child = os.fork()
    if child == 0:
        code = run_with_signal_at_step(
            program, step, lambda reached: os.write(writer, b"%d" % reached)
        )
        os._exit(code)
    os.close(writer)
    code = wait_for_exit(child)
    reached = os.read(reader, 1) == b"1"
    os.close(reader)
    return {"step": step, "reached": reached, "exit_code": code}


def wait_for_exit(child):
    """Return the exit code of a child process; kill it after a timeout."""
    deadline = time.monotonic() + _EXIT_TIMEOUT_S
    while time.monotonic() < deadline:
        process_id, status = os.waitpid(child, os.WNOHANG)
        if process_id:
            return os.waitstatus_to_exitcode(status)
        time.sleep(_POLL_S)
    os.kill(child, signal.SIGKILL)
    os.waitpid(child, 0)
    return None


def print_steps(program):
    step, reached = 0, True
    while reached:
        step += 1
        result = run_step(program, step)
        reached = result["reached"]
        print(json.dumps(result), flush=True)


def send_signals(program, signals, blocked):
    """Run a program that gets signals between its start and its wait."""
    if blocked:
        signal.pthread_sigmask(signal.SIG_BLOCK, signals)

    def send_all():
        for signal_number in signals:
            send_signal(signal_number)

    return program(send_all)


def main():
    arguments = docopt.docopt(__doc__)
    program = PROGRAMS[arguments["PROGRAM"]]
    if arguments["steps"]:
        print_steps(program)
        return 0
    signals = [signal.Signals[name] for name in arguments["SIGNALS"].split(",")]
    return send_signals(program, signals, arguments["--blocked"])


if __name__ == "__main__":
    sys.exit(main())
