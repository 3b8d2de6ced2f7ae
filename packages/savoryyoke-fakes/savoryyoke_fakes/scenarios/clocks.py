"""Order events by virtual time."""

import heapq

import numpy as np

DELAYS_S = (0.001, 0.02)


class Clock:
    """Hold the virtual time, what is due, and the seeded generator."""

    def __init__(self, *, seed):
        self.now_s = 0.0
        self.generator = np.random.default_rng(seed)
        self._due = []
        self._count = 0

    def call_after(self, delay_s, function, *arguments):
        """Call a function after a virtual delay."""
        self._count += 1
        item = (self.now_s + delay_s, self._count, function, arguments)
        heapq.heappush(self._due, item)

    def send(self, function, *arguments, delays_s=DELAYS_S):
        """Call a function after a random delay, as a message would."""
        delay_s = self.generator.uniform(*delays_s)
        self.call_after(delay_s, function, *arguments)

    def advance(self, seconds):
        """Let virtual time pass and call what falls due."""
        end_s = self.now_s + seconds
        while self._due and self._due[0][0] <= end_s:
            self.now_s, _, function, arguments = heapq.heappop(self._due)
            function(*arguments)
        self.now_s = end_s
