"""Limit what groups of engines run, so that their passes stay short."""

from savoryyoke.scarcity import conf


class GroupLimit:
    """Own the limit of requests that all entries have in flight at a group.

    A pass takes longer with each request that runs in it. While the mean pause
    is longer than ``accepted_s``, the limit falls to the number of requests
    that would make it as long as that if the pause were proportional to them.
    That is less than the true number, but the limit is computed anew from each
    measured pause, so it rises again as the pause gets shorter. ``share`` is
    the limit as a share of the slots.
    """

    def __init__(self, *, accepted_s):
        self._accepted_s = accepted_s
        self._requests = None
        self._updated_s = None
        self.share = 1.0

    def update(self, *, in_flight, slots, pause_s, now_s):
        """Update the limit from what is known about the group.

        ``in_flight`` and ``slots`` are totals of the group. Without a measured
        pause (``pause_s`` is None) all slots may be used.
        """
        if pause_s is None:
            self._requests = None
            self.share = 1.0
            return
        if (
            self._updated_s is not None
            and now_s - self._updated_s < conf.LIMIT_INTERVAL_S
        ):
            return
        self._updated_s = now_s
        headroom = conf.LIMIT_HEADROOM_SHARE * slots
        wanted = in_flight * self._accepted_s / pause_s
        if pause_s < self._accepted_s:
            wanted += headroom
        current = slots if self._requests is None else self._requests
        current += conf.LIMIT_STEP * (wanted - current)
        self._requests = min(
            max(current, conf.LOWEST_LIMIT_SHARE * slots), slots
        )
        self.share = self._requests / slots

    def requests(self, *, slots):
        """Return the limit; ``slots`` if nothing else limits the group."""
        if self._requests is None:
            return slots
        return min(self._requests, slots)
