"""Estimate how reliable the observations of this process are."""


class LocalHealth:
    """Keep a health score of the local process and whether it is suspect.

    The score is 0 for a healthy process. It grows when neither the probed
    member nor a relay answers, and when this process has to refute a
    suspicion; it decreases with each answer in time.
    """

    def __init__(self, *, settings):
        self._settings = settings
        self._score = 0
        self._last_tick_s = None
        self._last_ack_s = None
        self._confirming_ids = set()
        self.is_suspect = True

    @property
    def timeout_factor(self):
        """Return the factor, at least 1, by which timeouts are multiplied."""
        return 1 + self._score

    def raise_score(self):
        """Increase the score, and with it the timeouts, by one step."""
        self._score = min(self._score + 1, self._settings.health_limit)

    def detect_pause(self, *, now_s, is_tick):
        """Return whether the last tick is longer ago than ``tick_gap_s``."""
        last_tick_s = self._last_tick_s
        if (
            last_tick_s is None
            or now_s - last_tick_s <= self._settings.tick_gap_s
        ):
            if is_tick:
                self._last_tick_s = now_s
            return False
        self._last_tick_s = now_s
        self._score = self._settings.health_limit
        return True

    def detect_isolation(self, *, now_s):
        """Return whether no probe was acknowledged for ``silence_s``."""
        if self._last_ack_s is None:
            self._last_ack_s = now_s
        return now_s - self._last_ack_s > self._settings.silence_s

    def suspect(self):
        """Mark this process as suspect and disregard earlier answers."""
        self.is_suspect = True
        self._confirming_ids.clear()

    def acknowledge(self, *, vm_id, now_s):
        """Count an answer to an open probe."""
        self._last_ack_s = now_s
        self._score = max(self._score - 1, 0)
        if self.is_suspect:
            self._confirming_ids.add(vm_id)

    def confirm(self, *, peer_count, now_s):
        """End the suspicion if enough members answered; return whether it did.

        ``peer_count`` is the number of members that could answer.
        """
        required_count = min(self._settings.confirmation_count, peer_count)
        if not self.is_suspect or len(self._confirming_ids) < required_count:
            return False
        self.is_suspect = False
        self._last_ack_s = now_s
        return True
