"""Estimate how late messages from another process arrive."""

# Largest drift allowed between two clocks, in seconds per second.
CLOCK_DRIFT_RATIO = 2e-4


class LatenessEstimator:
    """Compare the time stamps of one sender with the local clock.

    The message with the lowest delay so far defines a lateness of zero,
    with an allowance for clock drift. The clocks need not be synchronised.
    """

    def __init__(self):
        self._offset_s = None
        self._updated_at_s = 0.0

    def add(self, *, stamp_s, now_s):
        """Record a message's time stamp; return its lateness in seconds."""
        offset_s = now_s - stamp_s
        if self._offset_s is not None:
            drift_s = CLOCK_DRIFT_RATIO * max(0.0, now_s - self._updated_at_s)
            allowed_s = self._offset_s + drift_s
            self._offset_s = min(offset_s, allowed_s)
        else:
            self._offset_s = offset_s
        self._updated_at_s = now_s
        return offset_s - self._offset_s
