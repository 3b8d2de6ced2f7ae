"""Classify one rank as slow or healthy without flapping."""

from savoryyoke.groups.stragglers import conf


class RankHealth:
    """Classify a rank by its time ratio over time, with hysteresis.

    A rank becomes slow after ``SLOW_AFTER_S`` above ``SLOW_TIME_RATIO``. It
    becomes healthy after a longer time below the lower
    ``HEALTHY_TIME_RATIO``; that time doubles with each recovery.
    """

    def __init__(self):
        """Start as healthy."""
        self.is_slow = False
        self.speed = 1.0
        self._contradicted_since_s = None
        self._faster_since_s = None
        self._healthy_after_s = conf.HEALTHY_AFTER_S

    def update(self, *, time_ratio, is_significant, now_s):
        """Process the newest time ratio; return whether the speed changed."""
        if not self._contradicts_state(time_ratio, is_significant):
            self._contradicted_since_s = None
            return self.is_slow and self._update_speed(time_ratio, now_s)
        if self._contradicted_since_s is None:
            self._contradicted_since_s = now_s
        required_s = (
            self._healthy_after_s if self.is_slow else conf.SLOW_AFTER_S
        )
        if now_s - self._contradicted_since_s < required_s:
            return False
        self._contradicted_since_s = None
        if self.is_slow:
            self.is_slow = False
            self.speed = 1.0
            self._healthy_after_s = min(
                2 * self._healthy_after_s, conf.MAX_HEALTHY_AFTER_S
            )
        else:
            self.is_slow = True
            self.speed = 1 / time_ratio
        return True

    def _contradicts_state(self, time_ratio, is_significant):
        if self.is_slow:
            return time_ratio < conf.HEALTHY_TIME_RATIO
        return is_significant and time_ratio > conf.SLOW_TIME_RATIO

    def _update_speed(self, time_ratio, now_s):
        """Update a slow rank's speed; return whether it changed.

        A lower speed counts at once, a higher one after ``HEALTHY_AFTER_S``.
        """
        speed = min(1.0, 1 / time_ratio)
        min_change = conf.MIN_RELATIVE_SPEED_CHANGE * self.speed
        if abs(speed - self.speed) < min_change:
            self._faster_since_s = None
            return False
        if speed > self.speed:
            if self._faster_since_s is None:
                self._faster_since_s = now_s
            if now_s - self._faster_since_s < conf.HEALTHY_AFTER_S:
                return False
        self._faster_since_s = None
        self.speed = speed
        return True
