"""Detect abrupt shifts of the demand for experts."""

import collections

from savoryyoke.groups.balancing import conf


class ShiftDetector:
    """Detect when the recent demand differs from the earlier demand.

    How much the demand of some tenths of a second differs from that before it
    without a shift depends on the number of requests and on how unevenly they
    choose experts. A distance is therefore a shift if it clearly exceeds those
    of the calmest half second among the latest ones.

    The first shifts may go undetected, since nothing is known then. Their
    distances must not count as usual: the largest of all latest distances
    would hide each shift by the one before it.
    """

    def __init__(self):
        self._usual_distances = collections.deque(maxlen=conf.USUAL_DISTANCES)
        # Distances that may belong to a shift that has just begun.
        self._new_distances = collections.deque()
        self._shift_times_s = collections.deque(
            maxlen=conf.OBSERVED_SHIFT_INTERVALS + 1
        )

    @property
    def min_distance(self):
        """Return the total variation distance from which on demand shifts."""
        distances = list(self._usual_distances)
        if len(distances) < conf.CALM_DISTANCES:
            return conf.DEFAULT_SHIFT_DISTANCE
        largest_calm_distance = min(
            max(distances[start : start + conf.CALM_DISTANCES])
            for start in range(len(distances) - conf.CALM_DISTANCES + 1)
        )
        return max(
            conf.MIN_SHIFT_DISTANCE,
            conf.SHIFT_DISTANCE_RATIO * largest_calm_distance,
        )

    @property
    def mean_life_s(self):
        """Return the mean time between the latest shifts, in seconds.

        It is ``DEMAND_LIFE_S`` until two shifts have been detected.
        """
        intervals = len(self._shift_times_s) - 1
        if intervals < 1:
            return conf.DEMAND_LIFE_S
        return (self._shift_times_s[-1] - self._shift_times_s[0]) / intervals

    def is_shift(self, distance, *, is_settled, now_s):
        """Record the distance of two demands; return whether it is a shift.

        ``is_settled`` is false while the earlier demand is known from so few
        choices that its distance to the recent one is a poor measure.
        """
        min_distance = conf.DEFAULT_SHIFT_DISTANCE
        if is_settled:
            min_distance = self.min_distance
        if distance >= min_distance:
            self._new_distances.clear()
            self._record_shift(now_s)
            return True
        if is_settled:
            self._record_distance(distance, now_s)
        return False

    def _record_distance(self, distance, now_s):
        """Record a distance as usual once it is clear that no shift began."""
        self._new_distances.append((now_s, distance))
        while now_s - self._new_distances[0][0] > conf.RECENT_WINDOW_S:
            self._usual_distances.append(self._new_distances.popleft()[1])

    def _record_shift(self, now_s):
        """Record a shift, unless it is one that is detected again.

        A shift may be detected until it fills the recent window.
        """
        if (
            not self._shift_times_s
            or now_s - self._shift_times_s[-1] > 2 * conf.RECENT_WINDOW_S
        ):
            self._shift_times_s.append(now_s)
