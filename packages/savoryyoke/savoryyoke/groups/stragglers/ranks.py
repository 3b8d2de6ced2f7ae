"""Judge one rank as slow or healthy without flapping."""

from savoryyoke.groups.stragglers import conf


class RankHealth:
    """Turn a rank's slowdown over time into a lasting judgement.

    Slow ranks count as healthy only after a longer time below a lower
    factor, and that time doubles each time the rank turns slow again.
    """

    def __init__(self):
        """Start healthy."""
        self.slow = False
        self.speed = 1.0
        self._since_s = None
        self._faster_since_s = None
        self._healthy_after_s = conf.HEALTHY_AFTER_S

    def judge(self, *, factor, certain, now_s):
        """Take in the newest slowdown; return whether the speed changed."""
        if not self._leans_other_way(factor, certain):
            self._since_s = None
            return self.slow and self._follow(factor, now_s)
        if self._since_s is None:
            self._since_s = now_s
        wait_s = self._healthy_after_s if self.slow else conf.SLOW_AFTER_S
        if now_s - self._since_s < wait_s:
            return False
        self._since_s = None
        if self.slow:
            self.slow = False
            self.speed = 1.0
            self._healthy_after_s = min(
                2 * self._healthy_after_s, conf.HEALTHY_AFTER_MAX_S
            )
        else:
            self.slow = True
            self.speed = 1 / factor
        return True

    def _leans_other_way(self, factor, certain):
        if self.slow:
            return factor < conf.HEALTHY_FACTOR
        return certain and factor > conf.SLOW_FACTOR

    def _follow(self, factor, now_s):
        """Follow a slow rank that grows slower at once, or faster later."""
        speed = min(1.0, 1 / factor)
        step = conf.SPEED_STEP * self.speed
        if abs(speed - self.speed) < step:
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
