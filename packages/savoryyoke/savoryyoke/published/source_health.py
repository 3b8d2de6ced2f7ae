"""Tell a lost connection to the platform from an outage of the platform."""

import math


class SourceHealth:
    """Judge the platform by the reads that fail.

    A single failed read may be due to its connection: it may go silent, and
    the platform may cut a read that waits. So it is repeated at once, on a
    new connection. Only if that fails as well, the platform is lost.
    """

    def __init__(self, *, retry_delay_s):
        """Repeat further reads ``retry_delay_s`` seconds after a failure."""
        self._retry_delay_s = retry_delay_s
        self._failures = 0
        self._last_retry_s = -math.inf

    @property
    def is_lost(self):
        """Return whether the platform itself can't be read."""
        return self._failures > 1

    def record_failure(self, *, now_s):
        """Return the seconds to wait before the next read."""
        self._failures += 1
        is_first = self._failures == 1
        # Limits the calls to a platform that fails every second read.
        if is_first and now_s - self._last_retry_s >= self._retry_delay_s:
            self._last_retry_s = now_s
            return 0.0
        return self._retry_delay_s

    def record_success(self):
        """Return whether this read ends an outage."""
        was_lost = self.is_lost
        self._failures = 0
        return was_lost
