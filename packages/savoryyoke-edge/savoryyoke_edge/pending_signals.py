"""Keep signals pending while a process has no handlers for them.

This module imports nothing that takes long, so that a process can use it
before its other imports.
"""

import signal

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
DAEMON_SIGNALS = STOP_SIGNALS | {signal.SIGHUP}


def block(signals=DAEMON_SIGNALS):
    """Keep signals pending instead of letting them end the process.

    Threads that are started later inherit this.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
