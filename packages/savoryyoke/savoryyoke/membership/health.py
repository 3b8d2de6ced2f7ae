"""Judge how far this process can trust its own observations."""


class LocalHealth:
    """Score the local process and hold whether it suspects itself.

    The score grows with probes that nobody answered and with suspicions of
    this process that it had to refute; it shrinks with each answer in time.
    """

    def __init__(self, *, settings):
        self._settings = settings
        self._score = 0
        self._last_tick_s = None
        self._last_ack_s = None
        self._fresh_ids = set()
        self.is_suspect = True

    @property
    def factor(self):
        """Return what timeouts are multiplied by, from 1 upwards."""
        return 1 + self._score

    def worsen(self):
        """Lengthen the timeouts of this process by one step."""
        self._score = min(self._score + 1, self._settings.health_limit)

    def find_gap(self, *, now_s, is_tick):
        """Return whether the process was not run for too long."""
        last_s = self._last_tick_s
        if last_s is None or now_s - last_s <= self._settings.tick_gap_s:
            if is_tick:
                self._last_tick_s = now_s
            return False
        self._last_tick_s = now_s
        self._score = self._settings.health_limit
        return True

    def find_silence(self, *, now_s):
        """Return whether nobody has acknowledged a probe for too long."""
        if self._last_ack_s is None:
            self._last_ack_s = now_s
        return now_s - self._last_ack_s > self._settings.silence_s

    def suspect(self):
        """Suspect this process; answers from before count no more."""
        self.is_suspect = True
        self._fresh_ids.clear()

    def acknowledge(self, *, vm_id, now_s):
        """Count an answer to a probe that is still open."""
        self._last_ack_s = now_s
        self._score = max(self._score - 1, 0)
        if self.is_suspect:
            self._fresh_ids.add(vm_id)

    def confirm(self, *, peers, now_s):
        """Trust this process again if enough members answered; return so.

        ``peers`` is the number of members that could answer.
        """
        needed = min(self._settings.confirmations, peers)
        if not self.is_suspect or len(self._fresh_ids) < needed:
            return False
        self.is_suspect = False
        self._last_ack_s = now_s
        return True
