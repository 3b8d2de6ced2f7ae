"""Estimate the requests that peers have placed since their last reports."""

import collections

from savoryyoke.placement import conf


class UnseenPlacements:
    """Estimate how many requests other entries have placed unnoticed.

    Callers choose entries at random, so each peer is assumed to place requests
    at the rate of this entry.
    """

    def __init__(self):
        self._placed_times_s = collections.deque()
        self._reported_s_by_peer = {}

    def record_placement(self, *, now_s):
        """Record that this entry places a request."""
        self._placed_times_s.append(now_s)

    def record_report(self, peer_id, *, now_s):
        """Record that a peer has reported its requests."""
        self._reported_s_by_peer[peer_id] = now_s

    def remove_peer(self, peer_id):
        """Remove a peer that is gone."""
        self._reported_s_by_peer.pop(peer_id, None)

    def rate_per_s(self, *, now_s):
        """Return the rate at which this entry places requests."""
        oldest_s = now_s - conf.PLACEMENT_RATE_WINDOW_S
        while self._placed_times_s and self._placed_times_s[0] < oldest_s:
            self._placed_times_s.popleft()
        return len(self._placed_times_s) / conf.PLACEMENT_RATE_WINDOW_S

    def estimate(self, *, now_s):
        """Return the expected number of unnoticed placements."""
        rate_per_s = self.rate_per_s(now_s=now_s)
        total_age_s = sum(
            min(max(now_s - reported_s, 0.0), conf.REPORT_AGE_MAX_S)
            for reported_s in self._reported_s_by_peer.values()
        )
        return rate_per_s * total_age_s


class ClaimLimit:
    """Limit how often this entry claims a slot that peers may claim too.

    All entries notice the same free slots. If there are fewer of them than
    requests that peers are expected to have placed, an entry draws at random,
    once in each interval, whether it may claim one.
    """

    def __init__(self, *, random_fraction):
        self._random_fraction = random_fraction
        self._interval_number = None

    def allows_claim(self, *, free_slots, unseen, now_s):
        """Return whether a slot that a peer may have taken may be used.

        A draw is good for one slot, so the caller must use it.
        """
        claimable_slots = conf.CLAIMS_PER_FREE_SLOT * free_slots
        if unseen <= claimable_slots:
            return True
        interval_number = now_s // conf.CLAIM_INTERVAL_S
        if interval_number == self._interval_number:
            return False
        self._interval_number = interval_number
        return self._random_fraction() < claimable_slots / unseen
