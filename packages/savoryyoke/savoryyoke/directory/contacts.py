"""Detect whether an entry has lost contact with the fleet."""

import math

from savoryyoke.directory import decisions


class ContactMonitor:
    """Track recent messages from the fleet to this entry.

    After a pause of the process, only messages sent since then count. Times
    are in monotonic seconds.
    """

    def __init__(self, *, settings):
        self._settings = settings
        self._ticked_at_s = None
        self._resumed_at_s = -math.inf
        self._target_contacts = None
        self._target_contacts_at_s = -math.inf

    def tick(self, *, now_s):
        """Record that the process runs; detect a pause since the last tick."""
        previous_tick_s = self._ticked_at_s
        if previous_tick_s is not None:
            if now_s - previous_tick_s > self._settings.pause_limit_s:
                self._resumed_at_s = now_s
        self._ticked_at_s = now_s

    def record_target_contacts(self, event, *, now_s):
        """Record how many targets sent a message recently."""
        self._target_contacts = event
        self._target_contacts_at_s = now_s

    def is_recent(self, message_at_s, *, now_s):
        """Return whether a message is recent; its time may be None."""
        if message_at_s is None or message_at_s < self._resumed_at_s:
            return False
        return now_s - message_at_s <= self._settings.contact_window_s

    def find_cut_off_reason(self, *, peers_in_contact, peers_expected, now_s):
        """Return the `CutOffReason` of the entry, or None."""
        if self._is_paused(now_s=now_s):
            return decisions.CutOffReason.PAUSED
        targets_expected = targets_in_contact = 0
        if self._target_contacts is not None:
            targets_expected = self._target_contacts.expected_count
            if self.is_recent(self._target_contacts_at_s, now_s=now_s):
                targets_in_contact = self._target_contacts.in_contact_count
        if targets_expected and not targets_in_contact:
            return decisions.CutOffReason.NO_TARGETS
        has_few_peers = (
            peers_in_contact
            < self._settings.minimum_peer_ratio * peers_expected
        )
        has_few_targets = (
            targets_in_contact
            < self._settings.minimum_target_ratio * targets_expected
        )
        if has_few_peers and (has_few_targets or not targets_expected):
            return decisions.CutOffReason.ISOLATED
        return None

    def _is_paused(self, *, now_s):
        """Return whether there is no recent tick or contact after a pause.

        Without recent ticks, the view of the directory is outdated.
        """
        if self._ticked_at_s is None:
            return True
        if now_s - self._ticked_at_s > self._settings.pause_limit_s:
            return True
        if self._target_contacts is None:
            return False
        return self._target_contacts_at_s < self._resumed_at_s
