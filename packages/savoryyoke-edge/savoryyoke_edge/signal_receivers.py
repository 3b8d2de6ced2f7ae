"""Receive signals in an event loop, also those that are pending."""

import contextlib
import signal

import anyio

from savoryyoke_edge import pending_signals


@contextlib.contextmanager
def open_receiver(signals=pending_signals.DAEMON_SIGNALS):
    """Return an asynchronous iterator of the signals that are received.

    Signals that are blocked are unblocked only while the receiver handles
    them. Its end restores their default actions.
    """
    with anyio.open_signal_receiver(*signals) as received_signals:
        previous_mask = signal.pthread_sigmask(signal.SIG_UNBLOCK, signals)
        try:
            yield received_signals
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)
