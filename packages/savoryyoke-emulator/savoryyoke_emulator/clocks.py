"""Run scheduled callbacks in virtual time."""

import heapq
import itertools


class VirtualClock:
    """Hold the virtual time, in seconds, and the scheduled callbacks."""

    def __init__(self):
        self.now_s = 0.0
        self._scheduled = []
        self._sequence = itertools.count()

    def call_at(self, at_s, callback, *arguments):
        """Schedule a callback at ``at_s``, or now if that is past."""
        at_s = max(at_s, self.now_s)
        heapq.heappush(
            self._scheduled, (at_s, next(self._sequence), callback, arguments)
        )

    def call_after(self, pause_s, callback, *arguments):
        """Schedule a callback ``pause_s`` from now."""
        self.call_at(self.now_s + pause_s, callback, *arguments)

    def run_until(self, end_s):
        """Run the callbacks due until ``end_s`` and advance the time to it."""
        while self._scheduled and self._scheduled[0][0] <= end_s:
            self.now_s, _, callback, arguments = heapq.heappop(self._scheduled)
            callback(*arguments)
        self.now_s = end_s
