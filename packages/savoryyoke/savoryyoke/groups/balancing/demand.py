"""Estimate the present demand for each expert.

The demand for an expert is its share of all choices in its set. A choice is
the selection of one expert for one token.
"""

import collections
import operator

from savoryyoke.groups.balancing import conf
from savoryyoke.groups.balancing import shifts


class ChoiceCounter:
    """Sum up choices of experts between two reports to the leader.

    An engine counts choices cumulatively from its start, so a count that is
    smaller than before means that the engine was restarted.
    """

    def __init__(self):
        self._engine_counts = None
        self._sum = None

    def add_engine_counts(self, counts):
        """Add the increase of the own engine's cumulative counts.

        The first counts, and those after a restart of the engine or a change
        of its number of experts, are only the base of later increases.
        """
        previous_counts, self._engine_counts = self._engine_counts, counts
        if previous_counts is None or len(previous_counts) != len(counts):
            return
        if not any(map(operator.lt, counts, previous_counts)):
            self.add(list(map(operator.sub, counts, previous_counts)))

    def add(self, choices):
        """Add choices, such as those that another rank has reported.

        ``choices`` holds a number per expert, set by set. Choices of another
        length than the sum so far replace it.
        """
        if self._sum is None or len(self._sum) != len(choices):
            self._sum = list(choices)
        else:
            self._sum = list(map(operator.add, self._sum, choices))

    def pop_choices(self):
        """Return the choices since the last call; None if there are none."""
        choices, self._sum = self._sum, None
        return choices if choices is not None and any(choices) else None


class DemandEstimator:
    """Estimate the demand from the choices of all ranks since its last shift.

    Demand stays stable for some seconds and then shifts abruptly. The choices
    of a recent window are therefore compared with those of a reference window
    before it. If the two differ too much, the baseline, which is all choices
    before the recent window, is dropped, so that no plan is based on outdated
    demand. Otherwise the estimate includes both, because the few requests of
    a short window are a small sample. The baseline decays slowly.
    """

    def __init__(self, *, sets, experts):
        self._sets = sets
        self._experts = experts
        self._recent = collections.deque()
        self._reference = collections.deque()
        self._reference_counts = [0] * (sets * experts)
        self._baseline = [0.0] * (sets * experts)
        self._baseline_s = None
        self.distance = None
        self.shift_distance = None
        self._shifts = shifts.ShiftDetector()

    @property
    def mean_life_s(self):
        """Return the mean time between shifts of demand, in seconds."""
        return self._shifts.mean_life_s

    @property
    def min_shift_distance(self):
        """Return the distance from which on a change of demand is a shift."""
        return self._shifts.min_distance

    def add(self, choices, *, now_s):
        """Add the number of choices of each expert, set by set.

        Choices of another number of experts are ignored.
        """
        if len(choices) == len(self._baseline):
            self._recent.append((now_s, choices))

    def estimate(self, *, now_s):
        """Return the demand by set and expert; None with too few choices.

        The demand of each set adds up to 1. ``distance`` is set to the
        distance between the recent demand and that before it, or None if there
        are too few choices. If this call detects a shift,
        ``shift_distance`` is set to it as well; otherwise it is None.
        """
        self._move_expired_to_baseline(now_s)
        recent_counts = self._sum_recent()
        self.shift_distance = self._detect_shift(recent_counts, now_s)
        if self.shift_distance is not None:
            self._baseline = [0.0] * len(self._baseline)
            self._reference.clear()
            self._reference_counts = [0] * len(self._reference_counts)
            self._drop_mixed_choices(now_s)
            recent_counts = self._sum_recent()
        total_counts = list(map(operator.add, self._baseline, recent_counts))
        if not self._is_enough(total_counts):
            return None
        return [
            _normalize(set_counts)
            for set_counts in self._split_by_set(total_counts)
        ]

    def _move_expired_to_baseline(self, now_s):
        """Move choices that are older than the recent window."""
        while (
            self._recent and now_s - self._recent[0][0] > conf.RECENT_WINDOW_S
        ):
            received_s, choices = self._recent.popleft()
            self._reference.append((received_s, choices))
            self._reference_counts = list(
                map(operator.add, self._reference_counts, choices)
            )
            self._decay_baseline(received_s)
            self._baseline = list(
                map(operator.add, self._baseline, map(float, choices))
            )
        oldest_s = now_s - conf.RECENT_WINDOW_S - conf.REFERENCE_WINDOW_S
        while self._reference and self._reference[0][0] < oldest_s:
            _, choices = self._reference.popleft()
            self._reference_counts = list(
                map(operator.sub, self._reference_counts, choices)
            )

    def _decay_baseline(self, now_s):
        if self._baseline_s is not None:
            elapsed_s = max(now_s - self._baseline_s, 0.0)
            decay_factor = 0.5 ** (elapsed_s / conf.BASELINE_HALF_LIFE_S)
            self._baseline = [decay_factor * count for count in self._baseline]
        self._baseline_s = now_s

    def _sum_recent(self):
        recent_counts = [0] * len(self._baseline)
        for _, choices in self._recent:
            recent_counts = list(map(operator.add, recent_counts, choices))
        return list(map(float, recent_counts))

    def _detect_shift(self, recent_counts, now_s):
        """Return the distance to the reference if demand has shifted.

        Return None if it has not, or if there are too few choices.
        """
        self.distance = None
        reference_counts = list(map(float, self._reference_counts))
        if not self._is_enough(recent_counts) or not self._is_enough(
            reference_counts
        ):
            return None
        self.distance = self._find_mean_distance(
            recent_counts, reference_counts
        )
        is_settled = sum(
            reference_counts
        ) >= conf.SETTLED_REFERENCE_RATIO * sum(recent_counts)
        is_shift = self._shifts.is_shift(
            self.distance, is_settled=is_settled, now_s=now_s
        )
        return self.distance if is_shift else None

    def _find_mean_distance(self, recent_counts, reference_counts):
        """Return the mean distance of two demands over all sets."""
        distances = [
            _find_distance(_normalize(recent_set), _normalize(reference_set))
            for recent_set, reference_set in zip(
                self._split_by_set(recent_counts),
                self._split_by_set(reference_counts),
                strict=True,
            )
        ]
        return sum(distances) / len(distances)

    def _drop_mixed_choices(self, now_s):
        """Drop the older half of the recent choices.

        A shift is detected before the choices since then fill the window.
        """
        oldest_s = now_s - conf.RECENT_WINDOW_S / 2
        while self._recent and self._recent[0][0] < oldest_s:
            self._recent.popleft()

    def _is_enough(self, counts):
        return sum(counts) >= conf.MIN_CHOICES_PER_SET * self._sets

    def _split_by_set(self, counts):
        """Return a list of the counts of each set."""
        return [
            counts[start : start + self._experts]
            for start in range(0, len(counts), self._experts)
        ]


def _normalize(counts):
    total = sum(counts) or 1
    return [count / total for count in counts]


def _find_distance(demand, reference_demand):
    """Return the total variation distance of two demands of one set."""
    return sum(map(abs, map(operator.sub, demand, reference_demand))) / 2
