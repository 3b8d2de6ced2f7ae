"""Limit what groups of engines run, so that their passes stay short."""

from savoryyoke.scarcity import conf


class GroupLimit:
    """Own the limit of requests that all entries have in flight at a group.

    A pass takes longer with each request that runs in it. While the mean pause
    is longer than ``accepted_s``, the limit falls to the number of requests
    that would make it as long as that if the pause were proportional to them.
    That is less than the true number, but the limit is computed anew from each
    measured pause, so it rises again as the pause gets shorter.
    """

    def __init__(self):
        self._requests = None
        self._updated_s = None

    def update(self, *, in_flight, slots, pause_s, accepted_s, now_s):
        """Update the limit from what is known about the group.

        ``in_flight`` and ``slots`` are totals of the group. There is no limit
        without a measured pause (``pause_s`` is None) or without slots.
        """
        if pause_s is None or not slots:
            self._requests = None
            return
        if (
            self._updated_s is not None
            and now_s - self._updated_s < conf.LIMIT_INTERVAL_S
        ):
            return
        self._updated_s = now_s
        headroom = conf.LIMIT_HEADROOM_SHARE * slots
        wanted = in_flight * accepted_s / max(pause_s, conf.SHORTEST_PAUSE_S)
        if pause_s < accepted_s:
            wanted += headroom
        current = slots if self._requests is None else self._requests
        current += conf.LIMIT_STEP * (wanted - current)
        self._requests = min(
            max(current, conf.LOWEST_LIMIT_SHARE * slots), slots
        )

    def requests(self, *, slots):
        """Return the limit; None if only the slots limit the group."""
        if self._requests is None:
            return None
        return min(self._requests, slots)
