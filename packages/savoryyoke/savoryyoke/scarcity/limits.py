"""Limit what groups of engines run, so that their passes stay short."""

import collections

from savoryyoke.scarcity import conf


class GroupLimit:
    """Own the limit of requests that all entries have in flight at a group.

    A pass takes longer with each request that runs in it, and much longer for
    the second after each shift of demand. A stream lasts nearly as long as
    demand stays as it is, so it is on time only if those passes are short
    enough, too. The limit therefore follows the longest pauses of a window in
    which demand shifts, taken as proportional to the requests that caused
    them. A limit that followed each pause at once would let in more requests
    after each shift than the passes after the next one bear.
    """

    def __init__(self):
        # Times and seconds of a pause for each request in flight.
        self._samples = collections.deque()
        self._accepted_s = 0.0

    def update(self, *, in_flight, slots, pause_s, accepted_s, now_s):
        """Update the limit from what is known about the group.

        ``in_flight`` and ``slots`` are totals of the group. There is no limit
        without a measured pause (``pause_s`` is None), without slots, or if
        the group has had little load throughout the window.
        """
        self._accepted_s = accepted_s
        if pause_s is None or not slots:
            self._samples.clear()
            return
        oldest_s = now_s - conf.LIMIT_WINDOW_S
        while self._samples and self._samples[0][0] < oldest_s:
            self._samples.popleft()
        if (
            in_flight < conf.LOWEST_LIMIT_SHARE * slots
            or self._samples
            and now_s - self._samples[-1][0] < conf.LIMIT_INTERVAL_S
        ):
            return
        pause_s = max(pause_s, conf.SHORTEST_PAUSE_S)
        self._samples.append((now_s, pause_s / in_flight))

    def requests(self, *, slots):
        """Return the limit; None if only the slots limit the group."""
        if not self._samples:
            return None
        longest_s = max(pause_s for _, pause_s in self._samples)
        limit = self._accepted_s / longest_s
        return min(max(limit, conf.LOWEST_LIMIT_SHARE * slots), slots)
