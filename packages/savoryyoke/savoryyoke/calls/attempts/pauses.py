"""Detect that the process was paused."""


class PauseMonitor:
    """Hold whether requests may have waited unseen while we were paused.

    Call ``observe`` with the monotonic time whenever the process wakes, and
    at least every half ``threshold_s``. After a longer gap the process is in
    doubt for ``doubt_s``, in which it empties what has queued up.
    """

    def __init__(self, *, now_s, threshold_s, doubt_s):
        self._last_s = now_s
        self._threshold_s = threshold_s
        self._doubt_s = doubt_s
        self._doubt_ends_s = now_s

    def observe(self, *, now_s):
        """Return whether the process is in doubt."""
        if now_s - self._last_s > self._threshold_s:
            self._doubt_ends_s = now_s + self._doubt_s
        self._last_s = now_s
        return now_s < self._doubt_ends_s
