"""Run events in virtual time."""

import heapq
import itertools


class VirtualClock:
    """Own the time and what is to happen later."""

    def __init__(self):
        self.now_s = 0.0
        self._later = []
        self._numbers = itertools.count()

    def call_at(self, at_s, act, *arguments):
        """Let ``act(*arguments)`` happen at a time, or now if it is past."""
        at_s = max(at_s, self.now_s)
        heapq.heappush(
            self._later, (at_s, next(self._numbers), act, arguments)
        )

    def call_after(self, pause_s, act, *arguments):
        """Let ``act(*arguments)`` happen after a pause."""
        self.call_at(self.now_s + pause_s, act, *arguments)

    def run_until(self, end_s):
        """Let everything happen that is due until a time."""
        while self._later and self._later[0][0] <= end_s:
            self.now_s, _, act, arguments = heapq.heappop(self._later)
            act(*arguments)
        self.now_s = end_s
