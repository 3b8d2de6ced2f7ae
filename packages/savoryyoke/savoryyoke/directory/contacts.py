"""Judge whether an entry still hears the fleet."""

import math

from savoryyoke.directory import decisions


class ContactMonitor:
    """Track how much of the fleet this entry hears.

    After a pause nothing counts as heard until it is heard again.
    """

    def __init__(self, *, settings):
        self._settings = settings
        self._ticked_at_s = None
        self._resumed_at_s = -math.inf
        self._targets = None
        self._targets_at_s = -math.inf

    def tick(self, *, now_s):
        """Note that the process runs; detect that it was paused."""
        last_s = self._ticked_at_s
        if last_s is not None:
            if now_s - last_s > self._settings.pause_limit_s:
                self._resumed_at_s = now_s
        self._ticked_at_s = now_s

    def hear_targets(self, heard, *, now_s):
        """Take the number of targets heard lately."""
        self._targets = heard
        self._targets_at_s = now_s

    def counts_as_heard(self, heard_at_s, *, now_s):
        """Return whether something heard at a time still counts."""
        if heard_at_s is None or heard_at_s < self._resumed_at_s:
            return False
        return now_s - heard_at_s <= self._settings.contact_window_s

    def judge(self, *, peers_heard, peers_expected, now_s):
        """Return why the entry is cut off, or None."""
        if self._is_paused(now_s=now_s):
            return decisions.CutOffReason.PAUSED
        expected = heard = 0
        if self._targets is not None:
            expected = self._targets.expected
            if self.counts_as_heard(self._targets_at_s, now_s=now_s):
                heard = self._targets.heard
        if expected and not heard:
            return decisions.CutOffReason.NO_TARGETS
        few_peers = (
            peers_heard < self._settings.minimum_peer_ratio * peers_expected
        )
        few_targets = heard < self._settings.minimum_target_ratio * expected
        if few_peers and (few_targets or not expected):
            return decisions.CutOffReason.ISOLATED
        return None

    def _is_paused(self, *, now_s):
        """Return whether the process stood still, or targets are unheard.

        Without ticks, what was heard would never grow old.
        """
        if self._ticked_at_s is None:
            return True
        if now_s - self._ticked_at_s > self._settings.pause_limit_s:
            return True
        if self._targets is None:
            return False
        return self._targets_at_s < self._resumed_at_s
