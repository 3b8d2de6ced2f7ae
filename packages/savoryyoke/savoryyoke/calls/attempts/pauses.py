"""Detect that the process was paused."""


class PauseMonitor:
    """Detect whether requests may have waited during a pause.

    Call ``observe`` with the monotonic time whenever the process wakes, and
    at least every half ``threshold_s``. A gap longer than ``threshold_s``
    counts as a pause. Requests read in the ``recovery_s`` after it may have
    arrived before the pause.
    """

    def __init__(self, *, now_s, threshold_s, recovery_s):
        self._last_observed_s = now_s
        self._threshold_s = threshold_s
        self._recovery_s = recovery_s
        self._recovery_ends_s = now_s

    def observe(self, *, now_s):
        """Return whether requests read now may predate a pause."""
        if now_s - self._last_observed_s > self._threshold_s:
            self._recovery_ends_s = now_s + self._recovery_s
        self._last_observed_s = now_s
        return now_s < self._recovery_ends_s
