"""The signals that stop a program or ask it to reload its settings.

They are blocked in all threads, and the main thread takes them one by one with
`sigwait`. A signal handler would be less safe: it may interrupt the main thread
while that holds a lock which the handler needs, and it does not run if its
signal arrives just before the main thread blocks.
"""

import os
import signal

from cyclamenshelf_daemon import logs

_STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
_SIGNALS = _STOP_SIGNALS | {signal.SIGHUP}


def block_signals() -> None:
    """Keep signals pending until `wait_for_stop` takes them.

    Call it in the main thread before other threads start, which inherit the
    block. A thread without it would let a signal end the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)


def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT.

    Settings are read at the start only, so SIGHUP is logged and changes
    nothing.
    """
    while signal.sigwait(_SIGNALS) not in _STOP_SIGNALS:
        logs.log_event("settings_kept")


def request_stop() -> None:
    """Make `wait_for_stop` return; any thread may call it."""
    os.kill(os.getpid(), signal.SIGTERM)
