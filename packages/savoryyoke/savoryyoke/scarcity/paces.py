"""Estimate the time of a pass of each group of engines."""

import dataclasses
import math

from savoryyoke.scarcity import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Estimate:
    """Hold a mean pause and when the last one was measured, in seconds."""

    pause_s: float
    measured_s: float


class Paces:
    """Own the mean pauses between events of this entry's streams, by group.

    Each running stream of a group gets one event in a pass, so the mean pause
    is the mean time of a pass.
    """

    def __init__(self):
        self._estimates_by_group = {}

    def record(self, group, pause_s, *, longest_s, now_s):
        """Record a pause; one beyond ``longest_s`` counts as that."""
        pause_s = min(pause_s, longest_s)
        estimate = self._estimates_by_group.get(group)
        if estimate is None or self._is_old(estimate, now_s):
            mean_s = pause_s
        else:
            age_s = max(now_s - estimate.measured_s, 0.0)
            # Pauses that end in the same pass arrive together; each of them
            # has a small weight of its own.
            weight = 1.0 - math.exp(
                -max(age_s, conf.PACE_TIME_CONSTANT_S / 50)
                / conf.PACE_TIME_CONSTANT_S
            )
            mean_s = estimate.pause_s + weight * (pause_s - estimate.pause_s)
        self._estimates_by_group[group] = _Estimate(
            pause_s=mean_s, measured_s=now_s
        )

    def find(self, group, *, now_s):
        """Return the mean pause of a group in seconds, or None."""
        estimate = self._estimates_by_group.get(group)
        if estimate is None or self._is_old(estimate, now_s):
            return None
        return estimate.pause_s

    def keep(self, groups):
        """Forget the groups that are not in ``groups``."""
        self._estimates_by_group = {
            group: estimate
            for group, estimate in self._estimates_by_group.items()
            if group in groups
        }

    @staticmethod
    def _is_old(estimate, now_s):
        return now_s - estimate.measured_s > conf.PACE_LIFETIME_S
